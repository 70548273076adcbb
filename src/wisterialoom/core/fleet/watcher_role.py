"""Decides which instances watch the store; the others follow these watchers.

If every instance read every change from the store itself, the number of calls would
grow with the fleet. Instead, the few instances with the lowest ranks watch the store
and announce to all others what they have read and how old it is. An instance that
receives messages from too few watchers that are up to date and agree with it watches
the store itself, so the loss of a watcher delays changes but loses none. If none of
them has confirmed its view for too long, it begins at once (`ViewPromise`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.fleet.view_promise import ViewPromise

__all__ = ["MAX_RANK", "WatcherRole"]

WATCHER_COUNT = 3
"""Number of concurrent watchers; two may fail without a delay."""

WATCHER_TIMEOUT_S = 0.9
"""Time without a message after which a watcher no longer counts.

Three messages are sent in this time.
"""

AGREEMENT_TIMEOUT_S = 1.5
"""Time that a watcher still counts without agreement.

A change spreads within half of this time.
"""

STAGGER_S = 0.8
"""Delay before an instance of the highest rank starts to watch.

Lower ranks wait proportionally less, so that not all instances start at once.
"""

FIRST_DELAY_S = 0.8
"""Delay before any instance starts to watch after its process start.

All instances may have started together. In this time they learn of each other, so that
only those of the lowest ranks start. The list has just been read.
"""

FIRST_STAGGER_S = 1.2
"""Additional delay of the highest rank after a process start.

It applies to an instance that knows enough others of lower rank, or none at all.
"""

MAX_RANK = 2**32
"""Exclusive upper bound of ranks."""

RELEASE_DELAY_S = 2.0
"""Time with enough other watchers after which an instance stops watching."""


@dataclass
class _Watcher:
    """Messages received from a watcher; all times are monotonic, in seconds.

    Attributes:
        rank: Rank of the watcher.
        last_message_at: Time of its last message.
        agreed_at: Time at which it last had nothing that this instance lacks.
        current_at: Time at which the data that it agreed on was last known to be
            current.
    """

    rank: int
    last_message_at: float
    agreed_at: float = float("-inf")
    current_at: float = float("-inf")

    def is_live(self, now: float, max_age_s: float) -> bool:
        return (
            now - self.last_message_at <= WATCHER_TIMEOUT_S
            and now - self.agreed_at <= AGREEMENT_TIMEOUT_S
            and now - self.current_at <= max_age_s
        )


class WatcherRole:
    """Decides whether this instance watches the store itself.

    Attributes:
        rank: Rank of this instance, below `MAX_RANK`; the lowest ranks watch.
        promise: Limits on the age of the view.
        active: Whether this instance watches the store.
        watchers: Watchers whose messages were received, by name.
        enough_since: Time since which enough watchers of lower rank are live.
        too_few_since: Time since which too few of them are live.
        must_read: Whether this instance has reason to doubt its watchers, and reads the
            store without delay.
        doubted_at: Time up to which confirmations of watchers count no more.
        confirmed_at: Time at which a watcher of any rank last knew the view that this
            instance has to be current.
        has_followed: Whether enough other watchers were live since the process start.
        lower_ranked: Number of known instances of lower rank; `None` before this
            instance has learned of the others.
    """

    def __init__(self, rank: int, promise: ViewPromise) -> None:
        self.rank = rank
        self.promise = promise
        self.active = False
        self.has_followed = False
        self.lower_ranked: int | None = None
        self.watchers: dict[str, _Watcher] = {}
        self.must_read = False
        self.doubted_at = float("-inf")
        self.confirmed_at = float("-inf")
        self.enough_since: float | None = None
        self.too_few_since: float | None = None

    def begin(self) -> None:
        """Watch the store from the next step on, unless others already do."""
        if not self.active and not self.watchers:
            self.must_read = True

    def record_message(self, now: float, watcher: str, rank: int) -> None:
        """Record a message from a watcher."""
        known = self.watchers.get(watcher)
        if known is None:
            self.watchers[watcher] = _Watcher(rank, now)
        else:
            known.rank, known.last_message_at = rank, now

    def record_agreement(self, now: float, watcher: str, current_at: float) -> None:
        """Record that a watcher has nothing that this instance lacks.

        Args:
            now: Monotonic time in seconds.
            watcher: Name of a watcher whose message was just recorded.
            current_at: Time at which its data was last known to be current.
        """
        if current_at <= self.doubted_at:
            return
        known = self.watchers[watcher]
        known.agreed_at = now
        known.current_at = max(known.current_at, current_at)
        self.confirmed_at = max(self.confirmed_at, current_at)

    def doubt(self, now: float, *, at_once: bool) -> None:
        """Stop to count what the watchers have said, as one of them was wrong.

        Args:
            now: Monotonic time in seconds.
            at_once: Whether to read the store at the next step, instead of in turn with
                all others that doubt them.
        """
        self.watchers.clear()
        self.doubted_at = now
        self.confirmed_at = min(self.confirmed_at, now - self.promise.max_age_s)
        self.must_read = at_once and not self.active

    def live_watchers(self, now: float) -> list[str]:
        """Return the watchers of lower rank that are up to date and agree."""
        return [
            name
            for name, watcher in self.watchers.items()
            if watcher.rank < self.rank and watcher.is_live(now, self.promise.max_age_s)
        ]

    def step(self, now: float) -> bool:
        """Decide again whether to watch; return whether the decision has changed."""
        self.watchers = {
            name: watcher
            for name, watcher in self.watchers.items()
            if now - watcher.last_message_at <= WATCHER_TIMEOUT_S
        }
        if self.must_read:
            self.must_read = False
            self.enough_since = None
            should_watch = True
        elif len(self.live_watchers(now)) >= WATCHER_COUNT:
            self.too_few_since = None
            self.has_followed = True
            if self.enough_since is None:
                self.enough_since = now
            should_watch = now - self.enough_since < RELEASE_DELAY_S and self.active
        else:
            self.enough_since = None
            if self.too_few_since is None:
                self.too_few_since = now
            should_watch = self.active or now >= self._start_at()
        changed = should_watch != self.active
        self.active = should_watch
        return changed

    def due_in_s(self, now: float) -> float:
        """Return the time until the next step is due, if no message comes before."""
        if self.active:
            return float("inf")
        if self.must_read:
            return 0.0
        following = self.too_few_since is None
        due_at = self._unconfirmed_at() if following else self._start_at()
        return due_at - now if due_at > now else float("inf")

    def _unconfirmed_at(self) -> float:
        """Return when the view is unconfirmed for so long that this instance reads."""
        spread_s = self.promise.start_spread_s * self.rank / MAX_RANK
        return self.confirmed_at + self.promise.max_age_s + spread_s

    def _start_at(self) -> float:
        """Return when this instance begins to watch, if too few others do."""
        assert self.too_few_since is not None
        share = self.rank / MAX_RANK
        if self.has_followed:
            return min(self.too_few_since + STAGGER_S * share, self._unconfirmed_at())
        if self.lower_ranked is None:
            return self.too_few_since + FIRST_DELAY_S + FIRST_STAGGER_S * share
        if self.lower_ranked < WATCHER_COUNT:
            return self.too_few_since + FIRST_DELAY_S
        # Those of lower rank start first, and need as much time to be heard.
        return self.too_few_since + 2 * FIRST_DELAY_S + FIRST_STAGGER_S * share
