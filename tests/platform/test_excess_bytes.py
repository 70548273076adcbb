"""Bytes after a complete response reach no caller, and truncated ones are not complete.

Callers received the late second copy of a response that another one had asked for.
"""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import asynccontextmanager
from typing import Any, TYPE_CHECKING

import aiohttp
import pytest

from tests import raw_answers
from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import harness
from tests.platform.test_unframed_answers import ListedServer
from wisterialoom.platform import attempt
from wisterialoom.platform.headers import ATTEMPT_ID
from wisterialoom.server_connection import ServerConnector
from wisterialoom.tracked_response import TrackedResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

EXTRA = {
    "second copy": None,
    "response of no request": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
    "part of a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "no response": b"\x00 something else",
}


def ok(request_id: str) -> bytes:
    body = f"answer to {request_id}".encode()
    return (
        b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n"
        b"Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n"
        % (request_id.encode(), len(body))
    ) + body


class ServerWithModel(ListedServer):
    """A listed server that has a model loaded."""

    def entry(self, state: str = "ready") -> dict[str, Any]:
        models = [{"name": "m1", "version": 1, "adapters": []}]
        return super().entry(state) | {"models": models, "slots": 8}


class SpoiledServer:
    """A server that sends more bytes after each response.

    Attributes:
        extra: The bytes; `None` to repeat the response.
        moment: When it sends them: `same segment`, `own segment`, `idle`, which is
            20 ms later, or `next request`, when the next one has begun to arrive.
        connections: Number of connections that were opened.
    """

    def __init__(self, extra: bytes | None, moment: str) -> None:
        self.extra = extra
        self.moment = moment
        self.connections = 0
        self.tasks: list[asyncio.Task[None]] = []

    @asynccontextmanager
    async def run(self) -> AsyncIterator[str]:
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        yield f"{host}:{port}"
        listener.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        late = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if late:
                    writer.write(late)
                    await asyncio.sleep(0.02)
                request_id = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
                response = ok(request_id)
                extra = response if self.extra is None else self.extra
                match self.moment:
                    case "same segment":
                        writer.write(response + extra)
                    case "own segment":
                        writer.write(response[:-4])
                        await asyncio.sleep(0.01)
                        writer.write(response[-4:] + extra)
                    case "idle":
                        writer.write(response)
                        await asyncio.sleep(0.02)
                        writer.write(extra)
                    case _:
                        writer.write(response)
                        late = extra
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.mark.parametrize("extra", EXTRA.values(), ids=EXTRA.keys())
@pytest.mark.parametrize(
    "moment", ["same segment", "own segment", "idle", "next request"]
)
async def test_bytes_after_a_response_reach_no_caller(moment, extra):
    server = SpoiledServer(extra, moment)
    listed = ListedServer("i-1")
    async with server.run() as address:
        listed.address = address
        async with harness(listed) as site:
            served = 0
            for number in range(8):
                request_id = f"b{number}"
                status, _, body = await site.call("/look/", Attempt_Id=request_id)
                assert status != 200 or body == f"answer to {request_id}".encode()
                served += status == 200
                await asyncio.sleep(0.03)
            # The parser reports no message from a segment that it cannot parse to its
            # end, so these responses are lost.
            assert served or (moment, extra) == ("same segment", EXTRA["no response"])


async def test_connection_is_reused_while_nothing_follows_its_responses():
    server = SpoiledServer(b"", "same segment")
    listed = ListedServer("i-1")
    async with server.run() as address:
        listed.address = address
        async with harness(listed) as site:
            for number in range(8):
                assert (await site.call("/look/", Attempt_Id=f"b{number}"))[0] == 200
    assert server.connections == 1


@asynccontextmanager
async def server_session(address: str) -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(
        f"http://{address}",
        connector=ServerConnector(echo_header=ATTEMPT_ID),
        response_class=TrackedResponse,
    ) as session:
        yield session


async def test_response_that_begins_before_its_request_was_sent_is_not_trusted():
    """It answers an earlier request, even if it repeats the id of this one."""
    server = SpoiledServer(b"", "same segment")
    read_on = asyncio.Event()

    async def body() -> AsyncIterator[bytes]:
        yield b"begin"
        await read_on.wait()
        yield b"end"

    async with server.run() as address, server_session(address) as session:
        headers = {ATTEMPT_ID: "b1"}
        async with session.get("/", headers=headers) as response:
            assert await response.read() == b"answer to b1"
        with pytest.raises(aiohttp.ClientConnectionError):
            await session.post("/", headers=headers, data=body())
        async with session.get("/", headers=headers) as response:
            assert response.status == 200
        read_on.set()
    assert server.connections == 2


async def test_connection_of_a_server_that_repeats_no_id_is_not_reused():
    """Nothing would tell its response to the next request from a late copy."""
    opened = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal opened
        opened += 1
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    async with server_session(f"{host}:{port}") as session:
        for number in range(3):
            async with session.get("/", headers={ATTEMPT_ID: f"b{number}"}) as response:
                assert await response.read() == b"ok"
    listener.close()
    assert opened == 3


@pytest.mark.parametrize("path", ["/deposit/", "/draft/"])
async def test_large_response_that_is_reset_is_not_complete(path, monkeypatch):
    """One of over 1 MB without a length was passed on like a complete one."""
    monkeypatch.setattr(attempt, "MAX_BUFFERED_BYTES", 10_000)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 404 Not Found\r\n\r\n" + b"x" * 20_000)
        await asyncio.sleep(0.1)
        raw_answers.reset(writer)

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    service = "scribe" if path == "/draft/" else "registry"
    listed = ServerWithModel("i-1", service=service, address=f"{host}:{port}")
    async with harness(listed) as site:
        with pytest.raises(aiohttp.ClientPayloadError):
            await site.call(path, Model="m1")
    listener.close()


async def test_responses_are_complete_for_callers_of_large_ones(monkeypatch):
    monkeypatch.setattr(attempt, "MAX_BUFFERED_BYTES", 3)
    async with harness(FakePlainServer("i-1")) as site:
        status, _, body = await site.call("/deposit/x")
        assert (status, body) == (200, b"POST /deposit/x")


async def test_request_that_was_refused_on_a_connection_is_sent_on_another():
    """Guards against a late copy of a refusal that fits the same request again."""
    connections: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(0)
        mine = len(connections) - 1
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                connections[mine] += 1
                status = b"503 Full" if b"Id: b1\r" in head else b"200 OK"
                mark = head.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
                writer.write(
                    b"HTTP/1.1 %b\r\nAttempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
                    % (status, mark)
                )
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    async with server_session(f"{host}:{port}") as session:
        for request_id in ("b0", "b1", "b2", "b1", "b3", "b3"):
            async with session.get("/", headers={ATTEMPT_ID: request_id}) as response:
                await response.read()
    listener.close()
    assert connections == [3, 3]
