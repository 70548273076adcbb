"""A fleet on virtual time before servers that crash on some requests.

The decisions are the real ones; servers, callers and datagrams are models.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from wisterialoom.core.crash_suspects import ServerStart
from wisterialoom.core.crash_watch import CrashWatch, InProgress

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.crash_watch import CrashMessage

__all__ = ["Load", "Model", "Outcome"]

DOWN_S = 3.3
DECIDE_S = 0.05
RETRIES = 1


@dataclass(frozen=True)
class Load:
    """What a play is like.

    Attributes:
        instances: Number of instances.
        servers: Number of servers.
        rate: Requests a second.
        deadly: Deadly traits, with their part of all requests.
        begins_at: Time from which deadly requests come.
        for_s: Length of the play.
        wait_s: Mean time until a server begins to answer.
        wait_spread: How far that time is off its mean at most, as a part of it; 0 if
            its distribution is exponential.
        run_s: Mean time from there to the end of an answer.
        subjects: Traits that sound requests share, besides the one that all have.
        own_trait: Whether each request has a trait of its own; deadly ones are then
            one request that is sent again and again.
        planned: Times at which servers crash for another reason, and how many.
        lost: Part of the datagrams that are lost.
        deadly_odds: Part of the servers that crash on deadly requests.
        is_cut: Returns whether two instances cannot hear each other.
    """

    instances: int = 6
    servers: int = 6
    rate: float = 60.0
    deadly: tuple[tuple[str, float], ...] = (("dead", 0.05),)
    begins_at: float = 4.0
    for_s: float = 40.0
    wait_s: float = 0.06
    wait_spread: float = 0.0
    run_s: float = 1.0
    subjects: int = 60
    own_trait: bool = False
    planned: tuple[tuple[float, int], ...] = ()
    lost: float = 0.0
    deadly_odds: float = 1.0
    is_cut: Callable[[int, int], bool] = lambda _, __: False


@dataclass
class Outcome:
    """What became of a play.

    Attributes:
        crashes: Time of each crash by a deadly request, by its trait.
        arrivals: Time of each deadly request that reached a server, by its trait.
        sound: Sound requests that came.
        held_sound: Sound requests that were held back, by the held trait.
        datagrams: Messages between instances.
    """

    crashes: dict[str, list[float]] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    sound: int = 0
    held_sound: Counter[str] = field(default_factory=Counter)
    datagrams: int = 0

    def late_arrivals(self, allowed_crashes: int, contact_s: float) -> int:
        """Count deadly requests that came long after the allowed crashes, at most."""
        counts = [0]
        for trait, crashes in self.crashes.items():
            if len(crashes) >= allowed_crashes:
                bound = crashes[allowed_crashes - 1] + contact_s
                counts.append(sum(at > bound for at in self.arrivals[trait]))
        return max(counts)


@dataclass
class _Request:
    traits: tuple[str, ...]
    deadly: str
    instance: int
    sends: int = 0
    sent_at: float = 0.0
    answered: bool = False
    on_trial: bool = False


@dataclass
class _Server:
    start: ServerStart
    vulnerable: bool
    alive: bool = True
    requests: list[_Request] = field(default_factory=list)


class Model:
    """Plays a load.

    Attributes:
        load: What the play is like.
        watches: Decisions of each instance.
        outcome: What became of the play so far.
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        names = frozenset(f"front-{number}" for number in range(load.instances))
        self.watches = [
            CrashWatch(f"front-{number}", names, rng=random.Random(seed + number))
            for number in range(load.instances)
        ]
        for number, watch in enumerate(self.watches):
            watch.in_progress = partial(self._in_progress, number)
        self.outcome = Outcome()
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.ids = itertools.count()
        self.servers = [self._make_server() for _ in range(load.servers)]

    def play(self) -> Outcome:
        """Play to the end."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        for at, count in self.load.planned:
            self._at(at, partial(self._crash_planned, count))
        while self.queue and self.queue[0][0] <= self.load.for_s:
            self.now, _, run = heapq.heappop(self.queue)
            run()
        return self.outcome

    def _at(self, at: float, run: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (at, next(self.order), run))

    def _after(self, delay_s: float, run: Callable[[], None]) -> None:
        self._at(self.now + delay_s, run)

    def _make_server(self) -> _Server:
        start = ServerStart(f"i-{next(self.ids)}", 1)
        return _Server(start, self.rng.random() < self.load.deadly_odds)

    def _arrive(self) -> None:
        load = self.load
        self._after(self.rng.expovariate(load.rate), self._arrive)
        traits = ["all", f"subject-{self.rng.randrange(load.subjects)}"]
        deadly = ""
        drawn = self.rng.random()
        for trait, share in load.deadly if self.now >= load.begins_at else ():
            if drawn < share:
                deadly = trait
                break
            drawn -= share
        if deadly and load.own_trait:
            traits = ["all", "subject-of-it", deadly]
        elif deadly:
            traits.insert(self.rng.randint(1, 2), deadly)
        elif load.own_trait:
            traits.append(f"request-{next(self.ids)}")
        if not deadly:
            self.outcome.sound += 1
        instance = self.rng.randrange(load.instances)
        self._send(_Request(tuple(traits), deadly, instance))

    def _send(self, request: _Request) -> None:
        watch = self.watches[request.instance]
        held = watch.quarantine.held_trait(request.traits)
        if held is not None:
            request.on_trial = not request.sends and watch.begin_trial(self.now, held)
            if not request.on_trial:
                self.outcome.held_sound[held] += not request.deadly
                return
        alive = [server for server in self.servers if server.alive]
        if not alive:
            return
        server = min(self.rng.sample(alive, min(2, len(alive))), key=_load_of)
        request.sends += 1
        request.sent_at = self.now
        request.answered = False
        server.requests.append(request)
        if request.deadly:
            arrivals = self.outcome.arrivals.setdefault(request.deadly, [])
            arrivals.append(self.now)
        wait_s = self._draw_wait_s()
        self._after(wait_s, lambda: self._begin(server, request))

    def _draw_wait_s(self) -> float:
        mean, spread = self.load.wait_s, self.load.wait_spread
        if spread:
            return mean * self.rng.uniform(1 - spread, 1 + spread)
        return self.rng.expovariate(1 / mean)

    def _begin(self, server: _Server, request: _Request) -> None:
        if not server.alive or request not in server.requests:
            return
        if request.deadly and server.vulnerable:
            self.outcome.crashes.setdefault(request.deadly, []).append(self.now)
            self._crash(server)
            return
        request.answered = True
        watch = self.watches[request.instance]
        self._after(0.005, lambda: watch.record_output(self.now, request.traits))
        run_s = self.rng.expovariate(1 / self.load.run_s)
        self._after(run_s, lambda: self._end(server, request))

    def _end(self, server: _Server, request: _Request) -> None:
        if request in server.requests:
            server.requests.remove(request)

    def _crash_planned(self, count: int) -> None:
        alive = [server for server in self.servers if server.alive]
        for server in self.rng.sample(alive, min(count, len(alive))):
            self._crash(server)

    def _crash(self, server: _Server) -> None:
        server.alive = False
        lost, server.requests = server.requests, []
        for request in lost:
            self._after(
                self.rng.uniform(0.001, 0.01), partial(self._lose, server, request)
            )
        for number in {request.instance for request in lost}:
            self._after(0.025, partial(self._record_down, number, server))
        self._after(DOWN_S * self.rng.uniform(0.9, 1.1), lambda: self._replace(server))

    def _record_down(self, number: int, server: _Server) -> None:
        self.watches[number].record_down(server.start)
        self._decide(number)

    def _replace(self, server: _Server) -> None:
        self.servers.remove(server)
        self.servers.append(self._make_server())

    def _lose(self, server: _Server, request: _Request) -> None:
        if not request.answered:
            self.watches[request.instance].record_loss(
                self.now,
                server.start,
                request.sent_at,
                request.traits,
                sum(other.alive or other is server for other in self.servers),
            )
        if request.sends <= RETRIES:
            self._send(request)

    def _in_progress(self, number: int) -> list[InProgress]:
        return [
            InProgress(server.start, request.sent_at, request.traits)
            for server in self.servers
            for request in server.requests
            if request.instance == number
        ]

    def _tick(self) -> None:
        self._after(DECIDE_S, self._tick)
        for number in range(self.load.instances):
            self._decide(number)

    def _decide(self, number: int) -> None:
        watch = self.watches[number]
        watch.decide(self.now)
        for message in watch.take_messages(self.now):
            self._tell_others(number, message)
        if watch.quarantine.held_count:
            self._abort_held(number)

    def _abort_held(self, number: int) -> None:
        held_trait = self.watches[number].quarantine.held_trait
        for server in self.servers:
            server.requests = [
                request
                for request in server.requests
                if request.instance != number
                or request.answered
                or request.on_trial
                or held_trait(request.traits) is None
            ]

    def _receive(self, number: int, message: CrashMessage) -> None:
        self.watches[number].handle(self.now, message)
        self._decide(number)

    def _tell_others(self, sender: int, message: CrashMessage) -> None:
        for number in range(self.load.instances):
            if number == sender or self.load.is_cut(sender, number):
                continue
            self.outcome.datagrams += 1
            if self.rng.random() < self.load.lost:
                continue
            self._after(
                self.rng.uniform(0.001, 0.011),
                partial(self._receive, number, message),
            )


def _load_of(server: _Server) -> int:
    return len(server.requests)
