"""Differences between two versions of the document's text."""

from __future__ import annotations

from difflib import unified_diff

__all__ = ["difference"]


def difference(old: bytes, new: bytes, *, old_name: str, new_name: str) -> str:
    """Return a unified diff of two documents; empty if they are equal."""
    before = old.decode(errors="replace").splitlines()
    after = new.decode(errors="replace").splitlines()
    lines = unified_diff(before, after, old_name, new_name, n=2, lineterm="")
    return "\n".join(lines)
