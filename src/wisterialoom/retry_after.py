"""The header `Retry-After` of answers that backend servers refuse requests with."""

from __future__ import annotations

__all__ = ["RETRY_AFTER", "read_retry_after"]

RETRY_AFTER = "Retry-After"
"""Seconds, maybe with a fraction, for which the server wants nothing more."""

MAX_DIGITS = 12
"""Digits before the point of the longest time that is believed."""


def read_retry_after(text: str) -> float:
    """Return the seconds that the header names; 0 for dates and what is no time."""
    whole, _, fraction = text.strip().partition(".")
    digits = whole + fraction
    if not (digits.isascii() and digits.isdigit()) or len(whole) > MAX_DIGITS:
        return 0.0
    return float(text)
