"""Prompt prefixes that a stand-in engine keeps, least recently used out first."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TypeAlias

__all__ = ["CacheEvent", "PrefixCache"]

EVENTS_KEPT = 10_000

Block: TypeAlias = tuple[str, int]
"""Model and the hash of everything up to the block's end."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache.

    Attributes:
        serial: Counts from 1 without gaps.
        at: Monotonic time in seconds.
        stored: The block came in; else it went out.
        model: Model or adapter whose prompts the block belongs to.
        prefix_hash: Hash of the prompt up to the block's end.
    """

    serial: int
    at: float
    stored: bool
    model: str
    prefix_hash: int


@dataclass
class PrefixCache:
    """Blocks of prompts, limited in number.

    Attributes:
        capacity: Most blocks held.
        blocks: Blocks held, least recently used first.
        events: The latest changes.
        serial: Number of the last change.
    """

    capacity: int
    blocks: dict[Block, None] = field(default_factory=dict)
    events: deque[CacheEvent] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    serial: int = 0

    def use(self, now: float, model: str, prefix_hashes: tuple[int, ...]) -> int:
        """Count the leading blocks that are held, then hold all of them."""
        hits = 0
        for prefix_hash in prefix_hashes:
            if (model, prefix_hash) not in self.blocks:
                break
            hits += 1
        # The longest prefix goes in first, so that it also goes out first.
        for prefix_hash in reversed(prefix_hashes):
            self._hold(now, (model, prefix_hash))
        return hits

    def _hold(self, now: float, block: Block) -> None:
        if block in self.blocks:
            del self.blocks[block]
            self.blocks[block] = None
            return
        if len(self.blocks) >= self.capacity:
            if not self.blocks:
                return
            oldest = next(iter(self.blocks))
            del self.blocks[oldest]
            self._record(now, oldest, stored=False)
        self.blocks[block] = None
        self._record(now, block, stored=True)

    def _record(self, now: float, block: Block, *, stored: bool) -> None:
        self.serial += 1
        self.events.append(CacheEvent(self.serial, now, stored, *block))
