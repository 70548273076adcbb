"""Retry budget: a token bucket filled by first attempts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget"]


@dataclass
class RetryBudget:
    """Limits retries to a share of first attempts, plus a small burst.

    Attributes:
        tokens_per_attempt: Retries allowed per first attempt.
        capacity: Greatest number of retries that can accumulate.
        tokens: Number of retries that may be made now.
    """

    tokens_per_attempt: float = 0.1
    capacity: float = 20.0
    tokens: float = 20.0

    def record_first_attempt(self) -> None:
        """Add the tokens of one first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.tokens_per_attempt)

    def try_spend(self) -> bool:
        """Take one token, if available.

        Returns:
            Whether the retry may be made.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
