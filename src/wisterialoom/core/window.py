"""Limits on the requests that one entry instance has in flight at a backend server.

Each policy divides the server's slots among instances that do not coordinate and see
the server's load only with a delay.
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
"""Requests added to an adaptive window per full window of answers without queueing."""

DECREASE_FACTOR = 0.7
"""Factor by which an adaptive window is reduced when requests queue at the server."""

DECREASE_PAUSE_S = 0.5
"""Minimum time between two decreases, in seconds."""

REPORT_MAX_AGE_S = 3.0
"""Age above which a load report is ignored, in seconds."""

OVERSUBSCRIPTION = 1.25
"""Fraction of a server's slots that all instances together may fill."""

WAITING_FILL = 1.0
"""Fraction of a server's slots for requests of traffic classes that may wait."""

FIRST_FILL = 2.0
"""Fraction of a server's slots that requests of the highest priority may fill.

Such requests therefore need not wait for others to end. Each step of an engine's batch
then takes longer by this factor, which the token gap targets allow; the throughput
stays the same.
"""


@dataclass(frozen=True, slots=True)
class WindowPolicy:
    """Base class of the policies that set the in-flight limit."""


@dataclass(frozen=True, slots=True)
class FixedShare(WindowPolicy):
    """Gives each instance an equal share of the slots."""


@dataclass(frozen=True, slots=True)
class AdaptiveWindow(WindowPolicy):
    """Applies additive increase and multiplicative decrease on queueing delay.

    Attributes:
        slow_s: Time to first output in seconds above which requests are assumed to
            queue at the server.
    """

    slow_s: float = 0.7


@dataclass(frozen=True, slots=True)
class ReportedShare(WindowPolicy):
    """Gives an equal share of the slots, plus a share of those reported as free."""


@dataclass
class Window:
    """In-flight limit of this instance for one backend server.

    Attributes:
        policy: How the limit is computed.
        slots: Number of requests that the server runs concurrently at full speed.
        sharing_instances: Number of entry instances that share the server, including
            this one.
        limit: Maximum number of requests in flight from this instance, as adapted by
            `AdaptiveWindow`.
        in_flight: Number of requests in flight from this instance.
        reported: Number of requests in the server's last load report, or `None`.
        reported_own: Value of `in_flight` when that report arrived.
        reported_at: Monotonic time of that report.
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
        """This instance's equal share of the server's slots, in requests."""
        return self.share_of(OVERSUBSCRIPTION)

    def share_of(self, fill: float) -> float:
        """Return this instance's equal share of a fraction of the slots."""
        return max(1.0, math.ceil(self.slots * fill / self.sharing_instances))

    def resize(self, slots: int, sharing_instances: int) -> None:
        """Set the number of slots and of sharing instances."""
        if (slots, sharing_instances) == (self.slots, self.sharing_instances):
            return
        self.slots = slots
        self.sharing_instances = sharing_instances
        self.limit = min(max(self.limit, self.share), float(slots))

    def free_capacity(self, now: float, fill: float = OVERSUBSCRIPTION) -> int:
        """Return how many more requests may be sent now."""
        return max(0, int(self.current_limit(now, fill)) - self.in_flight)

    def current_limit(self, now: float, fill: float = OVERSUBSCRIPTION) -> float:
        """Return the current limit, in requests.

        Args:
            now: Monotonic time in seconds.
            fill: Fraction of the slots that requests of this class may fill.
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
        if self.reported is None or now - self.reported_at > REPORT_MAX_AGE_S:
            return share
        free = max(0.0, self.slots * fill - self.reported)
        extra = math.ceil(free / self.sharing_instances)
        return max(share, float(self.reported_own + extra))

    def report(self, now: float, running: int, waiting: int) -> None:
        """Record a load report of the server."""
        self.reported = running + waiting
        self.reported_own = self.in_flight
        self.reported_at = now

    def begin(self) -> None:
        """Record that a request was sent."""
        self.in_flight += 1

    def first_byte(self, now: float, delay_s: float) -> None:
        """Record the time to first output of a request."""
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
        """Record that a request ended."""
        self.in_flight -= 1
