"""Prefix cache of an emulated engine, with least-recently-used eviction."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TypeAlias

__all__ = ["CacheEvent", "PrefixCache"]

MAX_EVENTS = 10_000

Block: TypeAlias = tuple[str, int]
"""Model name, and the hash of the prompt up to the end of the block."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache.

    Attributes:
        serial: Number of the event; counts from 1 without gaps.
        at: Monotonic time in seconds.
        stored: Whether the block was stored; otherwise it was evicted.
        model: Model or adapter that the prompt is for.
        prefix_hash: Hash of the prompt up to the end of the block.
    """

    serial: int
    at: float
    stored: bool
    model: str
    prefix_hash: int


@dataclass
class PrefixCache:
    """Prompt blocks with a limit on their number.

    Attributes:
        capacity: Maximum number of blocks.
        blocks: Cached blocks, least recently used first.
        events: The latest `MAX_EVENTS` changes.
        serial: Number of the last change.
    """

    capacity: int
    blocks: dict[Block, None] = field(default_factory=dict)
    events: deque[CacheEvent] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    serial: int = 0

    def lookup_and_store(
        self, now: float, model: str, prefix_hashes: tuple[int, ...]
    ) -> int:
        """Return how many leading blocks are cached, then cache all blocks."""
        hits = 0
        for prefix_hash in prefix_hashes:
            if (model, prefix_hash) not in self.blocks:
                break
            hits += 1
        # Blocks are stored from the longest prefix to the shortest, so that the
        # longest prefix, which the fewest prompts share, is evicted first.
        for prefix_hash in reversed(prefix_hashes):
            self._store(now, (model, prefix_hash))
        return hits

    def _store(self, now: float, block: Block) -> None:
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
