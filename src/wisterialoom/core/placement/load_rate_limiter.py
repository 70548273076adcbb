"""Rate limiter for model loads from the weight store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LoadRateLimiter"]

RATE_SHARE = 0.9
"""Fraction of the allowed rate that is used; the rest is a margin for late orders."""

BURST = 2.0
"""Maximum burst of loads; the weight store's window allows three beyond its rate."""


@dataclass
class LoadRateLimiter:
    """A token bucket over all backend servers of a service.

    Attributes:
        rate: Loads per second that the weight store allows.
        tokens: Number of loads that may begin now.
        filled_at: Monotonic time of the last refill.
    """

    rate: float
    tokens: float = 0.0
    filled_at: float | None = None

    def ready(self, now: float) -> bool:
        """Return whether a load may begin."""
        if self.filled_at is not None:
            gained = (now - self.filled_at) * self.rate * RATE_SHARE
            self.tokens = min(BURST, self.tokens + gained)
        self.filled_at = now
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Count a load that begins."""
        self.tokens -= 1.0
