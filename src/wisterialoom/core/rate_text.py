"""Rates that backend servers name in the headers of their answers."""

from __future__ import annotations

import math

__all__ = ["read_rate"]


def read_rate(text: str) -> float | None:
    """Decode a rate.

    Args:
        text: A decimal number of events a second.

    Returns:
        The rate; `None` if the text is no number that could be one.
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0.0 <= rate < math.inf else None
