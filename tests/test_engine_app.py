"""Tests of the emulated engine and the emulated service over loopback HTTP."""

import asyncio
import json
from contextlib import asynccontextmanager

import aiohttp
import openai
import pytest

from wisterialoom.core.engine import ModelKey
from wisterialoom.engine import EngineClient
from wisterialoom.standin.answer import answer_text
from wisterialoom.standin.engine_app import EngineApp
from wisterialoom.standin.engine_batch import BatchSettings
from wisterialoom.standin.engine_fault import EngineSettings
from wisterialoom.standin.server import StandinServer
from wisterialoom.standin.service_app import ServiceApp

BATCH = BatchSettings(first_token_s=0.005, token_gap_s=0.002)
MODEL, BASE, ADAPTER = ModelKey("m", "1"), ModelKey("base", "1"), ModelKey("a", "3")
CHAT = "/v1/chat/completions"


@asynccontextmanager
async def running_engine():
    engine = EngineApp(EngineSettings(batch=BATCH))
    engine.memory.models.update({MODEL: 10, BASE: 10})
    engine.memory.adapters[ADAPTER] = 1
    engine.memory.bases[ADAPTER] = BASE
    async with (
        StandinServer(engine.app) as server,
        aiohttp.ClientSession(server.url) as session,
    ):
        engine.url = server.url
        yield engine, session


def request_body(tokens=8, model="m", *, stream=True, prompt="hello"):
    messages = [{"role": "user", "content": prompt}]
    item = {"model": model, "messages": messages, "max_tokens": tokens}
    return json.dumps({**item, "stream": stream}).encode()


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


async def read_pieces(received, answer):
    async for piece in answer.content.iter_any():
        received += piece


def streamed_text(raw):
    lines = [line[6:] for line in raw.decode().splitlines() if line]
    assert lines[-1] == "[DONE]"
    choices = [c for line in lines[:-1] for c in json.loads(line)["choices"]]
    return "".join(choice["delta"]["content"] for choice in choices)


async def test_concurrent_openai_clients_never_get_the_response_of_another_request():
    async with running_engine() as (engine, _session):
        client = openai.AsyncOpenAI(
            base_url=f"{engine.url}/v1", api_key="k", max_retries=0, timeout=20
        )

        async def complete(number, *, stream):
            answer = await client.chat.completions.create(
                model="a" if number % 2 else "m@1",
                messages=[{"role": "user", "content": f"question {number}"}],
                max_tokens=number + 1,
                stream=stream,
                extra_headers={"X-Request-Id": f"r{number}"},
            )
            if not stream:
                assert answer.usage.completion_tokens == number + 1
                return answer.choices[0].message.content
            parts = [c.choices[0].delta.content async for c in answer if c.choices]
            assert len(parts) == number + 1
            return "".join(parts)

        calls = [complete(n, stream=n % 3 > 0) for n in range(12)]
        texts = await asyncio.gather(*calls)
        await client.close()
        assert [text.split("]")[0] for text in texts] == [f"[r{n}" for n in range(12)]
        await wait_until(lambda: not engine.in_progress)
        assert not engine.memory.busy
        assert {run.ended for run in engine.record.runs} == {"done"}


async def test_requests_for_absent_models_or_to_a_leaving_engine_never_run():
    async with running_engine() as (engine, session):
        answer = await session.post(CHAT, data=request_body(model="other"))
        assert (answer.status, answer.headers["X-Not-Started"]) == (409, "1")
        assert (await answer.json())["error"]["type"] == "not_resident"
        engine.fault.leaving = True
        answer = await session.post(CHAT, data=request_body())
        assert (answer.status, answer.headers["X-Not-Started"]) == (503, "1")
        assert (await session.get("/state")).headers["X-Leaving"] == "1"
        assert engine.record.runs == []


@pytest.mark.parametrize("stream", [False, True])
async def test_disconnected_client_leaves_no_job_or_kv_cache_behind(stream):
    async with running_engine() as (engine, session):
        call = asyncio.ensure_future(
            session.post(CHAT, data=request_body(9000, stream=stream))
        )
        await wait_until(lambda: engine.batch.runs)
        if stream:
            (await call).close()
        call.cancel()
        await wait_until(lambda: not engine.in_progress)
        assert engine.record.runs[0].ended == "cancelled"
        assert not engine.batch.runs
        assert engine.batch.kv_used == 0


async def test_cut_stream_is_not_marked_complete_and_resumes_without_a_second_run():
    headers = {"X-Request-Id": "r1", "X-Resumable": "1"}
    async with running_engine() as (engine, session):
        engine.fault.cut_answers = 1
        sent = request_body(20)
        answer = await session.post(CHAT, data=sent, headers=headers)
        received = bytearray()
        with pytest.raises(aiohttp.ClientError):
            await read_pieces(received, answer)
        assert b"[DONE]" not in received
        complete_events = [part for part in received.split(b"\n\n")[:-1] if part]
        resume = {"X-Request-Id": "r1", "X-Resume-From": str(len(complete_events))}
        answer = await session.post(CHAT, data=sent, headers=resume)
        rest = await answer.read()
        received_stream = b"\n\n".join(complete_events) + b"\n\n" + rest
        assert streamed_text(received_stream) == answer_text("r1", sent, 20)
        assert len(engine.record.runs) == 1


async def test_repeated_run_of_a_non_idempotent_operation_is_never_missed():
    headers = {"X-Request-Id": "r1", "X-Run-Once": "1", "Idempotency-Key": "k"}
    async with running_engine() as (_engine, session):
        for _ in range(2):
            await (
                await session.post(CHAT, data=request_body(), headers=headers)
            ).read()
        records = await (await session.get("/records")).json()
        assert records["doubles"] == ["k ran for r1 after r1"]


async def test_cache_events_are_never_reported_early_or_without_injected_gaps():
    async with running_engine() as (engine, session):
        engine.fault.cache_gap_every = 3
        call = await session.post(CHAT, data=request_body(prompt="x" * 256 * 7))
        await call.read()
        reported = await (await session.get("/cache_events")).json()
        assert reported["events"] == []
        engine.fault.cache_lag_s = 0.0
        client = EngineClient(session)
        address = engine.url.removeprefix("http://")
        reports = await client.read_cache_events("e", address, 1)
        assert [(r.first, r.last) for r in reports] == [(2, 2), (4, 5), (7, 7)]
        cached = {prefix_hash for _, prefix_hash in engine.batch.cache.blocks}
        assert {h for r in reports for h in r.stored} < cached


async def test_service_never_miscounts_runs_when_connections_are_dropped():
    service = ServiceApp("plates")
    async with (
        StandinServer(service.app) as server,
        aiohttp.ClientSession(server.url) as session,
    ):
        answer = await session.request("PURGE", "/a?b=1", data=b"x")
        assert (await answer.json())["runs"] == 1
        headers = {"X-Request-Id": "r2", "X-Run-Once": "1"}
        for fault, runs in (("drop_before", 1), ("drop_after", 2), ("drop_after", 3)):
            await session.post("/faults", json={fault: 1})
            with pytest.raises(aiohttp.ClientError):
                await session.post("/plates", data=b"p", headers=headers)
            assert len(service.record.runs) == runs
        assert len(service.record.doubles) == 1
        await session.post("/faults", json={"error_status": 500})
        assert (await session.post("/plates")).status == 500
        assert (await session.post("/faults", json={"nonsense": 1})).status == 400
