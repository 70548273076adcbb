"""A virtual clock with scheduled calls."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Schedule"]


class Schedule:
    """Runs calls in the order of their times.

    Calls with equal times run in the order in which they were scheduled.

    Attributes:
        now: Virtual monotonic time in seconds.
    """

    def __init__(self, start: float = 1_000.0) -> None:
        self.now = start
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.serials = itertools.count()

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time, or at the current time if that has passed."""
        item = (max(moment, self.now), next(self.serials), call)
        heapq.heappush(self.calls, item)

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        self.at(self.now + delay, call)

    def run_until(self, moment: float) -> None:
        """Run every call that is due by a time and advance the clock to it."""
        while self.calls and self.calls[0][0] <= moment:
            self.now, _, call = heapq.heappop(self.calls)
            call()
        self.now = max(self.now, moment)
