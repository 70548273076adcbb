"""Tests of `wisterialoom.http.caller_api`: bad requests and the list of models."""

import asyncio
import hashlib

import aiohttp
import pytest
from aiohttp import web

from wisterialoom.caller_memory import CallerMemory
from wisterialoom.caller_server import CallerRunner
from wisterialoom.core.configuration.document import Caller
from wisterialoom.core.memory_budget import MemoryBudget
from wisterialoom.core.requests.classifier import Classifier
from wisterialoom.core.requests.request import CallerGone, Refusal
from wisterialoom.http.caller_api import CallerApi
from wisterialoom.standin.server import StandinServer

CHAT = "/v1/chat/completions"


@pytest.mark.parametrize(
    ("status", "body", "headers"),
    [
        (413, b"x" * 2_000, {}),
        (400, b"not json", {}),
        (400, b'{"model": 7}', {}),
        (400, b'{"model": "m"}', {"X-Deadline-Ms": "soon"}),
        (400, b'{"model": "m"}', {"Idempotency-Key": "k" * 300}),
    ],
)
async def test_malformed_request_is_refused_as_not_run(status, body, headers):
    events = []
    caller_api = CallerApi(events.append, lambda: "r1", lambda _: [])
    server = StandinServer(caller_api.make_app(1_000))
    async with server, aiohttp.ClientSession() as session:
        url = server.url + CHAT
        async with session.post(url, data=body, headers=headers) as response:
            error = (await response.json())["error"]
            assert response.status == status
            assert response.headers["X-Outcome"] == "not_run"
    assert (error["code"], error["outcome"]) == ("bad_request", "not_run")
    assert "send" in error["message"]
    assert events == []
    assert caller_api.bad_requests == 1


async def test_body_without_memory_is_refused_as_not_run():
    events = []
    memory = CallerMemory(MemoryBudget(4_000))
    caller_api = CallerApi(events.append, lambda: "r1", lambda _: [], memory)
    server = StandinServer(caller_api.make_app(100_000))
    async with (
        server,
        aiohttp.ClientSession() as session,
        session.post(server.url + CHAT, data=b"x" * 9_000) as response,
    ):
        error = (await response.json())["error"]
        assert response.status == 503
        assert response.headers["X-Outcome"] == "not_run"
        assert int(response.headers["Retry-After"]) >= 1
        assert response.headers["Connection"] == "close"
    assert (error["code"], error["outcome"]) == ("memory", "not_run")
    assert events == []
    assert memory.budget.used == 0


@pytest.mark.parametrize("settled_first", [True, False])
async def test_nothing_is_held_for_a_caller_that_has_gone(settled_first):
    """Guards against bodies that stay after callers left, whatever ended first."""
    events = []
    caller_api = CallerApi(events.append, lambda: "r1", lambda _: [])
    runner = CallerRunner(caller_api.make_app(100_000), handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    async with asyncio.timeout(10.0):
        _, writer = await asyncio.open_connection(host, port)
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789"
        )
        while not events:
            await asyncio.sleep(0.01)
        assert caller_api.memory.budget.used == 9
        if settled_first:
            caller_api.record_settled("r1")
        writer.close()
        while settled_first and caller_api.exchanges:
            await asyncio.sleep(0.01)
        while not settled_first and len(events) < 2:
            await asyncio.sleep(0.01)
    if not settled_first:
        # The attempt may still be sending the body.
        assert events[1:] == [CallerGone("r1")]
        assert caller_api.memory.budget.used == 9
        caller_api.record_settled("r1")
    assert caller_api.exchanges == {}
    assert caller_api.memory.budget.used == 0
    await runner.cleanup()


KEY = "k" * 24


def classifier() -> Classifier:
    caller = Caller(
        name="desk",
        api_key_sha256=hashlib.sha256(KEY.encode()).hexdigest(),
        traffic_class="live",
    )
    return Classifier(
        callers={caller.api_key_sha256: caller}, models=frozenset({"m1", "m0"})
    )


def list_models(api_key_sha256: str) -> list[str] | Refusal:
    return classifier().list_models(api_key_sha256)


@pytest.mark.parametrize(
    "headers", [{}, {"Authorization": "Bearer other"}, {"Authorization": KEY}]
)
async def test_models_are_not_listed_without_a_declared_key(headers):
    """Guards against listing every model for a wrong or missing key."""
    caller_api = CallerApi(lambda _: None, lambda: "r1", list_models)
    server = StandinServer(caller_api.make_app(1_000))
    async with (
        server,
        aiohttp.ClientSession(headers=headers) as session,
        session.get(server.url + "/v1/models") as response,
    ):
        error = (await response.json())["error"]
        assert response.status == 401
        assert response.headers["X-Outcome"] == "not_run"
    assert error["code"] == "no_caller"


@pytest.mark.parametrize(
    "lines",
    [
        [b"Authorization: Bearer \xff\xfe"],
        [f"Authorization: Bearer {KEY}".encode() + b"\xff"],
        [f"Authorization: Bearer {KEY}".encode(), b"Authorization: Bearer other"],
        [b"Authorization: Bearer " + b"k" * 7000],
    ],
)
async def test_keys_that_are_not_text_or_not_alone_get_401(lines):
    """A key with bytes that are not text got 500, and the first of two counted."""
    caller_api = CallerApi(lambda _: None, lambda: "r1", list_models)
    server = StandinServer(caller_api.make_app(1_000))
    async with server:
        host, _, port = server.url.removeprefix("http://").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = [b"GET /v1/models HTTP/1.1", b"Host: x", b"Connection: close", *lines]
        writer.write(b"\r\n".join(head) + b"\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 401 ")
        writer.close()
        await writer.wait_closed()


async def test_models_are_listed_for_a_declared_key():
    caller_api = CallerApi(lambda _: None, lambda: "r1", list_models)
    server = StandinServer(caller_api.make_app(1_000))
    headers = {"Authorization": f"Bearer {KEY}"}
    async with (
        server,
        aiohttp.ClientSession(headers=headers) as session,
        session.get(server.url + "/v1/models") as response,
    ):
        assert response.status == 200
        items = (await response.json())["data"]
    assert [item["id"] for item in items] == ["m0", "m1"]
