"""Keeps loads from the weight store under the rate that it allows."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LoadRateLimiter"]

RATE_SHARE = 0.9
"""Part of the allowed rate that is used; the rest covers late orders."""

BURST = 2.0
"""Loads that may begin at once; the store's window allows three beyond its rate."""


@dataclass
class LoadRateLimiter:
    """A token bucket over all backend servers of a service.

    Attributes:
        rate: Loads a second that the weight store allows.
        tokens: Loads that may begin now.
        filled_at: Monotonic time of the last refill.
    """

    rate: float
    tokens: float = 0.0
    filled_at: float | None = None

    def ready(self, now: float) -> bool:
        """Tell whether a load may begin."""
        if self.filled_at is not None:
            gained = (now - self.filled_at) * self.rate * RATE_SHARE
            self.tokens = min(BURST, self.tokens + gained)
        self.filled_at = now
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Count a load that begins."""
        self.tokens -= 1.0
