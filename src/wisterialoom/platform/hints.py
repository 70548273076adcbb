"""Datagrams between instances: demand, placement, and what the store has told.

All are hints: a lost, late or repeated one costs time, never correctness.
"""

from __future__ import annotations

import base64
import zlib
from dataclasses import dataclass
from typing import Any

import orjson

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.fleet import TableEntry
from wisterialoom.core.placement.fleet_demand import DemandReport
from wisterialoom.core.placement.placement_table import ServerPlacement
from wisterialoom.core.serving.backend import BackendServer, UNKNOWN_COUNT

__all__ = [
    "ConfigCopy",
    "CopyWanted",
    "Hello",
    "Hint",
    "HintError",
    "News",
    "PlacementHint",
    "PlacementWanted",
    "Released",
    "ServersCopy",
    "decode_hint",
    "encode_hint",
]

PACK_LEVEL = 2
"""Effort of packing; names repeat, so that more effort gains little."""

PACK_ABOVE = 400
"""Size in bytes above which a datagram is packed; to a third, in some 50 us."""


class HintError(WisterialoomError):
    """Raised when a datagram is not one of an instance of this version."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Tells that an instance is there."""

    instance: str
    address: str


@dataclass(frozen=True, slots=True)
class Released:
    """Tells that the holder of the placement lease has let it go."""

    holder: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PlacementHint:
    """What the holder of the placement lease knows.

    Attributes:
        holder: The holder.
        address: Its `IP`.
        epoch: Its fencing number.
        serial: Increases with each hint of an epoch.
        renewal: Serial of the last renewal of the lease.
        members: Address by instance of those that have changed; empty if gone.
        members_whole: All instances are in `members`.
        servers: What has changed at model servers, by id; `None` if one is gone.
        busy: Requests of all instances in progress at each model server, in the order
            of the ids.
        ready_in_s: Time until models and adapters that are being loaded can serve.
        digest: Checksum over the instances and what the model servers hold.
    """

    holder: str
    address: str
    epoch: int
    serial: int
    renewal: int
    members: dict[str, str]
    members_whole: bool
    servers: dict[str, ServerPlacement | None]
    busy: tuple[int, ...]
    ready_in_s: dict[str, float]
    digest: int


@dataclass(frozen=True, slots=True)
class PlacementWanted:
    """Asks the holder of the placement lease for everything that it tells."""

    instance: str


@dataclass(frozen=True, slots=True)
class News:
    """What a watcher of the store knows.

    Attributes:
        watcher: Name of the instance.
        rank: Its rank for the watch.
        config_age_s: Time since it last knew that the configuration is current.
        age_s: Time since it last knew that the servers are current.
        config_version: Version of the configuration.
        config_revision: Revision of the store up to which that is known.
        revision: Revision of the store up to which the servers are known.
        digest: Checksum over the servers.
        changes: Servers that have changed lately.
    """

    watcher: str
    rank: int
    config_age_s: float
    age_s: float
    config_version: int
    config_revision: int
    revision: int
    digest: int
    changes: dict[str, TableEntry]


@dataclass(frozen=True, slots=True)
class CopyWanted:
    """Asks for what is newer than this configuration, or differs from these servers."""

    instance: str
    config_version: int
    digest: int


@dataclass(frozen=True, slots=True)
class ConfigCopy:
    """The whole configuration, as the store has it, packed into text."""

    packed: str

    @classmethod
    def from_spec(cls, spec: Any) -> ConfigCopy:
        """Pack a configuration."""
        data = zlib.compress(orjson.dumps(spec), PACK_LEVEL)
        return cls(base64.b85encode(data).decode())

    def unpack(self) -> Any:
        """Return the configuration.

        Raises:
            HintError: It was damaged on the way.
        """
        try:
            return orjson.loads(zlib.decompress(base64.b85decode(self.packed)))
        except (ValueError, zlib.error) as error:
            raise HintError(f"copy of a configuration dropped: {error!r}") from error


@dataclass(frozen=True, slots=True)
class ServersCopy:
    """One part of all servers, as of a revision of the store."""

    watcher: str
    revision: int
    part: int
    parts: int
    entries: dict[str, TableEntry]


Hint = (
    Hello
    | DemandReport
    | PlacementHint
    | PlacementWanted
    | Released
    | News
    | CopyWanted
    | ConfigCopy
    | ServersCopy
)


def encode_hint(hint: Hint) -> bytes:
    """Encode a hint as one datagram."""
    item: list[Any]
    match hint:
        case Hello():
            item = ["h", hint.instance, hint.address]
        case Released():
            item = ["r", hint.holder, hint.epoch]
        case DemandReport():
            item = [
                "d",
                hint.instance,
                hint.boot,
                hint.waiting,
                hint.arrivals,
                hint.running,
            ]
        case News():
            item = [
                "n",
                hint.watcher,
                hint.rank,
                round(hint.config_age_s, 3),
                round(hint.age_s, 3),
                hint.config_version,
                hint.config_revision,
                hint.revision,
                hint.digest,
                _encode_entries(hint.changes),
            ]
        case CopyWanted():
            item = ["w", hint.instance, hint.config_version, hint.digest]
        case ConfigCopy():
            item = ["c", hint.packed]
        case ServersCopy():
            item = [
                "s",
                hint.watcher,
                hint.revision,
                hint.part,
                hint.parts,
                _encode_entries(hint.entries),
            ]
        case PlacementWanted():
            item = ["q", hint.instance]
        case PlacementHint():
            item = [
                "p",
                hint.holder,
                hint.address,
                hint.epoch,
                hint.serial,
                hint.renewal,
                hint.members,
                hint.members_whole,
                {
                    server_id: _encode_placement(placement)
                    for server_id, placement in hint.servers.items()
                },
                hint.busy,
                {name: round(left, 3) for name, left in hint.ready_in_s.items()},
                hint.digest,
            ]
    data = orjson.dumps(item)
    return zlib.compress(data, PACK_LEVEL) if len(data) > PACK_ABOVE else data


def decode_hint(data: bytes) -> Hint:
    """Decode a datagram.

    Raises:
        HintError: It is none of an instance of this version.
    """
    try:
        item = orjson.loads(data if data[:1] == b"[" else zlib.decompress(data))
        match item:
            case ["h", str(instance), str(address)]:
                return Hello(instance, address)
            case ["r", str(holder), int(epoch)]:
                return Released(holder, epoch)
            case ["d", str(instance), str(boot), dict(w), dict(a), dict(r)]:
                return DemandReport(instance, boot, w, a, r)
            case ["n", str(watcher), int(rank), config_age_s, age_s, *rest]:
                version, config_revision, revision, digest, changes = rest
                return News(
                    watcher=watcher,
                    rank=rank,
                    config_age_s=float(config_age_s),
                    age_s=float(age_s),
                    config_version=int(version),
                    config_revision=int(config_revision),
                    revision=int(revision),
                    digest=int(digest),
                    changes=_decode_entries(changes),
                )
            case ["w", str(instance), int(version), int(digest)]:
                return CopyWanted(instance, version, digest)
            case ["c", str(packed)]:
                return ConfigCopy(packed)
            case ["s", str(watcher), int(revision), int(part), int(parts), entries]:
                return ServersCopy(
                    watcher, revision, part, parts, _decode_entries(entries)
                )
            case ["q", str(instance)]:
                return PlacementWanted(instance)
            case ["p", str(holder), str(address), int(epoch), int(serial), *rest]:
                renewal, members, members_whole, servers, busy, ready, digest = rest
                return PlacementHint(
                    holder=holder,
                    address=address,
                    epoch=epoch,
                    serial=serial,
                    renewal=int(renewal),
                    members=members,
                    members_whole=bool(members_whole),
                    servers={
                        server_id: _decode_placement(entry)
                        for server_id, entry in servers.items()
                    },
                    busy=tuple(busy),
                    ready_in_s=ready,
                    digest=int(digest),
                )
    except (ValueError, TypeError, AttributeError, zlib.error) as error:
        raise HintError(
            f"datagram dropped: {error!r}; check what else sends to the inner ports"
        ) from error
    raise HintError("datagram dropped: unknown kind; check versions of instances")


def _encode_entries(entries: dict[str, TableEntry]) -> dict[str, list[Any]]:
    return {
        server_id: [entry.revision, *_encode_server(entry.server)]
        for server_id, entry in entries.items()
    }


def _encode_server(server: BackendServer | None) -> list[Any]:
    if server is None:
        return []
    return [
        server.started_ms,
        server.service,
        server.address,
        server.availability_zone,
        server.slots,
        server.draining,
    ]


def _decode_entries(items: dict[str, list[Any]]) -> dict[str, TableEntry]:
    entries = {}
    for server_id, (revision, *told) in items.items():
        server = None
        if told:
            started_ms, service, address, availability_zone, slots, draining = told
            server = BackendServer(
                id=server_id,
                started_ms=int(started_ms),
                service=str(service),
                address=str(address),
                availability_zone=str(availability_zone),
                slots=int(slots),
                draining=bool(draining),
                order_count=UNKNOWN_COUNT,
            )
        entries[server_id] = TableEntry(int(revision), server, changed_at=0.0)
    return entries


def _encode_placement(placement: ServerPlacement | None) -> list[Any]:
    if placement is None:
        return []
    models = {name: sorted(held) for name, held in placement.models.items()}
    return [placement.count, models, sorted(placement.unloading)]


def _decode_placement(entry: list[Any]) -> ServerPlacement | None:
    if not entry:
        return None
    count, models, unloading = entry
    return ServerPlacement(
        models={name: frozenset(held) for name, held in models.items()},
        unloading=frozenset(unloading),
        count=int(count),
    )
