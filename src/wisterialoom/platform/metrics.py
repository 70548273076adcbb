"""Counters, gauges and latency histograms of one instance on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aioprometheus import Counter, Gauge, Histogram, Registry, render

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisterialoom.core.serving.request_flow import AttemptResult, RequestFlow

__all__ = ["PlatformMetrics"]

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.2, 2.5, 5.0, 10.0, 20.0)


class PlatformMetrics:
    """Metrics that the instance exports in the Prometheus text format.

    Attributes:
        registry: Holds every collector.
        requests: Requests by route and outcome.
        attempts: Attempts by verdict.
        first_byte: Time from arrival to the first byte of a streamed answer.
        total: Time from arrival to the end of the request.
        waited: Time that requests waited for a model or a server.
        pause: Longest pause within a stream.
        labeled_counters: Counters whose values other components hold; read at each
            export.
        gauges: Gauges whose values other components hold; read at each export.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self.counter("requests_total", "Requests by outcome.")
        self.attempts = self.counter("attempts_total", "Attempts by how they ended.")
        self.first_byte = self.histogram("first_byte_seconds", "Arrival to first byte.")
        self.total = self.histogram("request_seconds", "Arrival to the end.")
        self.waited = self.histogram("waited_seconds", "Wait for a model or server.")
        self.pause = self.histogram("stream_pause_seconds", "Longest pause in streams.")
        self.labeled_counters: list[
            tuple[Counter, str, Callable[[], Mapping[str, float]]]
        ] = []
        self.gauges: list[tuple[Gauge, Callable[[], float]]] = []

    def counter(self, name: str, doc: str) -> Counter:
        """Register a counter."""
        return Counter(f"wisterialoom_{name}", doc, registry=self.registry)

    def histogram(self, name: str, doc: str) -> Histogram:
        """Register a histogram of seconds."""
        bounds = (*SECONDS_BUCKETS, float("inf"))
        return Histogram(
            f"wisterialoom_{name}", doc, registry=self.registry, buckets=bounds
        )

    def labeled_counter(
        self,
        name: str,
        doc: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Export counts of another component, one series for each label value.

        Args:
            name: Name without the prefix.
            doc: Help text.
            label: Name of the label.
            read: Returns the counts by label value.
        """
        self.labeled_counters.append((self.counter(name, doc), label, read))

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Export a value of another component."""
        gauge = Gauge(f"wisterialoom_{name}", doc, registry=self.registry)
        self.gauges.append((gauge, read))

    def record_attempt(self, result: AttemptResult) -> None:
        """Count an attempt by its verdict."""
        self.attempts.inc({"verdict": result.verdict.value})

    def record_request(
        self, flow: RequestFlow, first_s: float, total_s: float, pause_s: float
    ) -> None:
        """Record the outcome and times of a request that has ended.

        Args:
            flow: The request.
            first_s: Time to the first byte of a streamed answer; 0 if not streamed.
            total_s: Time to the end of the request.
            pause_s: Longest pause within the stream.
        """
        route = {"route": flow.profile.route.name}
        self.requests.inc({**route, "outcome": flow.outcome})
        self.total.observe(route, total_s)
        if flow.waited_s:
            self.waited.observe(route, flow.waited_s)
        if first_s:
            self.first_byte.observe(route, first_s)
            self.pause.observe(route, pause_s)

    async def answer(self, _: web.BaseRequest) -> web.StreamResponse:
        """Answer a scrape with all metrics as text."""
        for counter, label, read in self.labeled_counters:
            for value, count in read().items():
                counter.set({label: value}, count)
        for gauge, value_of in self.gauges:
            gauge.set({}, value_of())
        body, headers = render(self.registry, ["text/plain"])
        return web.Response(body=body, headers=headers)
