"""Selects the entries of a table that changed since the last message to peers.

Sending the whole table each time would load the sender's link in proportion to the
size of the fleet. Each change is sent once instead; the sender adds a digest of the
table to its messages, from which a receiver sees that it missed a change.
"""

from __future__ import annotations

from typing import Generic, TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ChangeFeed"]

T = TypeVar("T")


class ChangeFeed(Generic[T]):
    """Tracks the changes of a table that have not been sent to peers yet.

    Attributes:
        table: The table as it was last recorded.
        pending_keys: Keys of the entries that the next message must carry.
    """

    def __init__(self) -> None:
        self.table: dict[str, T] = {}
        self.pending_keys: set[str] = set()

    def set_baseline(self, table: Mapping[str, T]) -> None:
        """Start from a table that the peers already have."""
        self.table = dict(table)
        self.pending_keys = set()

    def record_table(self, table: Mapping[str, T]) -> set[str]:
        """Record the current table and return the keys that have changed."""
        changed = {
            key for key, value in table.items() if self.table.get(key) != value
        } | (self.table.keys() - table.keys())
        self.table = dict(table)
        self.pending_keys |= changed
        return changed

    def entries_for(self, keys: set[str]) -> dict[str, T | None]:
        """Return the current value of some entries; `None` for a removed one."""
        return {key: self.table.get(key) for key in keys}

    def take_pending(self) -> dict[str, T | None]:
        """Return the unsent changes and mark them as sent."""
        changes = self.entries_for(self.pending_keys)
        self.pending_keys = set()
        return changes
