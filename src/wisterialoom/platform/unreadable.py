"""Counts and logs input that cannot be decoded."""

from __future__ import annotations

import logging

__all__ = ["UnreadableInput"]

logger = logging.getLogger(__name__)

MAX_LOGGED = 2_000
"""Names whose log line is remembered; about five times the servers of a large site."""


MAX_NAME_CHARS = 200
"""Characters of a name that are logged and remembered."""


class UnreadableInput:
    """Counts input that cannot be decoded, and logs each name once.

    Attributes:
        counts: Number of unreadable items by kind, for metrics.
        logged: Kind and name of the items that were logged and not readable since.
    """

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.logged: set[tuple[str, str]] = set()

    def record(self, kind: str, name: str, error: str) -> None:
        """Count an unreadable item; log it unless it was logged already.

        Args:
            kind: Kind of the item, one of a few.
            name: Name of the item; empty if that cannot be read either.
            error: What is wrong with it.
        """
        self.counts[kind] = self.counts.get(kind, 0) + 1
        key = (kind, name[:MAX_NAME_CHARS])
        if key in self.logged or len(self.logged) >= MAX_LOGGED:
            return
        self.logged.add(key)
        logger.warning(
            "unreadable input ignored",
            extra={"kind": kind, "item": key[1], "error": error},
        )

    def record_readable(self, kind: str, name: str) -> None:
        """Record that an item can be read, so that its next fault is logged again."""
        self.logged.discard((kind, name[:MAX_NAME_CHARS]))
