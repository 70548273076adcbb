"""JSON form of an engine's prefix cache events."""

from __future__ import annotations

from typing import Any

import orjson

from wisterialoom.core.requests.prefix_index import CacheEvents

__all__ = ["read_reports"]


def read_reports(server: str, body: bytes) -> tuple[CacheEvents, ...]:
    """Read events, and split them where serials are missing.

    Args:
        server: Identifier of the backend server.
        body: The answer to `GET /cache_events`.

    Raises:
        ValueError: The body is no JSON.
        KeyError: A field is missing.
    """
    stretches: list[list[dict[str, Any]]] = []
    for item in orjson.loads(body)["events"]:
        if stretches and stretches[-1][-1]["serial"] + 1 == item["serial"]:
            stretches[-1].append(item)
        else:
            stretches.append([item])
    return tuple(_report(server, stretch) for stretch in stretches)


def _report(server: str, items: list[dict[str, Any]]) -> CacheEvents:
    # A block may come and go within one report; its last change counts.
    stored = {item["prefix_hash"]: item["stored"] for item in items}
    return CacheEvents(
        server=server,
        first=items[0]["serial"],
        last=items[-1]["serial"],
        stored=tuple(key for key, held in stored.items() if held),
        removed=tuple(key for key, held in stored.items() if not held),
    )
