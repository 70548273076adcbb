"""Reads HTTP/1.1 messages from a stream, with the raw bytes under control."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 1_000_000


@dataclass
class Message:
    """One request or response.

    Attributes:
        start: First line.
        headers: Names in lowercase and values, in order.
        body: Body; raw bytes.
        complete: Whether the body came to its declared end.
    """

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    complete: bool = True

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name.lower():
                return value
        return default

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a message's head; `None` if the connection ended before."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, until_end: bool = False
) -> None:
    """Read the body that belongs to a head.

    Args:
        reader: The connection.
        message: The head, which gets the body.
        until_end: Whether a body without a length ends with the connection.
    """
    body = bytearray()
    try:
        if "chunked" in message.get("transfer-encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif message.get("content-length"):
            left = int(message.get("content-length"))
            while left:
                piece = await reader.read(left)
                if not piece:
                    message.complete = False
                    break
                body += piece
                left -= len(piece)
        elif until_end:
            while piece := await reader.read(65536):
                body += piece
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    message.body = bytes(body)


async def read_message(
    reader: asyncio.StreamReader, *, until_end: bool = False
) -> Message | None:
    """Read a whole message; `None` if the connection ended before its head."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message, until_end=until_end)
    return message


def encode(
    start: str, headers: list[tuple[str, str]] | None = None, body: bytes = b""
) -> bytes:
    """Encode a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers or ())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
