"""Encodes hints about software versions as lists of plain values."""

from __future__ import annotations

from typing import Any

from wisterialoom.platform.hints import ServerVersions, VersionHint, VersionsWanted

__all__ = ["VERSION_KINDS", "decode_version_hint", "encode_version_hint"]

VERSION_KINDS = ("sv", "sw")
"""Kinds of the hints: versions of servers, and a request for them."""


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


def decode_version_hint(kind: str, instance: str, items: Any) -> VersionHint:
    """Decode a hint.

    Args:
        kind: One of `VERSION_KINDS`.
        instance: Name of the sender.
        items: Fields of the hint.

    Raises:
        ValueError: A field has another type.
    """
    match kind, items:
        case "sv", dict():
            versions = {
                (server_id, int(started_ms)): version
                for version, servers in items.items()
                for server_id, started_ms in servers.items()
            }
            return ServerVersions(instance, versions)
        case "sw", _:
            return VersionsWanted(instance)
    raise ValueError(f"unreadable fields in a hint of kind {kind!r}")
