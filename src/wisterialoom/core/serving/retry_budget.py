"""One instance's share of the retries that a service may get in a sliding window.

In each window, all instances together may send as many retries as a fixed ratio of
their requests, plus a fixed number. Each instance applies the ratio to its own requests
and takes an equal part of the fixed number, so that the total stays within the limit
without any coordination.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget", "RetryLimits"]

USED_SHARE = 0.8
"""Fraction of the budget that is used.

The rest is a margin for windows that begin at a different time than those in which the
limit is checked.
"""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on the retries that all instances together send to one service.

    Attributes:
        ratio: Retries allowed per request.
        fixed: Retries allowed in each window in addition to those that `ratio` allows.
        window_s: Length of the window in seconds.
    """

    ratio: float = 0.2
    fixed: float = 50.0
    window_s: float = 10.0


@dataclass
class RetryBudget:
    """Counts one service's requests and retries at this instance.

    Attributes:
        limits: Limits on the retries of all instances together.
        sharing_instances: Number of instances that share the fixed number of retries.
        requests: Monotonic times of the requests in the window.
        retries: Monotonic times of the retries in the window.
    """

    limits: RetryLimits
    sharing_instances: int = 1
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self.requests.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop the times that have left the window."""
        since = now - self.limits.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < since:
                times.popleft()

    def left(self, now: float) -> float:
        """Return how many retries may still be sent now."""
        self.expire(now)
        limits = self.limits
        total = limits.ratio * len(self.requests) + limits.fixed / max(
            1, self.sharing_instances
        )
        return USED_SHARE * total - len(self.retries)

    def spend(self, now: float) -> bool:
        """Use one retry of the budget; return whether there was one."""
        if self.left(now) < 1.0:
            return False
        self.retries.append(now)
        return True
