"""Counters and latency histograms of one instance on the platform."""

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
    """What the metrics address shows.

    Attributes:
        registry: Holds every collector.
        requests: Requests by route and outcome.
        attempts: Attempts by how they ended.
        first_byte: Time from arrival to the first byte of an answer.
        total: Time from arrival to the end.
        waited: Time that requests waited for a model or a server.
        pause: Longest pause within a stream.
        labeled_counters: Counts that other parts keep, read when metrics are asked for.
        gauges: Values that other parts keep.
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
        """Show counts that another part keeps by a label."""
        self.labeled_counters.append((self.counter(name, doc), label, read))

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Show a value that another part keeps."""
        gauge = Gauge(f"wisterialoom_{name}", doc, registry=self.registry)
        self.gauges.append((gauge, read))

    def record_attempt(self, result: AttemptResult) -> None:
        """Count an attempt."""
        self.attempts.inc({"verdict": result.verdict.value})

    def record_request(
        self, flow: RequestFlow, first_s: float, total_s: float, pause_s: float
    ) -> None:
        """Count a request that has ended.

        Args:
            flow: The request.
            first_s: Time to the first byte of a streamed answer; 0 if there was none.
            total_s: Time to the end.
            pause_s: Longest pause of a stream.
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
        """Answer with all metrics as text."""
        for counter, label, read in self.labeled_counters:
            for value, count in read().items():
                counter.set({label: value}, count)
        for gauge, value_of in self.gauges:
            gauge.set({}, value_of())
        body, headers = render(self.registry, ["text/plain"])
        return web.Response(body=body, headers=headers)
