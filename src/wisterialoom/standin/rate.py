"""Call rates of the stand-in platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RateLimit"]


@dataclass
class RateLimit:
    """A token bucket that holds one second's worth of calls.

    Attributes:
        per_s: Calls allowed each second.
        tokens: Calls allowed now; negative before the first call.
        at: Monotonic time of the last call.
        taken: Calls that were let through.
        refused: Calls beyond the rate.
    """

    per_s: float
    tokens: float = -1.0
    at: float = 0.0
    taken: int = 0
    refused: int = 0

    def take(self, now: float) -> bool:
        """Count one call; tell whether it is within the rate."""
        if self.tokens < 0:
            self.tokens = self.per_s
        else:
            gained = (now - self.at) * self.per_s
            self.tokens = min(self.per_s, self.tokens + gained)
        self.at = now
        if self.tokens < 1.0:
            self.refused += 1
            return False
        self.tokens -= 1.0
        self.taken += 1
        return True
