"""Weighted fair shares between callers of the same priority."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["FairShare"]


@dataclass
class FairShare:
    """Virtual time of each caller: the one that got least goes first.

    Attributes:
        used: Virtual time by caller, in requests over weight.
        floor: Virtual time of the caller served last.
    """

    used: dict[str, float] = field(default_factory=dict)
    floor: float = 0.0

    def enter(self, caller: str) -> None:
        """Note that a caller has work again; idle time earns nothing."""
        self.used[caller] = max(self.used.get(caller, 0.0), self.floor)

    def charge(self, caller: str, weight: float) -> None:
        """Count one request of a caller as dispatched."""
        before = self.used.get(caller, self.floor)
        self.floor = max(self.floor, before)
        self.used[caller] = before + 1.0 / weight

    def of(self, caller: str) -> float:
        """Return a caller's virtual time; less goes first."""
        return self.used.get(caller, self.floor)
