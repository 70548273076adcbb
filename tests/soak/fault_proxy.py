"""A loopback proxy that injects connection faults."""

from __future__ import annotations

import asyncio
import enum

__all__ = ["FaultProxy", "ConnectionFault"]

CHUNK_BYTES = 65536
DELAY_S = 0.3
"""Delay of each chunk if connections are slow; several round trips between zones."""


class ConnectionFault(enum.Enum):
    """Kinds of connection faults.

    Attributes:
        NONE: Connections work.
        SLOW: Each chunk is delayed.
        RESET: Connections are reset.
        SILENT: Data in both directions is dropped.
        REQUESTS_LOST: Data to the target is dropped.
        ANSWERS_LOST: Data from the target is dropped.
    """

    NONE = "none"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    REQUESTS_LOST = "requests_lost"
    ANSWERS_LOST = "answers_lost"


class FaultProxy:
    """Forwards connections to a target and injects the selected fault.

    Attributes:
        target: `IP:port` behind the proxy.
        address: `IP:port` of the proxy.
        fault_kind: Fault that is injected now.
        writers: Writers of open connections.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.fault_kind = ConnectionFault.NONE
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close all connections."""
        assert self.server is not None
        self.server.close()
        self.reset()

    def set_fault(self, fault_kind: ConnectionFault) -> None:
        """Start injecting a fault, or stop with `ConnectionFault.NONE`."""
        if fault_kind is ConnectionFault.RESET:
            self.reset()
        elif (
            self.fault_kind is not ConnectionFault.NONE
            and fault_kind is ConnectionFault.NONE
        ):
            # Bytes that were dropped stay missing from a connection, so callers have to
            # open new ones.
            self.reset()
        self.fault_kind = fault_kind

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        if self.fault_kind is ConnectionFault.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream[1]}
        try:
            await asyncio.gather(
                self.forward(reader, upstream[1], ConnectionFault.REQUESTS_LOST),
                self.forward(upstream[0], writer, ConnectionFault.ANSWERS_LOST),
            )
        finally:
            for end in (writer, upstream[1]):
                self.writers.discard(end)
                end.transport.abort()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropped_by: ConnectionFault,
    ) -> None:
        """Forward one direction until its end.

        Args:
            reader: Source of the data.
            writer: Destination of the data.
            dropped_by: One-way fault that drops the data of this direction.
        """
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault_kind in (ConnectionFault.SILENT, dropped_by):
                    continue
                if self.fault_kind is ConnectionFault.SLOW:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            if self.fault_kind not in (ConnectionFault.SILENT, dropped_by):
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()
