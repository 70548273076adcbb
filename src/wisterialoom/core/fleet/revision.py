"""Revision of the platform's store, which may be restored from an older copy."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["FIRST_REVISION", "Revision"]


class Revision(NamedTuple):
    """A revision of the store, ordered by era first.

    A restore from a copy begins an era. The store then assigns numbers again that it
    assigned before, to other changes, so numbers of two eras say nothing about each
    other; whatever the store says in the later era counts.

    Attributes:
        era: Number of restores so far, as the store counts them; 0 if it does not say.
        number: Number of the change.
    """

    era: int
    number: int


FIRST_REVISION = Revision(0, 0)
"""Revision before the first answer of the store."""
