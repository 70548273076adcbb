"""Measures the processor time of short calls."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["cost_us"]

BATCHES = 5
"""Number of batches to measure."""

MIN_BATCH_S = 0.02
"""Minimum processor time of a batch."""


def cost_us(call: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds.

    The minimum over several batches is returned, since other work on the machine can
    only add to the time.
    """
    count = 1
    while _batch_s(call, count) < MIN_BATCH_S:
        count *= 2
    return min(_batch_s(call, count) for _ in range(BATCHES)) / count * 1e6


def _batch_s(call: Callable[[], object], count: int) -> float:
    started_at = time.thread_time()
    for _ in range(count):
        call()
    return time.thread_time() - started_at
