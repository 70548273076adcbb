"""A server that writes its answer to an earlier order once more."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import harness
from wisterialoom.core.placement.order import Action, Order, OrderOutcome

ANSWERS = {
    "202 Accepted": OrderOutcome.ACCEPTED,
    "200 OK": OrderOutcome.ALREADY_APPLIED,
    "409 Conflict": OrderOutcome.CONFLICT,
    "412 Precondition Failed": OrderOutcome.FENCED,
    "503 Busy": OrderOutcome.REFUSED,
}


@pytest.mark.parametrize("second", ["202 Accepted", "409 Conflict"])
@pytest.mark.parametrize("first", ANSWERS)
async def test_answer_to_an_earlier_order_is_not_taken_for_that_to_the_next(
    first: str, second: str
):
    """Guards against an accepted order that counts as refused, and the reverse."""
    statuses = [first, second]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while statuses:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = head.partition("content-length: ")[2].partition("\r\n")[0]
                await reader.readexactly(int(length))
                writer.write(last)
                await asyncio.sleep(0.02)
                last = (
                    f"HTTP/1.1 {statuses.pop(0)}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                writer.write(last)
            await reader.read()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    async with harness(FakePlainServer("i-1")) as site:
        outcomes = [
            await site.app.orders.send(
                Order("i-9", Action.LOAD, f"m{number}", "", number), f"{host}:{port}", 1
            )
            for number in range(2)
        ]
    listener.close()
    assert outcomes == [ANSWERS[first], ANSWERS[second]]
