"""A small HTTP/1.1 server and client on asyncio streams, for stand-ins alone."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["Answer", "CutOffError", "HttpServer", "Request", "call", "read_head"]

MAX_HEAD_BYTES = 131_072


class CutOffError(Exception):
    """Raised by a handler to close the connection without an answer."""


@dataclass
class Request:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass
class Answer:
    """An answer to a request."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body that comes in chunks.

    Raises:
        asyncio.IncompleteReadError: The connection ends before the last chunk.
    """
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


class HttpServer:
    """Serves requests one after the other on each connection.

    Attributes:
        handle: Answers a request.
        address: `IP:port`, once started.
    """

    def __init__(self, handle: Callable[[Request], Awaitable[Answer]]) -> None:
        self.handle = handle
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(
            self._serve, ip, 0, limit=MAX_HEAD_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            OSError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            CutOffError,
            ValueError,
        ):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = b""
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = await read_chunks(reader)
                elif length := int(headers.get("content-length", "0")):
                    body = await reader.readexactly(length)
                answer = await self.handle(Request(method, target, headers, body))
                writer.write(_encode(answer))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


def _encode(answer: Answer) -> bytes:
    fields = {**answer.headers, "Content-Length": str(len(answer.body))}
    lines = [f"HTTP/1.1 {answer.status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + answer.body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a connection of its own and return the whole answer.

    Raises:
        OSError: The connection fails.
        TimeoutError: There is no whole answer in time.
        asyncio.IncompleteReadError: The answer is incomplete.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {**headers, "Content-Length": str(len(body))}
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            first, found = await read_head(reader)
            if "chunked" in found.get("transfer-encoding", ""):
                data = await read_chunks(reader)
            else:
                data = await reader.readexactly(int(found.get("content-length", "0")))
            return Answer(int(first.split(" ")[1]), found, data)
        finally:
            writer.close()
