"""Costs of membership and load news at several sizes of the fleet."""

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
WINDOW_S = 60
LOSS = 0.01
SERVERS_PER_MEMBER = 1.5
MODELS_PER_SERVER = 3
DEATH_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class FleetCost:
    """What one member sends and spends each second.

    Attributes:
        members: Size of the fleet.
        idle_bytes: Payload bytes sent a second without backend servers.
        idle_us: Processor time a second of the part, without the codec.
        load_bytes: The same with load that changes at every server.
        load_us: The same with load that changes at every server.
        load_age_s: Mean age of the load that members know.
        death_s: Time until a killed member was out everywhere.
        join_s: Time until a fleet started at once agreed.
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
    """Counts the processor time of every part of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.cpu_s = 0.0
        for member in fleet.members.values():
            member.part.__dict__["handle"] = self._timed(member.part.handle)

    def _timed(self, handle: Handle) -> Handle:
        def timed(now: float, event: Event) -> list[Output]:
            begun = time.thread_time()
            outputs = handle(now, event)
            self.cpu_s += time.thread_time() - begun
            return outputs

        return timed

    def window(self, step: Callable[[], None]) -> tuple[float, float]:
        """Return bytes and microseconds for each member and second."""
        before, self.cpu_s = self._bytes(), 0.0
        for _ in range(WINDOW_S):
            step()
            self.fleet.run_for(1.0)
        shares = len(self.fleet.members) * WINDOW_S
        return (self._bytes() - before) / shares, self.cpu_s * 1e6 / shares

    def _bytes(self) -> int:
        traffic = self.fleet.traffic.values()
        return sum(sum(item.payload_bytes.values()) for item in traffic)


class _Servers:
    """Backend servers whose load walks at random."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(2)
        self.names = sorted(fleet.members)
        self.loads = [self._first(number) for number in range(count)]

    def _first(self, number: int) -> ServerLoad:
        models = [self.rng.randrange(440) for _ in range(MODELS_PER_SERVER)]
        resident = tuple(f"quarterly-notes-{x:03}@2026-11-07" for x in models)
        return ServerLoad(f"writer-{number:04}", 2**25, 20, 0, resident=resident)

    def report(self) -> None:
        """Let every steward report once."""
        for number, load in enumerate(self.loads):
            running = max(0, min(64, load.running + self.rng.randrange(-6, 7)))
            load = replace(load, serial=load.serial + 1, running=running)
            self.loads[number] = load
            home = self.names[number % len(self.names)]
            self.fleet.send(home, LoadReported(load, own=True))

    def mean_age_s(self) -> float:
        """Return how many reports, one a second, members lag behind."""
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
    begun = fleet.now
    fleet.run_until(fleet.agree, DEATH_LIMIT_S)
    join_s = fleet.now - begun
    fleet.run_for(SETTLE_S + members)
    meter = _Meter(fleet)
    idle_bytes, idle_us = meter.window(lambda: None)
    servers = _Servers(fleet, int(members * SERVERS_PER_MEMBER))
    for _ in range(int(SETTLE_S)):
        servers.report()
        fleet.run_for(1.0)
    load_bytes, load_us = meter.window(servers.report)
    age_s = servers.mean_age_s()
    begun = fleet.now
    fleet.kill("entry-0003")
    fleet.run_until(fleet.agree, DEATH_LIMIT_S)
    death_s = fleet.now - begun
    return FleetCost(
        members, idle_bytes, idle_us, load_bytes, load_us, age_s, death_s, join_s
    )


def measure_fleets(sizes: tuple[int, ...]) -> list[Slope]:
    """Return the slopes over fleets of several sizes."""
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
