"""Tracks whether an instance's configuration is confirmed to be the newest."""

from __future__ import annotations

import math

from wisterialoom.core.fleet.peer import STALE_AGE_MS

__all__ = ["Freshness"]

MIN_PAUSE_S = 2.0
"""Gap between two events above which the process must have been paused."""

ISOLATION_LIMIT_S = 5.0
"""Time without contact after which the configuration becomes unconfirmed.

Contact means a message of the object API or of a fresh peer, which is one that
reports its own configuration as confirmed to be the newest.
"""

NEAR_ISOLATION_S = 2.0
"""Time without contact after which the object API is read more often.

It is shorter than `ISOLATION_LIMIT_S`, so that a read can complete before the
configuration becomes unconfirmed.
"""

TRANSIT_ALLOWANCE_S = 0.25
"""Added to a received age for its time in transit, so that ages never shrink."""


class Freshness:
    """Tracks the age of the configuration, and whether it is confirmed.

    An age of t seconds, reported for a generation, means that no newer generation
    existed t seconds ago. The same age is therefore valid for every later generation.
    Only an actual read of the object makes the age smaller. The age received from a
    peer is increased by an allowance for its time in transit, so that it grows when
    instances pass it to each other.

    An unconfirmed configuration becomes confirmed only by the response to a request
    that was sent after it had become unconfirmed. The response must come from the
    object API or from a peer whose configuration is confirmed, so that two instances
    with unconfirmed configurations cannot confirm each other's.

    Attributes:
        current_as_of: Monotonic time at which no newer generation existed than the
            latest one seen here.
        contact_at: Monotonic time of the last message of the object API or of a
            fresh peer.
        unconfirmed_since: Monotonic time at which the configuration became
            unconfirmed; `None` if it is confirmed.
        last_event_at: Monotonic time of the last event.
    """

    def __init__(self) -> None:
        self.current_as_of = -math.inf
        self.contact_at = -math.inf
        self.unconfirmed_since: float | None = -math.inf
        self.last_event_at: float | None = None

    def observe(self, now: float) -> bool:
        """Record the time of an event; return whether the process was paused before."""
        paused = (
            self.last_event_at is not None and now - self.last_event_at > MIN_PAUSE_S
        )
        self.last_event_at = now
        isolated = now - self.contact_at > ISOLATION_LIMIT_S
        if paused or (isolated and self.unconfirmed_since is None):
            self.unconfirmed_since = now
        return paused

    def is_nearly_isolated(self, now: float) -> bool:
        """Return whether the configuration soon becomes unconfirmed without contact."""
        return now - self.contact_at > NEAR_ISOLATION_S

    def record_contact(self, now: float) -> None:
        """Record a message of the object API or of a fresh peer."""
        self.contact_at = now

    def update_age(self, now: float, age_s: float) -> None:
        """Update the age from an unrequested message of a fresh peer.

        The message must be about the latest generation seen here or an older one.
        """
        if self.unconfirmed_since is None:
            self.current_as_of = max(
                self.current_as_of, now - age_s - TRANSIT_ALLOWANCE_S
            )

    def confirm(self, sent_at: float, now: float, age_s: float = 0.0) -> None:
        """Process a response which says that the latest generation seen is the newest.

        Args:
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time in seconds.
            age_s: Age that the responder reported; 0 for the object API.
        """
        self.record_contact(now)
        self.current_as_of = max(self.current_as_of, sent_at - age_s)
        if self.unconfirmed_since is not None and sent_at >= self.unconfirmed_since:
            self.unconfirmed_since = None

    def age_s(self, now: float) -> float:
        """Return the age to report to peers, in seconds."""
        if self.unconfirmed_since is not None:
            return STALE_AGE_MS / 1_000
        return min(now - self.current_as_of, STALE_AGE_MS / 1_000 - 1)
