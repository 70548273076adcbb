"""Counters, gauges and histograms of one entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from wisterialoom.core.requests.request import Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.requests.request import RequestSettled
    from wisterialoom.http.relay import RelayTimes

__all__ = ["Metrics"]

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.5, 5.0, 10.0, 30.0)
GAP_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.05, 0.074, 0.1, 0.15, 0.25, 0.5, 1.0)


class Metrics:
    """Collectors exposed at `/metrics`.

    Attributes:
        registry: Registry of all collectors of this instance.
        requests: Settled requests by outcome, traffic class and model.
        refusals: Refused requests by reason.
        unknowns: Requests with an unknown outcome by reason.
        retries: Retried attempts by reason.
        dropped: Dropped answers and events by reason.
        warnings: Warnings to operators by reason.
        waiting: Seconds from arrival to the last dispatch.
        first_token: Seconds from dispatch to the first output.
        token_gap: Mean seconds between the output chunks of one attempt.
        gauges: Gauges set at each scrape, by name.
        counts: Counters copied from the components' own counts at each scrape, by name.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter("requests_total", "Settled requests.")
        self.refusals = self._counter("refusals_total", "Refused requests by reason.")
        self.unknowns = self._counter(
            "unknown_outcomes_total", "Requests with an unknown outcome by reason."
        )
        self.retries = self._counter("retries_total", "Retried attempts by reason.")
        self.dropped = self._counter(
            "dropped_total", "Answers and events dropped by reason."
        )
        self.warnings = self._counter(
            "warnings_total", "Warnings to operators by reason."
        )
        self.waiting = self._histogram(
            "waiting_seconds", "Time from arrival to dispatch.", SECONDS_BUCKETS
        )
        self.first_token = self._histogram(
            "first_token_seconds",
            "Time from dispatch to output.",
            SECONDS_BUCKETS,
        )
        self.token_gap = self._histogram(
            "token_gap_seconds", "Mean time between pieces of output.", GAP_BUCKETS
        )
        self.gauges: dict[str, Gauge] = {}
        self.counts: dict[str, Counter] = {}

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"wisterialoom_{name}", doc, registry=self.registry)

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        bounds = (*buckets, float("inf"))
        return Histogram(
            f"wisterialoom_{name}", doc, registry=self.registry, buckets=bounds
        )

    def record_settled(self, settled: RequestSettled) -> None:
        """Count a settled request by its outcome."""
        labels = {
            "outcome": settled.outcome.value,
            "traffic_class": settled.traffic_class,
            "model": settled.model if settled.caller else "",
        }
        self.requests.inc(labels)
        reason = settled.reason.value if settled.reason else ""
        match settled.outcome:
            case Outcome.NOT_RUN:
                self.refusals.inc({"reason": reason})
            case Outcome.UNKNOWN:
                self.unknowns.inc({"reason": reason})
        for retry in settled.retries:
            self.retries.inc({"reason": retry.value})
        if settled.attempts:
            self.waiting.observe(
                {"traffic_class": settled.traffic_class}, settled.waited_s
            )

    def record_attempt(self, traffic_class: str, times: RelayTimes) -> None:
        """Record the timestamps of an attempt, if it produced output."""
        if not times.first:
            return
        labels = {"traffic_class": traffic_class}
        self.first_token.observe(labels, times.first - times.sent)
        if times.chunks > 1:
            gap = (times.last - times.first) / (times.chunks - 1)
            self.token_gap.observe(labels, gap)

    def set_gauge(
        self, name: str, doc: str, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        """Set a gauge; it is created at its first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"wisterialoom_{name}", doc, registry=self.registry)
            self.gauges[name] = gauge
        gauge.set(dict(labels or {}), value)

    def set_count(
        self, name: str, doc: str, value: float, labels: Mapping[str, str] | None = None
    ) -> None:
        """Set a counter to the count of a component; it is created at its first use."""
        count = self.counts.get(name)
        if count is None:
            count = self._counter(name, doc)
            self.counts[name] = count
        count.set(dict(labels or {}), value)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in the exposition format, and its media type."""
        body, headers = render(self.registry, ["text/plain"])
        return body, headers["Content-Type"]
