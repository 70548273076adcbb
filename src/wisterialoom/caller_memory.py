"""Holds what callers send, and what they are sent, within the memory of the process."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from aiohttp import web

from wisterialoom.core.memory_budget import HeldBytes, MemoryBudget

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from contextlib import AbstractContextManager

__all__ = ["CallerMemory", "MEMORY_RETRY_S", "write_in_pieces", "write_whole"]

MEMORY_RETRY_S = 1.0
"""`Retry-After` of a request that was refused for lack of memory.

Bodies that are complete are sent on within a second, and stalled ones are refused.
"""

READ_AHEAD_BYTES = 160_000
"""Memory planned for what a server sends ahead while the caller does not read.

It is in the session, in the buffers of the system, and in pieces yet to be written.
"""

SENT_BYTES = 65_536
"""Bytes of an answer that a connection takes without waiting for the caller."""

PIECE_BYTES = 65_536
"""Bytes that are written at once; the transport buffers about as many."""


class CallerMemory:
    """Counts what is held for callers, and ends some of it when memory is short.

    All listeners of a process share one, so that one bound applies to their sum.

    Attributes:
        budget: Decides what may be held.
        endings: Ends what is held: a connection, the read of a body, or an answer.
        refused: Number of bodies, answers and connections that were ended, by reason.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self.budget = budget or MemoryBudget()
        self.endings: dict[HeldBytes, Callable[[], None]] = {}
        self.refused: Counter[str] = Counter()

    @contextmanager
    def open(self, now: float) -> Iterator[HeldBytes]:
        """Hold the bytes of a request until the block ends."""
        held = self.budget.open(now)
        try:
            yield held
        finally:
            self.budget.release(held)

    async def read(
        self, request: web.BaseRequest, held: HeldBytes, limit: int
    ) -> bytes | None:
        """Return the body of a request, or `None` if it is to be refused.

        Args:
            request: The request.
            held: Counts its bytes; still open afterwards unless memory was short.
            limit: Size in bytes above which a body is refused.
        """
        if (request.content_length or 0) > limit:
            self.refused["too_large"] += 1
            return None
        if not request.can_read_body:
            held.complete = True
            return b""
        body = bytearray()
        try:
            async with asyncio.timeout(None) as timeout:
                loop = asyncio.get_running_loop()
                self.endings[held] = lambda: timeout.reschedule(loop.time())
                async for piece in request.content.iter_any():
                    if len(body) + len(piece) > limit:
                        self.refused["too_large"] += 1
                        return None
                    if not self._reserve(held, len(piece)):
                        return None
                    body += piece
        except TimeoutError:
            return None
        finally:
            self.endings.pop(held, None)
        held.complete = True
        return bytes(body)

    def resize(self, held: HeldBytes, count: int, end: Callable[[], None]) -> bool:
        """Hold so many bytes for a connection, and return whether there is room.

        Args:
            held: Counts the bytes of the connection.
            count: Number of bytes; 0 once it holds none.
            end: Ends the connection if memory is short later.
        """
        refused = self.budget.resize(time.monotonic(), held, count)
        self._end_all(held, refused)
        if held in self.budget.holders:
            self.endings[held] = end
        else:
            self.endings.pop(held, None)
        return held not in refused

    def release(self, held: HeldBytes) -> None:
        """Count what a connection held as freed."""
        self.endings.pop(held, None)
        self.budget.release(held)

    def _reserve(self, held: HeldBytes, count: int) -> bool:
        """Reserve memory for more bytes of a body, and end others if need be."""
        if held not in self.budget.holders:
            return False
        refused = self.budget.reserve(time.monotonic(), held, count)
        self._end_all(held, refused)
        return held not in refused

    def _end_all(self, held: HeldBytes, refused: list[HeldBytes]) -> None:
        """End what is refused, except for what asked for memory itself."""
        self.refused["memory"] += len(refused)
        for other in refused:
            if other is not held and other in self.endings:
                self.endings[other]()

    def hold_answer(self, held: HeldBytes, count: int) -> bool:
        """Hold bytes of an answer too if there is room, and return whether so.

        Args:
            held: Counts the bytes.
            count: Number of bytes; negative to release some.
        """
        if held not in self.budget.holders:
            return False
        if count > 0 and not self.budget.has_room(count):
            return False
        held.count += count
        self.budget.used += count
        return True

    @contextmanager
    def write(self, count: int, end: Callable[[], None]) -> Iterator[None]:
        """Hold bytes of an answer until its caller has taken them.

        Those that have waited for longest are ended when memory is short: a caller that
        reads takes its bytes within a moment.

        Args:
            count: Number of bytes that are to be written, and written but not sent.
            end: Ends the answer.

        Raises:
            ConnectionResetError: There is no memory for them.
        """
        if count > SENT_BYTES:
            count += READ_AHEAD_BYTES
        with self.open(time.monotonic()) as held:
            if not self._reserve(held, count):
                raise ConnectionResetError("no memory for an answer that is not read")
            self.endings[held] = end
            try:
                yield
            finally:
                del self.endings[held]


async def write_in_pieces(
    request: web.BaseRequest,
    answer: web.StreamResponse,
    data: bytes,
    hold: Callable[[int, Callable[[], None]], AbstractContextManager[None]],
) -> None:
    """Write bytes of an answer; waits while the caller does not read.

    Args:
        request: The request that is answered.
        answer: The answer, whose head was sent.
        data: The bytes.
        hold: Holds a number of bytes that the caller has yet to take; its second
            argument ends the answer if memory is short.

    Raises:
        ConnectionError: The caller has gone, or there is no memory.
    """
    transport = request.transport

    def cut() -> None:
        if transport is not None:
            transport.abort()

    for start in range(0, len(data), PIECE_BYTES):
        unsent = transport.get_write_buffer_size() if transport is not None else 0
        with hold(unsent + len(data) - start, cut):
            await answer.write(data[start : start + PIECE_BYTES])


async def write_whole(
    request: web.BaseRequest, answer: web.StreamResponse
) -> web.StreamResponse:
    """Write a complete answer that is larger than the buffer of a connection.

    It is held until its caller has read most of it.

    Args:
        request: The request that is answered.
        answer: The answer.

    Returns:
        The answer that was sent, or a smaller one, which is yet to be sent. The
        connection is closed if the caller has gone.
    """
    if not isinstance(answer, web.Response) or request.method == "HEAD":
        return answer
    body = answer.body
    if not isinstance(body, bytes) or len(body) <= PIECE_BYTES:
        return answer
    stream = web.StreamResponse(status=answer.status, headers=answer.headers)
    stream.content_length = len(body)
    if answer.keep_alive is False:
        stream.force_close()
    try:
        await stream.prepare(request)
        for start in range(0, len(body), PIECE_BYTES):
            await stream.write(body[start : start + PIECE_BYTES])
        await stream.write_eof()
    except ConnectionError:
        if request.transport is not None:
            request.transport.close()
    return stream
