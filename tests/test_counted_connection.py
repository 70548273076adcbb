"""Tests of `wisterialoom.counted_connection`: what connections hold is counted."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import cast, TYPE_CHECKING

import pytest
from aiohttp import web

from wisterialoom.caller_memory import CallerMemory
from wisterialoom.caller_server import CallerServer
from wisterialoom.core.memory_budget import MemoryBudget
from wisterialoom.counted_connection import CallerLimits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from wisterialoom.counted_connection import CountedConnection

LIMIT_S = 10.0
HEAD = b"GET / HTTP/1.1\r\nHost: a\r\n"
LINES = b"ab:cd\r\n" * 1_000
"""Count as 290,000 bytes."""


class Site:
    """A server that answers once it is told to, and connections to it."""

    def __init__(self, limit: int) -> None:
        self.limits = CallerLimits(CallerMemory(MemoryBudget(limit)))
        self.go_on = asyncio.Event()
        self.seen = 0
        self.body = b""
        self.address = ("", 0)
        self.server: CallerServer

    @property
    def budget(self) -> MemoryBudget:
        return self.limits.memory.budget

    def recount(self) -> int:
        """Count what connections hold, as is done now and then; return the sum."""
        for connection in self.server.connections:
            cast("CountedConnection", connection).recount()
        return self.budget.used

    async def answer(self, request: web.BaseRequest) -> web.Response:
        self.seen += 1
        await self.go_on.wait()
        return web.Response(body=self.body)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)


@contextlib.asynccontextmanager
async def site(limit: int = 400_000) -> AsyncIterator[Site]:
    started = Site(limit)
    server = CallerServer(
        started.answer,
        started.limits,
        handler_cancellation=True,
        access_log=None,
        max_headers=16_384,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    started.server = server
    started.address = runner.addresses[0][:2]
    yield started
    await runner.cleanup()


@contextlib.asynccontextmanager
async def unread(server: Site) -> AsyncIterator[socket.socket]:
    """Open a connection that reads nothing, and has little room for what it is sent."""
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, server.address)
        yield connection


async def until(condition) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def status(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(LIMIT_S):
        return (await reader.readuntil(b"\r\n"))[9:12]


async def test_incomplete_head_counts_as_its_bytes():
    async with site() as server:
        _, writer = await server.connect()
        writer.write(HEAD + LINES)
        await until(lambda: server.budget.used > 0)
        assert server.budget.used < 2 * len(LINES)
        writer.write(b"\r\n")
        await until(lambda: server.seen)
        assert server.budget.used > 40 * len(LINES)


async def test_small_requests_are_not_counted():
    async with site() as server:
        reader, writer = await server.connect()
        writer.write(HEAD + b"a: b\r\n" * 10 + b"\r\n")
        await until(lambda: server.seen)
        assert server.budget.used == 0
        server.go_on.set()
        assert await status(reader) == b"200"


async def test_whole_request_without_room_is_refused_unparsed():
    async with site() as server:
        _, first = await server.connect()
        first.write(HEAD + LINES + b"\r\n")
        await until(lambda: server.seen == 1)
        reader, second = await server.connect()
        second.write(HEAD + LINES + b"\r\n")
        assert await status(reader) == b"503"
        assert server.seen == 1


async def test_what_an_idle_connection_holds_yields_to_another_request():
    async with site() as server:
        server.go_on.set()
        reader, first = await server.connect()
        first.write(HEAD + LINES + b"\r\n")
        assert await status(reader) == b"200"
        # The library keeps what it has parsed.
        assert server.budget.used > 200_000
        other, second = await server.connect()
        second.write(HEAD + LINES + b"\r\n")
        assert await status(other) == b"200"
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(LIMIT_S):
                await reader.read()
        assert server.limits.closed["memory"] == 1


async def test_head_waits_until_what_others_held_is_free(monkeypatch):
    """Guards against memory that is given to others before it is free."""
    async with site() as server:
        server.go_on.set()
        reader, first = await server.connect()
        first.write(HEAD + LINES + b"\r\n")
        assert await status(reader) == b"200"
        memory = server.limits.memory
        freed = []
        monkeypatch.setattr(memory, "release", freed.append)
        other, second = await server.connect()
        second.write(HEAD + LINES + b"\r\n")
        await until(lambda: freed)
        assert server.budget.is_freeing
        await asyncio.sleep(0.05)
        assert server.seen == 1
        monkeypatch.undo()
        memory.release(freed[0])
        assert await status(other) == b"200"


async def test_connections_release_what_they_held():
    async with site() as server:
        _, writer = await server.connect()
        writer.write(HEAD + LINES)
        await until(lambda: server.budget.used > 0)
        writer.transport.abort()
        await until(lambda: server.budget.used == 0)
        assert not server.budget.holders
        assert not server.limits.memory.endings


@pytest.mark.parametrize("sent", [b"\r\n", b"\n"])
async def test_empty_lines_without_end_are_refused(sent):
    async with site() as server:
        reader, writer = await server.connect()
        writer.write(sent * 70_000)
        assert await status(reader) == b"431"


async def test_answer_that_its_caller_does_not_read_is_counted():
    """Guards against short answers that pile up in the buffers of connections."""
    async with site(4_000_000) as server, unread(server) as connection:
        server.body = b"r" * 60_000
        server.go_on.set()
        connection.sendall((HEAD + b"\r\n") * 200)
        await until(lambda: server.recount() > 30_000)
