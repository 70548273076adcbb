"""Decides when a holder hands its lease over to a preferred instance."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Handover"]

INITIAL_WAIT_LEASES = 2.0
"""First wait before handing over, in lease lengths."""

MAX_WAIT_LEASES = 32.0
"""Longest wait before handing over, in lease lengths."""


@dataclass(slots=True)
class Handover:
    """Delays hand-overs, so that two instances do not keep passing the lease on.

    That could happen while instances have different views of the membership and so
    rank different instances first.

    Attributes:
        misplaced_at: Since when another instance has ranked first; `None` if this
            one does.
        wait_leases: Wait before the next hand-over, in lease lengths.
    """

    misplaced_at: float | None = None
    wait_leases: float = INITIAL_WAIT_LEASES

    def is_due(self, now: float, rank: int | None, lease_s: float) -> bool:
        """Return whether the lease should be handed over when idle.

        Args:
            now: Monotonic time in seconds.
            rank: Rank of this instance for the server, 0 for the preferred one.
            lease_s: Length of the lease in seconds.
        """
        if rank == 0:
            self.misplaced_at = None
            self.wait_leases = INITIAL_WAIT_LEASES
            return False
        if self.misplaced_at is None:
            self.misplaced_at = now
        return now - self.misplaced_at > self.wait_leases * lease_s

    def record(self, now: float) -> None:
        """Record a hand-over: double the wait until this instance ranks first again."""
        self.misplaced_at = now
        self.wait_leases = min(self.wait_leases * 2, MAX_WAIT_LEASES)
