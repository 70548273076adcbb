"""Notices that travel between the parts of the core."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.message import Command, Event, Notice

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.fleet.peer import MemberStatus, ServerLoad
    from wisterialoom.core.requests.request import Reason, StoredAnswer

__all__ = [
    "BackendServer",
    "ClaimAbandoned",
    "ClaimFailed",
    "ClaimGranted",
    "ClaimHeld",
    "HeldClaimState",
    "ClaimSettled",
    "ClaimRequested",
    "ConfigChanged",
    "ConfigFreshness",
    "ConfigRefused",
    "DemandMeasured",
    "DrainRequested",
    "Drained",
    "LoadReported",
    "Member",
    "MembersChanged",
    "PartDrained",
    "PlanComputed",
    "ServerLeavingSeen",
    "ServersChanged",
]


@dataclass(frozen=True, slots=True)
class ConfigChanged(Notice):
    """A configuration of a higher generation is in force here."""

    generation: int
    document: Document


@dataclass(frozen=True, slots=True)
class ConfigFreshness(Notice):
    """Whether the configuration here may be trusted to be the newest.

    Attributes:
        generation: In force here; 0 if none is.
        fresh: False while the instance is cut off from the object API and
            from every peer, or has just woken from a pause.
        age_s: Time since it was last known to be the newest; `STALE_AGE_MS`
            and more, in seconds, while not fresh. Heartbeats carry it.
        known: Highest generation known, which is above `generation` if this
            version of the program can't read that document. Heartbeats carry it.
    """

    generation: int
    fresh: bool
    age_s: float
    known: int = 0


@dataclass(frozen=True, slots=True)
class ConfigRefused(Notice):
    """A document in the object API can't be read here; the last one stays.

    Attributes:
        generation: Of the document that was refused.
        problem: Its faults, one a line.
    """

    generation: int
    problem: str


@dataclass(frozen=True, slots=True)
class Member:
    """An entry instance as the membership sees it."""

    name: str
    address: str
    availability_zone: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class MembersChanged(Notice):
    """The members that duties are shared out over, this instance included.

    Attributes:
        members: Alive and suspected members, sorted by name. Members that are
            leaving or dead are left out.
        gone: Names of members that left or are taken for dead.
    """

    members: tuple[Member, ...]
    gone: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server after listing, groups and labels are put together.

    Attributes:
        name: Identifier of the backend server.
        incarnation: As listed by the platform.
        address: `IP:port`.
        availability_zone: Name of the availability zone.
        labels: The platform's labels, the operators' labels, and `name`.
        group: Name of its server group in the document.
        kind: `engine` or `service`.
        leaving: No new work; sticky until a newer incarnation.
        drained: Operators took it out of service by the label `drain`.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    labels: dict[str, str]
    group: str
    kind: str
    leaving: bool = False
    drained: bool = False


@dataclass(frozen=True, slots=True)
class ServersChanged(Notice):
    """Every backend server that is known, sorted by name."""

    servers: tuple[BackendServer, ...]


@dataclass(frozen=True, slots=True)
class ServerLeavingSeen(Notice):
    """A backend server itself, or a peer, said that it is leaving."""

    server: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LoadReported(Notice):
    """Newer load of a backend server.

    Attributes:
        load: The report.
        own: This instance is the server's steward and read it itself.
    """

    load: ServerLoad
    own: bool


@dataclass(frozen=True, slots=True)
class DemandMeasured(Notice):
    """Demand at this instance, for the planner.

    Attributes:
        rates: Requests a second of each model or adapter, smoothed.
        waiting: Requests that wait for each model or adapter.
    """

    rates: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlanComputed(Notice):
    """What a backend server stewarded here should hold.

    Attributes:
        server: Identifier of the backend server.
        models: `name@version` of models, most wanted first.
        adapters: `name@version` of adapters, most wanted first.
    """

    server: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimRequested(Notice):
    """A non-idempotent request needs the sole right to run under its key."""

    request_id: str
    caller: str
    idempotency_key: str
    digest: str


@dataclass(frozen=True, slots=True)
class ClaimGranted(Notice):
    """The request, and no other, may be dispatched once under its key.

    Attributes:
        request_id: The request.
        valid_until: Monotonic time after which no byte of it may be sent, as the
            key may have been forgotten.
    """

    request_id: str
    valid_until: float = math.inf


class HeldClaimState(enum.Enum):
    """State of the claim that an earlier request holds."""

    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    OTHER_CONTENT = "other_content"


@dataclass(frozen=True, slots=True)
class ClaimHeld(Notice):
    """An earlier request holds the key; this one must not be dispatched.

    Attributes:
        request_id: The later request.
        held_state: State of the earlier one.
        answer: The earlier one's answer if it is done; `None` if that can't be
            given.
        answer_stored: False if the answer was too large to keep; if true while
            `answer` is `None`, it may be had later.
    """

    request_id: str
    held_state: HeldClaimState
    answer: StoredAnswer | None = None
    answer_stored: bool = True


@dataclass(frozen=True, slots=True)
class ClaimFailed(Notice):
    """No claim could be made; the request was not run and must not be."""

    request_id: str
    reason: Reason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ClaimSettled(Notice):
    """A request that held a claim has ended.

    Attributes:
        request_id: The request.
        answer: The whole answer; `None` if the outcome is unknown.
    """

    request_id: str
    answer: StoredAnswer | None


@dataclass(frozen=True, slots=True)
class ClaimAbandoned(Notice):
    """A request was given up before any dispatch, and never will be."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DrainRequested(Event):
    """The instance was asked to stop."""


@dataclass(frozen=True, slots=True)
class PartDrained(Notice):
    """A part has nothing left that keeps the instance from stopping."""

    part: str


@dataclass(frozen=True, slots=True)
class Drained(Command):
    """Nothing is in progress and every lease is given up: exit now."""
