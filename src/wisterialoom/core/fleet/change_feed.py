"""Chooses which entries of a table to tell others next.

Telling all entries at each time costs the sender's link as much as the fleet is large.
Here each change is told once, and a digest beside it shows who missed one.
"""

from __future__ import annotations

from typing import Generic, TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ChangeFeed"]

T = TypeVar("T")


class ChangeFeed(Generic[T]):
    """Changes of a table that others have yet to hear of.

    Attributes:
        table: The table as it was last noted.
        left: Keys of the entries that shall be told.
    """

    def __init__(self) -> None:
        self.table: dict[str, T] = {}
        self.left: set[str] = set()

    def start_from(self, table: Mapping[str, T]) -> None:
        """Take what others know already."""
        self.table = dict(table)
        self.left = set()

    def note(self, table: Mapping[str, T]) -> set[str]:
        """Note the table as it is now; return the keys that have changed."""
        changed = {
            key for key, value in table.items() if self.table.get(key) != value
        } | (self.table.keys() - table.keys())
        self.table = dict(table)
        self.left |= changed
        return changed

    def pick(self, keys: set[str]) -> dict[str, T | None]:
        """Return some entries as they are now; `None` if one is gone."""
        return {key: self.table.get(key) for key in keys}

    def take(self) -> dict[str, T | None]:
        """Return what the next message shall tell."""
        told = self.pick(self.left)
        self.left = set()
        return told
