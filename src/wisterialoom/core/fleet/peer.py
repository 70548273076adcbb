"""Messages between entry instances.

Messages whose class sets `reliable` are sent over TCP. All others are sent over UDP
and may be lost, delayed, duplicated or reordered. The loss of a TCP connection is not
reported either; senders rely on timeouts.

The classes mirror the structs of `idl/peer.thrift`, whose names they keep.
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
"""Age in ms from which on a configuration counts as not fresh."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base class of the messages.

    Attributes:
        reliable: Whether the message is sent over TCP instead of UDP.
    """

    reliable: ClassVar[bool] = False


class MemberStatus(enum.IntEnum):
    """Status of a member.

    Of two updates with the same incarnation, the one with the higher status applies.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Status of one member, piggybacked on heartbeats.

    Attributes:
        name: Identifier of the entry instance.
        address: `IP:port` of its peer link, the same for UDP and TCP.
        availability_zone: Name of the availability zone.
        incarnation: Number that the member itself raises to refute a suspicion.
        status: Status of the member.
    """

    name: str
    address: str
    availability_zone: str
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Full report of one backend server, as its engine controller last read it.

    Attributes:
        server: Identifier of the backend server.
        serial: Number that the controller raises with each report; the highest one
            of an epoch applies.
        running: Number of requests in the batch.
        waiting: Number of requests in the engine's queue.
        resident: `name@version` of the models and adapters that can be used.
        draining: `name@version` of the models that are about to be unloaded.
        leaving: Whether the server accepts no new requests.
        incarnation: Incarnation of the backend server.
        kv_free: Free share of the KV cache, in percent.
        epoch: Number of times that control of the server was taken over. A report
            with a higher epoch replaces every report with a lower one, whatever the
            serials, so the first report of a new controller applies.
        steward: Entry instance whose controller read the state; empty if unknown.
        unreachable: Whether several attempts to read the server's state have failed.
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
    """Newer load of a backend server, with all else as in the last full report.

    Attributes:
        server: Identifier of the backend server.
        epoch: As in `ServerLoad`.
        base: Serial of the full report that this change is based on. A receiver
            that does not have that report requests it with `LoadPull`.
        serial: As in `ServerLoad`.
        running: Number of requests in the batch.
        waiting: Number of requests in the engine's queue.
        kv_free: Free share of the KV cache, in percent.
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
    """A backend server that accepts no new requests in this incarnation.

    Attributes:
        server: Identifier of the backend server.
        incarnation: Incarnation in which it is leaving.
    """

    server: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Probe of a member, with piggybacked updates.

    Attributes:
        serial: Number that the acknowledgement echoes.
        generation: Highest configuration generation that the sender has seen
            (`ConfigFreshness.latest_generation`).
        config_age_ms: Time in ms since that generation was last known to be the
            newest (`ConfigFreshness.age_s`); `STALE_AGE_MS` or more if the sender
            does not know whether it still is.
        members: Updates about members.
        loads: Full reports of backend servers.
        changes: Changes of the load of backend servers.
        digest: Digest of the sender's member table; if it differs from the
            receiver's own for long, the receiver starts a `StateSync`.
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
    """Answer to a heartbeat, with piggybacked updates.

    With serial 0, it answers no heartbeat and only carries urgent updates.

    Attributes:
        serial: Serial of the heartbeat that is answered.
        generation: As in `Heartbeat`.
        config_age_ms: As in `Heartbeat`.
        members: As in `Heartbeat`.
        loads: As in `Heartbeat`.
        changes: As in `Heartbeat`.
        digest: As in `Heartbeat`.
        leaving: As in `Heartbeat`.
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
class IndirectPing(PeerMessage):
    """Request to probe another member, which does not answer the sender.

    Attributes:
        serial: Serial of the sender's own probe, which the answer echoes.
        target: Name of the member to probe.
    """

    serial: int
    target: str


@dataclass(frozen=True, slots=True)
class StateSync(PeerMessage):
    """Exchange of member tables, to join the fleet and after a network partition.

    The first member sends its own entry, the second one replies with its full table,
    and the first one returns those entries of its own table that are newer.

    Attributes:
        members: Entries of the sender's table.
        loads: Latest full reports of backend servers, if they were requested.
        wants_reply: Whether the receiver should reply with its full table.
        wants_loads: Whether the reply should include the full reports of all
            backend servers.
        whole: Whether `members` is the sender's full table.
    """

    reliable: ClassVar[bool] = True
    members: tuple[MemberUpdate, ...] = ()
    loads: tuple[ServerLoad, ...] = ()
    wants_reply: bool = False
    wants_loads: bool = False
    whole: bool = False


@dataclass(frozen=True, slots=True)
class LoadPull(PeerMessage):
    """Request for the latest full reports of some backend servers.

    Attributes:
        servers: Identifiers of the backend servers.
    """

    reliable: ClassVar[bool] = True
    servers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListingPull(PeerMessage):
    """Request for the listed backend servers, sent while the platform lists none."""

    reliable: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A backend server as the sender last read it from the platform's list.

    Attributes:
        name: Identifier of the backend server.
        incarnation: Incarnation of the server.
        address: `IP:port`.
        availability_zone: Name of the availability zone.
        labels: Labels from the platform.
        leaving: Whether the server accepts no new requests.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    labels: dict[str, str] = field(default_factory=dict)
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ListingPush(PeerMessage):
    """Answer to a `ListingPull`.

    Attributes:
        servers: Backend servers that the sender knows from the platform's list.
    """

    reliable: ClassVar[bool] = True
    servers: tuple[ListedServer, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigPull(PeerMessage):
    """Request for a configuration that is newer than the sender's.

    Attributes:
        generation: Highest configuration generation that the sender has.
        serial: Number that the answer echoes, which shows that the answer was sent
            after this request.
    """

    reliable: ClassVar[bool] = True
    generation: int
    serial: int = 0


@dataclass(frozen=True, slots=True)
class ConfigPush(PeerMessage):
    """Answer to a `ConfigPull`.

    Attributes:
        generation: Highest configuration generation that the sender has.
        body: Configuration document of that generation, compressed with zlib; empty
            if the requester already has this generation.
        serial: Serial of the `ConfigPull`.
        config_age_ms: As in `Heartbeat`.
    """

    reliable: ClassVar[bool] = True
    generation: int
    body: bytes
    serial: int = 0
    config_age_ms: int = 0


@dataclass(frozen=True, slots=True)
class ClaimRequest(PeerMessage):
    """Request to the coordinator of a claim bucket to write a claim or its settlement.

    Attributes:
        bucket: Number of the bucket.
        key: Hex hash of the caller and its idempotency key.
        nonce: Identifier of this claim attempt.
        digest: Hex hash of the request's content.
        owner: Name of the entry instance that claims or settles.
        settled: Serialized settlement; empty to claim.
        replaces: Nonce of an abandoned claim that this one may replace; empty for
            none.
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
    """Outcome of a `ClaimRequest`.

    Attributes:
        GRANTED: The entry under the key is as requested.
        HELD: The claim with this nonce does not hold the key.
        UNAVAILABLE: The coordinator could not read or write the bucket.
        FULL: The bucket has no space for another claim.
    """

    GRANTED = 0
    HELD = 1
    UNAVAILABLE = 2
    FULL = 3


@dataclass(frozen=True, slots=True)
class ClaimAnswer(PeerMessage):
    """Answer to a `ClaimRequest`.

    Attributes:
        key: As in the request.
        nonce: As in the request.
        state: Outcome of the request.
        entry: Serialized entry that is stored under the key.
        maybe_written: Whether, if the state is `UNAVAILABLE`, the claim may still
            have been written or may be written later.
    """

    reliable: ClassVar[bool] = True
    key: str
    nonce: str
    state: ClaimStateWire
    entry: bytes = b""
    maybe_written: bool = False


@dataclass(frozen=True, slots=True)
class NonceQuery(PeerMessage):
    """Request to the owner of a claim for the claim's state.

    Attributes:
        key: Key of the claim.
        nonce: Nonce of the claim.
    """

    reliable: ClassVar[bool] = True
    key: str
    nonce: str


@dataclass(frozen=True, slots=True)
class NonceAnswer(PeerMessage):
    """Answer to a `NonceQuery`.

    Attributes:
        key: As in the query.
        nonce: As in the query.
        abandoned: Whether the owner has given up the claim and will never dispatch a
            request under it.
        gone: Whether the nonce belongs to an earlier process of the owner, which can
            no longer be asked.
    """

    reliable: ClassVar[bool] = True
    key: str
    nonce: str
    abandoned: bool
    gone: bool = False


@dataclass(frozen=True, slots=True)
class LetGo(PeerMessage):
    """Request to a former lease holder to confirm that it sends no more orders.

    Attributes:
        server: Identifier of the backend server that the lease is for.
        epoch: Highest epoch of which the receiver must send no more orders.
    """

    reliable: ClassVar[bool] = True
    server: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ConfirmLetGo(PeerMessage):
    """Confirmation that a former lease holder sends no more orders.

    Attributes:
        server: Identifier of the backend server that the lease is for.
        epoch: Highest epoch of which no more orders are sent.
    """

    reliable: ClassVar[bool] = True
    server: str
    epoch: int


@dataclass(frozen=True, slots=True)
class DemandReport(PeerMessage):
    """Demand measured by one entry instance, sent to the planner.

    Attributes:
        rates: Smoothed requests per second by model or adapter.
        waiting: Number of waiting requests by model or adapter.
    """

    reliable: ClassVar[bool] = True
    rates: dict[str, float] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlanEntry:
    """Models and adapters that one backend server should hold.

    Attributes:
        server: Identifier of the backend server.
        models: Models to hold.
        adapters: Adapters to hold.
    """

    server: str
    models: tuple[str, ...]
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlanMessage(PeerMessage):
    """Plan for some backend servers, sent by the planner to their engine controllers.

    Attributes:
        generation: Generation of the configuration that the plan is based on.
        serial: Number that the planner raises with each plan.
        entries: Desired state of each backend server.
    """

    reliable: ClassVar[bool] = True
    generation: int
    serial: int
    entries: tuple[PlanEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class SendPeer(Command):
    """Send a message to an entry instance; delivery is not reported.

    Attributes:
        to: Name of the receiver; empty if unknown.
        address: `IP:port` of the receiver.
        message: Message to send.
    """

    to: str
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class PeerReceived(Event):
    """A message arrived from an entry instance.

    Attributes:
        sender: Name of the sender.
        message: The message.
    """

    sender: str
    message: PeerMessage
