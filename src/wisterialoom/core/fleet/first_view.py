"""Decides where an instance gets its first view of configuration and servers from.

When hundreds of instances start at once, a list of each kind by each of them loads the
store, and each call has its price. An instance therefore asks the holder of the
placement lease for a copy, and reads the store itself only if there is no holder or it
does not answer.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["FirstView", "ViewSource"]

LEASE_TIMEOUT_S = 1.0
"""Time after the start without a read of the lease after which the store is read."""

ASK_INTERVAL_S = 0.05
"""Time between two requests for a copy.

The holder may be starting, too, or a datagram may be lost.
"""

ANSWER_TIMEOUT_S = 0.15
"""Time since the first request for a copy after which the store is read.

Callers wait meanwhile.
"""


class ViewSource(enum.Enum):
    """What to do next for the first view."""

    WAIT = "wait"
    ASK_HOLDER = "ask_holder"
    READ_STORE = "read_store"


@dataclass
class FirstView:
    """Chooses the source of the first view.

    Attributes:
        started_at: Monotonic time of the first step.
        first_asked_at: Monotonic time of the first request for a copy.
        asked_at: Monotonic time of the last request for a copy.
    """

    started_at: float | None = None
    first_asked_at: float | None = None
    asked_at: float = float("-inf")

    def step(self, now: float, holder: str | None) -> ViewSource:
        """Return what to do now, as long as there is no view yet.

        Args:
            now: Monotonic time in seconds.
            holder: Address of the holder of the lease; empty if there is none besides
                this instance, `None` if that is not known yet.
        """
        if self.started_at is None:
            self.started_at = now
        if holder is None:
            waited_s = now - self.started_at
            return (
                ViewSource.WAIT if waited_s < LEASE_TIMEOUT_S else ViewSource.READ_STORE
            )
        if not holder:
            return ViewSource.READ_STORE
        if self.first_asked_at is None:
            self.first_asked_at = now
        if now - self.first_asked_at >= ANSWER_TIMEOUT_S:
            return ViewSource.READ_STORE
        if now - self.asked_at < ASK_INTERVAL_S:
            return ViewSource.WAIT
        self.asked_at = now
        return ViewSource.ASK_HOLDER
