"""What the parts of the request path share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.requests.admission import Admission
from wisterialoom.core.requests.demand_meter import DemandMeter
from wisterialoom.core.requests.request_queue import RequestQueue
from wisterialoom.core.requests.retry_budget import RetryBudget

if TYPE_CHECKING:
    from wisterialoom.core.requests.classifier import Classifier
    from wisterialoom.core.requests.flight import InFlightRequest
    from wisterialoom.core.requests.router import Router

__all__ = ["PathState"]


class PathState:
    """Requests in progress and what decides about them.

    Attributes:
        classifier: Rules of the document in force; `None` before the first.
        fresh: The configuration may be trusted to be the newest.
        draining: The instance is stopping.
        in_flight_requests: Requests in progress by id.
        queue: Requests that wait.
        router: Views of the backend servers.
        admission: Limits on what may wait.
        budget: Budget for retries.
        demand: Demand by model, for the planner.
        late_events: Count of events for requests already settled.
    """

    def __init__(self, router: Router) -> None:
        self.classifier: Classifier | None = None
        self.fresh = False
        self.draining = False
        self.in_flight_requests: dict[str, InFlightRequest] = {}
        self.queue = RequestQueue()
        self.router = router
        self.admission = Admission(self.queue, self.router)
        self.budget = RetryBudget()
        self.demand = DemandMeter()
        self.late_events = 0
