"""Connections of callers that are closed only when their answers were sent."""

from __future__ import annotations

import array
import fcntl
import select
import socket
import struct
import termios
import time
from typing import Any, cast, TYPE_CHECKING

from wisterialoom.counted_connection import CountedConnection

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from wisterialoom.caller_server import CallerServer
    from wisterialoom.counted_connection import CallerLimits

__all__ = ["CallerConnection", "is_readable"]

RESET = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` with which a close resets the connection."""

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


class CallerConnection(CountedConnection):
    """A connection of a caller.

    aiohttp considers a request done when the end of its answer is in the buffer of the
    transport, from which a caller may still be reading for seconds.

    Attributes:
        receiving: Whether the head of a request has arrived in part.
        head_since: Monotonic time at which it began to arrive.
        phase: What the connection does: `idle`, `head`, `body`, `answer`.
        phase_since: Monotonic time since which it does so without enough progress.
        phase_bytes: Bytes received or sent at that time.
    """

    def __init__(
        self, manager: web.Server, *, limits: CallerLimits, **options: Any
    ) -> None:
        super().__init__(manager, limits=limits, **options)
        self.receiving = False
        self.head_since = 0.0
        self.phase = "idle"
        self.phase_since = time.monotonic()
        self.phase_bytes = 0
        self._request: web.BaseRequest | None = None
        self._answered_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and close another if there are too many."""
        super().connection_made(transport)
        if self._manager is not None:
            cast("CallerServer", self._manager).make_room(self)

    def _parse(self) -> None:
        super()._parse()
        receiving = not self.is_pending and self.framing.has_begun
        if receiving and not self.receiving:
            self.head_since = time.monotonic()
        self.receiving = receiving

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        if self._request is not None:
            self._answered_bytes += self._request.writer.output_size
        self._request = request
        return await super()._handle_request(request, start_time, request_handler)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Let go of the last request, which refers to this connection."""
        self._request = None
        super().connection_lost(exc)

    def end(self, reason: str) -> None:
        """Close the connection at once and count why."""
        self._drop_input()
        transport = self.transport
        if transport is None:
            return
        self.limits.closed[reason] += 1
        raw = transport.get_extra_info("socket")
        if raw is not None and raw.fileno() >= 0:
            # A regular close would keep what the caller has not read, in the kernel.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.force_close()
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
            if not self.framing.is_between:
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
