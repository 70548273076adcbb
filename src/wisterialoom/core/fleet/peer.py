"""Messages between entry instances.

Each class says whether it needs a reliable (TCP) link; the others go by UDP
and may be lost, late, doubled and out of order. `ConnectionLost` of a reliable
link is not reported: senders time out.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import ClassVar

from wisterialoom.core.message import Command, Event

__all__ = [
    "ClaimAnswer",
    "ClaimRequest",
    "ClaimStateWire",
    "ConfigPull",
    "ConfigPush",
    "ConfirmLetGo",
    "DemandReport",
    "Heartbeat",
    "HeartbeatAck",
    "IndirectPing",
    "LeavingServer",
    "LetGo",
    "LoadChange",
    "ListedServer",
    "ListingPull",
    "ListingPush",
    "LoadPull",
    "MemberStatus",
    "MemberUpdate",
    "NonceAnswer",
    "NonceQuery",
    "PeerMessage",
    "PeerReceived",
    "PlanEntry",
    "PlanMessage",
    "SendPeer",
    "STALE_AGE_MS",
    "ServerLoad",
    "StateSync",
]

STALE_AGE_MS = 1_000_000_000
"""Age of a configuration, in ms, that vouches for nothing."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base class of the messages."""

    reliable: ClassVar[bool] = False


class MemberStatus(enum.IntEnum):
    """What is believed of a member; later values win at equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """News of one member, piggybacked on heartbeats.

    Attributes:
        name: Identifier of the entry instance.
        address: `IP:port` of its peer link (UDP and TCP alike).
        availability_zone: Name of the availability zone.
        incarnation: Raised by the member itself to refute a suspicion.
        status: What is believed.
    """

    name: str
    address: str
    availability_zone: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load and residency of one backend server, as its steward last read it.

    Attributes:
        server: Identifier of the backend server.
        serial: Raised by the steward with each report; latest wins.
        running: Requests in the batch.
        waiting: Requests in the engine's queue.
        resident: `name@version` of models and adapters that may be used.
        draining: `name@version` of models about to be unloaded.
        leaving: No new work may go there.
        incarnation: Of the backend server.
        kv_free: Share of KV cache that is free, in percent.
        unreachable: It has not told its state to its steward several times.
        steward: Entry instance that read it; empty if unknown.
        epoch: Count of takeovers of the server; goes before the serial, so that
            a new steward's first report beats every report of the old one.
    """

    server: str
    serial: int
    running: int
    waiting: int
    resident: tuple[str, ...] = ()
    draining: tuple[str, ...] = ()
    leaving: bool = False
    incarnation: str = ""
    kv_free: int = 100
    epoch: int = 0
    steward: str = ""
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class LoadChange:
    """Newer load of a backend server whose residency has not changed.

    Attributes:
        server: Identifier of the backend server.
        epoch: As in `ServerLoad`.
        base: Serial of the whole report that this one goes with; whoever does
            not have that one asks for it with `LoadPull`.
        serial: As in `ServerLoad`.
        running: Requests in the batch.
        waiting: Requests in the engine's queue.
        kv_free: Share of KV cache that is free, in percent.
    """

    server: str
    epoch: int
    base: int
    serial: int
    running: int = 0
    waiting: int = 0
    kv_free: int = 100


@dataclass(frozen=True, slots=True)
class LeavingServer:
    """A backend server that gets no new work in this incarnation."""

    server: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Probe of a member, with news piggybacked.

    Attributes:
        serial: Echoed by the acknowledgement.
        generation: Highest configuration that the sender knows
            (`ConfigFreshness.known`).
        config_age_ms: Time since the sender last knew it to be the newest
            (`ConfigFreshness.age_s`); `STALE_AGE_MS` or more if it isn't fresh.
        members: News of members.
        loads: News of backend servers.
        changes: News of the load alone of backend servers.
        digest: Of the sender's member table; differing ones start a `StateSync`.
        leaving: Backend servers that were seen leaving.
    """

    serial: int
    generation: int
    config_age_ms: int = 0
    members: tuple[MemberUpdate, ...] = ()
    loads: tuple[ServerLoad, ...] = ()
    changes: tuple[LoadChange, ...] = ()
    digest: int = 0
    leaving: tuple[LeavingServer, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAck(PeerMessage):
    """Answer to a heartbeat, with news of its own."""

    serial: int
    generation: int
    config_age_ms: int = 0
    members: tuple[MemberUpdate, ...] = ()
    loads: tuple[ServerLoad, ...] = ()
    changes: tuple[LoadChange, ...] = ()
    digest: int = 0
    leaving: tuple[LeavingServer, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectPing(PeerMessage):
    """Ask a member to probe another that does not answer the sender."""

    serial: int
    target: str


@dataclass(frozen=True, slots=True)
class StateSync(PeerMessage):
    """Exchange of member tables, for joiners and after a partition.

    One asks with its own entry, the other answers with its whole table, and the
    first returns what it knows better.

    Attributes:
        members: Entries of the sender's table.
        loads: Latest whole report of each backend server, if asked for.
        wants_reply: The receiver should answer with its whole table.
        wants_loads: The reply should carry the loads.
        whole: The members are the whole table.
    """

    reliable: ClassVar[bool] = True
    members: tuple[MemberUpdate, ...] = ()
    loads: tuple[ServerLoad, ...] = ()
    wants_reply: bool = False
    wants_loads: bool = False
    whole: bool = False


@dataclass(frozen=True, slots=True)
class LoadPull(PeerMessage):
    """Ask for the latest whole reports of some backend servers."""

    reliable: ClassVar[bool] = True
    servers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListingPull(PeerMessage):
    """Ask a peer for the backend servers, while the platform does not list them."""

    reliable: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A backend server as a peer knows it from the platform's list.

    Attributes:
        name: Identifier of the backend server.
        incarnation: As listed.
        address: `IP:port`.
        availability_zone: Name of the availability zone.
        labels: The platform's labels.
        leaving: No new work may go there.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    labels: dict[str, str] = field(default_factory=dict)
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ListingPush(PeerMessage):
    """Answer to a `ListingPull`."""

    reliable: ClassVar[bool] = True
    servers: tuple[ListedServer, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigPull(PeerMessage):
    """Ask a peer for a configuration above the generation known.

    Attributes:
        generation: Highest that the sender knows.
        serial: Echoed by the answer, which then was given after the question.
    """

    reliable: ClassVar[bool] = True
    generation: int
    serial: int = 0


@dataclass(frozen=True, slots=True)
class ConfigPush(PeerMessage):
    """Answer to a `ConfigPull`.

    Attributes:
        generation: Highest that the sender knows.
        body: Its document, compressed by zlib; empty if the asker knows this
            generation.
        serial: Of the pull.
        config_age_ms: As in `Heartbeat`.
    """

    reliable: ClassVar[bool] = True
    generation: int
    body: bytes
    serial: int = 0
    config_age_ms: int = 0


@dataclass(frozen=True, slots=True)
class ClaimRequest(PeerMessage):
    """Ask the home of a claim bucket to commit a claim or its settlement.

    Attributes:
        bucket: Number of the bucket.
        key: Hex hash of caller and idempotency key.
        nonce: Identity of this attempt to claim.
        digest: Hex hash of the request's content.
        owner: Entry instance that asks.
        settled: Empty to claim; else the serialized settlement.
        replaces: Nonce of a claim that its owner has given up, and that may be
            replaced; empty for none.
    """

    reliable: ClassVar[bool] = True
    bucket: int
    key: str
    nonce: str
    digest: str
    owner: str
    settled: bytes = b""
    replaces: str = ""


class ClaimStateWire(enum.IntEnum):
    """Answer of a bucket's home."""

    GRANTED = 0
    HELD = 1
    UNAVAILABLE = 2
    FULL = 3


@dataclass(frozen=True, slots=True)
class ClaimAnswer(PeerMessage):
    """What became of a claim request.

    Attributes:
        key: As in the request.
        nonce: As in the request.
        state: What became of it.
        entry: The serialized entry that stands under the key.
        maybe_written: If unavailable: the claim may be in the object all the
            same, now or later.
    """

    reliable: ClassVar[bool] = True
    key: str
    nonce: str
    state: ClaimStateWire
    entry: bytes = b""
    maybe_written: bool = False


@dataclass(frozen=True, slots=True)
class NonceQuery(PeerMessage):
    """Ask a claim's owner what became of it."""

    reliable: ClassVar[bool] = True
    key: str
    nonce: str


@dataclass(frozen=True, slots=True)
class NonceAnswer(PeerMessage):
    """A claim owner's word.

    Attributes:
        abandoned: The owner gave the claim up and never will dispatch under it.
        gone: The nonce is of an earlier process of this name, which can't be
            asked any more.
    """

    reliable: ClassVar[bool] = True
    key: str
    nonce: str
    abandoned: bool
    gone: bool = False


@dataclass(frozen=True, slots=True)
class LetGo(PeerMessage):
    """Ask a former lease holder to confirm that it sends no more orders."""

    reliable: ClassVar[bool] = True
    server: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ConfirmLetGo(PeerMessage):
    """A former holder sends no more orders of epochs up to this one."""

    reliable: ClassVar[bool] = True
    server: str
    epoch: int


@dataclass(frozen=True, slots=True)
class DemandReport(PeerMessage):
    """Demand seen by one entry instance, sent to the planner.

    Attributes:
        rates: Requests a second of each model or adapter, smoothed.
        waiting: Requests that wait for each model or adapter.
    """

    reliable: ClassVar[bool] = True
    rates: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlanEntry:
    """What one backend server should hold."""

    server: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlanMessage(PeerMessage):
    """The planner's wish for some backend servers, sent to their stewards.

    Attributes:
        generation: Of the configuration that the plan follows.
        serial: Raised with each plan of this planner.
    """

    reliable: ClassVar[bool] = True
    generation: int
    serial: int
    entries: tuple[PlanEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class SendPeer(Command):
    """Send a message to an entry instance; delivery is not reported."""

    to: str
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerReceived(Event):
    """A message came from an entry instance."""

    sender: str
    message: PeerMessage
