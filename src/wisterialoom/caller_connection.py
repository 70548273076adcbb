"""Connections of callers that are closed only when their answers were sent."""

from __future__ import annotations

import array
import fcntl
import select
import socket
import struct
import termios
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, cast, TYPE_CHECKING

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.web_protocol import RequestPayloadError

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from aiohttp.streams import StreamReader

    from wisterialoom.caller_server import CallerServer

__all__ = ["CallerConnection", "CallerLimits", "is_readable"]

RESET = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` with which a close resets the connection."""

PIECE_BYTES = 16_384
"""Bytes that are parsed at once, so that few requests are parsed ahead."""

MAX_AHEAD_BYTES = 65_536
"""Bytes that a caller may send on a connection before its last request is answered."""

MIN_BODY_BYTES_PER_S = 1_000
"""Rate below which a body is too slow: 4 MB would take over an hour."""

MIN_READ_BYTES_PER_S = 200
"""Rate below which a caller that has not read its answer is too slow.

Some 3 KB in 15 s: a receiver's window opens in steps of one or two segments.
"""

IDLE_MARGIN_S = 2.0
"""Time after the idle timeout for which a connection stays open.

Callers that keep to the timeout close theirs first, so no request is sent on one that
is being closed.
"""

LINGER_S = 0.5
"""Time for which the rest of a refused body is read and dropped.

Closing the connection at once would reset it before the caller has read the answer.
"""


@dataclass
class CallerLimits:
    """What the callers of a listener may use.

    Attributes:
        max_connections: Number of connections that are open at the same time.
        get_timeouts: Returns the seconds within which a head must arrive, and after
            which an idle or stalled connection is closed.
        closed: Connections that were closed, by reason.
    """

    max_connections: int
    get_timeouts: Callable[[], tuple[float, float]]
    closed: Counter[str] = field(default_factory=Counter)


class CallerConnection(web.RequestHandler):
    """A connection of a caller.

    aiohttp considers a request done when the end of its answer is in the buffer of the
    transport, from which a caller may still be reading for seconds.

    With limits, only one request of a connection is parsed at a time, and the transport
    is not read from while one is being answered.

    Attributes:
        limits: Limits of the listener, if it has any.
        receiving: Whether the head of a request has arrived in part.
        head_since: Monotonic time at which it began to arrive.
        phase: What the connection does: `idle`, `head`, `body`, `answer`.
        phase_since: Monotonic time since which it does so without enough progress.
        phase_bytes: Bytes received or sent at that time.
        received_bytes: Number of bytes that have arrived.
    """

    def __init__(
        self,
        manager: web.Server,
        *,
        limits: CallerLimits | None = None,
        **options: Any,
    ) -> None:
        if limits is not None:
            options["lingering_time"] = LINGER_S
        super().__init__(manager, **options)
        self.limits = limits
        self.receiving = False
        self.head_since = 0.0
        self.phase = "idle"
        self.phase_since = time.monotonic()
        self.phase_bytes = 0
        self.received_bytes = 0
        self._ahead = b""
        self._payload: StreamReader | None = None
        self._request: web.BaseRequest | None = None
        self._answered_bytes = 0
        if limits is not None:
            self._parser = HttpRequestParser(
                self,
                self._loop,
                self._read_bufsize,
                max_line_size=self.max_line_size,
                max_field_size=self.max_field_size,
                max_headers=self.max_headers,
                payload_exception=RequestPayloadError,
                auto_decompress=options.get("auto_decompress", True),
                max_msg_queue_size=1,
            )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and close another if there are too many."""
        super().connection_made(transport)
        if self.limits is not None and self._manager is not None:
            cast("CallerServer", self._manager).make_room(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        self.received_bytes += len(data)
        if self.limits is None:
            super().data_received(data)
        else:
            self._parse(data)
        if data:
            self._note_head()

    def _note_head(self) -> None:
        """Note whether the head of a request has arrived in part, and since when."""
        receiving = not self._messages and not self.is_handling
        if receiving and not self.receiving:
            self.head_since = time.monotonic()
        self.receiving = receiving

    def _parse(self, data: bytes) -> None:
        """Parse bytes of one request, and keep those after it for later."""
        if self._ahead:
            data, self._ahead = self._ahead + data, b""
        start = 0
        while True:
            if self._awaits_answer():
                self._keep_ahead(data[start:])
                return
            piece = data[start : start + PIECE_BYTES]
            super().data_received(piece)
            if self._messages:
                self._payload = self._messages[-1][1]
            start += PIECE_BYTES
            if start >= len(data) or self._close or self._force_close:
                return

    def _awaits_answer(self) -> bool:
        """Return whether a request has arrived completely and is not answered."""
        payload = self._payload
        pending = bool(self._messages) or self.is_handling
        return pending and payload is not None and payload.is_eof()

    def _keep_ahead(self, data: bytes) -> None:
        if not data:
            return
        self._ahead = data
        if len(data) > MAX_AHEAD_BYTES:
            self.end("pipelined")
        elif not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _continue(self) -> None:
        """Parse what has arrived while a request was being answered."""
        if self.transport is None or self._awaits_answer():
            return
        had_more, was_paused = bool(self._ahead), self._buffer_paused
        self._buffer_paused = False
        self._parse(b"")
        if had_more:
            self._note_head()
        if was_paused and not self._buffer_paused and not self._reading_paused:
            self._resume_transport_reading()

    def _resume_reading_if_drained(self) -> None:
        if not self._ahead:
            super()._resume_reading_if_drained()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        if self._request is not None:
            self._answered_bytes += self._request.writer.output_size
        self._request = request
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            if self.limits is not None:
                self._payload = None
                self._loop.call_soon(self._continue)

    def end(self, reason: str) -> None:
        """Close the connection at once and count why."""
        if self.limits is not None:
            self.limits.closed[reason] += 1
        self._ahead = b""
        transport = self.transport
        raw = transport.get_extra_info("socket") if transport is not None else None
        if raw is not None and raw.fileno() >= 0:
            # A regular close would keep what the caller has not read, in the kernel.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.force_close()
        if transport is not None:
            transport.abort()

    def check(self, now: float, header_s: float, idle_s: float) -> None:
        """Close the connection if its caller is too slow.

        A phase begins again when enough bytes have been received or sent in it.
        """
        phase, count = self._progress()
        unused = phase == "idle" and count == self.phase_bytes
        if phase != self.phase or (phase == "idle" and not unused):
            self.phase, self.phase_since, self.phase_bytes = phase, now, count
            return
        waited_s = now - self.phase_since
        done = count - self.phase_bytes
        match phase:
            case "head" if now - self.head_since > header_s:
                self.end("slow_head")
            case "body" if waited_s > header_s:
                self._check_rate(now, done / waited_s >= MIN_BODY_BYTES_PER_S, count)
            case "answer" if waited_s > idle_s:
                self._check_rate(now, done / waited_s >= MIN_READ_BYTES_PER_S, count)
            case "idle" if waited_s > idle_s + IDLE_MARGIN_S:
                self.end("idle")

    def _check_rate(self, now: float, fast_enough: object, count: int) -> None:
        if fast_enough:
            self.phase_since, self.phase_bytes = now, count
        else:
            self.end(f"slow_{self.phase}")

    def _progress(self) -> tuple[str, int]:
        """Return the phase and the number of bytes received or sent so far."""
        unsent = self._unsent()
        if unsent:
            written = self._answered_bytes
            if self._request is not None:
                written += self._request.writer.output_size
            return "answer", written - unsent
        if self._messages or self.is_handling:
            if self._payload is not None and not self._payload.is_eof():
                return "body", self.received_bytes
            # A server is at work, or the answer pauses.
            return "work", 0
        return ("head" if self.receiving else "idle"), self.received_bytes

    def has_arrived(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        raw = self.transport.get_extra_info("socket") if self.transport else None
        return raw is not None and raw.fileno() >= 0 and is_readable(raw.fileno())

    def _unsent(self) -> int:
        transport = self.transport
        if transport is None:
            return 0
        raw = transport.get_extra_info("socket")
        count = transport.get_write_buffer_size()
        if raw is not None and raw.fileno() >= 0:
            count += _unsent_bytes(raw.fileno())
        return int(count)

    @property
    def is_handling(self) -> bool:
        """Whether a request was received and is not answered completely."""
        return self._waiter is None and self._task_handler is not None

    @property
    def is_busy(self) -> bool:
        """Whether the caller is sending a request or awaits a part of an answer."""
        if self.is_handling or self._messages or self.receiving:
            return True
        transport = self.transport
        if transport is None:
            return False
        if transport.get_write_buffer_size():
            return True
        raw = transport.get_extra_info("socket")
        if transport.is_closing() or raw is None or raw.fileno() < 0:
            return False
        return _unsent_bytes(raw.fileno()) > 0 or is_readable(raw.fileno())


def _unsent_bytes(descriptor: int) -> int:
    """Return the bytes that the kernel holds and the peer has not acknowledged."""
    found = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, found)
    return found[0]


def is_readable(descriptor: int) -> bool:
    """Return whether bytes have arrived that were not read; not so at the end."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    events = dict(poll.poll(0)).get(descriptor, 0)
    return bool(events & select.POLLIN) and not events & select.POLLRDHUP
