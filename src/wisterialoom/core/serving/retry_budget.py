"""One instance's share of the repeats that a service may get in a sliding window.

All instances together may repeat a share of the requests plus a fixed number in
each window. An instance spends that share of its own requests, and an equal part of
the fixed number, so that no exchange is needed to stay under the sum.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget", "RetryLimits"]

SAFETY = 0.8
"""Part of the allowance that is used; the rest covers windows that are cut apart."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """What all instances together may repeat at one service.

    Attributes:
        ratio: Repeats for each request.
        fixed: Repeats besides, in each window.
        window_s: Length of the window in seconds.
    """

    ratio: float = 0.2
    fixed: float = 50.0
    window_s: float = 10.0


@dataclass
class RetryBudget:
    """Counts one service's requests and repeats at this instance.

    Attributes:
        limits: What all instances together may repeat.
        sharing_instances: Instances that share the fixed number.
        requests: Moments of requests in the window.
        repeats: Moments of repeats in the window.
    """

    limits: RetryLimits
    sharing_instances: int = 1
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self.requests.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget what has left the window."""
        since = now - self.limits.window_s
        for moments in (self.requests, self.repeats):
            while moments and moments[0] < since:
                moments.popleft()

    def left(self, now: float) -> float:
        """Return how many repeats may still be sent now."""
        self.expire(now)
        limits = self.limits
        total = limits.ratio * len(self.requests) + limits.fixed / max(
            1, self.sharing_instances
        )
        return SAFETY * total - len(self.repeats)

    def spend(self, now: float) -> bool:
        """Take one repeat if there is one; tell whether it may be sent."""
        if self.left(now) < 1.0:
            return False
        self.repeats.append(now)
        return True
