"""Listener whose limit on the size of request heads follows the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.caller_connection import CallerConnection
from wisterialoom.caller_server import CallerServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader, web

__all__ = ["LimitedServer", "MAX_HEAD_BYTES", "head_bytes"]

MAX_HEAD_BYTES = 65_536
"""Upper bound of `maxHeaderBytes`, as the parser's limits are set at the start."""

MIN_FIELD_BYTES = 4
"""Bytes of the shortest header field: a letter, a colon and the end of the line."""

TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


def head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's head, without optional white space."""
    message = request._message
    start = len(message.method) + len(message.path) + len("  HTTP/1.1\r\n\r\n")
    return start + sum(
        len(name) + len(value) + 4 for name, value in message.raw_headers
    )


class LimitedServer(CallerServer):
    """Creates a `LimitedHandler` for each connection.

    Attributes:
        get_limit: Returns the number of bytes that a request's head may have.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        get_limit: Callable[[], int],
        *,
        keepalive_timeout: float,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.get_limit = get_limit
        self.keepalive_timeout = keepalive_timeout

    def __call__(self) -> LimitedHandler:
        """Return the protocol of a new connection."""
        return LimitedHandler(self, self.get_limit, self.keepalive_timeout)


class LimitedHandler(CallerConnection):
    """Closes a connection on which a head grows beyond the limit.

    The parser limits single fields only, so that a head could take a thousand times as
    much memory.

    Attributes:
        get_limit: Returns the number of bytes that a request's head may have.
        unparsed_bytes: Bytes of the head that is being received.
        payload: Body of the last request.
    """

    def __init__(
        self,
        server: LimitedServer,
        get_limit: Callable[[], int],
        keepalive_timeout: float,
    ) -> None:
        super().__init__(
            server,
            loop=server._loop,
            keepalive_timeout=keepalive_timeout,
            access_log=None,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEAD_BYTES // MIN_FIELD_BYTES,
            # Bodies are forwarded as they are, with their `Content-Encoding`.
            auto_decompress=False,
            limits=server.limits,
        )
        self.get_limit = get_limit
        self.unparsed_bytes = 0
        self.payload: StreamReader | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and count those of an incomplete head."""
        in_head = self.payload is None or self.payload.is_eof()
        queued = len(self._messages)
        super().data_received(data)
        if len(self._messages) > queued:
            self.payload = self._messages[-1][1]
            self.unparsed_bytes = 0
        elif in_head and (self.receiving or self.limits is None):
            # With limits, bytes ahead of an answer are bounded by the connection.
            self.unparsed_bytes += len(data)
            if self.unparsed_bytes > self.get_limit():
                self._refuse()

    def _refuse(self) -> None:
        if self.transport is None:
            return
        if self._current_request is None and not self._messages:
            self.transport.write(TOO_LARGE)
        self.force_close()
