"""Admission control: limits on requests in progress, and retry hints."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import Reason

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.requests.request import Classified, Refusal
    from wisterialoom.core.requests.request_queue import RequestQueue
    from wisterialoom.core.requests.router import Router

__all__ = ["Admission"]

MAX_CONCURRENT = 4_096
"""Default limit of requests in progress, waiting ones included, per instance."""

MAX_WAITING = 4_096
"""Greatest number of requests that wait in one entry instance."""

CALLER_QUEUE_SHARE = 0.5
"""Greatest share of the queue that one caller may occupy."""


@dataclass
class Admission:
    """Limits on the number of requests that one entry instance holds.

    Attributes:
        queue: Waiting requests.
        router: Views of the backend servers.
        limits: Greatest number of requests in progress, by caller.
        in_progress_by_caller: Number of requests in progress, by caller.
        load_times_s: Time to load the lane's model in seconds, by lane.
        max_concurrent: Limit of requests in progress, waiting ones included, over
            all callers.
    """

    queue: RequestQueue
    router: Router
    limits: dict[str, int] = field(default_factory=dict)
    in_progress_by_caller: dict[str, int] = field(default_factory=dict)
    load_times_s: dict[str, float] = field(default_factory=dict)
    max_concurrent: int = MAX_CONCURRENT

    def configure(self, document: Document) -> None:
        """Apply a configuration document."""
        self.limits = {item.name: item.max_concurrent for item in document.callers}
        self.load_times_s = {f"model:{x.name}": x.load_s for x in document.models}
        for adapter in document.adapters:
            base = self.load_times_s.get(f"model:{adapter.model}", 0.0)
            self.load_times_s[f"model:{adapter.name}"] = base + adapter.load_s

    def check(self, now: float, classified: Classified) -> Refusal | None:
        """Return the refusal of a new request, or `None` if it is admitted."""
        caller = classified.caller
        if sum(self.in_progress_by_caller.values()) >= self.max_concurrent:
            after = self.retry_after_s(now, classified)
            return refuse(Reason.QUEUE_FULL, retry_after_s=after)
        if self.in_progress_by_caller.get(caller, 0) >= self.limits.get(caller, 0):
            after = self.router.lane_service_s(classified.lane)
            return refuse(Reason.CALLER_LIMIT, retry_after_s=after)
        if self._queue_full(caller):
            after = self.retry_after_s(now, classified)
            return refuse(Reason.QUEUE_FULL, retry_after_s=after)
        wait_s = self.wait_s(now, classified)
        if wait_s is None:
            return self._check_load(now, classified)
        latest = self.router.latest_dispatch(classified)
        if now + wait_s > latest:
            after = now + wait_s - latest
            return refuse(Reason.OVERLOAD, retry_after_s=after)
        return None

    def _queue_full(self, caller: str) -> bool:
        if len(self.queue) >= MAX_WAITING:
            return True
        waiting = self.queue.by_caller.get(caller, 0)
        return waiting >= MAX_WAITING * CALLER_QUEUE_SHARE

    def _check_load(self, now: float, classified: Classified) -> Refusal | None:
        load_s = self.load_times_s.get(classified.lane)
        limit = max(classified.load_wait_deadline, classified.deadline)
        if load_s is None or now + load_s > limit:
            return refuse(Reason.UNREACHABLE, retry_after_s=load_s)
        return None

    def check_hold_off(self, now: float, classified: Classified) -> Refusal | None:
        """Return the refusal of a request that no server wants before its deadline.

        A model may meanwhile be loaded at another server, so its requests go on waiting
        while that is in time.
        """
        held_off_s = self.router.hold_off_s(now, classified.lane)
        late_s = now + held_off_s - self.router.latest_dispatch(classified)
        if not held_off_s or late_s <= 0.0:
            return None
        load_s = self.load_times_s.get(classified.lane)
        limit = max(classified.load_wait_deadline, classified.deadline)
        if load_s is not None and now + load_s <= limit:
            return None
        return refuse(Reason.OVERLOAD, retry_after_s=late_s)

    def is_unservable(self, now: float, classified: Classified) -> bool:
        """Return whether no server serves a lane and no declared model would."""
        if classified.lane in self.load_times_s:
            return False
        return not self.router.candidates(now, classified.lane)

    def wait_s(self, now: float, classified: Classified) -> float | None:
        """Return the expected wait of a new request, in seconds.

        Returns:
            `None` if no server serves the request's lane now.
        """
        ahead = self.queue.count_ahead_by_lane(classified)
        return self.router.estimate_wait_s(now, classified, ahead)

    def retry_after_s(self, now: float, classified: Classified) -> float:
        """Return the delay after which an equal request would meet its deadline.

        Returns:
            The delay in seconds.
        """
        wait_s = self.wait_s(now, classified)
        if wait_s is None:
            return self.load_times_s.get(classified.lane, 1.0)
        target_s = classified.deadline - classified.arrived
        return max(0.0, wait_s - target_s)

    def enter(self, classified: Classified) -> None:
        """Count a request as in progress."""
        caller = classified.caller
        self.in_progress_by_caller[caller] = (
            self.in_progress_by_caller.get(caller, 0) + 1
        )

    def leave(self, classified: Classified) -> None:
        """Count a request as ended."""
        self.in_progress_by_caller[classified.caller] -= 1
