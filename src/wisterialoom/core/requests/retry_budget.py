"""A budget for retries: a share of recent first attempts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget"]


@dataclass
class RetryBudget:
    """Lets retries be at most a share of traffic, with a small reserve.

    Attributes:
        share: Retries earned by each first attempt.
        reserve: Greatest saving, in retries.
        saved: Retries that may be made now.
    """

    share: float = 0.1
    reserve: float = 20.0
    saved: float = 20.0

    def earn(self) -> None:
        """Count a first attempt."""
        self.saved = min(self.reserve, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry if there is one; tell whether it may be made."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
