"""Rendezvous hashing, by which all instances rank a set of names in the same order."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["first", "rank"]

DIGEST_BYTES = 8
"""Length of a score, in bytes."""


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their score for a key, highest first.

    When a name is removed, only the keys for which it ranked first move to other
    names. The order depends neither on the process nor on the order of `names`.

    Args:
        key: Key of the work to assign, for example `steward/worker-3`.
        names: Names of the candidates; duplicates are dropped.
    """
    return sorted(set(names), key=lambda name: (_score(key, name), name), reverse=True)


def first(key: str, names: Iterable[str]) -> str | None:
    """Return the name that ranks first for a key, or `None` without names."""
    return max(names, key=lambda name: (_score(key, name), name), default=None)


def _score(key: str, name: str) -> bytes:
    digest = blake2b(name.encode(), digest_size=DIGEST_BYTES)
    digest.update(b"\0")
    digest.update(key.encode())
    return digest.digest()
