"""Connections to servers that pass on nothing but the response to a request."""

from __future__ import annotations

import functools
import select
import socket
from collections import Counter
from contextlib import suppress
from typing import Any, TYPE_CHECKING

from aiohttp import ClientConnectionError, ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from wisterialoom.response_check import ResponseCheck, ResponseFaultError, Step

if TYPE_CHECKING:
    import asyncio

    from aiohappyeyeballs import AddrInfoType
    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.http_parser import RawResponseMessage
    from aiohttp.streams import StreamReader
    from aiohttp.tracing import Trace

__all__ = [
    "CutResponseError",
    "ForeignResponseError",
    "MalformedResponseError",
    "ServerConnection",
    "ServerConnector",
]


class ForeignResponseError(ClientConnectionError):
    """Raised if a response does not belong to the request that was sent.

    The request may have run, as its own response may still be on its way.
    """


FIRST_FAILURE_STATUS = 400

MAX_FAILED = 64
"""Requests with other answers than success after which a connection is closed."""

RECEIVE_BUFFER_BYTES = 16_384
"""Receive buffer of a connection to a server; the system takes twice as much.

It bounds a single read, too. With the buffer that the system chooses, a read brings up
to 262,144 bytes, of each of many connections whose callers do not read.
"""


class MalformedResponseError(ClientPayloadError):
    """Raised if a server sends bytes that are no response; the request may have run."""


class CutResponseError(ClientPayloadError):
    """Raised if a connection breaks inside a response that has no length."""


class ServerConnection(ResponseHandler):
    """A client connection that notices bytes which are no response to its request.

    A faulty server may send bytes that are no response, break off one that ends with
    its connection, or send more bytes after a complete one: in the same segment, while
    the connection is idle, or while the next request is on its way. aiohttp would take
    them for a response.

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
        failed: Values of that header in requests that were refused or failed here. A
            second copy of such a response would be taken for the one to the same
            request if it were sent here again.
        check: Follows the bytes of the current response.
        is_cut: Whether a response without a length is incomplete if it ends now.
        faults: Number of responses that were malformed or cut, by fault.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, echo_header: str, faults: Counter[str]
    ) -> None:
        super().__init__(loop)
        self.echo_header = echo_header
        self.faults = faults
        self.exchanges = 0
        self.idle = True
        self.sending = False
        self.early = False
        self.expected_echo = ""
        self.unattributed = False
        self.failed: set[str] = set()
        self.check = ResponseCheck()
        self.is_cut = True
        self._parsing = False

    def set_response_params(self, **params: Any) -> None:
        """Begin an exchange; aiohttp calls this before it sends a request."""
        self.check = ResponseCheck(answers_head=params.get("skip_payload", False))
        # The reader of the response before may not have read all of it.
        self._payload = None
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
        """Check and parse bytes of a response; close the connection if none is due."""
        if self.idle:
            # aiohttp passes no bytes when the last ones of a response are read.
            if data:
                self.close()
            return
        if self.sending and data:
            self.early = True
        try:
            checked = self.check.feed(data)
        except ResponseFaultError as fault:
            self.faults[fault.fault.value] += 1
            error = MalformedResponseError(f"the bytes are no response, {fault}")
            self._end_response(error, abort=True)
            return
        if data and not checked:
            return
        self._parsing = True
        try:
            super().data_received(checked)
        finally:
            self._parsing = False
        # The response may have ended inside these bytes.
        if self.idle and self._is_spoiled():
            self.close()

    def eof_received(self) -> None:
        """Note that the server has ended the connection regularly.

        If it did so before it had all of the request, its response of success is taken
        for one that was broken off.
        """
        transport = self.transport
        written = transport is None or not transport.get_write_buffer_size()
        is_early = self.sending or not written
        self.is_cut = is_early and self.check.is_success
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response; one without a length is complete only after a regular end.

        aiohttp takes it for complete however the connection ends.
        """
        if self.check.ends_with_connection and self.is_cut and not self.idle:
            self.faults["cut"] += 1
            error = CutResponseError("the connection broke inside the response")
            self._end_response(error)
        super().connection_lost(exc)

    def _end_response(self, error: ClientPayloadError, *, abort: bool = False) -> None:
        """Let whoever reads the response get an error, instead of its end."""
        self._parser = None
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if abort and self.transport is not None:
            self.transport.abort()

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Record why the response failed; the first reason is the one that counts."""
        if isinstance(self._exception, (MalformedResponseError, CutResponseError)):
            return
        if isinstance(exc, HttpProcessingError) and self._payload is not None:
            # aiohttp does not tell whoever reads the body.
            self._payload.set_exception(ClientPayloadError(str(exc)))
        super().set_exception(exc, *cause)

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
        if message.code >= FIRST_FAILURE_STATUS:
            self.failed.add(self.expected_echo)
        return message, payload

    @property
    def should_close(self) -> bool:
        """Whether the connection must not be used for another request."""
        if self.sending or self.early or self.unattributed:
            return True
        if len(self.failed) >= MAX_FAILED:
            return True
        # While bytes are parsed, the check follows at their end.
        return super().should_close or (not self._parsing and self._is_spoiled())

    def is_connected(self) -> bool:
        """Return whether the connection is open and, if idle, has nothing to read."""
        return super().is_connected() and not (self.idle and self._is_readable())

    def _is_spoiled(self) -> bool:
        """Return whether more or less than one response has arrived."""
        return (
            self.check.has_excess
            or self.check.step is not Step.DONE
            or bool(self._buffer)
            or self._exception is not None
        )

    def _is_readable(self) -> bool:
        """Return whether bytes, or the end, have arrived but were not read yet."""
        raw = self.transport.get_extra_info("socket") if self.transport else None
        if raw is None or raw.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))


def open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket for a connection to a server, with a small receive buffer."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    with suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return opened


class ServerConnector(TCPConnector):
    """Opens `ServerConnection`s.

    Args:
        echo_header: Request header whose value servers repeat in their responses;
            empty if they repeat none.
        faults: Counts responses that were malformed or cut, by fault.
        options: Arguments of `TCPConnector`.
    """

    def __init__(
        self,
        *,
        echo_header: str = "",
        faults: Counter[str] | None = None,
        **options: Any,
    ) -> None:
        super().__init__(socket_factory=open_socket, **options)
        self.echo_header = echo_header
        self._factory: Any = functools.partial(
            ServerConnection,
            self._loop,
            echo_header,
            faults if faults is not None else Counter(),
        )

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Return a connection on which the request has not failed before."""
        request_id = req.headers.get(self.echo_header, "") if self.echo_header else ""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if (
                not request_id
                or not isinstance(protocol, ServerConnection)
                or request_id not in protocol.failed
            ):
                return connection
            connection.close()

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
