"""Streams that break off, after which the next server answers with an error.

The caller gets whole events of one stream and an end that is broken, or the stream
goes on. Nothing of another answer reaches it.
"""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from unittest.mock import patch

import pytest

from tests import raw_answers
from tests.platform.test_app import harness
from tests.platform.test_excess_bytes import ServerWithModel
from tests.platform.test_lost_paths import lost_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.test_app import Harness

EVENTS = [b"id: %d\ndata: event-%d\n\n" % (number, number) for number in range(1, 6)]
TEXT = b"ERROR-TEXT "

STATUSES = (
    "200 OK",
    "201 Created",
    "204 No Content",
    "206 Partial Content",
    "301 Moved",
    "304 Not Modified",
    "400 Bad Request",
    "401 Unauthorized",
    "404 Not Found",
    "408 Request Timeout",
    "410 Gone",
    "413 Too Large",
    "429 Too Many",
    "500 Internal Server Error",
    "502 Bad Gateway",
    "503 Service Unavailable",
    "504 Gateway Timeout",
    "599 Odd",
)
SIZES = (0, 11, 1_500_000)
FRAMINGS = ("length", "chunks", "end of the connection")
READ_TIMEOUT_S = 5.0

BREAKS = ("close inside an event", "close between events", "reset", "odd bytes")


def error_answer(
    status: str, size: int, framing: str, request_id: str, kind: str = "text/plain"
) -> bytes:
    """Return an error that does not say that the request did not run."""
    body = (TEXT * (size // len(TEXT) + 1))[:size]
    head = f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nAttempt-Id: {request_id}\r\n"
    match framing:
        case "length":
            head += f"Content-Length: {size}\r\n"
        case "chunks":
            head += "Transfer-Encoding: chunked\r\n"
            whole = b"%x\r\n%s\r\n" % (size, body) if size else b""
            body = whole + b"0\r\n\r\n"
    if status[:3] in ("204", "304"):
        body = b""
    return head.encode() + b"\r\n" + body


class BreakingServers:
    """Two servers, of which the one that is asked first breaks its stream off.

    Attributes:
        answer: What the other one answers; `%ID%` stands for the request's id.
        how: How the stream ends.
        events: The events before that.
        asked: Heads of the requests, in order.
        reached: Set once the caller has these events; the stream breaks off then.
    """

    def __init__(
        self, answer: bytes, how: str, events: list[bytes] | None = None
    ) -> None:
        self.answer = answer
        self.how = how
        self.events = EVENTS[:2] if events is None else events
        self.asked: list[str] = []
        self.reached = asyncio.Event()

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[list[ServerWithModel]]:
        listeners = [
            await asyncio.start_server(self.serve, "127.0.0.1", 0) for _ in range(2)
        ]
        found = []
        for number, listener in enumerate(listeners):
            host, port = listener.sockets[0].getsockname()
            address = f"{host}:{port}"
            found.append(
                ServerWithModel(f"i-{number}", service="scribe", address=address)
            )
        try:
            yield found
        finally:
            for listener in listeners:
                listener.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, TimeoutError
        ):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            while "/v1/report" in head:
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.asked.append(head)
            request_id = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
            if len(self.asked) == 1:
                await self.break_off(writer, request_id)
            else:
                writer.write(self.answer.replace(b"%ID%", request_id.encode()))
                await writer.drain()
        writer.close()

    async def break_off(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Response-Stamp: s\r\nTransfer-Encoding: chunked\r\nAttempt-Id: %s\r\n\r\n"
            % request_id.encode()
        )
        body = b"".join(self.events)
        if self.how == "close inside an event":
            body += EVENTS[len(self.events)][:9]
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))
        await writer.drain()
        async with asyncio.timeout(READ_TIMEOUT_S):
            await self.reached.wait()
        if self.how == "odd bytes":
            writer.write(b"HTTP/1.1 500 Internal Server Error\r\n\r\n" + TEXT)
            await writer.drain()
        if self.how == "reset":
            raw_answers.reset(writer)


async def read_raw(
    site: Harness, servers: BreakingServers
) -> tuple[bytes, bytes, bool]:
    """Return head and body of an answer, and whether it ended regularly.

    An instance whose loop stands still for 0.25 s as it connects to another one, or to
    a server, finds no way to it. As long as no server got the request, such a refusal
    is followed as a caller does.
    """
    async with asyncio.timeout(READ_TIMEOUT_S):
        while True:
            head, body, is_complete = await read_answer(site, servers)
            if servers.asked or not head.startswith(b"HTTP/1.1 503 "):
                return head, body, is_complete
            assert body == b'{"error":"no_path"}'
            retry_s = head.partition(b"Retry-After: ")[2].partition(b"\r")[0]
            await asyncio.sleep(float(retry_s))


async def read_answer(
    site: Harness, servers: BreakingServers
) -> tuple[bytes, bytes, bool]:
    host, _, port = site.app.settings.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /draft/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\n"
        b"Model: m1\r\nToken-Count: 1,2\r\nDeadline-Ms: 2500\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
            if length:
                return head, await reader.readexactly(int(length)), True
            body = b""
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    body += (await reader.readexactly(size + 2))[:-2]
                    if len(body) >= len(b"".join(servers.events)):
                        servers.reached.set()
                assert await reader.readexactly(2) == b"\r\n"
                return head, body, True
            return head, body, False
    finally:
        writer.close()


def expect_whole_events(head: bytes, body: bytes, events: list[bytes]) -> None:
    assert head.startswith(b"HTTP/1.1 200 ")
    assert head.count(b"Response-Stamp") == 1
    assert body == b"".join(events)


@pytest.mark.parametrize("way", ["direct", "through another instance"])
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_error_after_a_broken_stream_reaches_no_caller(
    framing: str, size: int, way: str
):
    """Guards against an error's text in a stream, and its end as a regular one."""
    for number, status in enumerate(STATUSES):
        answer = error_answer(status, size, framing, "%ID%")
        for has_memory in (True, False):
            servers = BreakingServers(answer, BREAKS[number % len(BREAKS)])
            async with servers.listening() as listed:
                if way == "direct":
                    async with harness(*listed) as site:
                        await expect_broken_end(
                            site, servers, status, has_memory=has_memory
                        )
                else:
                    async with lost_site(*listed, count=2) as (_, site):
                        await expect_broken_end(
                            site, servers, status, has_memory=has_memory
                        )


async def expect_broken_end(
    site: Harness, servers: BreakingServers, status: str, *, has_memory: bool
) -> None:
    memory = site.app.ingress.memory
    with patch.object(memory, "hold_answer", lambda _, count: has_memory or count <= 0):
        head, body, is_complete = await read_raw(site, servers)
    assert len(servers.asked) > 1, (status, head, body[:100])
    assert TEXT not in head + body, status
    expect_whole_events(head, body, servers.events)
    assert not is_complete, status


@pytest.mark.parametrize("how", BREAKS)
@pytest.mark.parametrize(
    "head",
    [
        "Content-Type: application/json",
        "Content-Type: text/html; charset=utf-8",
        "Content-Type: text/event-stream\r\nContent-Encoding: gzip",
    ],
)
@pytest.mark.parametrize("end", ["", "\n\n"])
async def test_success_without_events_continues_no_stream(
    head: str, how: str, end: str
):
    """Guards against a page that says 200 and is no part of the stream."""
    body = TEXT.decode() + end
    answer = (
        f"HTTP/1.1 200 OK\r\n{head}\r\nAttempt-Id: %ID%\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    )
    servers = BreakingServers(answer.encode(), how)
    async with servers.listening() as listed, harness(*listed) as site:
        await expect_broken_end(site, servers, head, has_memory=True)


@pytest.mark.parametrize("how", BREAKS)
async def test_stream_goes_on_at_a_third_server_after_an_error(how: str):
    """Guards against a stream that is given up though others can continue it."""
    rest = b"".join(EVENTS[2:])
    answer = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %%ID%%\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(rest), rest)
    )
    servers = BreakingServers(answer, how)
    async with servers.listening() as listed, harness(*listed) as site:
        head, body, is_complete = await read_raw(site, servers)
        expect_whole_events(head, body, EVENTS)
        assert is_complete
        assert "Last-Event-Id: 2\r\n" in servers.asked[1]


ODD_IDS: dict[str, bytes] = {
    "NUL": b"2\x00",
    "DEL": b"2\x7f",
    "control bytes": b"2\x01\x1f",
    "bytes above 127": b"\xff\xfe",
    "blanks": b" 2 ",
    "nothing": b"",
    "one of 100 KB": b"2" * 100_000,
}


@pytest.mark.parametrize("name", ODD_IDS)
async def test_odd_id_of_the_last_event_breaks_the_stream_at_most(name: str):
    """Guards against an id that cannot be sent on, and an error of the instance."""
    events = [EVENTS[0], b"id: %s\ndata: event-2\n\n" % ODD_IDS[name]]
    servers = BreakingServers(b"", "close between events", events)
    async with servers.listening() as listed, harness(*listed) as site:
        head, body, is_complete = await read_raw(site, servers)
        expect_whole_events(head, body, events)
        assert not is_complete
        assert not site.app.ingress.active
        for view in site.app.dispatcher.views.values():
            assert not view.in_flight
