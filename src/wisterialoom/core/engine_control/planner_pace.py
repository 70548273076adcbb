"""How many model loads may begin, within the weight store's limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import StoreSettings

__all__ = ["LoadPace"]


@dataclass(slots=True)
class LoadPace:
    """A token bucket over loads, and a limit of loads at once.

    Attributes:
        tokens: Loads that the rate allows now.
        filled_at: When the tokens were last added up.
    """

    tokens: float = 0.0
    filled_at: float | None = None

    def allowance(self, now: float, limits: StoreSettings, pending: int) -> int:
        """Return how many loads may begin now.

        Args:
            now: Monotonic time in seconds.
            limits: The weight store's limits.
            pending: Loads that are planned and not done.
        """
        elapsed = 1.0 if self.filled_at is None else now - self.filled_at
        self.filled_at = now
        most = float(max(1, limits.full_speed_loads))
        self.tokens = min(most, self.tokens + elapsed * limits.loads_per_s)
        return max(0, min(int(self.tokens), limits.full_speed_loads - pending))

    def spend(self, loads: int) -> None:
        """Note loads that begin."""
        self.tokens = max(0.0, self.tokens - loads)
