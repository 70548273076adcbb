"""Instances on a virtual clock that borrow allowance over an unreliable network."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from wisterialoom.core.teams.allowance import Allowance, Charge, Denied, WAIT_S
from wisterialoom.core.teams.allowance_ledger import AllowanceLedger
from wisterialoom.core.teams.quota_bound import QuotaBound
from wisterialoom.platform.hint_codec import encode_hint
from wisterialoom.platform.hints import AllowanceGranted, AllowanceWanted

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.teams.allowance_message import (
        AllowanceReply,
        AllowanceRequest,
    )
    from wisterialoom.core.teams.team import Quota

BATCH_S = 0.002
TICK_S = 0.1
HINT_S = 0.4
LEASE_S = 3.0


@dataclass
class Network:
    """What happens to messages.

    Attributes:
        delay_s: Shortest and longest delay; different delays reorder messages.
        loss: Share of messages that are lost.
        duplicates: Share of messages that arrive twice.
    """

    delay_s: tuple[float, float] = (0.001, 0.004)
    loss: float = 0.0
    duplicates: float = 0.0


@dataclass
class Front:
    """One instance.

    Attributes:
        up: Whether it runs; a killed one does not come back.
        frozen: Whether it is suspended.
        cut: Whether its messages to and from the holder are lost.
        is_old: Whether it reaches only an earlier holder.
        deaf: Whether messages to it are lost, but not those that it sends.
    """

    name: str
    allowance: Allowance
    up: bool = True
    frozen: bool = False
    cut: bool = False
    deaf: bool = False
    is_old: bool = False
    scheduled: bool = False
    heard: int = 0
    frozen_events: list[Callable[[], None]] = field(default_factory=list)


class AllowanceFleet:
    """Simulates instances, the holder of the lease, and callers.

    Attributes:
        runs: Time and cost of each request that ran, by team.
        refused: Requests refused, by team.
        offered: Requests made, by team.
        retry_s: The last `Retry-After`, by team.
        message_count: Messages sent.
        message_bytes: Bytes of these messages, as encoded for the wire.
    """

    def __init__(
        self,
        count: int,
        limits: dict[str, Quota],
        seed: int = 1,
        network: Network | None = None,
        bound: QuotaBound | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.network = network or Network()
        self.bound = bound or QuotaBound()
        self.limits = dict(limits)
        self.fronts: dict[str, Front] = {}
        self.ledger: AllowanceLedger | None = None
        self.holder = ""
        self.old: tuple[str, AllowanceLedger | None] = ("", None)
        self.epoch = 0
        self.runs: dict[str, list[tuple[float, float]]] = {team: [] for team in limits}
        self.refused = dict.fromkeys(limits, 0)
        self.offered = dict.fromkeys(limits, 0)
        self.retry_s = dict.fromkeys(limits, 0.0)
        self.message_count = 0
        self.message_bytes = 0
        for number in range(count):
            self.add(f"front-{number}")
        self.take_lease("front-0")
        self.at(0.0, self.tick)
        self.at(0.0, self.hint)

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(when, self.now), next(self.order), call))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def on(self, front: Front, call: Callable[[], None]) -> None:
        """Let an instance do something, after it resumes if it is frozen."""
        if not front.up:
            return
        if front.frozen:
            front.frozen_events.append(call)
        else:
            call()

    def add(self, name: str) -> Front:
        serial = int((self.now + 1.0) * 1e3)
        front = Front(name, Allowance(name, serial, self.bound))
        self.fronts[name] = front
        front.allowance.set_limits(self.now, self.bound, self.limits)
        front.allowance.set_instances(self.now, self.names())
        return front

    def names(self) -> list[str]:
        return [name for name, front in self.fronts.items() if front.up]

    def take_lease(self, name: str) -> None:
        self.holder = name
        self.epoch += 1
        self.ledger = AllowanceLedger(self.now, self.epoch, self.bound)
        self.ledger.set_limits(self.now, self.bound, self.limits)
        self.ledger.record_known(self.now, self.fronts)
        self.ledger.record_heard(self.now, (name,))

    def lose_holder(self, successor: str, after_s: float = LEASE_S) -> None:
        """Kill the holder; another instance takes the lease later."""
        self.fronts[self.holder].up = False
        self.ledger = None
        self.holder = ""
        self.at(self.now + after_s, lambda: self.take_lease(successor))

    def split(self, every: int, successor: str, after_s: float = LEASE_S) -> None:
        """Cut the holder and some instances off; another takes the lease later."""
        assert self.ledger is not None
        self.old = self.holder, self.ledger
        for front in list(self.fronts.values())[::every]:
            front.is_old = True
        self.fronts[self.holder].is_old = True
        self.fronts[successor].is_old = False
        self.ledger.distrust(self.now)
        self.ledger, self.holder = None, ""
        self.at(self.now + after_s, lambda: self.take_lease(successor))

    def join(self) -> None:
        """End the split; the earlier holder learns that there is another."""
        self.old = "", None
        for front in self.fronts.values():
            front.is_old = False

    def holder_of(self, front: Front) -> tuple[str, AllowanceLedger | None]:
        return self.old if front.is_old else (self.holder, self.ledger)

    def set_limits(self, limits: dict[str, Quota]) -> None:
        """Change the configuration; instances know it within two seconds."""
        self.limits = dict(limits)
        for front in self.fronts.values():
            change = partial(self.change_limits, front, self.limits)
            self.at(self.now + 2.0 * self.rng.random(), partial(self.on, front, change))
        ledger = self.ledger
        if ledger is not None:
            self.at(
                self.now + 2.0 * self.rng.random(),
                lambda: ledger.set_limits(self.now, self.bound, limits),
            )

    def change_limits(self, front: Front, limits: dict[str, Quota]) -> None:
        front.allowance.set_limits(self.now, self.bound, limits)

    def freeze(self, name: str, for_s: float) -> None:
        front = self.fronts[name]
        front.frozen = True

        def resume() -> None:
            front.frozen = False
            waiting, front.frozen_events = front.frozen_events, []
            for call in waiting:
                self.on(front, call)

        self.at(self.now + for_s, resume)

    # Messages.

    def reaches(self, front: Front, *, to_holder: bool) -> bool:
        if front.name == self.holder_of(front)[0]:
            return True
        return not front.cut and (to_holder or not front.deaf)

    def tick(self) -> None:
        """Reports of all instances reach the holder, which lists the instances."""
        self.at(self.now + TICK_S, self.tick)
        for ledger in (self.ledger, self.old[1]):
            if ledger is not None:
                ledger.check_silent(self.now)
        for front in self.fronts.values():
            self.on(front, partial(self.flush, front))

    def hint(self) -> None:
        self.at(self.now + HINT_S, self.hint)
        for front in self.fronts.values():
            holder, ledger = self.holder_of(front)
            if ledger is None or self.fronts[holder].frozen:
                continue
            if not front.up or self.rng.random() < self.network.loss:
                continue
            if not front.frozen and self.reaches(front, to_holder=True):
                ledger.record_heard(self.now, (front.name,))
            if self.reaches(front, to_holder=False):
                self.on(front, partial(self.take_hint, front))

    def take_hint(self, front: Front) -> None:
        front.allowance.record_holder(self.now)
        ledger = self.holder_of(front)[1]
        heard = ledger.members if ledger is not None else ()
        if front.heard != len(heard):
            front.heard = len(heard)
            front.allowance.set_instances(self.now, heard)

    def wake(self, front: Front) -> None:
        if front.scheduled:
            return
        front.scheduled = True

        def send() -> None:
            front.scheduled = False
            self.on(front, lambda: self.flush(front))

        due = max(self.now + BATCH_S, front.allowance.asked_at + 0.0201)
        self.at(due, send)

    def flush(self, front: Front) -> None:
        request = front.allowance.request(self.now)
        if request is None:
            return
        if front.name == self.holder_of(front)[0]:
            self.deliver_request(front, request)
            return
        hint = AllowanceWanted(front.name, request)
        self.message_count += 1
        self.message_bytes += len(encode_hint(hint))
        if self.reaches(front, to_holder=True):
            self.transmit(lambda: self.deliver_request(front, request))

    def transmit(self, call: Callable[[], None]) -> None:
        copies = 1 + (self.rng.random() < self.network.duplicates)
        for _ in range(copies):
            if self.rng.random() >= self.network.loss:
                self.at(self.now + self.rng.uniform(*self.network.delay_s), call)

    def deliver_request(self, front: Front, request: AllowanceRequest) -> None:
        name, ledger = self.holder_of(front)
        if ledger is None:
            return
        holder = self.fronts[name]

        def handle() -> None:
            if ledger not in (self.ledger, self.old[1]):
                return
            reply = ledger.handle(self.now, front.name, request)
            if reply is None:
                return
            if front is holder:
                self.take_reply(front, reply)
                return
            hint = AllowanceGranted(holder.name, reply)
            self.message_count += 1
            self.message_bytes += len(encode_hint(hint))
            if self.reaches(front, to_holder=False):
                self.transmit(lambda: self.take_reply(front, reply))

        self.on(holder, handle)

    def take_reply(self, front: Front, reply: AllowanceReply) -> None:
        def take() -> None:
            front.allowance.receive(self.now, reply)
            for ticket in [
                waiter
                for stock in front.allowance.stocks.values()
                for waiter in stock.waiting
            ]:
                ticket.retry()  # type: ignore[attr-defined]

        self.on(front, take)

    # Callers.

    def call(self, name: str, team: str, cost: float) -> None:
        """Send a request to an instance, which runs it, refuses it, or is gone."""
        front = self.fronts[name]
        if not front.up or front.frozen:
            return
        self.offered[team] += 1
        Caller(self, front, team, cost).start()

    def spread(
        self,
        team: str,
        cost_per_s: float,
        names: list[str],
        start: float,
        until: float,
        costs: tuple[float, float] = (500.0, 4000.0),
    ) -> None:
        """Send requests at random times to instances chosen at random."""
        mean = sum(costs) / 2
        when = start
        while True:
            when += self.rng.expovariate(cost_per_s / mean)
            if when >= until:
                return
            name = self.rng.choice(names)
            cost = float(int(self.rng.uniform(*costs)))
            self.at(when, partial(self.call, name, team, cost))

    def used(self, team: str, since: float, until: float) -> float:
        return sum(cost for when, cost in self.runs[team] if since <= when < until)

    def worst(self, team: str, since: float = 0.0) -> float:
        """Return the largest use in a window, as a share of what is allowed."""
        return self.most_in_window(team, since) / self.bound.allowed(self.limits[team])

    def most_in_window(self, team: str, since: float = 0.0) -> float:
        runs = sorted(run for run in self.runs[team] if run[0] >= since)
        most = total = 0.0
        first = 0
        for when, cost in runs:
            total += cost
            while runs[first][0] <= when - self.bound.window_s:
                total -= runs[first][1]
                first += 1
            most = max(most, total)
        return most


class Caller:
    """One request at an instance."""

    def __init__(
        self, fleet: AllowanceFleet, front: Front, team: str, cost: float
    ) -> None:
        self.fleet = fleet
        self.front = front
        self.team = team
        self.cost = cost
        self.done = False

    def start(self) -> None:
        if not self.retry():
            self.front.allowance.wait(self.team, self.cost, self)
            self.fleet.wake(self.front)
            for after_s in (0.061, 0.122):
                self.fleet.at(
                    self.fleet.now + after_s, lambda: self.fleet.wake(self.front)
                )
            self.fleet.at(
                self.fleet.now + WAIT_S,
                lambda: self.fleet.on(self.front, self.expire),
            )

    def retry(self) -> bool:
        if self.done:
            return True
        fleet, allowance = self.fleet, self.front.allowance
        decision = allowance.charge(fleet.now, self.team, self.cost, self)
        match decision:
            case Charge():
                allowance.settle(decision)
                fleet.runs[self.team].append((fleet.now, self.cost))
            case Denied(retry_s=retry_s):
                fleet.refused[self.team] += 1
                fleet.retry_s[self.team] = retry_s
            case None:
                return False
        self.end()
        return True

    def expire(self) -> None:
        if not self.done and not self.retry():
            denied = self.front.allowance.give_up(self.fleet.now, self.team, self.cost)
            self.fleet.refused[self.team] += 1
            self.fleet.retry_s[self.team] = denied.retry_s
            self.end()

    def end(self) -> None:
        self.done = True
        self.front.allowance.stop_waiting(self.team, self)
