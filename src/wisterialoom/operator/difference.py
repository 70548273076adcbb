"""Differences between two texts of the document."""

from __future__ import annotations

from difflib import unified_diff

__all__ = ["difference"]


def difference(old: bytes, new: bytes, *, old_name: str, new_name: str) -> str:
    """Return the changed lines of two documents; empty if they are the same."""
    before = old.decode(errors="replace").splitlines()
    after = new.decode(errors="replace").splitlines()
    lines = unified_diff(before, after, old_name, new_name, n=2, lineterm="")
    return "\n".join(lines)
