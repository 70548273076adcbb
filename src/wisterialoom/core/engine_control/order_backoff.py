"""Exponential backoff of the orders for each model or adapter."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.engine import ModelKey

__all__ = ["Backoffs", "RETRY_S"]

RETRY_S = 0.5
"""First wait after a refused or lost order, in seconds."""

MAX_RETRY_S = 30.0
"""Longest wait after a refused or lost order, in seconds."""


@dataclass(slots=True)
class Backoffs:
    """Backoff of each model or adapter.

    Attributes:
        until: Moment from which orders for each key may be sent again.
        wait_s: Length of the last wait of each key, in seconds.
    """

    until: dict[ModelKey, float] = field(default_factory=dict)
    wait_s: dict[ModelKey, float] = field(default_factory=dict)

    def add(self, key: ModelKey, now: float) -> None:
        """Record that an order was refused or lost."""
        wait_s = min(self.wait_s.get(key, RETRY_S / 2) * 2, MAX_RETRY_S)
        self.wait_s[key] = wait_s
        self.until[key] = now + wait_s

    def clear(self, key: ModelKey) -> None:
        """Record that an order was carried out."""
        self.until.pop(key, None)
        self.wait_s.pop(key, None)

    def waiting(self, now: float) -> set[ModelKey]:
        """Return the keys that no order may be sent for yet."""
        return {key for key, until in self.until.items() if now < until}
