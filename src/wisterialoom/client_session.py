"""Sessions whose responses are checked, for calls of other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientSession, DummyCookieJar

from wisterialoom.tracked_response import TrackedResponse

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aiohttp import TCPConnector, TraceConfig

__all__ = ["open_session"]

READ_AHEAD_BYTES = 8_192
"""Bytes of a body that are read ahead; reading stops above twice as many."""

MAX_LINE_BYTES = 65_536
"""Longest line of a response's head; servers repeat ids that callers chose."""


def open_session(
    connector: TCPConnector, trace_configs: Sequence[TraceConfig] = ()
) -> ClientSession:
    """Return a session that passes bodies on as they are, and keeps no cookies.

    Args:
        connector: Opens the connections; only a `ServerConnector` checks responses.
        trace_configs: Tracing of the connections.
    """
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        response_class=TrackedResponse,
        trace_configs=list(trace_configs),
        read_bufsize=READ_AHEAD_BYTES,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
    )
