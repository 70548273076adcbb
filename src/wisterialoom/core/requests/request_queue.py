"""Requests that wait in an entry instance for a backend server.

Requests wait in lanes, one for each model, adapter or service selector. Order
within and between lanes: priority, then the caller that got least, then the
deadline.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.requests.fair_share import FairShare

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wisterialoom.core.requests.request import Classified

__all__ = ["QueueRank", "RequestQueue", "effective_priority"]

LAST_PART = 0.1
"""In this last part of its time, work that may wait goes with the first."""

QueueRank = tuple[float, float, float]
"""Effective priority, caller's virtual time, deadline; the least goes first."""


@dataclass
class _Line:
    """Requests of one lane, class and caller, earliest deadline first."""

    heap: list[tuple[float, int, Classified]] = field(default_factory=list)

    def push(self, serial: int, classified: Classified) -> None:
        heapq.heappush(self.heap, (classified.deadline, serial, classified))

    def head(self, live: dict[str, Classified]) -> Classified | None:
        while self.heap:
            classified = self.heap[0][2]
            if live.get(classified.request.request_id) is classified:
                return classified
            heapq.heappop(self.heap)
        return None


@dataclass
class RequestQueue:
    """Every waiting request of one entry instance.

    Attributes:
        waiting: Waiting requests by id.
        lanes: Lines by lane, then by traffic class and caller.
        lengths: Count of waiting requests by lane.
        by_caller: Count of waiting requests by caller.
        fair: Shares between callers.
    """

    waiting: dict[str, Classified] = field(default_factory=dict)
    lanes: dict[str, dict[tuple[str, str], _Line]] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)
    by_caller: dict[str, int] = field(default_factory=dict)
    fair: FairShare = field(default_factory=FairShare)
    serials: Iterator[int] = field(default_factory=itertools.count)

    def __len__(self) -> int:
        return len(self.waiting)

    def push(self, classified: Classified) -> None:
        """Let a request wait."""
        caller = classified.caller
        if not self.by_caller.get(caller):
            self.fair.enter(caller)
        self.waiting[classified.request.request_id] = classified
        lines = self.lanes.setdefault(classified.lane, {})
        line = lines.setdefault((classified.traffic_class, caller), _Line())
        line.push(next(self.serials), classified)
        _add(self.lengths, classified.lane, 1)
        _add(self.by_caller, caller, 1)

    def remove(self, request_id: str) -> Classified | None:
        """Take a request out, whatever its place; `None` if it does not wait."""
        classified = self.waiting.pop(request_id, None)
        if classified is None:
            return None
        _add(self.lengths, classified.lane, -1)
        _add(self.by_caller, classified.caller, -1)
        return classified

    def head(
        self, now: float, lanes: Iterable[str]
    ) -> tuple[QueueRank, Classified] | None:
        """Return the request that should go first among some lanes."""
        best: tuple[QueueRank, Classified] | None = None
        for lane in lanes:
            if not self.lengths.get(lane):
                continue
            for classified in self._heads(lane):
                rank = self.rank(now, classified)
                if best is None or rank < best[0]:
                    best = (rank, classified)
        return best

    def _heads(self, lane: str) -> Iterator[Classified]:
        lines = self.lanes.get(lane, {})
        for key in list(lines):
            classified = lines[key].head(self.waiting)
            if classified is None:
                del lines[key]
            else:
                yield classified

    def rank(self, now: float, classified: Classified) -> QueueRank:
        """Return a request's place; work that may wait moves up as it ages."""
        priority = effective_priority(now, classified)
        return (priority, self.fair.of(classified.caller), classified.deadline)

    def dispatched(self, classified: Classified) -> None:
        """Take a request out as dispatched and charge its caller."""
        self.remove(classified.request.request_id)
        self.fair.charge(classified.caller, classified.weight)

    def ahead_by_lane(self, classified: Classified) -> dict[str, int]:
        """Count the waiting requests that go before a new one, by lane.

        A caller's own share is respected: of another caller with more waiting
        requests, only as many count as this caller has waiting itself.
        """
        own = self.by_caller.get(classified.caller, 0)
        counts: dict[str, int] = {}
        for lane, lines in self.lanes.items():
            ahead = 0
            for (_, caller), line in lines.items():
                head = line.head(self.waiting)
                if head is None or head.priority > classified.priority:
                    continue
                length = len(line.heap)
                if head.priority == classified.priority and caller != (
                    classified.caller
                ):
                    length = min(length, own + 1)
                ahead += length
            if ahead:
                counts[lane] = ahead
        return counts


def effective_priority(now: float, classified: Classified) -> float:
    """Return a request's priority; that of work that may wait falls to 0 in time."""
    priority = float(classified.priority)
    if not classified.may_wait:
        return priority
    span = max(classified.deadline - classified.arrived, 1e-9)
    left = (classified.deadline - now) / span
    return priority * max(0.0, (left - LAST_PART) / (1.0 - LAST_PART))


def _add(counts: dict[str, int], key: str, step: int) -> None:
    counts[key] = counts.get(key, 0) + step
    if not counts[key]:
        del counts[key]
