"""Random scenarios: several failures at any moment, healed before the end."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from wisterialoom.lab.script import (
    Apply,
    Cut,
    Expect,
    Freeze,
    Happening,
    Kill,
    LinkQuality,
    ListingLag,
    Load,
    OrderQuality,
    Restart,
    Script,
    Start,
    Step,
    Stop,
    StoreQuality,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["make_storm"]

ENTRIES = 4
QUIET_S = 10.0
"""Time before the first failure, in seconds."""

STORM_S = 90.0
"""Time in which failures begin, in seconds."""

LONGEST_S = 25.0
"""Longest failure, in seconds."""

HEALING_S = 150.0
"""Time after the last failure in which the load goes on, in seconds."""

FAILURES = 8

EXPECTATIONS = (
    "memory within capacity",
    "no operation runs twice",
    "one outcome for every request",
    "not_run is true",
    "every refusal says when to come back",
    "no generation goes back",
    "newest generation everywhere",
    "every model served in the last minute",
)


def make_storm(seed: int) -> Script:
    """Return a random scenario; the same for the same seed."""
    rng = random.Random(seed)
    begin = QUIET_S
    end = begin + STORM_S + LONGEST_S + HEALING_S
    happenings = [
        Happening(5.0, Load(4.0, "any", end - 5.0), 0),
        Happening(5.0, Load(2.0, "/registry/deposits", end - 5.0, once=True), 0),
    ]
    for _ in range(FAILURES):
        happenings += _failure(rng, begin + rng.random() * STORM_S)
    happenings.sort(key=lambda item: item.at_s)
    expects = tuple(Expect(text, None, 0) for text in EXPECTATIONS)
    return Script(
        title=f"storm {seed}",
        entries=ENTRIES,
        seed=seed,
        until_s=end,
        happenings=tuple(_without_collisions(happenings)),
        expects=expects,
    )


def _without_collisions(happenings: list[Happening]) -> Iterator[Happening]:
    """Leave out steps on processes that are not running at that moment."""
    down: set[str] = set()
    for item in happenings:
        match item.step:
            case Kill(name=name) | Stop(name=name):
                if name in down:
                    continue
                down.add(name)
            case Start(name=name) | Restart(name=name):
                if name not in down and isinstance(item.step, Start):
                    continue
                down.discard(name)
            case Freeze(name=name) if name in down:
                continue
        yield item


def _failure(rng: random.Random, at_s: float) -> list[Happening]:
    for_s = 1.0 + rng.random() * (LONGEST_S - 1.0)
    make = rng.choice(_KINDS)
    return [Happening(at_s + after, step, 0) for after, step in make(rng, for_s)]


def _entry(rng: random.Random) -> str:
    return f"entry-{rng.randint(1, ENTRIES)}"


def _engine(rng: random.Random) -> str:
    return f"engine-{rng.randint(1, 3)}"


_Steps = list[tuple[float, Step]]


def _freeze(rng: random.Random, for_s: float) -> _Steps:
    how = rng.choice(["", "deciding", "sending"])
    return [(0.0, Freeze(_entry(rng), for_s, how))]


def _kill(rng: random.Random, for_s: float) -> _Steps:
    name = _entry(rng)
    return [(0.0, Kill(name)), (for_s, Start(name))]


def _kill_engine(rng: random.Random, for_s: float) -> _Steps:
    name = _engine(rng)
    return [(0.0, Kill(name)), (for_s, Restart(name))]


def _store(rng: random.Random, for_s: float) -> _Steps:
    fault = rng.choice(["down", "slow", "lose-answers", "lose-calls"])
    amount = 0.8 if fault == "slow" else 0.1 + rng.random() * 0.4
    return [(0.0, StoreQuality(fault, amount, for_s))]


def _orders(rng: random.Random, for_s: float) -> _Steps:
    fault = rng.choice(["lose", "lose-answers", "late", "double"])
    return [(0.0, OrderQuality("all", fault, 0.1 + rng.random() * 0.5, for_s))]


def _links(rng: random.Random, for_s: float) -> _Steps:
    fault = rng.choice(["loss", "double", "delay"])
    amount = 0.05 if fault == "delay" else rng.random() * 0.3
    return [(0.0, LinkQuality(fault, amount, for_s))]


def _cut(rng: random.Random, for_s: float) -> _Steps:
    one = _entry(rng)
    others = {f"entry-{number}" for number in range(1, ENTRIES + 1)} - {one}
    places = ("object-api", "engine-1", "engine-2", "engine-3")
    right = {name for name in (*sorted(others), *places) if rng.random() < 0.6}
    return [(0.0, Cut((one,), tuple(sorted(right)), for_s))]


def _listing(rng: random.Random, for_s: float) -> _Steps:
    return [(0.0, ListingLag(rng.random() * 20.0, rng.random() < 0.3, for_s))]


def _apply(rng: random.Random, _: float) -> _Steps:
    return [(0.0, Apply(rng.randint(1, 4)))]


_KINDS: tuple[Callable[[random.Random, float], _Steps], ...] = (
    _freeze,
    _freeze,
    _kill,
    _kill_engine,
    _store,
    _store,
    _orders,
    _orders,
    _links,
    _cut,
    _cut,
    _listing,
    _apply,
)
