"""Gossip about backend servers that are leaving.

The first instance to which a server announces that it is leaving forwards this to all
others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.fleet.gossip import GossipQueue, text_size
from wisterialoom.core.fleet.peer import LeavingServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.notice import ServerLeavingSeen

__all__ = ["LeavingGossip"]

MAX_LEAVING_BYTES = 300
"""Maximum size of the updates about leaving servers in one message, in bytes."""

MAX_KNOWN = 4_096
"""Maximum number of remembered servers; the oldest are forgotten first."""


class LeavingGossip:
    """Queues each leaving server once, by name and incarnation.

    Attributes:
        known: Leaving servers that were seen or received, oldest first.
        queue: Updates that are still to be sent.
    """

    def __init__(self) -> None:
        self.known: dict[LeavingServer, None] = {}
        self.queue: GossipQueue[LeavingServer] = GossipQueue()

    @property
    def urgent(self) -> bool:
        """Whether an update should be sent without waiting for a heartbeat."""
        return self.queue.urgent

    def record_notice(self, notice: ServerLeavingSeen) -> None:
        """Record a server that another part of this instance saw leaving."""
        self.merge((LeavingServer(notice.server, notice.incarnation),))

    def merge(self, servers: Iterable[LeavingServer]) -> list[LeavingServer]:
        """Record leaving servers and return those that were not known yet."""
        new_servers = [item for item in servers if item not in self.known]
        for item in new_servers:
            self.known[item] = None
            size = text_size(item.server) + text_size(item.incarnation) + 1
            self.queue.put(item.server, item, size, urgent=True)
        while len(self.known) > MAX_KNOWN:
            del self.known[next(iter(self.known))]
        return new_servers

    def take_for_message(
        self, free_bytes: int, limit: int
    ) -> tuple[tuple[LeavingServer, ...], int]:
        """Return the updates for one message and their size in bytes.

        Args:
            free_bytes: Bytes that are free in the message.
            limit: Number of sends after which an update is dropped.
        """
        picked, used = self.queue.take(min(free_bytes, MAX_LEAVING_BYTES), limit)
        return tuple(picked), used
