"""Emulator of the weight store: computes how long loads take, without I/O."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

__all__ = ["WeightStore"]


@dataclass
class WeightStore:
    """Weight store with a limited start rate and a limited total bandwidth.

    The duration of a load is fixed when the load starts, from the number of loads that
    are in progress at that time.

    Attributes:
        loads_per_s: Model loads that may start per second; further loads wait.
        full_speed_loads: Concurrent model loads above which each slows down.
        adapter_full_speed_loads: Concurrent adapter loads above which each slows down.
            The start rate of adapter loads is not limited.
        ends: Heap of the end times of the model loads in progress.
        adapter_ends: Heap of the end times of the adapter loads in progress.
        next_start: Earliest time at which the next model load may start.
        loads: Number of model loads begun.
        adapter_loads: Number of adapter loads begun.
    """

    loads_per_s: float = 2.0
    full_speed_loads: int = 8
    adapter_full_speed_loads: int = 60
    ends: list[float] = field(default_factory=list)
    adapter_ends: list[float] = field(default_factory=list)
    next_start: float = 0.0
    loads: int = 0
    adapter_loads: int = 0

    def begin(self, now: float, load_s: float, *, adapter: bool) -> float:
        """Begin a load.

        Args:
            now: Monotonic time in seconds.
            load_s: Duration of the load at full speed, in seconds.
            adapter: Whether an adapter is loaded, not a model.

        Returns:
            Seconds from now until the load ends.
        """
        if adapter:
            self.adapter_loads += 1
            limit = self.adapter_full_speed_loads
            return _schedule_load(self.adapter_ends, now, load_s, limit) - now
        self.loads += 1
        start = max(now, self.next_start)
        self.next_start = start + 1.0 / self.loads_per_s
        return _schedule_load(self.ends, start, load_s, self.full_speed_loads) - now


def _schedule_load(ends: list[float], start: float, load_s: float, limit: int) -> float:
    while ends and ends[0] <= start:
        heapq.heappop(ends)
    slowdown = max(1.0, (len(ends) + 1) / limit)
    end = start + load_s * slowdown
    heapq.heappush(ends, end)
    return end
