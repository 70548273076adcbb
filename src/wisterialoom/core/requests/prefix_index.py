"""Index of the prompt prefixes that each backend server probably has cached.

The index is built from this instance's own dispatches and from the engines'
cache events. Events arrive late and with gaps; after a gap, the server's entries
are dropped because evictions may have been missed.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from wisterialoom.core.message import Event

__all__ = ["CacheEvents", "PrefixIndex"]

MAX_BLOCKS_PER_SERVER = 4_096
"""Greatest number of prefix blocks kept per server."""


@dataclass(frozen=True, slots=True)
class CacheEvents(Event):
    """Changes of one engine's prefix cache.

    Attributes:
        server: Identifier of the backend server.
        first: Serial number of the first event.
        last: Serial number of the last event; without a gap, the next report
            starts right after it.
        stored: Hashes of stored blocks.
        removed: Hashes of evicted blocks.
    """

    server: str
    first: int
    last: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclass
class _ServerBlocks:
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    last: int = 0


@dataclass
class PrefixIndex:
    """Prefix blocks by server, least recently used first.

    Attributes:
        servers: Blocks by server.
        gaps: Number of gaps seen in cache events.
    """

    servers: dict[str, _ServerBlocks] = field(default_factory=dict)
    gaps: int = 0

    def record_dispatch(self, server: str, hashes: tuple[int, ...]) -> None:
        """Record that a prompt was sent to a server."""
        if hashes:
            self._store(self.servers.setdefault(server, _ServerBlocks()), hashes)

    def apply_events(self, events: CacheEvents) -> None:
        """Apply an engine's cache events; drop the server's entries after a gap."""
        entry = self.servers.setdefault(events.server, _ServerBlocks())
        if events.last <= entry.last:
            return
        if entry.last and events.first > entry.last + 1:
            entry.blocks.clear()
            self.gaps += 1
        entry.last = events.last
        self._store(entry, events.stored)
        for block in events.removed:
            entry.blocks.pop(block, None)

    def _store(self, entry: _ServerBlocks, hashes: tuple[int, ...]) -> None:
        for block in hashes:
            entry.blocks[block] = None
            entry.blocks.move_to_end(block)
        while len(entry.blocks) > MAX_BLOCKS_PER_SERVER:
            entry.blocks.popitem(last=False)

    def count_matching(self, server: str, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks a server probably has cached."""
        entry = self.servers.get(server)
        if entry is None:
            return 0
        count = 0
        for block in hashes:
            if block not in entry.blocks:
                break
            count += 1
        return count

    def forget(self, server: str) -> None:
        """Drop the entries of a server, for example after a restart."""
        self.servers.pop(server, None)
