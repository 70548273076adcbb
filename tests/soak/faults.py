"""Draws the faults of a seed: what, when and for how long."""

from __future__ import annotations

import random
from dataclasses import dataclass

from tests.soak.chaos import Harm

__all__ = [
    "INSTANCES",
    "MODEL_SERVERS",
    "PLAIN_SERVERS",
    "Configure",
    "Fault",
    "ForgetHistory",
    "HarmServer",
    "HarmStore",
    "Kill",
    "KillAll",
    "Pause",
    "Reload",
    "Replace",
    "Stop",
    "StoreMode",
    "draw",
]

INSTANCES = 4
MODEL_SERVERS = 3
PLAIN_SERVERS = 2

FAULTS_S = 6.0
"""Time from the first fault to the start of the last."""


@dataclass(frozen=True, slots=True)
class Kill:
    """An instance is killed, and starts again after a while."""

    instance: int
    down_s: float


@dataclass(frozen=True, slots=True)
class KillAll:
    """All instances are killed at once, and start again after a while."""

    down_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """An instance is told to stop, and starts again."""

    instance: int


@dataclass(frozen=True, slots=True)
class Pause:
    """An instance stands still."""

    instance: int
    for_s: float


@dataclass(frozen=True, slots=True)
class Reload:
    """An instance is told that its settings have changed."""

    instance: int


@dataclass(frozen=True, slots=True)
class HarmStore:
    """Connections of an instance to the store are harmed."""

    instance: int
    harm: Harm
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreMode:
    """The store is down, silent, or loses answers."""

    mode: str
    for_s: float


@dataclass(frozen=True, slots=True)
class ForgetHistory:
    """The store drops its history."""


@dataclass(frozen=True, slots=True)
class HarmServer:
    """Connections to a backend server are harmed."""

    server: int
    harm: Harm
    for_s: float


@dataclass(frozen=True, slots=True)
class Replace:
    """A backend server leaves, announced or not, and another one comes."""

    server: int
    announced: bool


@dataclass(frozen=True, slots=True)
class Configure:
    """The operator writes a new configuration."""


Fault = (
    Kill
    | KillAll
    | Stop
    | Pause
    | Reload
    | HarmStore
    | StoreMode
    | ForgetHistory
    | HarmServer
    | Replace
    | Configure
)


def draw(seed: int) -> list[tuple[float, Fault]]:
    """Return the faults of a seed with their times, in order."""
    rng = random.Random(seed)
    faults = [(rng.uniform(0.0, FAULTS_S), _draw_one(rng)) for _ in range(9)]
    return sorted(faults, key=lambda fault: fault[0])


def _draw_one(rng: random.Random) -> Fault:
    instance = rng.randrange(INSTANCES)
    server = rng.randrange(MODEL_SERVERS + PLAIN_SERVERS)
    harm = rng.choice([harm for harm in Harm if harm is not Harm.NONE])
    for_s = rng.uniform(0.2, 4.0)
    kinds: list[Fault] = [
        Kill(instance, for_s / 2),
        KillAll(for_s / 4),
        Stop(instance),
        Pause(instance, for_s),
        Reload(instance),
        HarmStore(instance, harm, for_s),
        StoreMode(rng.choice(["down", "silent", "lose"]), for_s),
        ForgetHistory(),
        HarmServer(server, harm, for_s),
        Replace(server, rng.random() < 0.5),
        Configure(),
    ]
    return rng.choice(kinds)
