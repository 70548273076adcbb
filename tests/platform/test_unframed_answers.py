"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import pytest

from tests import raw_answers
from tests.platform.fakes import FakeModelServer, FakePlainServer
from tests.platform.test_app import harness, wait_until
from tests.platform.test_lost_paths import lost_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MODELS: dict[str, list[str]] = {"m1": []}

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in (1, 2, 3)]


class ListedServer(FakePlainServer):
    """A server that is listed only; something else answers at its address."""

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass


@asynccontextmanager
async def answering(data: bytes, *, reset: bool = False) -> AsyncIterator[str]:
    """Run a server that answers each request with some bytes and closes.

    Args:
        data: Body of the answers.
        reset: Whether connections are reset instead of closed.
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        writer.write(data)
        await asyncio.sleep(0.05)
        if reset:
            raw_answers.reset(writer)
        writer.close()

    listener = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    yield f"{host}:{port}"
    listener.close()


async def test_stream_that_ends_after_a_whole_event_is_complete():
    model = FakeModelServer("i-1", models=MODELS)
    async with answering(b"".join(EVENTS)) as address, harness(model) as site:
        model.address = address
        await site.store.put("servers", "i-1", model.entry() | {"born": 2})
        await site.wait_for_address("i-1", address)
        for path in ("/draft/", "/once/"):
            status, _, body = await site.call(path, Model="m1")
            assert (status, body) == (200, b"".join(EVENTS))


@pytest.mark.parametrize("part", [b"id: 3\nda", b"id: 3\ndata: 3\n"])
async def test_stream_that_ends_inside_an_event_is_broken_off(part: bytes):
    """Its caller got it as a complete answer."""
    model = FakeModelServer("i-1", models=MODELS)
    data = EVENTS[0] + EVENTS[1] + part
    async with answering(data) as address, harness(model) as site:
        model.address = address
        await site.store.put("servers", "i-1", model.entry() | {"born": 2})
        await site.wait_for_address("i-1", address)
        with pytest.raises(aiohttp.ClientPayloadError):
            await site.call("/once/", Model="m1")


async def test_stream_that_ends_inside_an_event_goes_on_at_another_server():
    broken = FakeModelServer("i-1", models=MODELS)
    sound = FakeModelServer("i-2", models=MODELS, events=3)
    data = EVENTS[0] + EVENTS[1][:-3]
    async with answering(data) as address, harness(broken, sound) as site:
        broken.address = address
        await site.store.put("servers", "i-1", broken.entry() | {"born": 2})
        await site.wait_for_address("i-1", address)
        for number in range(6):
            status, _, body = await site.call(
                "/draft/", Model="m1", Attempt_Id=f"b{number}"
            )
            assert (status, body) == (200, b"".join(EVENTS))
        assert any("Last-Event-Id" in headers for headers in sound.seen)


async def test_stream_without_any_event_is_broken_off_if_it_ends_inside_one():
    plain = FakePlainServer("i-2")
    model = FakeModelServer("i-1", models=MODELS)
    async with answering(b"id: 1\nda") as address, harness(model, plain) as site:
        model.address = address
        await site.store.put("servers", "i-1", model.entry() | {"born": 2})
        await site.wait_for_address("i-1", address)
        status, _, _ = await site.call("/once/", Model="m1")
        assert status == 502


@pytest.mark.parametrize("path", ["/look/", "/deposit/"])
async def test_answer_that_is_reset_is_incomplete_through_another_instance_too(
    path: str,
):
    """The helping instance ended it regularly, so its caller got half of it."""
    async with answering(b"half", reset=True) as address:
        server = ListedServer("i-1", address=address)
        async with lost_site(server) as (apps, site):
            assert (await site.call(path))[0] == 502
            await wait_until(lambda: not any(app.helper_server.active for app in apps))
