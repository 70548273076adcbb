"""Stand-in of a server that runs no models; it answers each request it reads."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standin.http11 import encode, Message, read_message

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["common_headers", "PlainServer"]


def common_headers(request: Message, server_id: str) -> list[tuple[str, str]]:
    """Return the headers of each answer of a server to a request."""
    request_id = request.get("attempt-id")
    return [
        ("Attempt-Id", request_id),
        ("Response-Stamp", f"stamp.{server_id}.{request_id}"),
        ("Instance-Id", server_id),
    ]


async def respond_ok(
    server: PlainServer, request: Message, writer: asyncio.StreamWriter
) -> bool:
    """Answer with a short body that names the request; keep the connection."""
    body = f"answer to {request.get('attempt-id')}".encode()
    headers = common_headers(request, server.server_id)
    writer.write(encode("HTTP/1.1 200 OK", headers, body))
    await writer.drain()
    return True


@dataclass
class PlainServer:
    """One server.

    Attributes:
        server_id: Its id.
        respond: Answers a request; returns whether the connection is kept.
        runs: Monotonic time and id of each request that it ran.
        address: `IP:port` once it listens.
    """

    server_id: str
    respond: Callable[[PlainServer, Message, asyncio.StreamWriter], Awaitable[bool]] = (
        respond_ok
    )
    runs: list[tuple[float, str]] = field(default_factory=list)
    address: str = ""
    listener: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, host, 0, limit=8_000_000)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if request.get("expect-instance") != self.server_id:
                    other = [("Instance-Id", self.server_id)]
                    writer.write(encode("HTTP/1.1 421 Misdirected Request", other))
                    continue
                self.runs.append((time.monotonic(), request.get("attempt-id")))
                if not await self.respond(self, request, writer):
                    break
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
