"""Datagrams between instances: demand, placement, and updates from the store.

All of them are hints: a lost, late or duplicated datagram costs time but never
correctness.
"""

from __future__ import annotations

import base64
import zlib
from dataclasses import dataclass
from typing import Any, TYPE_CHECKING

import orjson

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.placement.fleet_demand import DemandReport
from wisterialoom.platform.fields import decompress
from wisterialoom.platform.store_json import encode_value

if TYPE_CHECKING:
    from wisterialoom.core.crash_watch import CrashMessage
    from wisterialoom.core.fleet import Revision, TableEntry
    from wisterialoom.core.placement.placement_table import ServerPlacement
    from wisterialoom.core.serving.stream_origin import StreamOrigin
    from wisterialoom.core.teams.allowance_message import (
        AllowanceReply,
        AllowanceRequest,
    )

__all__ = [
    "AllowanceGranted",
    "AllowanceWanted",
    "BrittleRejection",
    "ConfigCopy",
    "CrashHint",
    "CopyWanted",
    "Hint",
    "HintError",
    "KeyHint",
    "KeysAnswer",
    "KeysQuestion",
    "LostPaths",
    "News",
    "OriginAnswer",
    "OriginWanted",
    "PlacementChange",
    "PlacementHint",
    "PlacementWanted",
    "QuotaHint",
    "Released",
    "RelistWindow",
    "ServerHint",
    "ServerLimit",
    "ServerLimits",
    "ServerVersions",
    "ServersCopy",
    "StoreReached",
    "StreamHint",
    "StreamsBegun",
    "TurnsGranted",
    "TurnsWanted",
    "UnknownHintError",
    "VersionHint",
    "VersionsWanted",
]

COMPRESSION_LEVEL = 2
"""Compression level of zlib; names repeat, so a higher level gains little."""


MAX_CONFIG_BYTES = 16_000_000
"""Largest configuration; one of 200 models and all routes has some 100 KB."""


class HintError(WisterialoomError):
    """Raised when a datagram is damaged or not from an instance."""


class UnknownHintError(HintError):
    """Raised when a datagram is of a kind that only later versions know."""


@dataclass(frozen=True, slots=True)
class Released:
    """Announces that the holder of the placement lease has released it."""

    holder: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PlacementHint:
    """Announces the state of the fleet as the holder of the placement lease has it.

    Attributes:
        holder: Name of the holder.
        address: IP address of the holder.
        epoch: Fencing number of the holder.
        serial: Increases with each hint of an epoch.
        renewal: Serial of the last renewal of the lease.
        members: Address of each changed instance by name; empty if it has left.
        members_complete: Whether `members` contains all instances.
        servers: Placement of each changed model server by id; `None` if it has left.
        busy: Requests of all instances in progress at each model server, in the order
            of the ids.
        ready_in_s: Time until models and adapters that are being loaded can serve.
        digest: Checksum over the instances and the placements of all model servers.
    """

    holder: str
    address: str
    epoch: int
    serial: int
    renewal: int
    members: dict[str, str]
    members_complete: bool
    servers: dict[str, ServerPlacement | None]
    busy: tuple[int, ...]
    ready_in_s: dict[str, float]
    digest: int


@dataclass(frozen=True, slots=True)
class PlacementChange:
    """Announces changed model servers at once to the instances that need them.

    Everybody gets the changes with the next `PlacementHint`.

    Attributes:
        holder: Name of the holder of the placement lease.
        epoch: Fencing number of the holder.
        serial: Increases with each message of an epoch.
        servers: Placement of each changed model server by id; `None` if it has left.
    """

    holder: str
    epoch: int
    serial: int
    servers: dict[str, ServerPlacement | None]


@dataclass(frozen=True, slots=True)
class PlacementWanted:
    """Requests the complete placement state from the lease holder."""

    instance: str


@dataclass(frozen=True, slots=True)
class News:
    """Announces the state of the store as an instance that follows it has it.

    Attributes:
        watcher: Name of the instance.
        rank: Rank of the instance for the watcher role.
        config_age_s: Time since the configuration was last known to be current.
        age_s: Time since the servers were last known to be current.
        config_version: Version of the configuration.
        config_revision: Store revision up to which the configuration is current.
        revision: Store revision up to which the servers are current.
        digest: Checksum over the servers.
        changes: Servers that have changed recently.
    """

    watcher: str
    rank: int
    config_age_s: float
    age_s: float
    config_version: int
    config_revision: Revision
    revision: Revision
    digest: int
    changes: dict[str, TableEntry]


@dataclass(frozen=True, slots=True)
class CopyWanted:
    """Requests a newer configuration, or the servers if they differ.

    Attributes:
        instance: Name of the requesting instance.
        config_version: Version of its configuration.
        digest: Checksum over its servers.
    """

    instance: str
    config_version: int
    digest: int


@dataclass(frozen=True, slots=True)
class RelistWindow:
    """Announces that entries may have expired in an outage of the store.

    Attributes:
        instance: Name of the sender.
        remaining_s: Time in seconds for which servers that are not listed stay in use.
    """

    instance: str
    remaining_s: float


@dataclass(frozen=True, slots=True)
class ConfigCopy:
    """The complete configuration as stored, compressed.

    Attributes:
        packed: Base85 text of the compressed JSON document.
    """

    packed: str

    @classmethod
    def from_spec(cls, spec: Any) -> ConfigCopy:
        """Compress a configuration."""
        data = zlib.compress(encode_value(spec), COMPRESSION_LEVEL)
        return cls(base64.b85encode(data).decode())

    def unpack(self) -> Any:
        """Decompress the configuration.

        Raises:
            HintError: The copy was damaged in transit.
        """
        try:
            return orjson.loads(
                decompress(base64.b85decode(self.packed), MAX_CONFIG_BYTES)
            )
        except (ValueError, zlib.error) as error:
            raise HintError(
                f"cannot decompress a configuration copy: {error!r}"
            ) from error


@dataclass(frozen=True, slots=True)
class ServersCopy:
    """One part of the complete server table, with the resident models.

    Attributes:
        watcher: Name of the sender.
        revision: Store revision of the table.
        part: Index of this part.
        parts: Total number of parts.
        entries: Entries in this part by server id.
    """

    watcher: str
    revision: Revision
    part: int
    parts: int
    entries: dict[str, TableEntry]


@dataclass(frozen=True, slots=True)
class StoreReached:
    """Warns of a watcher that reads a past state of the store.

    Attributes:
        instance: Name of the sender.
        revision: Revision that the store has reached, as answered to the sender.
    """

    instance: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """What a server said about the request rate that it accepts.

    Attributes:
        started_ms: Start time of the server.
        limit_per_s: Requests a second; `None` if it names no limit any more.
        age_s: Time since the moment up to which this was known.
    """

    started_ms: int
    limit_per_s: float | None
    age_s: float


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Tells other instances of servers that limit requests, or no longer do.

    Attributes:
        instance: Name of the sender.
        limits: What each server said, by id.
    """

    instance: str
    limits: dict[str, ServerLimit]


@dataclass(frozen=True, slots=True)
class ServerVersions:
    """Tells the versions of servers' software, which the entries of hints lack.

    Attributes:
        instance: Name of the sender.
        versions: Version by id and start time of the server.
    """

    instance: str
    versions: dict[tuple[str, int], str]


@dataclass(frozen=True, slots=True)
class VersionsWanted:
    """Requests the versions of the software of all servers."""

    instance: str


@dataclass(frozen=True, slots=True)
class BrittleRejection:
    """Tells of a server that turned a request away and may fall over.

    Attributes:
        instance: Name of the sender.
        server: Id of the server.
        rejections: Rejections a second that the servers of its service stand.
    """

    instance: str
    server: str
    rejections: float


@dataclass(frozen=True, slots=True)
class LostPaths:
    """Tells which services an instance does not reach, so that it cannot help others.

    Attributes:
        instance: Name of the sender.
        services: Services of which it reaches no server.
    """

    instance: str
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TurnsWanted:
    """Asks for turns to send a request to servers that limit them.

    Attributes:
        instance: Name of the sender.
        servers: Start time of each server by id.
    """

    instance: str
    servers: dict[str, int]


@dataclass(frozen=True, slots=True)
class TurnsGranted:
    """Gives one turn for each server away; the sender does not use them any more.

    Attributes:
        instance: Name of the sender.
        servers: Start time of each server by id.
    """

    instance: str
    servers: dict[str, int]


@dataclass(frozen=True, slots=True)
class CrashHint:
    """Reports what an instance knows of crashes and of the requests that cause them.

    Attributes:
        instance: Name of the sender.
        message: What it knows. Times count from the sending, so they are negative.
    """

    instance: str
    message: CrashMessage


@dataclass(frozen=True, slots=True)
class StreamsBegun:
    """Tells which software version began some streams.

    Attributes:
        instance: Name of the sender.
        origins: Where each stream began, by its id.
    """

    instance: str
    origins: dict[str, StreamOrigin]


@dataclass(frozen=True, slots=True)
class OriginWanted:
    """Asks which software version began a stream.

    Attributes:
        instance: Name of the sender.
        stream: Id of the stream.
        service: Service at which it is to go on.
    """

    instance: str
    stream: str
    service: str


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """Answers `OriginWanted`.

    Attributes:
        instance: Name of the sender.
        stream: Id of the stream.
        asked_service: Service at which it is to go on.
        service: Service at which it began; empty if the sender does not know.
        version: Software version that began it; empty if the sender does not know.
        possible: Versions that may have begun any stream of the service; `None` if the
            sender does not know all of them.
    """

    instance: str
    stream: str
    asked_service: str
    service: str
    version: str
    possible: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class AllowanceWanted:
    """Asks the holder of the placement lease for allowance of teams' quotas."""

    instance: str
    request: AllowanceRequest


@dataclass(frozen=True, slots=True)
class AllowanceGranted:
    """Answers `AllowanceWanted`; `instance` is the holder."""

    instance: str
    reply: AllowanceReply


QuotaHint = AllowanceWanted | AllowanceGranted
"""Hints about the quotas of teams."""

StreamHint = StreamsBegun | OriginWanted | OriginAnswer
"""Hints about the software versions that began streams."""


@dataclass(frozen=True, slots=True)
class KeysQuestion:
    """Asks whether the configuration, and with it each API key, is current.

    Attributes:
        instance: Name of the sender.
        serial: Number of the question, which the answer repeats.
    """

    instance: str
    serial: int


@dataclass(frozen=True, slots=True)
class KeysAnswer:
    """Answers a `KeysQuestion`.

    Attributes:
        instance: Name of the sender.
        serial: Number of the question.
        config_version: Version of the configuration that the sender has.
        age_s: Time since it was certainly the newest, when the answer was made.
    """

    instance: str
    serial: int
    config_version: int
    age_s: float


KeyHint = KeysQuestion | KeysAnswer
"""Hints about the age of the configuration."""

VersionHint = ServerVersions | VersionsWanted | StreamHint
"""Hints about the versions of servers' software, and of streams."""

ServerHint = (
    BrittleRejection | CrashHint | LostPaths | ServerLimits | TurnsGranted | TurnsWanted
)
"""Hints about what an instance knows of servers, by their answers or their silence."""

Hint = (
    ServerHint
    | DemandReport
    | PlacementChange
    | PlacementHint
    | PlacementWanted
    | QuotaHint
    | Released
    | News
    | CopyWanted
    | ConfigCopy
    | RelistWindow
    | ServersCopy
    | StoreReached
    | KeyHint
    | VersionHint
)
