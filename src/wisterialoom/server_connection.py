"""Connections to servers that are reused only while nothing unexpected arrives."""

from __future__ import annotations

import functools
import select
from typing import Any, TYPE_CHECKING

from aiohttp import ClientConnectionError, TCPConnector
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.http_parser import RawResponseMessage
    from aiohttp.streams import StreamReader

__all__ = ["ForeignResponseError", "ServerConnection", "ServerConnector"]


class ForeignResponseError(ClientConnectionError):
    """Raised if a response does not belong to the request that was sent.

    The request may have run, as its own response may still be on its way.
    """


class ServerConnection(ResponseHandler):
    """A client connection that notices bytes which belong to no request.

    A faulty server may send more bytes after a complete response: in the same segment,
    while the connection is idle, or while the next request is on its way. aiohttp
    would take them for the response to the next request.

    Attributes:
        echo_header: Request header whose value servers repeat in their responses;
            empty if they repeat none.
        exchanges: Number of requests sent on this connection.
        idle: Whether no response is expected.
        sending: Whether a request is not completely written yet.
        early: Whether bytes arrived before the current request was written.
        expected_echo: Value of that header in the current request; empty if it has
            none.
        unattributed: Whether the current response does not repeat the value.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, echo_header: str) -> None:
        super().__init__(loop)
        self.echo_header = echo_header
        self.exchanges = 0
        self.idle = True
        self.sending = False
        self.early = False
        self.expected_echo = ""
        self.unattributed = False
        self._parsing = False

    def set_response_params(self, **params: Any) -> None:
        """Begin an exchange; aiohttp calls this before it sends a request."""
        self.exchanges += 1
        self.idle = False
        self.sending = True
        self.early = False
        self.expected_echo = ""
        self.unattributed = False
        super().set_response_params(**params)

    def start_timeout(self) -> None:
        """Note that the request is written; aiohttp calls this after its last byte."""
        self.sending = False
        super().start_timeout()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; close the connection if none is expected."""
        if self.idle:
            # aiohttp passes no bytes when the last ones of a response are read.
            if data:
                self.close()
            return
        if self.sending and data:
            self.early = True
        self._parsing = True
        try:
            super().data_received(data)
        finally:
            self._parsing = False
        # The response may have ended inside these bytes.
        if self.idle and self._has_excess():
            self.close()

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head and the body of the response.

        Raises:
            ForeignResponseError: The response does not belong to the request.
        """
        message, payload = await super().read()
        if message.code < 200:
            return message, payload
        echoed = message.headers.get(self.echo_header, "") if self.expected_echo else ""
        self.unattributed = echoed != self.expected_echo
        # Only the first response on a connection needs no mark of its request.
        reused = self.exchanges > 1
        if (self.unattributed and (echoed or reused or self.early)) or (
            self.early and reused
        ):
            raise ForeignResponseError(
                "the response belongs to another request, or to none"
            )
        return message, payload

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be used for another request."""
        if self.sending or self.early or self.unattributed:
            return True
        # While bytes are parsed, the check follows at their end.
        return super().should_close or (not self._parsing and self._has_excess())

    def is_connected(self) -> bool:
        """Return whether the connection is open and, if idle, has nothing to read."""
        return super().is_connected() and not (self.idle and self._is_readable())

    def _has_excess(self) -> bool:
        """Return whether the parser holds anything after the end of the response."""
        if self._buffer or self._exception is not None:
            return True
        if self._parser is None:
            return False
        # Each exchange gets a parser of its own, so this one has done its work.
        parser, self._parser = self._parser, None
        try:
            return parser.feed_eof() is not None
        except Exception:
            return True

    def _is_readable(self) -> bool:
        """Return whether bytes, or the end, have arrived but were not read yet."""
        raw = self.transport.get_extra_info("socket") if self.transport else None
        if raw is None or raw.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))


class ServerConnector(TCPConnector):
    """Opens `ServerConnection`s.

    Args:
        echo_header: Request header whose value servers repeat in their responses;
            empty if they repeat none.
        options: Arguments of `TCPConnector`.
    """

    def __init__(self, *, echo_header: str = "", **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = functools.partial(
            ServerConnection, self._loop, echo_header
        )

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        if isinstance(protocol, ServerConnection):
            protocol.idle = True
