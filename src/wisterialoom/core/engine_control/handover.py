"""When a holder hands its lease over to a preferred instance."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Handover"]

WAIT_LEASES = 2.0
"""First wait before handing over, in lease lengths."""

WAIT_LEASES_LIMIT = 32.0
"""Longest wait before handing over, in lease lengths."""


@dataclass(slots=True)
class Handover:
    """Damps the hand-over, so that two views of the members do not swing it.

    Attributes:
        misplaced_at: Since when another instance ranks first.
        wait_leases: Wait before handing over to it, in lease lengths.
    """

    misplaced_at: float | None = None
    wait_leases: float = WAIT_LEASES

    def is_due(self, now: float, place: int | None, lease_s: float) -> bool:
        """Tell whether the lease should be handed over when idle.

        Args:
            now: Monotonic time in seconds.
            place: Rank of this instance for the server, 0 first.
            lease_s: Length of the lease in seconds.
        """
        if place == 0:
            self.misplaced_at = None
            self.wait_leases = WAIT_LEASES
            return False
        if self.misplaced_at is None:
            self.misplaced_at = now
        return now - self.misplaced_at > self.wait_leases * lease_s

    def note(self, now: float) -> None:
        """Wait longer before the next hand-over, until ranked first again."""
        self.misplaced_at = now
        self.wait_leases = min(self.wait_leases * 2, WAIT_LEASES_LIMIT)
