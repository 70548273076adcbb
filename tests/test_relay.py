"""Tests of `wisterialoom.http.relay` and `exchange` over real connections."""

import asyncio
import contextlib

import aiohttp
import orjson
import pytest

from wisterialoom.demo import DEMO_API_KEY, open_demo
from wisterialoom.standin.answer import answer_text

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
