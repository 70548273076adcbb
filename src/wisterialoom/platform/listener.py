"""Listeners on the users' platform."""

from __future__ import annotations

from typing import cast, TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.caller_memory import MEMORY_RETRY_S
from wisterialoom.caller_server import CallerServer
from wisterialoom.counted_connection import encode_refusal, InputRefusal, MAX_HEAD_BYTES
from wisterialoom.platform.request_errors import hide_request_bytes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from wisterialoom.counted_connection import CallerLimits, CountedConnection

__all__ = ["answer_refused", "head_bytes", "listen"]

CALLER_KEEPALIVE_S = 75.0
"""Idle time after which a caller's connection is closed.

Longer than every idle timeout that the platform declares.
"""

MIN_FIELD_BYTES = 4
"""Bytes of the shortest header field: a letter, a colon and the end of the line."""

BACKLOG = 1_024

REFUSALS = {
    InputRefusal.MALFORMED: ("400 Bad Request", "malformed"),
    InputRefusal.HEAD_TOO_LARGE: (
        "431 Request Header Fields Too Large",
        "the header is too large; send a smaller one",
    ),
    InputRefusal.MEMORY: ("503 Service Unavailable", "memory"),
}


def head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head, as it was sent."""
    return cast("CountedConnection", request.protocol).head_bytes


def answer_refused(refusal: InputRefusal) -> bytes:
    """Return the answer to a request that is refused before it is parsed."""
    status, reason = REFUSALS[refusal]
    body = orjson.dumps({"error": reason})
    headers = {"Content-Type": "application/json"}
    if refusal is InputRefusal.MEMORY:
        headers["Retry-After"] = f"{MEMORY_RETRY_S:.2f}"
    return encode_refusal(status, headers, body)


async def listen(
    address: str,
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    limits: CallerLimits,
) -> web.ServerRunner:
    """Listen on an address, and return what runs the server.

    Args:
        address: `IP:port`.
        handler: Handles each request.
        limits: What callers may use.
    """
    host, _, port = address.rpartition(":")
    hide_request_bytes()
    server = CallerServer(
        handler,
        limits,
        handler_cancellation=True,
        keepalive_timeout=CALLER_KEEPALIVE_S,
        access_log=None,
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
        max_headers=MAX_HEAD_BYTES // MIN_FIELD_BYTES,
        # Bodies are forwarded as they are, with their `Content-Encoding`.
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner
