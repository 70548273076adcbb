"""The last generations of the document, kept as small objects."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.object_store import ABSENT, VersionConflictError

if TYPE_CHECKING:
    from wisterialoom.operator.platform import Platform

__all__ = ["HISTORY_PREFIX", "History", "HistoryEntry"]

HISTORY_PREFIX = "config/history/"
KEPT = 20
"""Generations that are kept."""

KEY_DIGITS = 20
"""Digits of a generation in its key, so that keys sort by generation."""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One generation of the document."""

    generation: int
    body: bytes


class History:
    """Reads and keeps the generations.

    A generation is kept twice over: by the command that applied it, and, in case
    that one was cut short, by the command that replaces it.

    Attributes:
        platform: Where they are kept.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def keep(self, generation: int, body: bytes) -> None:
        """Keep one generation, if it isn't kept yet, and drop the oldest ones."""
        try:
            await self.platform.write(_key(generation), body, ABSENT)
        except VersionConflictError:
            return
        keys = await self.platform.list(HISTORY_PREFIX)
        for key in keys[:-KEPT]:
            await self._drop(key)

    async def _drop(self, key: str) -> None:
        stored = await self.platform.read(key)
        if stored.version == ABSENT:
            return
        try:
            await self.platform.delete(key, stored.version)
        except VersionConflictError:
            return

    async def generations(self) -> list[int]:
        """Return the generations that are kept, newest first."""
        keys = await self.platform.list(HISTORY_PREFIX)
        numbers = [key.removeprefix(HISTORY_PREFIX) for key in keys]
        return sorted((int(text) for text in numbers if text.isdigit()), reverse=True)

    async def read(self, generation: int) -> HistoryEntry | None:
        """Return one generation, or `None` if it isn't kept."""
        stored = await self.platform.read(_key(generation))
        if stored.version == ABSENT:
            return None
        return HistoryEntry(generation, stored.body)

    async def find(self, body: bytes, *, after: int) -> int | None:
        """Return the generation above `after` that has this body, if any."""
        for generation in await self.generations():
            if generation <= after:
                return None
            entry = await self.read(generation)
            if entry is not None and entry.body == body:
                return generation
        return None


def _key(generation: int) -> str:
    return f"{HISTORY_PREFIX}{generation:0{KEY_DIGITS}d}"
