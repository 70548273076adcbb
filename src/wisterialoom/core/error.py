"""Root of the tree of errors that this package raises."""

from __future__ import annotations

__all__ = ["WisterialoomError"]


class WisterialoomError(Exception):
    """Base of every error of this package; the message names the remedy."""
