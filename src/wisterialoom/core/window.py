"""How many requests one entry instance keeps in flight at a backend server.

Each policy answers the same question: the server has so many slots, other
instances use it too, and its load reports lag.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = [
    "AdaptiveWindow",
    "FixedShare",
    "ReportedShare",
    "Window",
    "WindowPolicy",
]

ADDITIVE_STEP = 1.0
"""Requests added to an adaptive window for each window of good answers."""

DECREASE_FACTOR = 0.7

DECREASE_PAUSE_S = 0.5
"""Least time between two decreases, in seconds."""

REPORT_TRUST_S = 3.0
"""Age after which a load report no longer counts, in seconds."""

OVERSUBSCRIPTION = 1.25
"""Share of a server's slots that the instances may fill together."""

WAITING_FILL = 1.0
"""The same for work that may wait."""

FIRST_FILL = 2.0
"""The same for the first priority, so that it need not wait for others to end.

Steps of an engine's batch take longer by this factor then, which the targets
between tokens allow; its yield stays the same.
"""


@dataclass(frozen=True, slots=True)
class WindowPolicy:
    """Base class of the policies."""


@dataclass(frozen=True, slots=True)
class FixedShare(WindowPolicy):
    """Each instance gets an equal share of the slots."""


@dataclass(frozen=True, slots=True)
class AdaptiveWindow(WindowPolicy):
    """Additive increase and multiplicative decrease on queueing delay.

    Attributes:
        slow_s: Time to first output above which the server counts as queueing.
    """

    slow_s: float = 0.7


@dataclass(frozen=True, slots=True)
class ReportedShare(WindowPolicy):
    """An equal share, and part of what the reports say nobody uses."""


@dataclass
class Window:
    """In-flight limit towards one backend server.

    Attributes:
        policy: How the limit is found.
        slots: Requests that the server serves at once at full speed.
        sharing_instances: Entry instances that share it, this one included.
        limit: Requests that may be in flight from here.
        in_flight: Requests in flight from here.
        reported: Requests in the server at its last report, or `None`.
        reported_own: Requests in flight from here when the report came.
        reported_at: Monotonic time of the last report.
        decreased_at: Monotonic time of the last decrease.
    """

    policy: WindowPolicy
    slots: int
    sharing_instances: int = 1
    limit: float = 1.0
    in_flight: int = 0
    reported: int | None = None
    reported_own: int = 0
    reported_at: float = 0.0
    decreased_at: float = 0.0

    def __post_init__(self) -> None:
        self.limit = self.share

    @property
    def share(self) -> float:
        """An equal share of the server's slots, in requests."""
        return self.share_of(OVERSUBSCRIPTION)

    def share_of(self, fill: float) -> float:
        """Return an equal share of the slots times a factor, in requests."""
        return max(1.0, math.ceil(self.slots * fill / self.sharing_instances))

    def resize(self, slots: int, sharing_instances: int) -> None:
        """Take a new number of slots or of sharing instances."""
        if (slots, sharing_instances) == (self.slots, self.sharing_instances):
            return
        self.slots = slots
        self.sharing_instances = sharing_instances
        self.limit = min(max(self.limit, self.share), float(slots))

    def free_capacity(self, now: float, fill: float = OVERSUBSCRIPTION) -> int:
        """Return how many more requests may be sent now."""
        return max(0, int(self.current_limit(now, fill)) - self.in_flight)

    def current_limit(self, now: float, fill: float = OVERSUBSCRIPTION) -> float:
        """Return the limit in force, in requests.

        Args:
            now: Monotonic time in seconds.
            fill: Share of the slots that requests of this class may fill.
        """
        match self.policy:
            case FixedShare():
                return self.share_of(fill)
            case ReportedShare():
                return self._reported_limit(now, fill)
            case _:
                return self.limit

    def _reported_limit(self, now: float, fill: float) -> float:
        share = self.share_of(fill)
        if self.reported is None or now - self.reported_at > REPORT_TRUST_S:
            return share
        free = max(0.0, self.slots * fill - self.reported)
        extra = math.ceil(free / self.sharing_instances)
        return max(share, float(self.reported_own + extra))

    def report(self, now: float, running: int, waiting: int) -> None:
        """Take a load report of the server."""
        self.reported = running + waiting
        self.reported_own = self.in_flight
        self.reported_at = now

    def begin(self) -> None:
        """Count a request as sent."""
        self.in_flight += 1

    def first_byte(self, now: float, delay_s: float) -> None:
        """Take the time to first output of a request."""
        match self.policy:
            case AdaptiveWindow(slow_s=slow_s) if delay_s > slow_s:
                self._decrease(now)
            case AdaptiveWindow():
                self._increase()

    def _increase(self) -> None:
        if self.in_flight < self.limit - 1.0:
            return
        ceiling = max(self.share, float(self.slots))
        self.limit = min(ceiling, self.limit + ADDITIVE_STEP / self.limit)

    def _decrease(self, now: float) -> None:
        if now - self.decreased_at < DECREASE_PAUSE_S:
            return
        self.decreased_at = now
        self.limit = max(1.0, self.limit * DECREASE_FACTOR)

    def end(self) -> None:
        """Count a request as ended."""
        self.in_flight -= 1
