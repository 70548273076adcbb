"""Decides which instances follow the store themselves; the others follow these.

Every change that every instance reads for itself costs a call each, so calls grow with
the fleet. A few watchers with the lowest ranks follow the store and tell all others
what they know and how old it is. An instance that hears too few watchers which are
current and agree with it follows the store itself, so that a lost watcher costs time
but no news.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

__all__ = ["WatchDuty"]

WATCHERS = 3
"""Instances that follow the store at once; two may be lost without a delay."""

HEARD_S = 0.9
"""Silence after which a watcher no longer counts; three of its messages."""

AGREED_S = 1.5
"""Time that a watcher counts without agreement; changes spread within half of it."""

CURRENT_S = 5.0
"""Age of a watcher's knowledge up to which it counts: two watches, and a pause between.
A watch that brings news proves no more than its start."""

STAGGER_S = 0.4
"""Longest delay before an instance of the highest rank takes up the duty, so that not
all do at once."""

RELEASE_S = 2.0
"""Time with enough other watchers after which the duty is given up."""


@dataclass
class _Watcher:
    """What was heard of a watcher, as monotonic times."""

    heard_at: float
    agreed_at: float = float("-inf")
    current_at: float = float("-inf")

    def counts(self, now: float) -> bool:
        return (
            now - self.heard_at <= HEARD_S
            and now - self.agreed_at <= AGREED_S
            and now - self.current_at <= CURRENT_S
        )


class WatchDuty:
    """Whether this instance follows the store itself.

    Attributes:
        me: Name of this instance.
        on: This instance follows the store.
        heard: Watchers that were heard, by name.
        enough_since: Time since which enough watchers of lower rank are heard.
        short_since: Time since which too few are heard.
    """

    def __init__(self, me: str) -> None:
        self.me = me
        self.on = True
        self.heard: dict[str, _Watcher] = {}
        self.enough_since: float | None = None
        self.short_since: float | None = None

    def note_heard(self, now: float, watcher: str) -> None:
        """Note a message of a watcher."""
        known = self.heard.get(watcher)
        if known is None:
            self.heard[watcher] = _Watcher(now)
        else:
            known.heard_at = now

    def note_agreed(self, now: float, watcher: str, current_at: float) -> None:
        """Note that a watcher knows nothing that this instance lacks.

        Args:
            now: Monotonic time.
            watcher: Its name.
            current_at: Time at which its knowledge was last known to be current.
        """
        self.note_heard(now, watcher)
        known = self.heard[watcher]
        known.agreed_at = now
        known.current_at = max(known.current_at, current_at)

    def counted(self, now: float) -> list[str]:
        """Return the watchers of lower rank that count now."""
        mine = _rank(self.me)
        return [
            name
            for name, watcher in self.heard.items()
            if _rank(name) < mine and watcher.counts(now)
        ]

    def step(self, now: float) -> bool:
        """Decide anew; tell whether the duty has changed."""
        self.heard = {
            name: watcher
            for name, watcher in self.heard.items()
            if now - watcher.heard_at <= HEARD_S
        }
        if len(self.counted(now)) >= WATCHERS:
            self.short_since = None
            if self.enough_since is None:
                self.enough_since = now
            wanted = now - self.enough_since < RELEASE_S and self.on
        else:
            self.enough_since = None
            if self.short_since is None:
                self.short_since = now
            delay_s = STAGGER_S * _rank(self.me)[0] / 2**32
            wanted = self.on or now - self.short_since >= delay_s
        changed = wanted != self.on
        self.on = wanted
        return changed


def _rank(name: str) -> tuple[int, str]:
    """Return the rank of an instance; names alone decide, so that all agree."""
    return zlib.crc32(name.encode()), name
