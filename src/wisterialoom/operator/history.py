"""The history of the document: its last generations, one object each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.object_store import ABSENT, VersionConflictError

if TYPE_CHECKING:
    from wisterialoom.operator.platform import Platform

__all__ = ["HISTORY_PREFIX", "History", "HistoryEntry"]

HISTORY_PREFIX = "config/history/"
MAX_GENERATIONS = 20
"""Number of generations in the history."""

KEY_DIGITS = 20
"""Digits of a generation in its key; the padding makes keys sort by generation."""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One generation of the document.

    Attributes:
        generation: Number of the generation.
        body: Text of the document.
    """

    generation: int
    body: bytes


class History:
    """Reads and stores the last generations of the document.

    The command that applies a generation adds it to the history. The command that
    replaces the generation adds it again, in case the first one was interrupted.

    Attributes:
        platform: The platform that stores the history.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def add(self, generation: int, body: bytes) -> None:
        """Add a generation, unless it exists, and delete the oldest ones."""
        try:
            await self.platform.write(_key(generation), body, ABSENT)
        except VersionConflictError:
            return
        keys = await self.platform.list(HISTORY_PREFIX)
        for key in keys[:-MAX_GENERATIONS]:
            await self._delete(key)

    async def _delete(self, key: str) -> None:
        stored = await self.platform.read(key)
        if stored.version == ABSENT:
            return
        try:
            await self.platform.delete(key, stored.version)
        except VersionConflictError:
            return

    async def generations(self) -> list[int]:
        """Return the generations in the history, newest first."""
        keys = await self.platform.list(HISTORY_PREFIX)
        numbers = [key.removeprefix(HISTORY_PREFIX) for key in keys]
        return sorted((int(text) for text in numbers if text.isdigit()), reverse=True)

    async def read(self, generation: int) -> HistoryEntry | None:
        """Return one generation, or `None` if it is not in the history."""
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
