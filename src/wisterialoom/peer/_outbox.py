"""Queue of frames for one peer, and the TCP connection that they are sent over."""

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

__all__ = ["LENGTH_PREFIX", "Outbox"]

LENGTH_PREFIX = struct.Struct(">I")
"""Format of the length prefix of a frame."""

MAX_FRAMES = 256
"""Maximum number of frames that wait for one peer."""

MAX_BYTES = 4_000_000
"""Maximum number of bytes that wait for one peer."""

FRAME_LIFETIME_S = 5.0
"""Time after which a waiting frame is dropped, since its sender has timed out."""

CONNECT_TIMEOUT_S = 2.0
"""Maximum time to open a connection."""

STALL_TIMEOUT_S = 5.0
"""Time without progress after which a connection with unsent bytes is dropped."""

IDLE_S = 30.0
"""Time without a frame after which the connection is closed."""

FIRST_BACKOFF_S = 0.1
"""Maximum delay after the first failure to connect; doubles with each further one."""

MAX_BACKOFF_S = 5.0
"""Upper bound of that delay."""


class Outbox:
    """Sends frames to one address without blocking, from a queue of bounded size.

    When no frame was queued for `idle_s`, or a connection fails and no frame is left,
    the task ends and `on_close` is called; a new outbox must then be created.

    Attributes:
        host: IP address of the peer.
        port: TCP port of the peer.
        counters: Counters to update.
        rng: Source of random backoff times.
        on_close: Called with this outbox when its task has ended.
        frames: Waiting frames, each with the time at which it is dropped.
        waiting_bytes: Total size of the waiting frames.
        frame_queued: Set when a frame is queued.
        connection: Current connection, if there is one.
        failures: Consecutive failures to connect, up to a limit.
        idle_s: Time without a frame after which the outbox closes.
        task: Task that connects and sends.
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
        self.frame_queued = asyncio.Event()
        self.connection: _Connection | None = None
        self.failures = 0
        self.idle_s = IDLE_S
        self.task = self.loop.create_task(self._run())

    def put(self, data: bytes) -> bool:
        """Queue a frame; tell whether the queue had capacity for it."""
        full = self.waiting_bytes + len(data) > MAX_BYTES
        if full or len(self.frames) >= MAX_FRAMES:
            self.counters.dropped_queue_full += 1
            return False
        self.frames.append((self.loop.time() + FRAME_LIFETIME_S, data))
        self.waiting_bytes += len(data)
        self.frame_queued.set()
        return True

    async def close(self) -> None:
        """Close the outbox; waiting frames are sent first if the connection is open."""
        if self.connection is not None and self.connection.is_open:
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
            self.frame_queued.clear()
            try:
                await asyncio.wait_for(self.frame_queued.wait(), self.idle_s)
            except TimeoutError:
                if not self.frames:
                    return False
        return True

    async def _connect(self) -> bool:
        if self.connection is not None and self.connection.is_open:
            return True
        self._drop_expired()
        if not self.frames:
            return False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.connection = await self.loop.create_connection(
                    _Connection, self.host, self.port
                )
        except OSError:  # Includes TimeoutError.
            self.connection = None
            self.counters.connect_failures += 1
            await self._back_off()
            return False
        self.counters.connects += 1
        self.failures = 0
        return True

    async def _back_off(self) -> None:
        max_delay_s = min(FIRST_BACKOFF_S * 2**self.failures, MAX_BACKOFF_S)
        self.failures = min(self.failures + 1, 10)
        await asyncio.sleep(max_delay_s * (0.5 + self.rng.random() / 2))
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
        if connection.is_open and self.frames:
            self._write(self._pop())

    def _write(self, data: bytes) -> None:
        assert self.connection is not None
        self.connection.write(data)
        self.counters.frames_sent += 1
        self.counters.frame_bytes_sent += LENGTH_PREFIX.size + len(data)

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
    """An outgoing connection, on which the peer sends nothing.

    Attributes:
        is_open: Whether frames can be written.
        writable: Set while the send buffer has capacity, and after the connection
            was lost.
    """

    def __init__(self) -> None:
        self.is_open = False
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        self.is_open = True
        sock = transport.get_extra_info("socket")
        # Without this timeout, the kernel would accept frames for an unreachable peer
        # for minutes.
        timeout_ms = int(STALL_TIMEOUT_S * 1_000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def write(self, data: bytes) -> None:
        self.transport.write(LENGTH_PREFIX.pack(len(data)) + data)

    def finish(self) -> None:
        self.is_open = False
        self.transport.close()

    def abort(self) -> None:
        self.is_open = False
        self.transport.abort()
