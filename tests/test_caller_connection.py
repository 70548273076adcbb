"""Tests of `wisterialoom.caller_connection`: when a connection may be closed.

Instances that stopped cut answers that callers were still reading, and requests that
had just arrived.
"""

import asyncio
import contextlib
import socket
import time

from aiohttp import web

from wisterialoom.caller_server import CallerRunner, stop_listening, wait_until_sent

BODY = b"r" * 2_000_000
LIMIT_S = 10.0


@contextlib.asynccontextmanager
async def open_server():
    """Serve a long answer on a `CallerRunner`."""

    async def answer(_):
        return web.Response(body=BODY)

    app = web.Application()
    app.router.add_get("/", answer)
    runner = CallerRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    runner.server.runner = runner
    yield runner.server, runner.addresses[0]
    await runner.cleanup()


def connect(address):
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect(address)
    connection.setblocking(False)
    return connection


async def test_connection_is_busy_until_its_answer_was_read():
    loop = asyncio.get_running_loop()
    async with open_server() as (server, address):
        with connect(address) as connection:
            await loop.sock_sendall(connection, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await asyncio.sleep(0.1)
            waiting = asyncio.create_task(
                wait_until_sent((server,), time.monotonic() + LIMIT_S)
            )
            await asyncio.sleep(0.3)
            assert not waiting.done()
            got = 0
            while got < len(BODY):
                got += len(await loop.sock_recv(connection, 65_536))
            began = time.monotonic()
            await waiting
            assert time.monotonic() - began < 1.0


async def test_connection_is_busy_once_a_request_has_begun_to_arrive():
    loop = asyncio.get_running_loop()
    async with open_server() as (server, address):
        with connect(address) as connection:
            await asyncio.sleep(0.05)
            assert not server.is_busy
            # The event loop has not read these bytes yet.
            connection.send(b"GET / HT")
            assert server.is_busy
            await asyncio.sleep(0.05)
            assert server.is_busy
            await loop.sock_sendall(connection, b"TP/1.1\r\nHost: a\r\n\r\n")
            await asyncio.sleep(0.05)
            assert server.is_busy


async def test_wait_for_a_caller_that_does_not_read_is_bounded():
    loop = asyncio.get_running_loop()
    async with open_server() as (server, address):
        with connect(address) as connection:
            await loop.sock_sendall(connection, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await asyncio.sleep(0.1)
            began = time.monotonic()
            await wait_until_sent((server,), began + 0.3)
            assert 0.3 <= time.monotonic() - began < 1.0


async def test_request_on_a_connection_that_is_not_accepted_yet_is_answered():
    loop = asyncio.get_running_loop()
    async with open_server() as (server, address):
        with connect(address) as connection:
            # Nothing has run in the event loop since the connection was made.
            connection.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await stop_listening(server.runner)
            assert server.is_busy
            assert (await loop.sock_recv(connection, 100)).startswith(b"HTTP/1.1 200")
