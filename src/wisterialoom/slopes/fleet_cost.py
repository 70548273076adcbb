"""Measures the cost of membership and load gossip at several fleet sizes."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.fleet.peer import ServerLoad
from wisterialoom.core.notice import LoadReported
from wisterialoom.lab.fleet import Fleet
from wisterialoom.slopes.fit import Slope

if TYPE_CHECKING:
    from wisterialoom.core.message import Event, Output

Handle: TypeAlias = Callable[[float, "Event"], "list[Output]"]

__all__ = ["FleetCost", "measure_fleet", "measure_fleets"]

ROLE = "member"
SETTLE_S = 60.0
"""Virtual time before a measurement begins, in seconds."""
WINDOW_S = 60
"""Virtual time of a measurement, in seconds."""
LOSS = 0.01
"""Share of datagrams that are lost."""

SERVERS_PER_MEMBER = 1.5
MODELS_PER_SERVER = 3
CONVERGE_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class FleetCost:
    """Cost of one member per second, and times to converge.

    Attributes:
        members: Number of members in the fleet.
        idle_bytes: Payload bytes sent per second without backend servers.
        idle_us: Processor time of the membership part per second without backend
            servers and without the codec, in microseconds.
        load_bytes: As `idle_bytes`, with load that changes on every server.
        load_us: As `idle_us`, with load that changes on every server.
        load_age_s: Mean age of the load that the members have.
        death_s: Time until every member had removed a killed one.
        join_s: Time until all members agreed after starting at once.
    """

    members: int
    idle_bytes: float
    idle_us: float
    load_bytes: float
    load_us: float
    load_age_s: float
    death_s: float
    join_s: float


class _Meter:
    """Measures the processor time of all membership parts of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.cpu_s = 0.0
        for member in fleet.members.values():
            member.part.__dict__["handle"] = self._timed(member.part.handle)

    def _timed(self, handle: Handle) -> Handle:
        def timed(now: float, event: Event) -> list[Output]:
            started_at = time.thread_time()
            outputs = handle(now, event)
            self.cpu_s += time.thread_time() - started_at
            return outputs

        return timed

    def measure_window(self, step: Callable[[], None]) -> tuple[float, float]:
        """Return the bytes and microseconds per member and second.

        Args:
            step: Called once per second of virtual time.
        """
        before, self.cpu_s = self._bytes(), 0.0
        for _ in range(WINDOW_S):
            step()
            self.fleet.run_for(1.0)
        member_s = len(self.fleet.members) * WINDOW_S
        return (self._bytes() - before) / member_s, self.cpu_s * 1e6 / member_s

    def _bytes(self) -> int:
        traffic = self.fleet.traffic.values()
        return sum(sum(item.payload_bytes.values()) for item in traffic)


class _Servers:
    """Fake backend servers whose load is a random walk."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(2)
        self.names = sorted(fleet.members)
        self.loads = [self._initial_load(number) for number in range(count)]

    def _initial_load(self, number: int) -> ServerLoad:
        models = [self.rng.randrange(440) for _ in range(MODELS_PER_SERVER)]
        resident = tuple(f"quarterly-notes-{x:03}@2026-11-07" for x in models)
        return ServerLoad(f"writer-{number:04}", 2**25, 20, 0, resident=resident)

    def report(self) -> None:
        """Report the load of every server once."""
        for number, load in enumerate(self.loads):
            running = max(0, min(64, load.running + self.rng.randrange(-6, 7)))
            load = replace(load, serial=load.serial + 1, running=running)
            self.loads[number] = load
            controller = self.names[number % len(self.names)]
            self.fleet.send(controller, LoadReported(load, own=True))

    def mean_age_s(self) -> float:
        """Return the mean number of reports that members lag behind, one per second."""
        ages = []
        for member in self.fleet.members.values():
            for load in self.loads:
                known = member.part.loads.known.get(load.server)
                if known is not None:
                    ages.append(load.serial - known.load.serial)
        return sum(ages) / max(len(ages), 1)


def measure_fleet(members: int) -> FleetCost:
    """Measure a fleet of one size on the virtual clock."""
    fleet = Fleet(1, measure=True)
    fleet.seeds = ("10.0.0.0:7", "10.0.0.1:7")
    fleet.links.loss = LOSS
    for number in range(members):
        fleet.start(f"entry-{number:04}")
    started_at = fleet.now
    fleet.run_until(fleet.has_converged, CONVERGE_LIMIT_S)
    join_s = fleet.now - started_at
    fleet.run_for(SETTLE_S + members)
    meter = _Meter(fleet)
    idle_bytes, idle_us = meter.measure_window(lambda: None)
    servers = _Servers(fleet, int(members * SERVERS_PER_MEMBER))
    for _ in range(int(SETTLE_S)):
        servers.report()
        fleet.run_for(1.0)
    load_bytes, load_us = meter.measure_window(servers.report)
    age_s = servers.mean_age_s()
    started_at = fleet.now
    fleet.kill("entry-0003")
    fleet.run_until(fleet.has_converged, CONVERGE_LIMIT_S)
    death_s = fleet.now - started_at
    return FleetCost(
        members, idle_bytes, idle_us, load_bytes, load_us, age_s, death_s, join_s
    )


def measure_fleets(sizes: tuple[int, ...]) -> list[Slope]:
    """Return the slopes of the costs over several fleet sizes."""
    costs = [measure_fleet(size) for size in sizes]

    def slope(quantity: str, unit: str, name: str) -> Slope:
        points = {float(cost.members): float(getattr(cost, name)) for cost in costs}
        return Slope.through(ROLE, quantity, unit, "member", points)

    return [
        slope("sent without backend servers", "bytes/s", "idle_bytes"),
        slope("processor without backend servers", "us/s", "idle_us"),
        slope("sent with 1.5 busy servers a member", "bytes/s", "load_bytes"),
        slope("processor with 1.5 busy servers a member", "us/s", "load_us"),
        slope("age of the load of servers", "s", "load_age_s"),
        slope("death known everywhere", "s", "death_s"),
        slope("fleet started at once agrees", "s", "join_s"),
    ]
