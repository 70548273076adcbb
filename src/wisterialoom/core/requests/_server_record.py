"""State of one name in the platform's instance list, across its incarnations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.fleet.instance_list import InstanceState

if TYPE_CHECKING:
    from wisterialoom.core.fleet.instance_list import ListedInstance

__all__ = ["ServerRecord"]

MISSED_LISTS_UNTIL_ABSENT = 2
"""Consecutive lists without a server after which it receives no new requests.

Lists lag and can have gaps, so one missing entry is tolerated.
"""

RETENTION_S = 3_600.0
"""Time for which the record of an unlisted server is kept, in seconds."""

MAX_RETAINED_INCARNATIONS = 8
"""Greatest number of earlier incarnations kept per name and list."""


class ServerRecord:
    """The newest incarnation of a server, and the incarnations that have ended.

    Lists lag, so a list may again show an incarnation that a newer one has
    replaced, or one that was seen leaving. Neither ever serves requests again.

    Attributes:
        name: Name in the list.
        listed: The entry as last listed; `None` until a list contains the server.
        leaving: Incarnations that were seen leaving, oldest first.
        superseded: Incarnations replaced by newer ones, oldest first.
        missed_lists: Number of consecutive lists without the server.
        seen_at: Monotonic time at which the server was last listed or reported.
    """

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.listed: ListedInstance | None = None
        self.leaving: list[str] = []
        self.superseded: list[str] = []
        self.missed_lists = 0
        self.seen_at = now

    def update(self, now: float, listed: ListedInstance) -> bool:
        """Apply an entry of the platform's list.

        Returns:
            Whether the record changed.
        """
        self.seen_at = now
        if listed.incarnation in self.superseded:
            return False
        self.missed_lists = 0
        if listed == self.listed:
            return False
        if self.listed is not None and self.listed.incarnation != listed.incarnation:
            _append_bounded(self.superseded, self.listed.incarnation)
        self.listed = listed
        if listed.state is InstanceState.LEAVING:
            _append_bounded(self.leaving, listed.incarnation)
        return True

    def record_missing(self) -> None:
        """Count a list that does not contain the server."""
        self.missed_lists += 1

    def mark_leaving(self, now: float, incarnation: str) -> bool:
        """Mark an incarnation as leaving.

        Args:
            now: Monotonic time in seconds.
            incarnation: The incarnation; empty for the one that is listed.

        Returns:
            Whether the record changed.
        """
        self.seen_at = now
        if not incarnation and self.listed is not None:
            incarnation = self.listed.incarnation
        if not incarnation or incarnation in self.leaving:
            return False
        _append_bounded(self.leaving, incarnation)
        return True

    def is_present(self) -> bool:
        """Return whether the server counts as listed, tolerating one missed list."""
        return self.listed is not None and self.missed_lists < MISSED_LISTS_UNTIL_ABSENT

    def is_leaving(self) -> bool:
        """Return whether the listed incarnation was seen leaving."""
        return self.listed is not None and self.listed.incarnation in self.leaving

    def has_expired(self, now: float) -> bool:
        """Return whether the server is absent and unseen for over `RETENTION_S`."""
        return not self.is_present() and now - self.seen_at > RETENTION_S


def _append_bounded(incarnations: list[str], incarnation: str) -> None:
    if incarnation not in incarnations:
        incarnations.append(incarnation)
    del incarnations[:-MAX_RETAINED_INCARNATIONS]
