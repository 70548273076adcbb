"""Which prompt prefixes each backend server probably has in its cache.

Built from this instance's own dispatches and from the engines' cache events,
which come late and with gaps: after a gap the server's entries are dropped.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from wisterialoom.core.message import Event

__all__ = ["CacheEvents", "PrefixIndex"]

MAX_BLOCKS_PER_SERVER = 4_096
"""Prefix blocks remembered for each server."""


@dataclass(frozen=True, slots=True)
class CacheEvents(Event):
    """News of one engine's prefix cache.

    Attributes:
        server: Identifier of the backend server.
        first: Serial of the first event.
        last: Serial of the last event; the next report should go on from it.
        stored: Hashes of blocks that were stored.
        removed: Hashes of blocks that were evicted.
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
        gaps: Count of gaps seen in cache events.
    """

    servers: dict[str, _ServerBlocks] = field(default_factory=dict)
    gaps: int = 0

    def note_dispatch(self, server: str, hashes: tuple[int, ...]) -> None:
        """Note that a prompt was sent to a server."""
        if hashes:
            self._store(self.servers.setdefault(server, _ServerBlocks()), hashes)

    def note_events(self, events: CacheEvents) -> None:
        """Take an engine's own events; drop what is known after a gap."""
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

    def matched(self, server: str, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks a server probably has."""
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
        """Drop a server, e.g. after a restart."""
        self.servers.pop(server, None)
