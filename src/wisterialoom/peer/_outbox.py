"""Frames that wait for, or go over, one TCP connection to a peer."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import cast, TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wisterialoom.peer.counters import PeerCounters

__all__ = ["LENGTH", "Outbox"]

LENGTH = struct.Struct(">I")
"""Length prefix of a frame."""

MAX_FRAMES = 256
"""Frames that may wait for one peer."""

MAX_BYTES = 4_000_000
"""Bytes that may wait for one peer."""

FRAME_LIFETIME_S = 5.0
"""Time after which a waiting frame is dropped; its sender has given up."""

CONNECT_TIMEOUT_S = 2.0
STALL_TIMEOUT_S = 5.0
"""Time in which a peer must take bytes before its connection is dropped."""

IDLE_S = 30.0
"""Time without a frame after which the connection is closed."""

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0


class Outbox:
    """Sends frames to one address; never blocks and never grows without bound.

    Attributes:
        frames: Waiting frames with the time at which each is dropped.
        waiting_bytes: Bytes of the waiting frames.
        closed: Its task has ended; a new outbox must take its place.
    """

    def __init__(
        self,
        host: str,
        port: int,
        counters: PeerCounters,
        rng: random.Random,
        on_close: Callable[[Outbox], None],
    ) -> None:
        self.host = host
        self.port = port
        self.counters = counters
        self.rng = rng
        self.on_close = on_close
        self.loop = asyncio.get_running_loop()
        self.frames: deque[tuple[float, bytes]] = deque()
        self.waiting_bytes = 0
        self.work = asyncio.Event()
        self.connection: _Connection | None = None
        self.failures = 0
        self.idle_s = IDLE_S
        self.task = self.loop.create_task(self._run())

    def put(self, data: bytes) -> bool:
        """Queue a frame; tell whether there was room."""
        full = self.waiting_bytes + len(data) > MAX_BYTES
        if full or len(self.frames) >= MAX_FRAMES:
            self.counters.dropped_queue_full += 1
            return False
        self.frames.append((self.loop.time() + FRAME_LIFETIME_S, data))
        self.waiting_bytes += len(data)
        self.work.set()
        return True

    async def close(self) -> None:
        """Hand over what still waits if the connection is up, then close it."""
        if self.connection is not None and self.connection.usable:
            while self.frames:
                self._write(self._pop())
            self.connection.finish()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while await self._wait_for_frame():
                if await self._connect():
                    await self._write_next()
        finally:
            if self.connection is not None:
                self.connection.finish()
            self.on_close(self)

    async def _wait_for_frame(self) -> bool:
        while not self.frames:
            self.work.clear()
            try:
                await asyncio.wait_for(self.work.wait(), self.idle_s)
            except TimeoutError:
                if not self.frames:
                    return False
        return True

    async def _connect(self) -> bool:
        if self.connection is not None and self.connection.usable:
            return True
        self._drop_expired()
        if not self.frames:
            return False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.connection = await self.loop.create_connection(
                    _Connection, self.host, self.port
                )
        except OSError:  # A timeout is one, too.
            self.connection = None
            self.counters.connect_failures += 1
            await self._back_off()
            return False
        self.counters.connects += 1
        self.failures = 0
        return True

    async def _back_off(self) -> None:
        longest = min(FIRST_BACKOFF_S * 2**self.failures, MAX_BACKOFF_S)
        self.failures = min(self.failures + 1, 10)
        await asyncio.sleep(longest * (0.5 + self.rng.random() / 2))
        self._drop_expired()

    async def _write_next(self) -> None:
        connection = self.connection
        assert connection is not None
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                await connection.writable.wait()
        except TimeoutError:
            connection.abort()
            return
        if connection.usable and self.frames:
            self._write(self._pop())

    def _write(self, data: bytes) -> None:
        assert self.connection is not None
        self.connection.write(data)
        self.counters.frames_sent += 1
        self.counters.frame_bytes_sent += LENGTH.size + len(data)

    def _pop(self) -> bytes:
        _, data = self.frames.popleft()
        self.waiting_bytes -= len(data)
        return data

    def _drop_expired(self) -> None:
        now = self.loop.time()
        while self.frames and self.frames[0][0] <= now:
            self._pop()
            self.counters.dropped_expired += 1


class _Connection(asyncio.Protocol):
    """An outgoing connection; the peer sends nothing on it.

    Attributes:
        usable: It is open.
        writable: Set while the peer takes bytes, and once it is closed.
    """

    def __init__(self) -> None:
        self.usable = False
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        self.usable = True
        sock = transport.get_extra_info("socket")
        # Without it, a peer that vanished would take frames for minutes.
        timeout_ms = int(STALL_TIMEOUT_S * 1_000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        self.usable = False
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def write(self, data: bytes) -> None:
        self.transport.write(LENGTH.pack(len(data)) + data)

    def finish(self) -> None:
        self.usable = False
        self.transport.close()

    def abort(self) -> None:
        self.usable = False
        self.transport.abort()
