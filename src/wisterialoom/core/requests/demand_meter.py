"""Demand by model as seen by one entry instance, reported to the planner."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.notice import DemandMeasured

if TYPE_CHECKING:
    from wisterialoom.core.message import Output
    from wisterialoom.core.requests.request import Classified
    from wisterialoom.core.requests.request_queue import RequestQueue

__all__ = ["DemandMeter"]

REPORT_INTERVAL_S = 1.0
"""Time between two reports, in seconds."""

RATE_SMOOTHING = 0.3
"""Weight of the newest interval in the exponentially smoothed rate."""

RATE_FLOOR = 0.001
"""Rate below which a model is left out of reports, in requests per second."""

MODEL_PREFIX = "model:"


@dataclass
class DemandMeter:
    """Measures arrival rates, and reports them with the waiting requests.

    Attributes:
        counts: Number of arrivals since the last report, by model.
        rates: Smoothed requests per second, by model.
        reported_at: Monotonic time of the last report.
    """

    counts: dict[str, int] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    reported_at: float = 0.0

    def record_arrival(self, now: float, model: str) -> None:
        """Count one request for a model; `model` is empty for plain services."""
        if not self.reported_at:
            self.reported_at = now
        if model:
            self.counts[model] = self.counts.get(model, 0) + 1

    def report_first_wait(
        self, now: float, queue: RequestQueue, classified: Classified
    ) -> list[Output]:
        """Report at once if this request is the first to wait in a model's lane."""
        if queue.lengths.get(classified.lane) != 1 or not classified.request.model:
            return []
        return [DemandMeasured(dict(self.rates), _waiting_by_model(queue))]

    def report(self, now: float, queue: RequestQueue) -> list[Output]:
        """Report if `REPORT_INTERVAL_S` has passed since the last report."""
        elapsed = now - self.reported_at
        if elapsed < REPORT_INTERVAL_S:
            return []
        self.reported_at = now
        for model in self.counts.keys() | self.rates.keys():
            self._smooth(model, self.counts.get(model, 0) / elapsed)
        self.counts.clear()
        return [DemandMeasured(dict(self.rates), _waiting_by_model(queue))]

    def _smooth(self, model: str, rate: float) -> None:
        before = self.rates.get(model, 0.0)
        after = before + RATE_SMOOTHING * (rate - before)
        if after < RATE_FLOOR:
            self.rates.pop(model, None)
        else:
            self.rates[model] = after


def _waiting_by_model(queue: RequestQueue) -> dict[str, int]:
    return {
        lane.removeprefix(MODEL_PREFIX): count
        for lane, count in queue.lengths.items()
        if lane.startswith(MODEL_PREFIX)
    }
