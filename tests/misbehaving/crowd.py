"""A crowd of connections that send whatever a test wants, and read only if it does."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import re
import socket
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

PIECE_BYTES = 65_536

RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of a connection, so that what it does not read stays at the sender."""

LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
LAST_CHUNK = b"0\r\n\r\n"

STALL_S = 2.0
"""Time without progress after which a connection stops sending; nothing is checked."""

DELIVERY_S = 5.0
"""Longest wait until what was sent has arrived; nothing is checked."""

EXCHANGE_S = 60.0
"""Longest time for the requests of one connection; nothing is checked."""


class Crowd:
    """Connections to one address that stay open until the block ends.

    Attributes:
        address: Host and port.
        count: Number of connections.
        connections: The connections; those that the process closed remain.
    """

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.address = address
        self.count = count
        self.connections: list[socket.socket] = []
        self.readers: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Crowd:
        await asyncio.gather(*(self._open() for _ in range(self.count)))
        return self

    async def __aexit__(self, *_: object) -> None:
        for reader in self.readers:
            reader.cancel()
        await asyncio.gather(*self.readers, return_exceptions=True)
        for connection in self.connections:
            connection.close()

    async def _open(self) -> None:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        self.connections.append(connection)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DELIVERY_S):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(connection, self.address)

    async def send(self, pieces_of: Callable[[int], Iterable[bytes]]) -> None:
        """Send pieces on each connection, and wait until they have arrived.

        A connection stops where the process closes it or does not read on.

        Args:
            pieces_of: Returns the pieces of a connection, by its number.
        """
        await asyncio.gather(
            *(
                _send(connection, pieces_of(number))
                for number, connection in enumerate(self.connections)
            )
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DELIVERY_S):
                while any(map(_has_unsent, self.connections)):
                    await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)

    async def exchange(self, request_of: Callable[[int], bytes], turns: int) -> None:
        """Send requests on each connection, each after the answer to the one before.

        Args:
            request_of: Returns the request of a connection, by its number.
            turns: Number of requests on each connection.
        """

        async def take_turns(number: int, connection: socket.socket) -> None:
            loop = asyncio.get_running_loop()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(EXCHANGE_S):
                    for _ in range(turns):
                        await _send(connection, [request_of(number)])
                        await read_answer(loop, connection)

        await asyncio.gather(
            *(take_turns(*item) for item in enumerate(self.connections))
        )

    def read_slowly(self, count: int, pause_s: float) -> None:
        """Let each connection read a few bytes now and then from now on."""
        for connection in self.connections:
            reader = asyncio.create_task(_read_slowly(connection, count, pause_s))
            self.readers.append(reader)


async def _send(connection: socket.socket, pieces: Iterable[bytes]) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError, TimeoutError):
        for piece in pieces:
            for start in range(0, len(piece), PIECE_BYTES):
                async with asyncio.timeout(STALL_S):
                    part = piece[start : start + PIECE_BYTES]
                    await loop.sock_sendall(connection, part)


async def _read_slowly(connection: socket.socket, count: int, pause_s: float) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(connection, count):
            await asyncio.sleep(pause_s)


async def read_answer(
    loop: asyncio.AbstractEventLoop, connection: socket.socket
) -> bytes:
    """Read one answer with a length or in chunks, and return it.

    Raises:
        ConnectionError: The connection ended before the end of the answer.
    """
    answer = b""
    while (end := answer.find(b"\r\n\r\n")) < 0:
        answer += await _read_some(loop, connection)
    head, body = answer[:end], bytearray(answer[end + 4 :])
    length = LENGTH.search(head)
    while len(body) < int(length[1]) if length else not body.endswith(LAST_CHUNK):
        body += await _read_some(loop, connection)
    return answer[: end + 4] + body


async def _read_some(
    loop: asyncio.AbstractEventLoop, connection: socket.socket
) -> bytes:
    data = await loop.sock_recv(connection, PIECE_BYTES)
    if not data:
        raise ConnectionError("the connection ended inside an answer")
    return data


def _has_unsent(connection: socket.socket) -> bool:
    """Return whether bytes were sent that have not arrived; not so once closed."""
    if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    found = array.array("i", [0])
    try:
        connection.getpeername()
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, found)
    except OSError:
        return False
    return found[0] > 0
