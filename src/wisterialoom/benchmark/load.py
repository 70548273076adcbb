"""Runs a number of concurrent streams and measures the time to the first token."""

from __future__ import annotations

import asyncio
import statistics
import time
from dataclasses import dataclass, field

import aiohttp

from wisterialoom.benchmark.site import API_KEY, MODEL

__all__ = ["LoadResult", "run_load"]

TOKENS = 32
"""Number of tokens of each stream."""

STREAM_END = b"data: [DONE]"


@dataclass
class LoadResult:
    """Results as seen by callers.

    Attributes:
        first_token_s: Time from sending to the first output of each complete stream,
            in seconds.
        incomplete: Number of answers that were not a complete stream.
        duration_s: Duration of the run, in seconds.
    """

    first_token_s: list[float] = field(default_factory=list)
    incomplete: int = 0
    duration_s: float = 0.0

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the time to the first token in milliseconds."""
        cuts = statistics.quantiles(self.first_token_s, n=100, method="inclusive")
        return cuts[percent - 1] * 1e3


async def run_load(url: str, streams: int, for_s: float) -> LoadResult:
    """Run concurrent streams against one address.

    Args:
        url: Base address of an engine or an entry instance.
        streams: Number of concurrent streams.
        for_s: Time in seconds after which no new stream is started.
    """
    result = LoadResult()
    connector = aiohttp.TCPConnector(limit=0)
    headers = {"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "10000"}
    started_at = time.monotonic()
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:

        async def run_streams(number: int) -> None:
            # Spread the starts, since the writes of streams that start together would
            # delay each other.
            await asyncio.sleep(number * TOKENS * 0.02 / streams)
            while time.monotonic() < started_at + for_s:
                await _stream(session, url, result)

        await asyncio.gather(*(run_streams(number) for number in range(streams)))
    result.duration_s = time.monotonic() - started_at
    return result


async def _stream(session: aiohttp.ClientSession, url: str, result: LoadResult) -> None:
    body = {"model": MODEL, "prompt": "A note.", "max_tokens": TOKENS, "stream": True}
    sent_at = time.perf_counter()
    async with session.post(f"{url}/v1/completions", json=body) as response:
        first = await response.content.readany()
        elapsed = time.perf_counter() - sent_at
        rest = await response.content.read()
    if response.status != 200 or STREAM_END not in first + rest:
        result.incomplete += 1
        return
    result.first_token_s.append(elapsed)
