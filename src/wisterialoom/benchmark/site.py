"""Runs an emulated platform, an emulated engine and an entry instance as processes."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import orjson

from wisterialoom.object_api.client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["API_KEY", "MODEL", "BenchmarkSite", "open_site"]

API_KEY = "benchmark-key"
MODEL = "drafting"
CONFIG_KEY = "config/document"
START_TIMEOUT_S = 20.0
"""Maximum time until the model is served."""

POLL_S = 0.05
SLOTS = "256"
"""Concurrent requests that the engine serves at full speed, more than are measured."""

ENGINE = (
    *("--name", "engine-1", "--slots", SLOTS, "--load-s", "0.1"),
    *("--first-token-s", "0.02", "--token-gap-s", "0.02"),
)
DOCUMENT = f"""
[deployment]
name = "benchmark"

[[availability_zones]]
name = "az-1"

[[models]]
name = "{MODEL}"
version = "1"
memory_mb = 16000
load_s = 0.1
min_replicas = 1

[[server_groups]]
name = "engines"
selector = "kind=engine"
memory_mb = 24000
slots = {SLOTS}

[[traffic_classes]]
name = "urgent"
priority = 0

[[callers]]
name = "benchmark"
api_key_sha256 = "{hashlib.sha256(API_KEY.encode()).hexdigest()}"
traffic_class = "urgent"
"""
SETTINGS = """
[instance]
name = "entry-1"
availability_zone = "az-1"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
url = "{platform}"
"""


@dataclass(frozen=True, slots=True)
class BenchmarkSite:
    """Addresses of the running processes.

    Attributes:
        engine: Base address of the engine.
        entry: Base address of the entry instance, for callers.
        entry_pid: Process id of the entry instance.
    """

    engine: str
    entry: str
    entry_pid: int

    def entry_cpu_s(self) -> float:
        """Return the processor time of the entry instance so far, in seconds."""
        text = Path(f"/proc/{self.entry_pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        # User and system time are the 14th and 15th field, counted from 1.
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextlib.asynccontextmanager
async def open_site() -> AsyncIterator[BenchmarkSite]:
    """Start the processes, wait until the model is served, and stop them at the end."""
    async with contextlib.AsyncExitStack() as stack:
        platform = await _start_standin(stack, "platform")
        async with aiohttp.ClientSession() as session:
            client = PlatformClient(session, platform, 2.0)
            await client.write(CONFIG_KEY, DOCUMENT.encode(), 0)
            engine = await _start_standin(
                stack, "engine", *ENGINE, "--platform", platform
            )
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            path = Path(folder) / "entry.toml"
            path.write_text(SETTINGS.format(platform=platform))
            process = await _spawn(stack, "entry", "--config", str(path))
            entry = await _wait_for_address(stack, process)
            site = BenchmarkSite(engine, entry, process.pid)
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await _is_serving(session, site.entry):
                    await asyncio.sleep(POLL_S)
            yield site


async def _wait_for_address(
    stack: contextlib.AsyncExitStack, process: asyncio.subprocess.Process
) -> str:
    """Return the address for callers from the log, and discard the rest of the log."""
    assert process.stderr is not None
    while line := await process.stderr.readline():
        item = orjson.loads(line)
        if item.get("message") == "listening":
            task = asyncio.create_task(_discard(process.stderr))
            stack.callback(task.cancel)
            return f"http://{item['callers']}"
    raise RuntimeError(
        "the entry instance exited before listening; run it by hand and read its log"
    )


async def _discard(stream: asyncio.StreamReader) -> None:
    while await stream.readline():
        pass


async def _spawn(
    stack: contextlib.AsyncExitStack, *arguments: str
) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "wisterialoom", *arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    stack.push_async_callback(_stop_process, process)
    return process


async def _stop_process(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


async def _start_standin(stack: contextlib.AsyncExitStack, *arguments: str) -> str:
    process = await _spawn(stack, "standin", *arguments)
    assert process.stdout is not None
    line = orjson.loads(await process.stdout.readline())
    return f"http://{line['address']}"


async def _is_serving(session: aiohttp.ClientSession, entry: str) -> bool:
    body = {"model": MODEL, "prompt": "Wake up.", "max_tokens": 4}
    headers = {"Authorization": f"Bearer {API_KEY}"}
    try:
        url = f"{entry}/v1/completions"
        async with session.post(url, json=body, headers=headers) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
