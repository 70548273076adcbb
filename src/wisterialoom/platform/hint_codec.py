"""Encodes hints as datagrams: JSON, compressed if long."""

from __future__ import annotations

import zlib
from typing import Any, TYPE_CHECKING, TypeVar

import orjson

from wisterialoom.core.fleet import Revision, TableEntry
from wisterialoom.core.placement.fleet_demand import DemandReport
from wisterialoom.core.placement.placement_table import ServerPlacement
from wisterialoom.core.serving.backend import (
    BackendServer,
    ResidentModel,
    UNKNOWN_COUNT,
)
from wisterialoom.platform.crash_codec import (
    CRASH_KINDS,
    decode_crash_message,
    encode_crash_message,
)
from wisterialoom.platform.fields import (
    DECODE_ERRORS,
    decompress,
    describe,
    read_address,
    read_integer,
    read_mapping,
    read_names,
    read_number,
    read_text,
)
from wisterialoom.platform.hints import (
    AllowanceGranted,
    AllowanceWanted,
    BrittleRejection,
    COMPRESSION_LEVEL,
    ConfigCopy,
    CopyWanted,
    CrashHint,
    Hint,
    HintError,
    KeyHint,
    KeysAnswer,
    KeysQuestion,
    LostPaths,
    News,
    OriginAnswer,
    OriginWanted,
    PlacementChange,
    PlacementHint,
    PlacementWanted,
    QuotaHint,
    Released,
    RelistWindow,
    ServerHint,
    ServerLimit,
    ServerLimits,
    ServersCopy,
    ServerVersions,
    StoreReached,
    StreamsBegun,
    TurnsGranted,
    TurnsWanted,
    UnknownHintError,
    VersionHint,
    VersionsWanted,
)
from wisterialoom.platform.quota_codec import (
    decode_quota_hint,
    encode_quota_hint,
    QUOTA_KINDS,
)
from wisterialoom.platform.version_codec import (
    decode_version_hint,
    encode_version_hint,
    VERSION_KINDS,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = [
    "decode_hint",
    "encode_hint",
    "split_entries",
    "split_placements",
    "split_versions",
]

Key = TypeVar("Key")
Value = TypeVar("Value")

SERVER_KINDS = (
    "b",
    "x",
    "l",
    "lw",
    "lg",
    "rw",
    "tq",
    "ta",
    *CRASH_KINDS,
    *QUOTA_KINDS,
    *VERSION_KINDS,
)
"""Kinds of messages with the name of an instance and one more field."""

KINDS = frozenset({"r", "d", "n", "w", "c", "s", "v", "q", "u", "p", *SERVER_KINDS})
"""All kinds of messages; instances of later versions may send others."""

COMPRESSION_THRESHOLD = 400
"""Size in bytes above which a datagram is compressed.

Compression reduces it to about a third and takes about 50 us.
"""


MAX_PART_BYTES = 40_000
"""Size of the entries in one of several datagrams, before compression.

It leaves room for the other fields, and for bytes that cannot be compressed.
"""

MAX_HINT_BYTES = 2_000_000
"""Largest hint after decompression; names compress to a third, or a tenth at best."""


def encode_hint(hint: Hint) -> bytes:
    """Encode a hint as one datagram."""
    item: list[Any]
    match hint:
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
                _encode_revision(hint.config_revision),
                _encode_revision(hint.revision),
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
                _encode_revision(hint.revision),
                hint.part,
                hint.parts,
                _encode_entries(hint.entries, with_models=True),
            ]
        case StoreReached():
            item = ["v", hint.instance, _encode_revision(hint.revision)]
        case PlacementWanted():
            item = ["q", hint.instance]
        case (
            AllowanceGranted()
            | AllowanceWanted()
            | BrittleRejection()
            | CrashHint()
            | KeysAnswer()
            | KeysQuestion()
            | LostPaths()
            | OriginAnswer()
            | OriginWanted()
            | RelistWindow()
            | ServerLimits()
            | ServerVersions()
            | StreamsBegun()
            | TurnsWanted()
            | TurnsGranted()
            | VersionsWanted()
        ):
            item = _encode_server_hint(hint)
        case PlacementChange():
            servers = _encode_placements(hint.servers)
            item = ["u", hint.holder, hint.epoch, hint.serial, servers]
        case PlacementHint():
            item = [
                "p",
                hint.holder,
                hint.address,
                hint.epoch,
                hint.serial,
                hint.renewal,
                hint.members,
                hint.members_complete,
                _encode_placements(hint.servers),
                hint.busy,
                {
                    name: round(remaining_s, 3)
                    for name, remaining_s in hint.ready_in_s.items()
                },
                hint.digest,
            ]
    data = orjson.dumps(item)
    return (
        zlib.compress(data, COMPRESSION_LEVEL)
        if len(data) > COMPRESSION_THRESHOLD
        else data
    )


def split_entries(entries: Mapping[str, TableEntry]) -> list[dict[str, TableEntry]]:
    """Divide server entries into parts that fit into one datagram each."""
    return _split(
        entries, lambda key: _encode_entries({key: entries[key]}, with_models=True)
    )


def split_placements(
    servers: Mapping[str, ServerPlacement | None],
) -> list[dict[str, ServerPlacement | None]]:
    """Divide placements into parts that fit into one datagram each."""
    return _split(servers, lambda key: _encode_placements({key: servers[key]}))


def split_versions(
    versions: Mapping[tuple[str, int], str],
) -> list[dict[tuple[str, int], str]]:
    """Divide software versions into parts that fit into one datagram each."""
    return _split(versions, lambda key: [*key, versions[key]])


def _split(
    items: Mapping[Key, Value], encode: Callable[[Key], Any]
) -> list[dict[Key, Value]]:
    parts: list[dict[Key, Value]] = []
    size = MAX_PART_BYTES
    for key, value in items.items():
        added = len(orjson.dumps(encode(key)))
        if size + added > MAX_PART_BYTES:
            parts.append({})
            size = 0
        size += added
        parts[-1][key] = value
    return parts


def decode_hint(data: bytes) -> Hint:
    """Decode a datagram.

    Raises:
        UnknownHintError: The sender knows a kind of hint that this version does not.
        HintError: The datagram cannot be read.
    """
    try:
        item = orjson.loads(
            data if data[:1] == b"[" else decompress(data, MAX_HINT_BYTES)
        )
        match item:
            case [str(kind), *_] if kind not in KINDS:
                raise UnknownHintError(f"unknown kind of datagram: {describe(kind)}")
        return _decode_item(item)
    except (*DECODE_ERRORS, zlib.error) as error:
        raise HintError(
            f"cannot decode datagram: {error!r:.200}; "
            "check what else sends to the peer port"
        ) from error


def _decode_item(item: Any) -> Hint:
    match item:
        case ["r", str(holder), int(epoch)]:
            return Released(holder, read_integer(epoch))
        case [
            "d",
            str(instance),
            str(boot),
            dict(waiting),
            dict(arrivals),
            dict(running),
        ]:
            return DemandReport(
                instance,
                boot,
                _decode_counts(waiting),
                _decode_counts(arrivals),
                {name: _decode_counts(counts) for name, counts in running.items()},
            )
        case ["n", str(watcher), int(rank), config_age_s, age_s, *rest]:
            version, config_revision, revision, digest, changes = rest
            return News(
                watcher=watcher,
                rank=read_integer(rank),
                config_age_s=read_number(config_age_s),
                age_s=read_number(age_s),
                config_version=read_integer(version),
                config_revision=_decode_revision(config_revision),
                revision=_decode_revision(revision),
                digest=read_integer(digest),
                changes=_decode_entries(changes),
            )
        case ["w", str(instance), int(version), int(digest)]:
            return CopyWanted(instance, read_integer(version), read_integer(digest))
        case ["c", str(packed)]:
            return ConfigCopy(packed)
        case ["s", str(watcher), revision, int(part), int(parts), entries]:
            return ServersCopy(
                watcher,
                _decode_revision(revision),
                read_integer(part, 0),
                read_integer(parts, 1),
                _decode_entries(entries),
            )
        case ["v", str(instance), revision]:
            return StoreReached(instance, _decode_revision(revision))
        case ["q", str(instance)]:
            return PlacementWanted(instance)
        case [str(kind), str(instance), items] if kind in SERVER_KINDS:
            return _decode_server_hint(kind, instance, items)
        case ["u", str(holder), int(epoch), int(serial), dict(servers)]:
            return PlacementChange(
                holder,
                read_integer(epoch),
                read_integer(serial),
                _decode_placements(servers),
            )
        case ["p", str(), str(), int(), int(), *_]:
            return _decode_placement_hint(item)
    raise HintError("the datagram has other fields than its kind should have")


def _encode_revision(revision: Revision) -> int | list[int]:
    # A plain number, if the store names no era, is what earlier versions expect.
    return [revision.era, revision.number] if revision.era else revision.number


def _decode_revision(item: Any) -> Revision:
    if isinstance(item, int):
        return Revision(0, read_integer(item, 0))
    era, number = item
    return Revision(read_integer(era, 0), read_integer(number, 0))


def _decode_counts(items: Any) -> dict[str, int]:
    return {name: read_integer(count) for name, count in read_mapping(items).items()}


def _decode_placement_hint(item: list[Any]) -> PlacementHint:
    _, holder, address, epoch, serial, renewal, members, *rest = item
    members_complete, servers, busy, ready, digest = rest
    return PlacementHint(
        holder=holder,
        address=read_address(address),
        epoch=read_integer(epoch),
        serial=read_integer(serial),
        renewal=read_integer(renewal),
        members={
            name: read_address(member) if member else ""
            for name, member in read_mapping(members).items()
        },
        members_complete=bool(members_complete),
        servers=_decode_placements(servers),
        busy=tuple([read_integer(count) for count in busy]),
        ready_in_s={
            name: read_number(remaining_s)
            for name, remaining_s in read_mapping(ready).items()
        },
        digest=read_integer(digest),
    )


def _encode_server_hint(
    hint: ServerHint | VersionHint | KeyHint | QuotaHint | RelistWindow,
) -> list[Any]:
    match hint:
        case AllowanceGranted() | AllowanceWanted():
            return encode_quota_hint(hint)
        case KeysQuestion():
            return ["tq", hint.instance, [hint.serial]]
        case KeysAnswer():
            # A rounded age could be too small.
            fields = [hint.serial, hint.config_version, hint.age_s]
            return ["ta", hint.instance, fields]
        case (
            ServerVersions()
            | VersionsWanted()
            | StreamsBegun()
            | OriginWanted()
            | OriginAnswer()
        ):
            return encode_version_hint(hint)
        case BrittleRejection():
            return ["b", hint.instance, [hint.server, hint.rejections]]
        case CrashHint(instance=instance, message=message):
            kind, fields = encode_crash_message(message)
            return [kind, instance, fields]
        case LostPaths():
            return ["x", hint.instance, hint.services]
        case RelistWindow():
            return ["rw", hint.instance, [hint.remaining_s]]
        case TurnsWanted():
            return ["lw", hint.instance, hint.servers]
        case TurnsGranted():
            return ["lg", hint.instance, hint.servers]
    limits = {
        server_id: [limit.started_ms, limit.limit_per_s, round(limit.age_s, 3)]
        for server_id, limit in hint.limits.items()
    }
    return ["l", hint.instance, limits]


def _decode_server_hint(
    kind: str, instance: str, items: Any
) -> ServerHint | VersionHint | KeyHint | QuotaHint | RelistWindow:
    if kind in QUOTA_KINDS:
        return decode_quota_hint(kind, instance, items)
    if kind in VERSION_KINDS:
        return decode_version_hint(kind, instance, items)
    if kind == "tq":
        serial, *_ = items
        return KeysQuestion(instance, int(serial))
    if kind == "ta":
        serial, version, age_s, *_ = items
        return KeysAnswer(instance, int(serial), int(version), float(age_s))
    if kind == "b":
        server, rejections = items
        return BrittleRejection(instance, read_text(server), read_number(rejections))
    if kind == "x":
        return LostPaths(instance, read_names(items))
    if kind == "rw":
        remaining_s, *_ = items
        return RelistWindow(instance, read_number(remaining_s))
    if kind in CRASH_KINDS:
        return CrashHint(instance, decode_crash_message(kind, items))
    if kind != "l":
        servers = _decode_counts(items)
        wanted = kind == "lw"
        return (TurnsWanted if wanted else TurnsGranted)(instance, servers)
    limits = {}
    for server_id, (started_ms, limit_per_s, age_s) in read_mapping(items).items():
        limit = None if limit_per_s is None else read_number(limit_per_s)
        limits[server_id] = ServerLimit(
            read_integer(started_ms), limit, read_number(age_s)
        )
    return ServerLimits(instance, limits)


def _encode_entries(
    entries: dict[str, TableEntry], *, with_models: bool = False
) -> dict[str, list[Any]]:
    return {
        server_id: [
            _encode_revision(entry.revision),
            *_encode_server(entry.server, with_models=with_models),
        ]
        for server_id, entry in entries.items()
    }


def _encode_server(server: BackendServer | None, *, with_models: bool) -> list[Any]:
    if server is None:
        return []
    models = {model.name: list(model.adapters) for model in server.models}
    return [
        server.started_ms,
        server.service,
        server.address,
        server.availability_zone,
        server.slots,
        server.draining,
        *([server.order_count, models] if with_models else ()),
    ]


def _decode_entries(items: Any) -> dict[str, TableEntry]:
    entries = {}
    for server_id, (revision, *fields) in read_mapping(items).items():
        server = None
        if fields:
            started_ms, service, address, availability_zone, slots, draining = fields[
                :6
            ]
            order_count, models = fields[6:] or (UNKNOWN_COUNT, {})
            server = BackendServer(
                id=server_id,
                started_ms=read_integer(started_ms),
                service=read_text(service),
                address=read_text(address),
                availability_zone=read_text(availability_zone),
                slots=read_integer(slots),
                draining=bool(draining),
                order_count=read_integer(order_count),
                models=tuple(
                    [
                        ResidentModel(name, adapters=read_names(adapters))
                        for name, adapters in read_mapping(models).items()
                    ]
                ),
            )
        entries[server_id] = TableEntry(
            _decode_revision(revision), server, changed_at=0.0
        )
    return entries


def _encode_placements(
    servers: dict[str, ServerPlacement | None],
) -> dict[str, list[Any]]:
    return {
        server_id: _encode_placement(placement)
        for server_id, placement in servers.items()
    }


def _decode_placements(items: Any) -> dict[str, ServerPlacement | None]:
    return {
        server_id: _decode_placement(entry)
        for server_id, entry in read_mapping(items).items()
    }


def _encode_placement(placement: ServerPlacement | None) -> list[Any]:
    if placement is None:
        return []
    models = {name: sorted(adapters) for name, adapters in placement.models.items()}
    return [placement.count, models, sorted(placement.unloading)]


def _decode_placement(entry: list[Any]) -> ServerPlacement | None:
    if not entry:
        return None
    count, models, unloading = entry
    return ServerPlacement(
        models={
            name: frozenset(read_names(adapters))
            for name, adapters in read_mapping(models).items()
        },
        unloading=frozenset(read_names(unloading)),
        count=read_integer(count),
    )
