"""One entry instance's view of one backend server, for routing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.ejection import Ejection

if TYPE_CHECKING:
    from wisterialoom.core.fleet.peer import ServerLoad
    from wisterialoom.core.notice import BackendServer
    from wisterialoom.core.window import Window

__all__ = ["ServerView"]

NOT_RESIDENT_TRUST_S = 2.0
"""Time for which a server's own "not resident" outweighs load reports."""


@dataclass
class ServerView:
    """What is known here of a backend server.

    Attributes:
        server: As listed and labeled.
        window: In-flight limit from here.
        ejection: Health as seen by attempts from here.
        load: Last load report, or `None`.
        load_at: Monotonic time of the last load report.
        lanes: Lanes that it can serve now.
        absent: Lanes that it refused as not resident, with the time.
        seen_leaving: It said itself that it is leaving, in this incarnation.
    """

    server: BackendServer
    window: Window
    ejection: Ejection = field(default_factory=Ejection)
    load: ServerLoad | None = None
    load_at: float = 0.0
    lanes: frozenset[str] = frozenset()
    absent: dict[str, float] = field(default_factory=dict)
    seen_leaving: bool = False

    @property
    def closed(self) -> bool:
        """No new work may go there."""
        marked = self.server.leaving or self.server.drained or self.seen_leaving
        return marked or (self.load is not None and self.load.leaving)

    def serves(self, now: float, lane: str) -> bool:
        """Tell whether it can serve a lane, room or not."""
        if self.closed or lane not in self.lanes:
            return False
        return now - self.absent.get(lane, -NOT_RESIDENT_TRUST_S) >= (
            NOT_RESIDENT_TRUST_S
        )

    def has_capacity(self, now: float, fill: float) -> bool:
        """Tell whether a request may be sent there now.

        Args:
            now: Monotonic time in seconds.
            fill: Share of the slots that requests of its class may fill.
        """
        if self.closed or not self.ejection.allows(now, self.window.in_flight):
            return False
        return self.window.free_capacity(now, fill) > 0
