"""Keeps a number of streams going and times their first tokens."""

from __future__ import annotations

import asyncio
import statistics
import time
from dataclasses import dataclass, field

import aiohttp

from wisterialoom.benchmark.site import API_KEY, MODEL

__all__ = ["LoadResult", "run_load"]

TOKENS = 32
"""Tokens of each stream."""

STREAM_END = b"data: [DONE]"


@dataclass
class LoadResult:
    """What callers saw.

    Attributes:
        first_token_s: Times from sending to the first output.
        refused: Answers other than whole streams.
        took_s: Time of the whole run.
    """

    first_token_s: list[float] = field(default_factory=list)
    refused: int = 0
    took_s: float = 0.0

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the times to the first token, in ms."""
        cuts = statistics.quantiles(self.first_token_s, n=100, method="inclusive")
        return cuts[percent - 1] * 1e3


async def run_load(url: str, streams: int, for_s: float) -> LoadResult:
    """Keep streams going against one address.

    Args:
        url: Base address of an engine or an entry instance.
        streams: How many at once.
        for_s: Time after which no stream is begun.
    """
    result = LoadResult()
    connector = aiohttp.TCPConnector(limit=0)
    headers = {"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "10000"}
    begun = time.monotonic()
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:

        async def keep_going(number: int) -> None:
            # Streams that begin together would all wait for each other's writes.
            await asyncio.sleep(number * TOKENS * 0.02 / streams)
            while time.monotonic() < begun + for_s:
                await _stream(session, url, result)

        await asyncio.gather(*(keep_going(number) for number in range(streams)))
    result.took_s = time.monotonic() - begun
    return result


async def _stream(session: aiohttp.ClientSession, url: str, result: LoadResult) -> None:
    body = {"model": MODEL, "prompt": "A note.", "max_tokens": TOKENS, "stream": True}
    sent = time.perf_counter()
    async with session.post(f"{url}/v1/completions", json=body) as response:
        first = await response.content.readany()
        elapsed = time.perf_counter() - sent
        rest = await response.content.read()
    if response.status != 200 or STREAM_END not in first + rest:
        result.refused += 1
        return
    result.first_token_s.append(elapsed)
