"""A stand-in for the weight store: how long loads take, sans I/O."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

__all__ = ["WeightStore"]


@dataclass
class WeightStore:
    """Loads that start at a limited rate and slow each other beyond a number.

    A load's time is settled when it starts, by the loads that run at that moment.

    Attributes:
        loads_per_s: Model loads that may start each second; later ones wait.
        full_speed_loads: Model loads at once before they slow each other.
        adapter_full_speed_loads: The same for adapters, which start at any rate.
        ends: Moments at which the model loads in progress end.
        adapter_ends: The same for adapters.
        next_start: Moment at which the next model load may start.
        loads: Model loads begun.
        adapter_loads: Adapter loads begun.
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
            load_s: Its time at full speed.
            adapter: It is an adapter, not a model.

        Returns:
            Seconds from now until it has ended.
        """
        if adapter:
            self.adapter_loads += 1
            limit = self.adapter_full_speed_loads
            return _run(self.adapter_ends, now, load_s, limit) - now
        self.loads += 1
        start = max(now, self.next_start)
        self.next_start = start + 1.0 / self.loads_per_s
        return _run(self.ends, start, load_s, self.full_speed_loads) - now


def _run(ends: list[float], start: float, load_s: float, limit: int) -> float:
    while ends and ends[0] <= start:
        heapq.heappop(ends)
    slowdown = max(1.0, (len(ends) + 1) / limit)
    end = start + load_s * slowdown
    heapq.heappush(ends, end)
    return end
