"""Notices exchanged between the parts of the core."""

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
    "ClaimRequested",
    "ClaimSettled",
    "ConfigChanged",
    "ConfigFreshness",
    "ConfigRefused",
    "DemandMeasured",
    "DrainRequested",
    "Drained",
    "HeldClaimState",
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
    """A configuration of a higher generation is now in force at this instance."""

    generation: int
    document: Document


@dataclass(frozen=True, slots=True)
class ConfigFreshness(Notice):
    """Whether the configuration in force at this instance is known to be current.

    Attributes:
        generation: Generation in force at this instance; 0 if there is none.
        fresh: False while the instance can reach neither the object API nor any peer,
            or has just resumed from a pause.
        age_s: Seconds since the configuration was last confirmed to be the newest; at
            least `STALE_AGE_MS`, in seconds, while not fresh. Sent in heartbeats.
        latest_generation: Highest generation seen. It is above `generation` if this
            version of the program cannot read that document. Sent in heartbeats.
    """

    generation: int
    fresh: bool
    age_s: float
    latest_generation: int = 0


@dataclass(frozen=True, slots=True)
class ConfigRefused(Notice):
    """A configuration document was refused; the previous one stays in force.

    Attributes:
        generation: Generation of the refused document.
        problem: Faults of the document, one per line.
    """

    generation: int
    problem: str


@dataclass(frozen=True, slots=True)
class Member:
    """An entry instance and its status in the membership."""

    name: str
    address: str
    availability_zone: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class MembersChanged(Notice):
    """The members that share roles and assignments changed.

    Attributes:
        members: Alive and suspected members including this instance, sorted by name.
            Members that are leaving or failed are not included.
        gone: Names of members that left or are considered failed.
    """

    members: tuple[Member, ...]
    gone: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server, combined from the platform's listing, groups and labels.

    Attributes:
        name: Identifier of the backend server.
        incarnation: Incarnation as listed by the platform.
        address: `IP:port`.
        availability_zone: Name of the availability zone.
        labels: The platform's labels, the operators' labels, and `name`.
        group: Name of the server's group in the document.
        kind: `engine` or `service`.
        leaving: Whether the server is shutting down and gets no new requests; stays
            set until a newer incarnation appears.
        drained: Whether operators took the server out of service with the label
            `drain`.
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
    """The set of backend servers changed; lists all of them, sorted by name."""

    servers: tuple[BackendServer, ...]


@dataclass(frozen=True, slots=True)
class ServerLeavingSeen(Notice):
    """A backend server, or a peer on its behalf, announced that it is leaving."""

    server: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class LoadReported(Notice):
    """A newer load report of a backend server arrived.

    Attributes:
        load: The load report.
        own: Whether this instance is the server's controller and read the load itself.
    """

    load: ServerLoad
    own: bool


@dataclass(frozen=True, slots=True)
class DemandMeasured(Notice):
    """Demand at this instance, as input of the planner.

    Attributes:
        rates: Smoothed requests per second, by model or adapter.
        waiting: Number of waiting requests, by model or adapter.
    """

    rates: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlanComputed(Notice):
    """The models that should be resident on a server that this instance controls.

    Attributes:
        server: Identifier of the backend server.
        models: `name@version` of models, highest priority first.
        adapters: `name@version` of adapters, highest priority first.
    """

    server: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimRequested(Notice):
    """A non-idempotent request needs the exclusive right to run under its key."""

    request_id: str
    caller: str
    idempotency_key: str
    digest: str


@dataclass(frozen=True, slots=True)
class ClaimGranted(Notice):
    """The request has the exclusive right to be dispatched once under its key.

    Attributes:
        request_id: Id of the request.
        valid_until: Monotonic time after which no byte of the request may be sent,
            because the retention of the key may have expired.
    """

    request_id: str
    valid_until: float = math.inf


class HeldClaimState(enum.Enum):
    """State of a claim that an earlier request holds."""

    IN_PROGRESS = "in_progress"
    DONE = "done"
    UNKNOWN = "unknown"
    OTHER_CONTENT = "other_content"


@dataclass(frozen=True, slots=True)
class ClaimHeld(Notice):
    """An earlier request holds the key, so this request must not be dispatched.

    Attributes:
        request_id: Id of the later request.
        held_state: State of the earlier request's claim.
        answer: Answer of the earlier request if it is done; `None` if the answer
            is not available.
        answer_stored: Whether the answer was stored; false if it was too large. If true
            while `answer` is `None`, the answer may become available later.
    """

    request_id: str
    held_state: HeldClaimState
    answer: StoredAnswer | None = None
    answer_stored: bool = True


@dataclass(frozen=True, slots=True)
class ClaimFailed(Notice):
    """No claim could be made; the request has not run and must not be dispatched."""

    request_id: str
    reason: Reason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class ClaimSettled(Notice):
    """A request that held a claim has ended.

    Attributes:
        request_id: Id of the request.
        answer: The complete answer; `None` if the outcome is unknown.
    """

    request_id: str
    answer: StoredAnswer | None


@dataclass(frozen=True, slots=True)
class ClaimAbandoned(Notice):
    """A request was given up before any dispatch and will never be dispatched."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DrainRequested(Event):
    """A stop of the instance was requested."""


@dataclass(frozen=True, slots=True)
class PartDrained(Notice):
    """A part has no more work that keeps the instance from stopping."""

    part: str


@dataclass(frozen=True, slots=True)
class Drained(Command):
    """Nothing is in progress and every lease is released: exit now."""
