"""Callers of an instance that stops: slow readers, late requests, and idle ones."""

from __future__ import annotations

import asyncio
import signal
import socket
import time

import aiohttp
import pytest
from aiohttp import web

from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import harness
from tests.platform.test_process import Instance, site
from wisterialoom.platform.settings import Bounds

BODY_BYTES = 400_000
BYTES_PER_S = 130_000
REQUEST = b"Host: desk.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 12000\r\n\r\n"


class LongAnswerServer(FakePlainServer):
    """A server with an answer of some hundred kilobytes."""

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        self.record_run(request.headers["Attempt-Id"])
        headers = {
            "Attempt-Id": request.headers["Attempt-Id"],
            "Response-Stamp": f"stamp.{self.server_id}",
        }
        return web.Response(body=b"r" * BODY_BYTES, headers=headers)


async def read_slowly(port: int) -> int:
    """Read an answer at 130 KB a second and return the number of bytes."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        # Loopback has segments of 64 KB, which would hold most of the answer.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        connection.setblocking(False)
        await loop.sock_connect(connection, ("127.0.0.1", port))
        await loop.sock_sendall(connection, b"POST /deposit/ HTTP/1.1\r\n" + REQUEST)
        got = 0
        began = loop.time()
        while piece := await loop.sock_recv(connection, 4000):
            got += len(piece)
            if got > BODY_BYTES:
                break
            # Pauses alone would add up to a lower rate on a busy machine.
            await asyncio.sleep(began + got / BYTES_PER_S - loop.time())
        return got


@pytest.mark.processes
async def test_stopping_instance_lets_slow_callers_read_their_answers(tmp_path):
    """It ended 3 s after SIGTERM, and callers got 350 KB of 420 KB."""
    server = LongAnswerServer("i-1")
    async with site(tmp_path, server) as store, aiohttp.ClientSession() as session:
        instance = Instance("front-1", store.address, tmp_path)
        await instance.start(session)
        reading = asyncio.create_task(read_slowly(instance.front))
        await asyncio.sleep(0.4)
        began = time.monotonic()
        ended = asyncio.create_task(instance.end(signal.SIGTERM))
        assert await reading > BODY_BYTES
        assert await ended == 0
        assert time.monotonic() - began < 4.0


@pytest.mark.processes
async def test_stopping_instance_with_idle_callers_ends_soon(tmp_path):
    server = FakePlainServer("i-1")
    async with site(tmp_path, server) as store, aiohttp.ClientSession() as session:
        instance = Instance("front-1", store.address, tmp_path)
        await instance.start(session)
        assert (await instance.call(session, "/deposit/"))[0] == 200
        began = time.monotonic()
        assert await instance.end(signal.SIGTERM) == 0
        assert time.monotonic() - began < 3.0


async def test_request_that_arrives_as_the_instance_stops_is_answered():
    server = FakePlainServer("i-1")
    bounds = Bounds(fenced=True, lease_s=1.0, grace_s=2.0)
    async with harness(server, bounds=bounds) as running:
        host, _, port = running.app.settings.front.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        draining = asyncio.create_task(running.app.on_drain())
        await asyncio.sleep(0.3)
        writer.write(b"POST /deposit/ HT")
        await asyncio.sleep(0.9)
        assert not draining.done()
        writer.write(b"TP/1.1\r\n" + REQUEST)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        await draining
    assert head.startswith("HTTP/1.1 503 ")
    assert "\r\nConnection: close\r\n" in head
    assert server.runs == []
