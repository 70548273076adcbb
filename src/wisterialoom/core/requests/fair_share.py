"""Weighted fair queueing between callers of the same priority."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["FairShare"]


@dataclass
class FairShare:
    """Virtual time of each caller; the caller with the least goes first.

    Attributes:
        virtual_times: Virtual time by caller, in requests divided by weight.
        virtual_clock: Virtual time of the caller served last.
    """

    virtual_times: dict[str, float] = field(default_factory=dict)
    virtual_clock: float = 0.0

    def enter(self, caller: str) -> None:
        """Record that a caller has waiting requests again.

        Its virtual time advances to the clock, so idle time earns no credit.
        """
        self.virtual_times[caller] = max(
            self.virtual_times.get(caller, 0.0), self.virtual_clock
        )

    def charge(self, caller: str, weight: float) -> None:
        """Charge a caller for one dispatched request."""
        before = self.virtual_times.get(caller, self.virtual_clock)
        self.virtual_clock = max(self.virtual_clock, before)
        self.virtual_times[caller] = before + 1.0 / weight

    def virtual_time(self, caller: str) -> float:
        """Return a caller's virtual time; the least goes first."""
        return self.virtual_times.get(caller, self.virtual_clock)
