"""Generates random scenarios with overlapping faults.

Every fault ends long before the scenario does, so that the deployment must have
recovered by then.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from wisterialoom.lab.script import (
    Apply,
    Cut,
    DegradeInstanceList,
    DegradeLinks,
    DegradeOrders,
    DegradeStore,
    Expectation,
    Freeze,
    Kill,
    Load,
    Restart,
    ROLES,
    ScheduledStep,
    Script,
    Start,
    Step,
    Stop,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["make_storm"]

ENTRIES = 4
WARM_UP_S = 10.0
"""Time before the first fault, in seconds."""

FAULT_WINDOW_S = 90.0
"""Length of the window in which faults begin, in seconds."""

MAX_FAULT_S = 25.0
"""Maximum duration of a fault, in seconds."""

RECOVERY_S = 150.0
"""Time for which the load continues after the last fault, in seconds."""

FAULT_COUNT = 8
AIMED_FAULT_COUNT = 3

AIMED_CHANGE_S = 0.3
"""Time after the begin of an aimed fault at which the document changes."""

EXPECTATION_TEXTS = (
    "memory within capacity",
    "no operation runs twice",
    "one outcome for every request",
    "not_run is true",
    "every refusal says when to come back",
    "no generation goes back",
    "newest generation everywhere",
    "every model served in the last minute",
)


def make_storm(seed: int, *, aimed: bool = False) -> Script:
    """Return a random scenario; equal seeds give equal scenarios.

    Args:
        seed: The seed.
        aimed: Whether faults also hit all instances that have a role.
    """
    rng = random.Random(seed)
    warm_up_end = WARM_UP_S
    end = warm_up_end + FAULT_WINDOW_S + MAX_FAULT_S + RECOVERY_S
    scheduled_steps = [
        ScheduledStep(5.0, Load(4.0, "any", end - 5.0), 0),
        ScheduledStep(
            5.0, Load(2.0, "/registry/deposits", end - 5.0, send_twice=True), 0
        ),
    ]
    for _ in range(FAULT_COUNT):
        scheduled_steps += _random_fault(
            rng, warm_up_end + rng.random() * FAULT_WINDOW_S
        )
    if aimed:
        rng = random.Random(f"aimed {seed}")
        for _ in range(AIMED_FAULT_COUNT):
            scheduled_steps += _aimed_fault(
                rng, warm_up_end + rng.random() * FAULT_WINDOW_S
            )
    scheduled_steps.sort(key=lambda item: item.at_s)
    expectations = tuple(Expectation(text, None, 0) for text in EXPECTATION_TEXTS)
    return Script(
        title=f"storm {seed}",
        entries=ENTRIES,
        seed=seed,
        until_s=end,
        scheduled_steps=tuple(_without_invalid_steps(scheduled_steps)),
        expectations=expectations,
    )


def _without_invalid_steps(
    scheduled_steps: list[ScheduledStep],
) -> Iterator[ScheduledStep]:
    """Yield the steps, without those whose process is in the wrong state.

    A process that is down can be neither killed, stopped nor frozen, and an entry
    instance that is running cannot be started.
    """
    down: set[str] = set()
    for item in scheduled_steps:
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


def _random_fault(rng: random.Random, at_s: float) -> list[ScheduledStep]:
    for_s = 1.0 + rng.random() * (MAX_FAULT_S - 1.0)
    make_steps = rng.choice(_FAULT_KINDS)
    return [
        ScheduledStep(at_s + delay_s, step, 0)
        for delay_s, step in make_steps(rng, for_s)
    ]


def _aimed_fault(rng: random.Random, at_s: float) -> list[ScheduledStep]:
    """Cut all instances of a role from the object API, and change the document."""
    for_s = 1.0 + rng.random() * (MAX_FAULT_S - 1.0)
    role = rng.choice(ROLES)
    others = rng.choice([("object-api",), ("object-api", "engine-1", "engine-2")])
    return [
        ScheduledStep(at_s, Cut((role,), others, for_s), 0),
        ScheduledStep(at_s + AIMED_CHANGE_S, Apply(1), 0),
    ]


def _random_entry(rng: random.Random) -> str:
    return f"entry-{rng.randint(1, ENTRIES)}"


def _random_engine(rng: random.Random) -> str:
    return f"engine-{rng.randint(1, 3)}"


_TimedSteps = list[tuple[float, Step]]


def _freeze_entry(rng: random.Random, for_s: float) -> _TimedSteps:
    how = rng.choice(["", "deciding", "sending"])
    return [(0.0, Freeze(_random_entry(rng), for_s, how))]


def _kill_entry(rng: random.Random, for_s: float) -> _TimedSteps:
    name = _random_entry(rng)
    return [(0.0, Kill(name)), (for_s, Start(name))]


def _kill_engine(rng: random.Random, for_s: float) -> _TimedSteps:
    name = _random_engine(rng)
    return [(0.0, Kill(name)), (for_s, Restart(name))]


def _degrade_store(rng: random.Random, for_s: float) -> _TimedSteps:
    fault = rng.choice(["down", "slow", "lose-answers", "lose-calls"])
    amount = 0.8 if fault == "slow" else 0.1 + rng.random() * 0.4
    return [(0.0, DegradeStore(fault, amount, for_s))]


def _degrade_orders(rng: random.Random, for_s: float) -> _TimedSteps:
    fault = rng.choice(["lose", "lose-answers", "late", "double"])
    return [(0.0, DegradeOrders("all", fault, 0.1 + rng.random() * 0.5, for_s))]


def _degrade_links(rng: random.Random, for_s: float) -> _TimedSteps:
    fault = rng.choice(["loss", "double", "delay"])
    amount = 0.05 if fault == "delay" else rng.random() * 0.3
    return [(0.0, DegradeLinks(fault, amount, for_s))]


def _cut_links(rng: random.Random, for_s: float) -> _TimedSteps:
    isolated = _random_entry(rng)
    others = {f"entry-{number}" for number in range(1, ENTRIES + 1)} - {isolated}
    other_endpoints = ("object-api", "engine-1", "engine-2", "engine-3")
    right = {name for name in (*sorted(others), *other_endpoints) if rng.random() < 0.6}
    return [(0.0, Cut((isolated,), tuple(sorted(right)), for_s))]


def _degrade_instance_list(rng: random.Random, for_s: float) -> _TimedSteps:
    return [(0.0, DegradeInstanceList(rng.random() * 20.0, rng.random() < 0.3, for_s))]


def _apply_document(rng: random.Random, _: float) -> _TimedSteps:
    return [(0.0, Apply(rng.randint(1, 4)))]


_FAULT_KINDS: tuple[Callable[[random.Random, float], _TimedSteps], ...] = (
    _freeze_entry,
    _freeze_entry,
    _kill_entry,
    _kill_engine,
    _degrade_store,
    _degrade_store,
    _degrade_orders,
    _degrade_orders,
    _degrade_links,
    _cut_links,
    _cut_links,
    _degrade_instance_list,
    _apply_document,
)
