"""Decides which instances follow the store themselves; the others follow these.

Every change that every instance reads for itself costs a call each, so calls grow with
the fleet. A few watchers with the lowest ranks follow the store and tell all others
what they know and how old it is. An instance that hears too few watchers which are
current and agree with it follows the store itself, so that a lost watcher costs time
but no news.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WATCHER_MAX_AGE_S", "MAX_RANK", "WatcherRole"]

WATCHERS = 3
"""Instances that follow the store at once; two may be lost without a delay."""

HEARD_S = 0.9
"""Silence after which a watcher no longer counts; three of its messages."""

AGREED_S = 1.5
"""Time that a watcher counts without agreement; changes spread within half of it."""

WATCHER_MAX_AGE_S = 5.0
"""Age of a watcher's knowledge up to which it counts: two watches, and a pause between.
A watch that brings news proves no more than its start."""

STAGGER_S = 0.4
"""Delay before an instance of the highest rank takes up the duty, so that not all do
at once; lower ranks wait in proportion."""

FIRST_STAGGER_S = 1.5
"""That delay after a start. The list has just been read, and all start together."""

MAX_RANK = 2**32
"""Ranks are below this."""

RELEASE_S = 2.0
"""Time with enough other watchers after which the duty is given up."""


@dataclass
class _Watcher:
    """What was heard of a watcher, as monotonic times."""

    rank: int
    heard_at: float
    agreed_at: float = float("-inf")
    current_at: float = float("-inf")

    def counts(self, now: float) -> bool:
        return (
            now - self.heard_at <= HEARD_S
            and now - self.agreed_at <= AGREED_S
            and now - self.current_at <= WATCHER_MAX_AGE_S
        )


class WatcherRole:
    """Whether this instance follows the store itself.

    Attributes:
        rank: Rank of this instance, below `MAX_RANK`; the lowest ranks watch.
        active: This instance follows the store.
        watchers: Watchers that were heard, by name.
        enough_since: Time since which enough watchers of lower rank are heard.
        short_since: Time since which too few are heard.
        stagger_s: Delay of the highest rank.
    """

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.active = False
        self.stagger_s = FIRST_STAGGER_S
        self.watchers: dict[str, _Watcher] = {}
        self.enough_since: float | None = None
        self.short_since: float | None = None

    def record_message(self, now: float, watcher: str, rank: int) -> None:
        """Note a message of a watcher."""
        known = self.watchers.get(watcher)
        if known is None:
            self.watchers[watcher] = _Watcher(rank, now)
        else:
            known.rank, known.heard_at = rank, now

    def record_agreement(self, now: float, watcher: str, current_at: float) -> None:
        """Note that a watcher just heard knows nothing that this instance lacks.

        Args:
            now: Monotonic time.
            watcher: Its name.
            current_at: Time at which its knowledge was last known to be current.
        """
        known = self.watchers[watcher]
        known.agreed_at = now
        known.current_at = max(known.current_at, current_at)

    def live_watchers(self, now: float) -> list[str]:
        """Return the watchers of lower rank that count now."""
        return [
            name
            for name, watcher in self.watchers.items()
            if watcher.rank < self.rank and watcher.counts(now)
        ]

    def step(self, now: float) -> bool:
        """Decide anew; tell whether the duty has changed."""
        self.watchers = {
            name: watcher
            for name, watcher in self.watchers.items()
            if now - watcher.heard_at <= HEARD_S
        }
        if len(self.live_watchers(now)) >= WATCHERS:
            self.short_since = None
            self.stagger_s = STAGGER_S
            if self.enough_since is None:
                self.enough_since = now
            wanted = now - self.enough_since < RELEASE_S and self.active
        else:
            self.enough_since = None
            if self.short_since is None:
                self.short_since = now
            delay_s = self.stagger_s * self.rank / MAX_RANK
            wanted = self.active or now - self.short_since >= delay_s
        changed = wanted != self.active
        self.active = wanted
        return changed
