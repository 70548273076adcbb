"""Encodes hints about software versions as lists of plain values."""

from __future__ import annotations

from typing import Any

from wisterialoom.core.serving.stream_origin import StreamOrigin
from wisterialoom.platform.fields import (
    read_integer,
    read_mapping,
    read_names,
    read_text,
)
from wisterialoom.platform.hints import (
    OriginAnswer,
    OriginWanted,
    ServerVersions,
    StreamsBegun,
    VersionHint,
    VersionsWanted,
)

__all__ = ["VERSION_KINDS", "decode_version_hint", "encode_version_hint"]

VERSION_KINDS = ("sv", "sw", "ob", "ow", "oa")
"""Kinds of the hints: versions of servers and of streams, and questions for them."""


def encode_version_hint(hint: VersionHint) -> list[Any]:
    """Return the kind, the sender and the fields of a hint."""
    match hint:
        case ServerVersions(versions=versions):
            items: dict[str, dict[str, int]] = {}
            for (server_id, started_ms), version in versions.items():
                items.setdefault(version, {})[server_id] = started_ms
            return ["sv", hint.instance, items]
        case VersionsWanted():
            return ["sw", hint.instance, []]
        case StreamsBegun():
            origins = {
                stream: [origin.service, origin.version]
                for stream, origin in hint.origins.items()
            }
            return ["ob", hint.instance, origins]
        case OriginWanted():
            return ["ow", hint.instance, [hint.stream, hint.service]]
        case OriginAnswer():
            origin = [hint.service, hint.version]
            fields = [hint.stream, hint.asked_service, origin, hint.possible]
            return ["oa", hint.instance, fields]


def decode_version_hint(kind: str, instance: str, items: Any) -> VersionHint:
    """Decode a hint.

    Args:
        kind: One of `VERSION_KINDS`.
        instance: Name of the sender.
        items: Fields of the hint.

    Raises:
        ValueError: A field is out of range.
        TypeError: A field has another type.
    """
    match kind, items:
        case "sv", dict():
            versions = {
                (server_id, read_integer(started_ms)): version
                for version, servers in items.items()
                for server_id, started_ms in read_mapping(servers).items()
            }
            return ServerVersions(instance, versions)
        case "sw", _:
            return VersionsWanted(instance)
        case "ob", dict():
            origins = {
                stream: StreamOrigin(read_text(service), read_text(version))
                for stream, (service, version, *_) in items.items()
            }
            return StreamsBegun(instance, origins)
        case "ow", [str(stream), str(service), *_]:
            return OriginWanted(instance, stream, service)
        case "oa", [str(stream), str(asked), [service, version, *_], possible, *_]:
            names = None if possible is None else read_names(possible)
            return OriginAnswer(
                instance, stream, asked, read_text(service), read_text(version), names
            )
    raise ValueError(f"unreadable fields in a hint of kind {kind!r}")
