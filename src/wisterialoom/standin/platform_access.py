"""How stand-in backend servers use the stand-in platform."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import Any, TYPE_CHECKING

import aiohttp
import orjson

if TYPE_CHECKING:
    from wisterialoom.core.fleet.instance_list import ListedInstance

__all__ = ["PlatformAccess"]

RETRY_S = 0.2
TRIES = 50
TIMEOUT_S = 2.0


class PlatformAccess:
    """Lists a backend server, and asks the weight store for its loads.

    Attributes:
        url: Base address of the platform; empty leaves everything undone.
    """

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")

    async def register(self, instance: ListedInstance) -> None:
        """Add an instance to the instance list."""
        item = {**asdict(instance), "state": instance.state.value}
        await self._change({"register": item})

    async def mark_leaving(self, name: str) -> None:
        """Mark an instance as leaving."""
        await self._change({"leaving": name})

    async def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        await self._change({"remove": name})

    async def load_time(self, load_s: float, adapter: bool) -> float:
        """Begin a load; return its seconds, or `load_s` if nobody answers."""
        item = await self._post("/weights", {"load_s": load_s, "adapter": adapter})
        return load_s if item is None else float(item["load_s"])

    async def _change(self, item: dict[str, Any]) -> None:
        for _ in range(TRIES):
            if not self.url or await self._post("/instances", item) is not None:
                return
            await asyncio.sleep(RETRY_S)

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
