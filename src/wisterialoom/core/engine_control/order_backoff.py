"""Growing waits before a model or adapter is ordered again."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.engine import ModelKey

__all__ = ["Backoffs", "RETRY_S"]

RETRY_S = 0.5
"""First wait before a refused order is tried again, in seconds."""

RETRY_LIMIT_S = 30.0
"""Longest wait before a refused order is tried again, in seconds."""


@dataclass(slots=True)
class Backoffs:
    """Waits by model or adapter.

    Attributes:
        until: When each may be ordered again.
        wait_s: How long its last wait was.
    """

    until: dict[ModelKey, float] = field(default_factory=dict)
    wait_s: dict[ModelKey, float] = field(default_factory=dict)

    def add(self, key: ModelKey, now: float) -> None:
        """Note that an order was refused or lost."""
        wait_s = min(self.wait_s.get(key, RETRY_S / 2) * 2, RETRY_LIMIT_S)
        self.wait_s[key] = wait_s
        self.until[key] = now + wait_s

    def clear(self, key: ModelKey) -> None:
        """Note that an order was carried out."""
        self.until.pop(key, None)
        self.wait_s.pop(key, None)

    def waiting(self, now: float) -> set[ModelKey]:
        """Return what may not be ordered yet."""
        return {key for key, until in self.until.items() if now < until}
