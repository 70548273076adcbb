"""What is known of one name in the platform's list, over its incarnations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.fleet.instance_list import InstanceState

if TYPE_CHECKING:
    from wisterialoom.core.fleet.instance_list import ListedInstance

__all__ = ["ServerRecord"]

MISSES_UNTIL_GONE = 2
"""Lists in a row without a server after which it gets no new work."""

MEMORY_S = 3_600.0
"""Time for which a server that is no longer listed is remembered."""

MAX_REMEMBERED = 8
"""Incarnations of one name that are remembered."""


class ServerRecord:
    """The newest incarnation of a server, and which ones are over.

    Lists lag, so one may show an incarnation again that a newer one has followed
    or that was seen leaving. Neither ever serves again.

    Attributes:
        name: Name in the list.
        listed: As last listed; `None` before the first list that has it.
        leaving: Incarnations that were seen leaving, oldest first.
        past: Incarnations that newer ones have followed, oldest first.
        misses: Lists in a row that left it out.
        seen_at: Moment at which it was last listed or spoken of.
    """

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.listed: ListedInstance | None = None
        self.leaving: list[str] = []
        self.past: list[str] = []
        self.misses = 0
        self.seen_at = now

    def list(self, now: float, listed: ListedInstance) -> bool:
        """Take an entry of the platform's list; tell whether it is news."""
        self.seen_at = now
        if listed.incarnation in self.past:
            return False
        self.misses = 0
        if listed == self.listed:
            return False
        if self.listed is not None and self.listed.incarnation != listed.incarnation:
            _remember(self.past, self.listed.incarnation)
        self.listed = listed
        if listed.state is InstanceState.LEAVING:
            _remember(self.leaving, listed.incarnation)
        return True

    def miss(self) -> None:
        """Take a list without this server."""
        self.misses += 1

    def leave(self, now: float, incarnation: str) -> bool:
        """Take a word that it is leaving; tell whether that is news.

        Args:
            now: Monotonic time in seconds.
            incarnation: That is leaving; empty for the one that is listed.
        """
        self.seen_at = now
        if not incarnation and self.listed is not None:
            incarnation = self.listed.incarnation
        if not incarnation or incarnation in self.leaving:
            return False
        _remember(self.leaving, incarnation)
        return True

    def is_present(self) -> bool:
        """Tell whether it is listed, a single gap in the lists aside."""
        return self.listed is not None and self.misses < MISSES_UNTIL_GONE

    def is_leaving(self) -> bool:
        """Tell whether the listed incarnation was seen leaving."""
        return self.listed is not None and self.listed.incarnation in self.leaving

    def has_expired(self, now: float) -> bool:
        """Tell whether it has not been listed for so long as to be forgotten."""
        return not self.is_present() and now - self.seen_at > MEMORY_S


def _remember(incarnations: list[str], incarnation: str) -> None:
    if incarnation not in incarnations:
        incarnations.append(incarnation)
    del incarnations[:-MAX_REMEMBERED]
