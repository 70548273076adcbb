"""How sure an instance is that its configuration is the newest."""

from __future__ import annotations

import math

from wisterialoom.core.fleet.peer import STALE_AGE_MS

__all__ = ["Freshness"]

PAUSE_S = 2.0
"""A longer gap between two events means that the process was paused."""

ISOLATION_S = 5.0
"""Time without the object API and any fresh peer, after which doubt begins."""

LONELY_S = 2.0
"""The same, after which the object API is read in time to have no doubt."""

HOP_ALLOWANCE_S = 0.25
"""Added to an age for its way here, so that ages never shrink by travelling."""


class Freshness:
    """Knows when the configuration was last the newest, and when to doubt it.

    An age of t says that t seconds ago nothing newer existed, so the age of an older
    generation holds for a newer one too. Ages only shrink by a real read of the
    object: one that came from a peer is taken with an allowance for its way, so
    that instances which pass it round among themselves see it grow. Doubt ends
    only by an answer to a question that was asked after it began, from the object
    API or from a peer without doubt; two instances in doubt can't clear each other.

    Attributes:
        known_at: Moment at which nothing newer than what is known here existed.
        contact_at: Moment of the last word of the object API or a fresh peer.
        doubt_since: Moment at which doubt began; `None` if there is none.
        event_at: Moment of the last event.
    """

    def __init__(self) -> None:
        self.known_at = -math.inf
        self.contact_at = -math.inf
        self.doubt_since: float | None = -math.inf
        self.event_at: float | None = None

    def observe(self, now: float) -> bool:
        """Note that time has come to `now`; tell whether there was a pause."""
        paused = self.event_at is not None and now - self.event_at > PAUSE_S
        self.event_at = now
        isolated = now - self.contact_at > ISOLATION_S
        if paused or (isolated and self.doubt_since is None):
            self.doubt_since = now
        return paused

    def is_lonely(self, now: float) -> bool:
        """Tell whether doubt would soon begin for want of any word."""
        return now - self.contact_at > LONELY_S

    def hear(self, now: float) -> None:
        """Note a word of the object API or of a fresh peer."""
        self.contact_at = now

    def hear_age(self, now: float, age_s: float) -> None:
        """Take the age of what is known here, or of less, from an unasked message."""
        if self.doubt_since is None:
            self.known_at = max(self.known_at, now - age_s - HOP_ALLOWANCE_S)

    def confirm(self, asked_at: float, now: float, age_s: float = 0.0) -> None:
        """Take an answer that what is known here was the newest.

        Args:
            asked_at: Moment of the question.
            now: Monotonic time in seconds.
            age_s: Age at whoever answered; 0 for the object API.
        """
        self.hear(now)
        self.known_at = max(self.known_at, asked_at - age_s)
        if self.doubt_since is not None and asked_at >= self.doubt_since:
            self.doubt_since = None

    def age_s(self, now: float) -> float:
        """Return the age to tell peers, in seconds."""
        if self.doubt_since is not None:
            return STALE_AGE_MS / 1_000
        return min(now - self.known_at, STALE_AGE_MS / 1_000 - 1)
