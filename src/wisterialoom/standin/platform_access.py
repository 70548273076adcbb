"""Client with which emulated backend servers call the emulated platform."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import Any, TYPE_CHECKING

import aiohttp
import orjson

if TYPE_CHECKING:
    from wisterialoom.core.fleet.instance_list import ListedInstance

__all__ = ["PlatformAccess"]

RETRY_DELAY_S = 0.2
MAX_ATTEMPTS = 50
TIMEOUT_S = 2.0


class PlatformAccess:
    """Registers a backend server, and gets load durations from the weight store.

    Attributes:
        url: Base address of the platform. If empty, no calls are made.
    """

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")

    async def register(self, instance: ListedInstance) -> None:
        """Add an instance to the instance list."""
        item = {**asdict(instance), "state": instance.state.value}
        await self._post_change({"register": item})

    async def mark_leaving(self, name: str) -> None:
        """Mark an instance as leaving."""
        await self._post_change({"leaving": name})

    async def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        await self._post_change({"remove": name})

    async def load_time(self, load_s: float, adapter: bool) -> float:
        """Begin a load; return its duration in seconds.

        Returns `load_s` if the platform does not respond.
        """
        item = await self._post("/weights", {"load_s": load_s, "adapter": adapter})
        return load_s if item is None else float(item["load_s"])

    async def _post_change(self, item: dict[str, Any]) -> None:
        for _ in range(MAX_ATTEMPTS):
            if not self.url or await self._post("/instances", item) is not None:
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def _post(self, path: str, item: dict[str, Any]) -> dict[str, Any] | None:
        if not self.url:
            return None
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    self.url + path, data=orjson.dumps(item), raise_for_status=True
                ) as response,
            ):
                answer: dict[str, Any] = orjson.loads(await response.read())
                return answer
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
