"""Tests of `wisterialoom.standin.run` with separate processes."""

import asyncio
import json
import os
import pathlib
import signal
import sys

import aiohttp
import pytest

import wisterialoom
from wisterialoom.core.fleet.instance_list import InstanceState
from wisterialoom.object_api import PlatformClient

SOURCE = str(pathlib.Path(wisterialoom.__file__).parents[1])


@pytest.fixture
async def processes():
    started = []
    yield started
    for process in started:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def start_process(processes, function_call):
    code = f"from wisterialoom.standin.run import *; {function_call}"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": SOURCE},
    )
    processes.append(process)
    line = await asyncio.wait_for(process.stdout.readline(), 20)
    return process, json.loads(line)["address"]


async def wait_until_listed(client, check):
    async with asyncio.timeout(20):
        while not check(listing := (await client.instances()).instances):
            await asyncio.sleep(0.02)
    return listing


@pytest.mark.processes
async def test_terminated_engine_does_not_exit_before_its_requests_complete(processes):
    platform, address = await start_process(processes, "run_platform()")
    engine, engine_address = await start_process(
        processes,
        f"run_engine(name='e1', platform='http://{address}', load_s=0.01, "
        "token_gap_s=0.01, labels={'role': 'drafting'})",
    )
    async with aiohttp.ClientSession() as session:
        client = PlatformClient(session, f"http://{address}", 2.0)
        (listed,) = await wait_until_listed(client, lambda listing: listing)
        assert listed.address == engine_address
        assert listed.labels == {"role": "drafting", "kind": "engine"}
        order = {
            "order_id": "1",
            "fence": {"epoch": 1, "sequence": 1},
            "action": {"kind": "load_model", "model": "m@1", "memory_mb": 10},
        }
        done = await session.post(f"http://{engine_address}/orders", json=order)
        assert done.status == 200
        answer = await session.post(
            f"http://{engine_address}/v1/completions",
            json={"model": "m", "prompt": "p", "max_tokens": 60, "stream": True},
        )
        await answer.content.readany()
        engine.send_signal(signal.SIGTERM)
        await wait_until_listed(
            client, lambda listing: listing[0].state is InstanceState.LEAVING
        )
        assert (await answer.read()).endswith(b"data: [DONE]\n\n")
        assert await asyncio.wait_for(engine.wait(), 20) == 0
        assert await wait_until_listed(client, lambda listing: not listing) == ()
        loads = await session.get(f"http://{address}/records")
        assert (await loads.json())["loads"] == 1
    platform.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(platform.wait(), 20) == 0
