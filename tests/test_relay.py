"""Tests of `wisterialoom.http.relay` and `exchange` over real connections."""

import asyncio
import contextlib
from types import SimpleNamespace

import aiohttp
import orjson
import pytest
from aiohttp import web

from tests import raw_answers
from wisterialoom.client_session import open_session
from wisterialoom.core.requests.request import Attempt, AttemptResult, ServerNoticed
from wisterialoom.demo import DEMO_API_KEY, open_demo
from wisterialoom.http.relay import Relay
from wisterialoom.server_connection import ServerConnector
from wisterialoom.standin.answer import answer_text
from wisterialoom.standin.server import StandinServer

TOKENS = 12
LIMIT_S = 30.0


@contextlib.asynccontextmanager
async def open_ready_demo():
    """Start the demo deployment and wait until its models are served."""
    async with asyncio.timeout(LIMIT_S), open_demo() as deployment:
        headers = {"Authorization": f"Bearer {DEMO_API_KEY}", "X-Deadline-Ms": "20000"}
        async with aiohttp.ClientSession(headers=headers) as session:
            while not deployment.app.is_ready():
                await asyncio.sleep(0.02)
            status = 0
            while status != 200:
                status, *_ = await complete(deployment, session, "Wake up.")
            yield deployment, session


async def complete(deployment, session, prompt, **fields):
    body = {"model": "drafting", "prompt": prompt, "max_tokens": TOKENS, **fields}
    url = f"{deployment.urls['callers']}/v1/completions"
    sent = orjson.dumps(body)
    headers = {"Content-Type": "application/json"}
    async with session.post(url, data=sent, headers=headers) as response:
        answer = await response.read()
    if response.status == 200 and "stream" not in fields:
        own = answer_text(response.headers["X-Request-Id"], sent, TOKENS)
        assert orjson.loads(answer)["choices"][0]["text"] == own
    return response.status, response.headers, answer


async def deposit(deployment, session, key):
    url = f"{deployment.urls['callers']}/registry/deposits"
    headers = {"Idempotency-Key": key}
    async with session.post(url, json={}, headers=headers) as response:
        return response.status, response.headers


async def test_each_caller_gets_the_complete_answer_to_its_own_request():
    async with open_ready_demo() as (deployment, session):
        engine = deployment.engines[0]
        await check_own_answers(deployment, session)
        # No part of a truncated buffered answer was relayed, so it is retried.
        engine.fault.cut_answers = 1
        status, headers, _ = await complete(deployment, session, "Cut.")
        assert (status, headers["X-Outcome"]) == (200, "completed")
        assert engine.fault.cut_answers == 0
        # A truncated stream lacks its last event and the final chunk.
        engine.fault.cut_answers = 1
        with pytest.raises(aiohttp.ClientPayloadError):
            await complete(deployment, session, "Cut.", stream=True)
        engine.fault.swap_ids = -1
        status, headers, _ = await complete(deployment, session, "Swapped.")
        assert (status, headers["X-Outcome"]) == (502, "unknown")


async def test_stream_without_its_last_event_is_relayed_as_truncated(monkeypatch):
    async with open_ready_demo() as (deployment, session):
        monkeypatch.setattr("wisterialoom.standin.completions.STREAM_END", b"")
        with pytest.raises(aiohttp.ClientPayloadError):
            await complete(deployment, session, "Cut.", stream=True)


async def check_own_answers(deployment, session):
    prompts = [f"Draft note {number}." for number in range(16)]
    answers = await asyncio.gather(
        *(complete(deployment, session, text) for text in prompts)
    )
    assert {status for status, *_ in answers} == {200}
    assert len({headers["X-Request-Id"] for _, headers, _ in answers}) == len(prompts)


async def test_lost_replayed_and_refused_requests_report_their_outcome():
    async with open_ready_demo() as (deployment, session):
        deployment.service.fault.drop_after = 1
        status, headers = await deposit(deployment, session, "lost")
        assert (status, headers["X-Outcome"]) == (502, "unknown")
        status, headers = await deposit(deployment, session, "lost")
        assert (status, headers["X-Outcome"]) == (409, "unknown")
        assert len(deployment.service.record.runs) == 1
        deployment.service.fault.leaving = True
        status, headers = await deposit(deployment, session, "leaving")
        assert (status, headers["X-Outcome"]) == (503, "not_run")
        assert float(headers["Retry-After"]) >= 1.0
        assert len(deployment.service.record.runs) == 1


def make_relay(address, deliver, answers=None, *, idempotent=True, room=10**9):
    """Return an attempt at a server, and collect complete answers.

    Args:
        address: Address of the server.
        deliver: Receives events.
        answers: Receives complete answers.
        idempotent: Whether the request may run more than once.
        room: Bytes of the answer that may be held.
    """
    held = 0

    def hold(count):
        nonlocal held
        has_room = held + count <= room
        held += count if has_room else 0
        return has_room

    received = SimpleNamespace(
        request=SimpleNamespace(method="GET"), target="/", body=b"", headers={}
    )
    exchange = SimpleNamespace(
        hold=hold,
        received_request=received,
        request_id="r1",
        keeps_answer=False,
        caller_gone=False,
        send_complete=lambda *answer: (
            None if answers is None else answers.append(answer)
        ),
    )
    command = SimpleNamespace(
        attempt=Attempt("r1", 1, "registry-1", ""),
        classified=SimpleNamespace(priority=0, idempotent=idempotent),
        valid_until=float("inf"),
    )
    return Relay(command, exchange, address, deliver)


@pytest.mark.parametrize("reset", [True, False])
async def test_reset_of_an_answer_without_a_length_is_not_taken_for_its_end(reset):
    """Its caller got the part that had arrived as the complete answer."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await asyncio.sleep(0.05)
        if reset:
            raw_answers.reset(writer)
        writer.close()

    listener = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    answers = []
    relay = make_relay(f"{host}:{port}", lambda _: None, answers)
    async with open_session(ServerConnector()) as session:
        ended = await relay.run(session)
    listener.close()
    expected = AttemptResult.LOST if reset else AttemptResult.COMPLETED
    assert ended.result is expected
    assert [answer[2] for answer in answers] == ([] if reset else [b"half"])


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, {"X-Leaving": "1"}, (True, 0.0)),
        (503, {"Retry-After": "2.5"}, (False, 2.5)),
        (503, {"Retry-After": "3", "X-Leaving": "1"}, (True, 3.0)),
        (503, {"Retry-After": "Wed, 21 Oct 2026 07:28:00 GMT"}, None),
        (200, {"Retry-After": "3"}, None),
        (200, {"X-Request-Limit": "1.7"}, (False, 0.0, True, 1.7)),
        (200, {"X-Request-Limit": "soon"}, (False, 0.0, True, None)),
        (200, {"X-Brittle": "3"}, (False, 0.0, False, None, 3.0)),
    ],
)
async def test_notice_of_a_server_is_reported_before_its_answer_ends(
    status, headers, expected
):
    events = []
    ended = asyncio.Event()

    async def answer_slowly(request):
        response = web.StreamResponse(status=status, headers=headers)
        await response.prepare(request)
        await response.write(b"a")
        await ended.wait()
        return response

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer_slowly)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    relay = make_relay(f"{host}:{port}", events.append)
    async with aiohttp.ClientSession() as session, asyncio.timeout(LIMIT_S):
        running = asyncio.create_task(relay.run(session))
        if expected is not None:
            while not events:
                await asyncio.sleep(0.005)
            assert not running.done()
            assert events == [ServerNoticed(relay.attempt, *expected)]
        ended.set()
        result = await running
    assert result.retry_after_s == (expected[1] or None if expected else None)
    assert not any(isinstance(x, ServerNoticed) for x in events[1:])
    assert expected is not None or not isinstance(events[0], ServerNoticed)
    await runner.cleanup()


async def test_answer_without_memory_is_forwarded_as_it_arrives_and_not_kept():
    body = b"r" * 200_000

    async def answer(_):
        return web.Response(body=body)

    sent = bytearray()

    async def ignore(*_):
        pass

    async def write(data):
        sent.extend(data)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    async with StandinServer(app) as server, open_session(ServerConnector()) as session:
        address = server.url.removeprefix("http://")
        relay = make_relay(address, lambda _: None, idempotent=False, room=100_000)
        relay.exchange.begin, relay.exchange.write = ignore, write
        relay.exchange.end = ignore
        ended = await relay.run(session)
    assert ended.result is AttemptResult.COMPLETED
    assert bytes(sent) == body
    assert not ended.answer.is_whole
    assert relay.held_bytes == 0
