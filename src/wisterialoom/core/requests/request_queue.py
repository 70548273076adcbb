"""Queue of the requests that wait in an entry instance for a backend server.

Requests wait in lanes, one for each model, adapter or service selector. Within
and between lanes, requests are ordered by priority, then by the virtual time of
their caller (least served first), then by deadline.
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

FULL_PRIORITY_FRACTION = 0.1
"""Last part of a deferrable request's time in which it has highest priority."""

QueueRank = tuple[float, float, float]
"""Effective priority, virtual time of the caller, deadline; the least goes first."""


@dataclass
class _SubQueue:
    """Requests of one lane, traffic class and caller, earliest deadline first."""

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
    """All waiting requests of one entry instance.

    Attributes:
        waiting: Waiting requests, by id.
        lanes: Subqueues, by lane, then by traffic class and caller.
        lengths: Number of waiting requests, by lane.
        by_caller: Number of waiting requests, by caller.
        fair_shares: Fair shares between callers.
        serials: Arrival numbers, which break ties between equal deadlines.
    """

    waiting: dict[str, Classified] = field(default_factory=dict)
    lanes: dict[str, dict[tuple[str, str], _SubQueue]] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)
    by_caller: dict[str, int] = field(default_factory=dict)
    fair_shares: FairShare = field(default_factory=FairShare)
    serials: Iterator[int] = field(default_factory=itertools.count)

    def __len__(self) -> int:
        return len(self.waiting)

    def push(self, classified: Classified) -> None:
        """Add a request."""
        caller = classified.caller
        if not self.by_caller.get(caller):
            self.fair_shares.enter(caller)
        self.waiting[classified.request.request_id] = classified
        sub_queues = self.lanes.setdefault(classified.lane, {})
        sub_queue = sub_queues.setdefault(
            (classified.traffic_class, caller), _SubQueue()
        )
        sub_queue.push(next(self.serials), classified)
        _add(self.lengths, classified.lane, 1)
        _add(self.by_caller, caller, 1)

    def remove(self, request_id: str) -> Classified | None:
        """Remove a request.

        Returns:
            The request; `None` if it is not waiting.
        """
        classified = self.waiting.pop(request_id, None)
        if classified is None:
            return None
        _add(self.lengths, classified.lane, -1)
        _add(self.by_caller, classified.caller, -1)
        return classified

    def head(
        self, now: float, lanes: Iterable[str]
    ) -> tuple[QueueRank, Classified] | None:
        """Return the first request among some lanes, with its rank."""
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
        sub_queues = self.lanes.get(lane, {})
        for key in list(sub_queues):
            classified = sub_queues[key].head(self.waiting)
            if classified is None:
                del sub_queues[key]
            else:
                yield classified

    def rank(self, now: float, classified: Classified) -> QueueRank:
        """Return the rank of a request; deferrable work moves up as it ages."""
        priority = effective_priority(now, classified)
        return (
            priority,
            self.fair_shares.virtual_time(classified.caller),
            classified.deadline,
        )

    def remove_dispatched(self, classified: Classified) -> None:
        """Remove a dispatched request and charge its caller."""
        self.remove(classified.request.request_id)
        self.fair_shares.charge(classified.caller, classified.weight)

    def count_ahead_by_lane(self, classified: Classified) -> dict[str, int]:
        """Count the waiting requests that go before a new one, by lane.

        Fair shares are taken into account. For another caller of the same priority,
        at most one request more than this caller has waiting is counted per lane
        and traffic class.
        """
        own = self.by_caller.get(classified.caller, 0)
        counts: dict[str, int] = {}
        for lane, sub_queues in self.lanes.items():
            ahead = 0
            for (_, caller), sub_queue in sub_queues.items():
                head = sub_queue.head(self.waiting)
                if head is None or head.priority > classified.priority:
                    continue
                length = len(sub_queue.heap)
                if head.priority == classified.priority and caller != (
                    classified.caller
                ):
                    length = min(length, own + 1)
                ahead += length
            if ahead:
                counts[lane] = ahead
        return counts


def effective_priority(now: float, classified: Classified) -> float:
    """Return the priority of a request.

    The value for deferrable work falls with age to 0, the highest priority.
    """
    priority = float(classified.priority)
    if not classified.may_wait:
        return priority
    span = max(classified.deadline - classified.arrived, 1e-9)
    left = (classified.deadline - now) / span
    return priority * max(
        0.0, (left - FULL_PRIORITY_FRACTION) / (1.0 - FULL_PRIORITY_FRACTION)
    )


def _add(counts: dict[str, int], key: str, step: int) -> None:
    counts[key] = counts.get(key, 0) + step
    if not counts[key]:
        del counts[key]
