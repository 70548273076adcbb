"""Spares servers that fall over if they have to turn many requests away.

The workers of a service may say that they stand only so many rejections a second, over
all callers. Requests then wait at the instances instead of at the servers: each
instance keeps within its part of a server's slots, so that their sum fits, and all
stay away for a while from a server that turned one request away.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.request_limit import LimitShares

__all__ = ["BrittleServices", "ServerUse"]

MEMORY_S = 10.0
"""Time without word of it after which a service no longer counts as brittle."""

HOLD_S = 0.3
"""Least time for which a server that turned a request away gets none."""

SPREAD_S = 0.5
"""Least time over which instances come back to it."""

REPORT_MAX_AGE_S = 0.5
"""Age up to which a reported load tells that slots are free."""

MAX_FILL = 0.9
"""Part of the slots that are filled by reported loads, which are a little old."""

NEWS_S = 0.03
"""Time until all instances have heard of a rejection."""

RISKED_SHARE = 0.3
"""Part of the rejections that a server stands which instances may cause meanwhile."""


@dataclass(frozen=True, slots=True)
class ServerUse:
    """How much of a server is used, as one instance knows it.

    Attributes:
        server: Identity of the server.
        service: Its service, or the group that it belongs to.
        slots: Requests that it runs at once.
        in_flight: Requests of this instance at the server.
        reported_busy: Requests of all instances there, as last reported.
        reported_at: Monotonic time of that report.
        in_flight_at_report: Value of `in_flight` at that time.
    """

    server: str
    service: str
    slots: int
    in_flight: int
    reported_busy: int = 0
    reported_at: float = float("-inf")
    in_flight_at_report: int = 0


@dataclass
class _Brittleness:
    """What the servers of a service stand.

    Attributes:
        rejections: Rejections a second.
        as_of: Monotonic time up to which this is known.
    """

    rejections: float
    as_of: float


@dataclass
class BrittleServices:
    """Decides how many requests brittle servers get.

    Attributes:
        services: Services whose servers are brittle.
        held_until: Monotonic time until which a server gets no request, by id.
        rng: Draws when this instance comes back to a server.
    """

    services: dict[str, _Brittleness] = field(default_factory=dict)
    held_until: dict[str, float] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)

    def record(
        self, now: float, service: str, rejections: float | None, as_of: float
    ) -> None:
        """Record what a server says of its service, or that it says nothing.

        Args:
            now: Monotonic time.
            service: Service of the server.
            rejections: Rejections a second that each of its servers stands.
            as_of: Monotonic time up to which this is known: of the answer, or of
                the request whose answer says nothing.
        """
        known = self.services.get(service)
        if rejections is not None:
            if known is None or as_of >= known.as_of:
                self.services[service] = _Brittleness(rejections, as_of)
        elif known is not None and as_of >= known.as_of:
            del self.services[service]
        if not self.services:
            self.held_until.clear()

    def is_brittle(self, now: float, service: str) -> bool:
        """Return whether the servers of a service are brittle."""
        known = self.services.get(service)
        if known is None:
            return False
        if now - known.as_of > MEMORY_S:
            del self.services[service]
            return False
        return True

    def record_rejection(
        self,
        now: float,
        server_id: str,
        service: str,
        instances: int,
        *,
        is_told: bool = True,
    ) -> None:
        """Stay away from a server that turned a request away, here or elsewhere.

        Args:
            now: Monotonic time.
            server_id: Id of the server.
            service: Its service.
            instances: Number of all instances, which come back one after the other.
            is_told: Whether all instances are told of it. If not, each of them finds
                out by a rejection of its own.
        """
        if not self.is_brittle(now, service):
            return
        stands = max(1.0, self.services[service].rejections)
        risked_s = NEWS_S if is_told else 1.0
        spread_s = max(SPREAD_S, instances * risked_s / (RISKED_SHARE * stands))
        least_s = HOLD_S if is_told else max(HOLD_S, spread_s / 2)
        until = now + least_s + spread_s * self.rng.random()
        self.held_until[server_id] = max(until, self.held_until.get(server_id, until))

    def allows(self, now: float, use: ServerUse, shares: LimitShares) -> bool:
        """Return whether a server may get one more request of this instance."""
        if not self.is_brittle(now, use.service):
            return True
        if now < self.held_until.get(use.server, now):
            return False
        if use.in_flight < shares.slots(now, use.server, use.slots):
            return True
        if now - use.reported_at > REPORT_MAX_AGE_S:
            return False
        # The slots that a server has just reported to be free are shared by all, too.
        free = MAX_FILL * use.slots - use.reported_busy
        part = free / max(1, len(shares.names)) + shares.turn_offset(
            f"{use.server}/{use.reported_at}"
        )
        return use.in_flight - use.in_flight_at_report < int(part)
