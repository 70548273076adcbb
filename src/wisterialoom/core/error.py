"""Base class of the errors that this package raises."""

from __future__ import annotations

__all__ = ["WisterialoomError"]


class WisterialoomError(Exception):
    """Base class of this package's errors; each message says how to fix the problem."""
