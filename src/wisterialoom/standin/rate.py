"""Rate limit of the emulated platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RateLimit"]


@dataclass
class RateLimit:
    """A token bucket with a capacity of one second of calls.

    Attributes:
        per_s: Calls allowed per second.
        tokens: Calls allowed now; negative before the first call.
        at: Monotonic time of the last call.
        allowed: Number of calls that were allowed.
        refused: Number of calls that exceeded the rate.
    """

    per_s: float
    tokens: float = -1.0
    at: float = 0.0
    allowed: int = 0
    refused: int = 0

    def try_acquire(self, now: float) -> bool:
        """Count one call; return whether it is within the rate."""
        if self.tokens < 0:
            self.tokens = self.per_s
        else:
            refill = (now - self.at) * self.per_s
            self.tokens = min(self.per_s, self.tokens + refill)
        self.at = now
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.allowed += 1
        return True
