"""Draws the faults of a seed with their times and durations."""

from __future__ import annotations

import random
from dataclasses import dataclass

from tests.soak.fault_proxy import ConnectionFault
from tests.soak.roles import Role

__all__ = [
    "INSTANCES",
    "MAX_COPY_AGE_S",
    "MODEL_SERVERS",
    "PLAIN_SERVERS",
    "Configure",
    "Fault",
    "ForgetHistory",
    "ServerConnectionFault",
    "StoreConnectionFault",
    "Kill",
    "KillAll",
    "Pause",
    "Reload",
    "Replace",
    "RestoreStore",
    "RoleFault",
    "RoleKill",
    "Stop",
    "StoreMode",
    "draw_faults",
]

INSTANCES = 4
MODEL_SERVERS = 3
PLAIN_SERVERS = 2

MAX_COPY_AGE_S = 5.0
"""Maximum age of a copy that the store is restored from."""

FAULTS_S = 6.0
"""Period in which faults start."""

QUIET_S = FAULTS_S + 9.0
"""Time at which their effects are over."""


@dataclass(frozen=True, slots=True)
class Kill:
    """Kills an instance and restarts it after a while."""

    instance: int
    down_s: float


@dataclass(frozen=True, slots=True)
class KillAll:
    """Kills all instances at once and restarts them after a while."""

    down_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """Stops an instance with SIGTERM and restarts it."""

    instance: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Suspends an instance for a while."""

    instance: int
    for_s: float


@dataclass(frozen=True, slots=True)
class Reload:
    """Makes an instance reload its settings."""

    instance: int


@dataclass(frozen=True, slots=True)
class StoreConnectionFault:
    """Injects a fault into the connections of an instance to the store."""

    instance: int
    fault_kind: ConnectionFault
    for_s: float


@dataclass(frozen=True, slots=True)
class RoleFault:
    """Injects a fault into the store connections of all instances with a role.

    The configuration changes soon after it begins. Who has the role is found then.
    """

    role: Role
    fault_kind: ConnectionFault
    for_s: float
    change_after_s: float
    numbers: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RoleKill:
    """Kills the holder of the placement lease, and its heir once it has taken it."""

    down_s: float


@dataclass(frozen=True, slots=True)
class StoreMode:
    """Makes the store unavailable or unresponsive, or makes it lose answers."""

    mode: str
    for_s: float


@dataclass(frozen=True, slots=True)
class ForgetHistory:
    """Makes the store drop its history of changes."""


@dataclass(frozen=True, slots=True)
class RestoreStore:
    """Takes the store away and restores it from an older copy.

    What the operator and the servers wrote since then is written again; what the
    instances wrote is lost.
    """

    copy_age_s: float
    down_s: float
    write_again_after_s: float


@dataclass(frozen=True, slots=True)
class ServerConnectionFault:
    """Injects a fault into the connections to a backend server."""

    server: int
    fault_kind: ConnectionFault
    for_s: float


@dataclass(frozen=True, slots=True)
class Replace:
    """Replaces a backend server, with or without announcing its removal."""

    server: int
    announced: bool


@dataclass(frozen=True, slots=True)
class Configure:
    """Writes a new configuration, as the operator does."""


Fault = (
    Kill
    | KillAll
    | Stop
    | Pause
    | Reload
    | RoleFault
    | RoleKill
    | StoreConnectionFault
    | StoreMode
    | ForgetHistory
    | RestoreStore
    | ServerConnectionFault
    | Replace
    | Configure
)


def draw_faults(
    seed: int, *, restores: bool = False, roles: bool = False
) -> list[tuple[float, Fault]]:
    """Return the faults of a seed with their start times, in order.

    Args:
        seed: The seed.
        restores: Whether the store is also restored from copies, once or more.
        roles: Whether faults also hit all instances with a role, twice or more.
    """
    rng = random.Random(seed)
    faults = [(rng.uniform(0.0, FAULTS_S), _draw_fault(rng)) for _ in range(9)]
    if restores:
        rng = random.Random(f"restores of {seed}")
        faults += [
            (rng.uniform(0.0, FAULTS_S), _draw_restore(rng))
            for _ in range(rng.randint(1, 3))
        ]
    if roles:
        rng = random.Random(f"roles of {seed}")
        faults += [
            (rng.uniform(0.0, FAULTS_S), _draw_role_fault(rng))
            for _ in range(rng.randint(1, 2))
        ]
        # Those that no other fault has hit for a while owe a current view.
        faults.append((QUIET_S + rng.uniform(0.0, 1.0), _draw_role_cut(rng)))
    return sorted(faults, key=lambda fault: fault[0])


def _draw_restore(rng: random.Random) -> RestoreStore:
    return RestoreStore(
        copy_age_s=rng.uniform(0.5, MAX_COPY_AGE_S),
        down_s=rng.choice([0.0, rng.uniform(0.1, 2.0)]),
        write_again_after_s=rng.uniform(0.0, 1.5),
    )


def _draw_role_fault(rng: random.Random) -> Fault:
    if rng.random() < 0.25:
        return RoleKill(down_s=rng.uniform(0.2, 2.0))
    return _draw_role_cut(rng)


def _draw_role_cut(rng: random.Random) -> RoleFault:
    kinds = [kind for kind in ConnectionFault if kind is not ConnectionFault.NONE]
    return RoleFault(
        role=rng.choice(list(Role)),
        fault_kind=rng.choice(kinds),
        for_s=rng.uniform(4.0, 6.0),
        change_after_s=rng.uniform(0.0, 0.6),
    )


def _draw_fault(rng: random.Random) -> Fault:
    instance = rng.randrange(INSTANCES)
    server = rng.randrange(MODEL_SERVERS + PLAIN_SERVERS)
    fault_kind = rng.choice(
        [
            fault_kind
            for fault_kind in ConnectionFault
            if fault_kind is not ConnectionFault.NONE
        ]
    )
    for_s = rng.uniform(0.2, 4.0)
    kinds: list[Fault] = [
        Kill(instance, for_s / 2),
        KillAll(for_s / 4),
        Stop(instance),
        Pause(instance, for_s),
        Reload(instance),
        StoreConnectionFault(instance, fault_kind, for_s),
        StoreMode(rng.choice(["down", "silent", "lose"]), for_s),
        ForgetHistory(),
        ServerConnectionFault(server, fault_kind, for_s),
        Replace(server, rng.random() < 0.5),
        Configure(),
    ]
    return rng.choice(kinds)
