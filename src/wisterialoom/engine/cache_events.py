"""JSON decoding of an engine's prefix cache events."""

from __future__ import annotations

from typing import Any

import orjson

from wisterialoom.core.requests.prefix_index import CacheEvents

__all__ = ["decode_cache_events"]


def decode_cache_events(server: str, body: bytes) -> tuple[CacheEvents, ...]:
    """Decode events, and split them where serial numbers are missing.

    Args:
        server: Name of the backend server.
        body: Body of the answer to `GET /cache_events`.

    Returns:
        A report for each run of consecutive serial numbers, in order.

    Raises:
        ValueError: If the body is not JSON.
        KeyError: If a field is missing.
    """
    runs: list[list[dict[str, Any]]] = []
    for item in orjson.loads(body)["events"]:
        if runs and runs[-1][-1]["serial"] + 1 == item["serial"]:
            runs[-1].append(item)
        else:
            runs.append([item])
    return tuple(_make_report(server, run) for run in runs)


def _make_report(server: str, items: list[dict[str, Any]]) -> CacheEvents:
    # A block may be stored and evicted in one report; its last change applies.
    stored = {item["prefix_hash"]: item["stored"] for item in items}
    return CacheEvents(
        server=server,
        first=items[0]["serial"],
        last=items[-1]["serial"],
        stored=tuple(key for key, is_stored in stored.items() if is_stored),
        removed=tuple(key for key, is_stored in stored.items() if not is_stored),
    )
