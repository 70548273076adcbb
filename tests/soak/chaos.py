"""A loopback proxy that harms connections: slow, reset, silent, or cut one way."""

from __future__ import annotations

import asyncio
import enum

__all__ = ["ChaosProxy", "Harm"]

CHUNK = 65536
DELAY_S = 0.3
"""Time that `Harm.SLOW` holds each piece; several round trips between zones."""


class Harm(enum.Enum):
    """What is done to connections."""

    NONE = "none"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    REQUESTS_LOST = "requests_lost"
    ANSWERS_LOST = "answers_lost"


class ChaosProxy:
    """Forwards connections to a target and harms them while told to.

    Attributes:
        target: `IP:port` behind the proxy.
        address: `IP:port` of the proxy.
        harm: What is done now.
        writers: Writers of open connections.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.harm = Harm.NONE
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on an ephemeral port."""
        self.server = await asyncio.start_server(self.take, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close all connections."""
        assert self.server is not None
        self.server.close()
        self.reset()

    def set_harm(self, harm: Harm) -> None:
        """Begin to harm connections, or end it."""
        if harm is Harm.RESET:
            self.reset()
        elif self.harm is not Harm.NONE and harm is Harm.NONE:
            # What was lost on a connection stays lost; new ones are sound.
            self.reset()
        self.harm = harm

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, there[1]}
        try:
            await asyncio.gather(
                self.pump(reader, there[1], Harm.REQUESTS_LOST),
                self.pump(there[0], writer, Harm.ANSWERS_LOST),
            )
        finally:
            for end in (writer, there[1]):
                self.writers.discard(end)
                end.transport.abort()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lost: Harm
    ) -> None:
        """Forward one direction until its end."""
        try:
            while data := await reader.read(CHUNK):
                if self.harm in (Harm.SILENT, lost):
                    continue
                if self.harm is Harm.SLOW:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
            if self.harm not in (Harm.SILENT, lost):
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()
