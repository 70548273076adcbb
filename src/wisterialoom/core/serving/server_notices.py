"""What servers have said about themselves in answers.

It holds for one start of a server, whatever becomes of the server's entry: an entry
that lapses and returns changes nothing, and a server that starts again begins anew.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.crash_suspects import ServerStart

__all__ = ["MAX_STARTS", "PROBE_S", "ServerNotices", "StartNotices"]

MAX_STARTS = 4096
"""Starts of servers that are remembered, the latest ones."""

PROBE_S = 0.1
"""Time for which the first request after a rest goes alone.

A refusal takes one round trip; waiting requests would all be refused with it.
"""


@dataclass
class StartNotices:
    """What one start of a server has said about itself.

    Attributes:
        leaving: Whether it is leaving.
        rests_until: Monotonic time until which it wants nothing.
        is_probing: Whether it has yet to show that it takes requests after its rest.
        probed_at: Monotonic time of the first request after its rest.
    """

    leaving: bool = False
    rests_until: float = float("-inf")
    is_probing: bool = False
    probed_at: float = float("-inf")

    def hold_off(self, now: float, for_s: float) -> None:
        """Record that the server wants nothing for some time."""
        self.rests_until = max(self.rests_until, now + for_s)
        self.is_probing = True

    def wanted_at(self) -> float:
        """Return the monotonic time from which the server wants the next request."""
        if self.is_probing and self.probed_at >= self.rests_until:
            return self.probed_at + PROBE_S
        return self.rests_until

    def record_sent(self, now: float) -> None:
        """Record that a request is sent to the server."""
        if not self.is_probing:
            return
        if self.probed_at < self.rests_until:
            self.probed_at = now
        else:
            # The one before was not refused in time.
            self.is_probing = False

    def record_taken(self) -> None:
        """Record that the server has begun to answer a request."""
        self.is_probing = False


@dataclass
class ServerNotices:
    """Keeps what servers have said, by their starts.

    Attributes:
        starts: What each start has said, the latest starts last.
        latest: Latest start of each server, by id.
    """

    starts: dict[ServerStart, StartNotices] = field(default_factory=dict)
    latest: dict[str, ServerStart] = field(default_factory=dict)

    def of(self, start: ServerStart) -> StartNotices:
        """Return what a start of a server has said, for its view to keep."""
        notices = self.starts.pop(start, None) or StartNotices()
        self.starts[start] = notices
        self.latest[start.server] = start
        if len(self.starts) > MAX_STARTS:
            oldest = next(iter(self.starts))
            del self.starts[oldest]
            if self.latest.get(oldest.server) == oldest:
                del self.latest[oldest.server]
        return notices

    def find(self, server_id: str) -> StartNotices | None:
        """Return what the latest start of a server has said, listed or not."""
        start = self.latest.get(server_id)
        return self.starts.get(start) if start is not None else None
