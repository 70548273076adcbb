"""News of backend servers that are leaving, from whoever was told first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.fleet.gossip import GossipQueue, text_size
from wisterialoom.core.fleet.peer import LeavingServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.notice import ServerLeavingSeen

__all__ = ["LeavingGossip"]

MAX_LEAVING_BYTES = 300
"""Most bytes of this news on one message."""

MAX_KNOWN = 4_096
"""Leaving servers that are remembered; the oldest are forgotten first."""


class LeavingGossip:
    """Passes each leaving server on once, by name and incarnation.

    Attributes:
        known: Servers that were heard of, oldest first.
        queue: What is still to be sent.
    """

    def __init__(self) -> None:
        self.known: dict[LeavingServer, None] = {}
        self.queue: GossipQueue[LeavingServer] = GossipQueue()

    @property
    def urgent(self) -> bool:
        """Whether some news should be sent without waiting for a heartbeat."""
        return self.queue.urgent

    def see(self, notice: ServerLeavingSeen) -> None:
        """Take what a part of this instance saw."""
        self.take((LeavingServer(notice.server, notice.incarnation),))

    def take(self, servers: Iterable[LeavingServer]) -> list[LeavingServer]:
        """Take news and return what was not known yet."""
        fresh = [item for item in servers if item not in self.known]
        for item in fresh:
            self.known[item] = None
            size = text_size(item.server) + text_size(item.incarnation) + 1
            self.queue.put(item.server, item, size, urgent=True)
        while len(self.known) > MAX_KNOWN:
            del self.known[next(iter(self.known))]
        return fresh

    def pick(self, room: int, limit: int) -> tuple[tuple[LeavingServer, ...], int]:
        """Return news for one message and its size in bytes.

        Args:
            room: Bytes that are free in the message.
            limit: Sends after which news is dropped.
        """
        picked, used = self.queue.take(min(room, MAX_LEAVING_BYTES), limit)
        return tuple(picked), used
