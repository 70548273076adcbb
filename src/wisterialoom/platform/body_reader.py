"""Reads the bodies of callers' requests within the memory of the process."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from wisterialoom.core.serving.memory_budget import HeldBytes, MemoryBudget

if TYPE_CHECKING:
    from collections.abc import Iterator

    from aiohttp import web

__all__ = ["BodyReader", "MEMORY_RETRY_S"]

MEMORY_RETRY_S = 1.0
"""`Retry-After` of a request that was refused for lack of memory.

Bodies that are complete are sent on within a second, and stalled ones are refused.
"""


FIELD_BYTES = 200
"""Memory planned for a header field; a short one takes far more than its bytes."""


class BodyReader:
    """Reads bodies, and refuses some of them when they take too much memory.

    Attributes:
        budget: Decides which requests may be held.
        reading: Timeouts of the bodies that are being read; one that expires ends it.
        refused: Number of refused bodies, by reason.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self.budget = budget or MemoryBudget()
        self.reading: dict[HeldBytes, asyncio.Timeout] = {}
        self.refused: Counter[str] = Counter()

    @contextmanager
    def open(self, now: float) -> Iterator[HeldBytes]:
        """Hold the bytes of a request until the block ends."""
        held = self.budget.open(now)
        try:
            yield held
        finally:
            self.budget.release(held)

    async def read(
        self, request: web.BaseRequest, held: HeldBytes, limit: int
    ) -> bytes | None:
        """Return the body of a request, or `None` if it is to be refused.

        Args:
            request: The request.
            held: Counts its bytes; still open afterwards unless memory was short.
            limit: Size in bytes above which a body is refused.
        """
        if (request.content_length or 0) > limit:
            self.refused["too_large"] += 1
            return None
        if not self._reserve(held, FIELD_BYTES * len(request.raw_headers)):
            return None
        if not request.can_read_body:
            held.complete = True
            return b""
        body = bytearray()
        try:
            async with asyncio.timeout(None) as timeout:
                self.reading[held] = timeout
                async for piece in request.content.iter_any():
                    if len(body) + len(piece) > limit:
                        self.refused["too_large"] += 1
                        return None
                    if not self._reserve(held, len(piece)):
                        return None
                    body += piece
        except TimeoutError:
            return None
        finally:
            self.reading.pop(held, None)
        held.complete = True
        return bytes(body)

    def _reserve(self, held: HeldBytes, count: int) -> bool:
        """Reserve memory for more bytes of a body, and end others if need be."""
        if held not in self.budget.holders:
            return False
        refused = self.budget.reserve(time.monotonic(), held, count)
        self.refused["memory"] += len(refused)
        for other in refused:
            if other is not held and other in self.reading:
                self.reading[other].reschedule(asyncio.get_running_loop().time())
        return held not in refused

    def hold_answer(self, held: HeldBytes, count: int) -> bool:
        """Hold bytes of an answer too if there is room, and return whether so."""
        if held not in self.budget.holders or not self.budget.has_room(count):
            return False
        held.count += count
        self.budget.used += count
        return True
