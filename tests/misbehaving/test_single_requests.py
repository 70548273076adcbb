"""A single request inside the limits is served in calm, whatever it is made of."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from tests.misbehaving import entry as own
from tests.misbehaving.crowd import read_answer
from tests.misbehaving.entry import entry
from tests.misbehaving.front import CHUNKED, front, head, HELP_FOR, NO_BODY
from tests.misbehaving.lines import LINES, lines

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.processes, pytest.mark.alone]

ANSWERED_S = 30.0
"""Time after which a request counts as not served."""

BODY = b"x" * 4_194_304
LONG = b"Content-Length: %d" % len(BODY)


async def call(address: tuple[str, int], request: bytes) -> bytes:
    """Send a request; return its answer, which must be one of success."""
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        async with asyncio.timeout(ANSWERED_S):
            await loop.sock_connect(connection, address)
            await loop.sock_sendall(connection, request)
            answer = await read_answer(loop, connection)
    assert answer.startswith(b"HTTP/1.1 200 "), answer[:200]
    return answer


@pytest.mark.parametrize("shape", LINES)
async def test_head_of_many_lines(tmp_path: Path, shape: str):
    async with front(tmp_path) as process:
        for listener, path in (("front", b"/look/"), ("ready", b"/v1/ready")):
            request = head(path, 0, NO_BODY) + lines(shape) + b"\r\n"
            await call(process.address(listener), request)
        asked = head(b"/look/", 0, NO_BODY) + HELP_FOR % b"i-1"
        await call(process.address("peer"), asked + lines(shape) + b"\r\n")


@pytest.mark.parametrize("shape", LINES)
async def test_head_of_many_lines_with_the_largest_body(tmp_path: Path, shape: str):
    async with front(tmp_path) as process:
        request = head(b"/look/", 0, LONG) + lines(shape) + b"\r\n"
        await call(process.address("front"), request + BODY)


async def test_request_with_a_long_id(tmp_path: Path):
    """Its server repeats the id in the head of its answer."""
    long_id = b": " + b"i" * 14_000
    async with front(tmp_path) as process:
        request = head(b"/look/", 0, NO_BODY).replace(b": m0", long_id) + b"\r\n"
        answer = await call(process.address("front"), request)
        assert long_id in answer


async def test_largest_body_that_another_instance_passes_on(tmp_path: Path):
    async with front(tmp_path) as process:
        request = head(b"/look/", 0, LONG) + HELP_FOR % b"i-1" + b"\r\n"
        await call(process.address("peer"), request + BODY)


@pytest.mark.parametrize("listener", ["front", "ready", "peer"])
async def test_chunks_with_extensions_and_trailers(tmp_path: Path, listener: str):
    chunks = b"5;a=b\r\nhello\r\n0;last\r\nTrailer-Field: 1\r\n\r\n"
    async with front(tmp_path) as process:
        request = head(b"/look/", 0, CHUNKED) + HELP_FOR % b"i-1" + b"\r\n"
        await call(process.address(listener), request + chunks)


@pytest.mark.parametrize("empty", [b"\r\n", b"\n", b"\r\n\r\n\n"])
async def test_few_empty_lines_before_a_request(tmp_path: Path, empty: bytes):
    async with front(tmp_path) as process:
        request = head(b"/look/", 0, NO_BODY) + b"\r\n"
        await call(process.address("front"), empty + request)


@pytest.mark.parametrize("path", [b"/long/?size=60000", b"/long/?size=900000"])
async def test_long_answer(tmp_path: Path, path: bytes):
    async with front(tmp_path) as process:
        request = head(path, 0, NO_BODY) + b"\r\n"
        answer = await call(process.address("front"), request)
        assert answer.endswith(b"r" * int(path.rpartition(b"=")[2]))


async def test_head_of_the_own_interface(tmp_path: Path):
    async with entry(tmp_path) as process:
        for shape in LINES:
            request = own.head(b"/plain/x", NO_BODY) + lines(shape) + b"\r\n"
            await call(process.address("callers"), request)
        field = b"a: ".ljust(16_000, b"b") + b"\r\n"
        request = own.head(b"/plain/x", NO_BODY) + field + b"\r\n"
        await call(process.address("callers"), request)


async def test_largest_body_of_the_own_interface(tmp_path: Path):
    async with entry(tmp_path) as process:
        request = own.head(b"/plain/x", LONG) + b"\r\n" + BODY
        await call(process.address("callers"), request)
