"""Limits how many model loads start, to respect the limits of the weight store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import StoreSettings

__all__ = ["LoadRateLimiter"]


@dataclass(slots=True)
class LoadRateLimiter:
    """A token bucket for loads, with a limit of concurrent loads.

    Attributes:
        tokens: Loads that the rate allows now.
        filled_at: When tokens were last added; `None` before the first time.
    """

    tokens: float = 0.0
    filled_at: float | None = None

    def allowance(self, now: float, limits: StoreSettings, pending: int) -> int:
        """Return how many loads may start now.

        Args:
            now: Monotonic time in seconds.
            limits: The weight store's limits.
            pending: Loads that are planned and not complete.
        """
        elapsed = 1.0 if self.filled_at is None else now - self.filled_at
        self.filled_at = now
        most = float(max(1, limits.full_speed_loads))
        self.tokens = min(most, self.tokens + elapsed * limits.loads_per_s)
        return max(0, min(int(self.tokens), limits.full_speed_loads - pending))

    def spend(self, loads: int) -> None:
        """Take the tokens of loads that start."""
        self.tokens = max(0.0, self.tokens - loads)
