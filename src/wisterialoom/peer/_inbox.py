"""Incoming TCP connections and their division into frames."""

from __future__ import annotations

import asyncio
from typing import cast, TYPE_CHECKING

from wisterialoom.peer._outbox import LENGTH_PREFIX
from wisterialoom.peer.codec import MAX_MESSAGE_BYTES
from wisterialoom.peer.seal import SEAL_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.peer.counters import PeerCounters

__all__ = ["Inbox"]

MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + SEAL_BYTES
"""Maximum size of a frame without its length prefix."""

MAX_CONNECTIONS = 1_024
"""Maximum number of incoming connections.

This is twice the number of instances that the fleet is designed for.
"""

IDLE_S = 90.0
"""Time without a frame after which an incoming connection is closed."""


class Inbox:
    """Manages the incoming connections.

    Attributes:
        receive: Called with each frame; returns False to close the connection.
        counters: Counters to update.
        connections: Open connections.
        idle_s: Time without a frame after which a connection is closed.
    """

    def __init__(
        self, receive: Callable[[bytes], bool], counters: PeerCounters
    ) -> None:
        self.receive = receive
        self.counters = counters
        self.connections: set[_Connection] = set()
        self.idle_s = IDLE_S

    def connection(self) -> _Connection:
        """Return the protocol object for a new connection."""
        return _Connection(self)

    def close_idle(self) -> None:
        """Close the connections that have received no frame for `idle_s`."""
        oldest = asyncio.get_running_loop().time() - self.idle_s
        for connection in list(self.connections):
            if connection.last_frame < oldest:
                connection.transport.abort()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.transport.abort()


class _Connection(asyncio.Protocol):
    """Reassembles the frames of one incoming connection."""

    def __init__(self, inbox: Inbox) -> None:
        self.inbox = inbox
        self.buffer = bytearray()
        self.last_frame = asyncio.get_running_loop().time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        if len(self.inbox.connections) >= MAX_CONNECTIONS:
            self.inbox.counters.dropped_connections += 1
            self.transport.abort()
            return
        self.inbox.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.inbox.connections.discard(self)
        self.buffer.clear()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self.buffer)
            if length > MAX_FRAME_BYTES:
                self.inbox.counters.dropped_malformed += 1
                self.transport.abort()
                return
            end = LENGTH_PREFIX.size + length
            if len(self.buffer) < end:
                return
            frame = bytes(self.buffer[LENGTH_PREFIX.size : end])
            del self.buffer[:end]
            if not self._handle_frame(frame):
                self.transport.abort()
                return

    def _handle_frame(self, frame: bytes) -> bool:
        counters = self.inbox.counters
        counters.frames_received += 1
        counters.frame_bytes_received += LENGTH_PREFIX.size + len(frame)
        self.last_frame = asyncio.get_running_loop().time()
        return self.inbox.receive(frame)
