"""State shared by the components of the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.requests.admission import Admission
from wisterialoom.core.requests.crash_guard import CrashGuard
from wisterialoom.core.requests.demand_meter import DemandMeter
from wisterialoom.core.requests.request_queue import RequestQueue
from wisterialoom.core.requests.retry_budget import RetryBudget

if TYPE_CHECKING:
    from wisterialoom.core.requests.classifier import Classifier
    from wisterialoom.core.requests.in_flight_request import InFlightRequest
    from wisterialoom.core.requests.router import Router

__all__ = ["PathState"]


class PathState:
    """Requests in progress, and the components that decide about them.

    Attributes:
        classifier: Classifier of the current document; `None` before the first.
        fresh: Whether the configuration is known to be current.
        draining: Whether the instance is stopping.
        in_flight_requests: Requests in progress, by id.
        queue: Waiting requests.
        router: Views of the backend servers.
        admission: Admission control.
        retry_budget: Budget for retries.
        crash_guard: Holds requests back that crash servers.
        demand_meter: Demand by model, reported to the planner.
        late_events: Number of events for requests or attempts that had ended.
    """

    def __init__(self, router: Router, name: str = "") -> None:
        self.classifier: Classifier | None = None
        self.fresh = False
        self.draining = False
        self.in_flight_requests: dict[str, InFlightRequest] = {}
        self.queue = RequestQueue()
        self.router = router
        self.admission = Admission(self.queue, self.router)
        self.retry_budget = RetryBudget()
        self.crash_guard = CrashGuard(name)
        self.demand_meter = DemandMeter()
        self.late_events = 0
