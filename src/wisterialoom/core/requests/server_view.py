"""An entry instance's view of one backend server, used for routing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.brittle_services import ServerUse
from wisterialoom.core.ejection import Ejection
from wisterialoom.core.request_limit import RequestLimit

if TYPE_CHECKING:
    from wisterialoom.core.brittle_services import BrittleServices
    from wisterialoom.core.fleet.peer import ServerLoad
    from wisterialoom.core.notice import BackendServer
    from wisterialoom.core.window import Window

__all__ = ["ServerView"]

NOT_RESIDENT_TRUST_S = 2.0
"""Time for which a "not resident" answer overrides load reports, in seconds.

Load reports can be older than the answer.
"""


@dataclass
class ServerView:
    """State of a backend server as this entry instance sees it.

    Attributes:
        server: The server as listed and labeled.
        window: Limit on the requests in flight from this instance.
        ejection: Health as observed by attempts of this instance.
        load: Last load report, or `None`.
        load_received_at: Monotonic time of the last load report.
        lanes: Lanes that the server can serve now.
        refused_lanes: Monotonic time of the last refusal as not resident, by lane.
        seen_leaving: Whether the server announced in an answer that this incarnation
            is leaving.
        is_listed: Whether the server is listed; one that is not may still have requests
            in flight.
        held_off_until: Monotonic time until which the server wants no requests, as one
            of its refusals said.
        limit: Keeps to the request rate that the server named.
        brittle: Spares servers that fall over if they turn many requests away.
    """

    server: BackendServer
    window: Window
    ejection: Ejection = field(default_factory=Ejection)
    load: ServerLoad | None = None
    load_received_at: float = 0.0
    lanes: frozenset[str] = frozenset()
    refused_lanes: dict[str, float] = field(default_factory=dict)
    seen_leaving: bool = False
    is_listed: bool = True
    held_off_until: float = 0.0
    limit: RequestLimit = field(default_factory=RequestLimit)
    brittle: BrittleServices | None = None

    @property
    def closed(self) -> bool:
        """Whether the server accepts no new requests."""
        marked_leaving = self.server.leaving or self.server.drained or self.seen_leaving
        return (
            not self.is_listed
            or marked_leaving
            or (self.load is not None and self.load.leaving)
        )

    def hold_off(self, now: float, for_s: float) -> None:
        """Record that the server wants no requests for some time."""
        self.held_off_until = max(self.held_off_until, now + for_s)

    def wanted_at(self, now: float) -> float:
        """Return the monotonic time from which the server wants a request."""
        return max(self.held_off_until, self.limit.free_at(now))

    def serves(self, now: float, lane: str) -> bool:
        """Return whether the server can serve a lane, with or without free slots."""
        if self.closed or lane not in self.lanes:
            return False
        return now - self.refused_lanes.get(lane, -NOT_RESIDENT_TRUST_S) >= (
            NOT_RESIDENT_TRUST_S
        )

    def has_capacity(self, now: float, fill: float) -> bool:
        """Return whether a request may be sent to the server now.

        Args:
            now: Monotonic time in seconds.
            fill: Share of the slots that requests of the traffic class may fill.
        """
        if self.closed or now < self.wanted_at(now):
            return False
        if not self.ejection.allows(now, self.window.in_flight):
            return False
        return self.window.free_capacity(now, fill) > 0 and self._is_spared(now)

    def _is_spared(self, now: float) -> bool:
        """Return whether one more request is no risk to a server that is brittle."""
        if self.brittle is None or not self.brittle.services:
            return True
        window = self.window
        use = ServerUse(
            server=self.server.name,
            service=self.server.group,
            slots=window.slots,
            in_flight=window.in_flight,
            reported_busy=window.reported or 0,
            reported_at=window.reported_at,
            in_flight_at_report=window.reported_own,
        )
        return self.brittle.allows(now, use, self.limit.shares)
