"""HTTP server for operators: health, readiness, metrics and status."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import orjson
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.metrics import Metrics

__all__ = ["Admin"]


class Admin:
    """Serves the endpoints for operators and the load balancer.

    Attributes:
        metrics: Collectors exposed at `/metrics`.
        is_ready: Returns whether the load balancer may send requests.
        status: Returns the object served at `/status`.
        refresh: Updates gauges and copied counters before each scrape.
    """

    def __init__(
        self,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        status: Callable[[], dict[str, Any]],
        refresh: Callable[[], None],
    ) -> None:
        self.metrics = metrics
        self.is_ready = is_ready
        self.status = status
        self.refresh = refresh

    def make_app(self) -> web.Application:
        """Return the web application to serve."""
        app = web.Application()
        app.router.add_get("/healthz", self.healthz)
        app.router.add_get("/readyz", self.readyz)
        app.router.add_get("/metrics", self.show_metrics)
        app.router.add_get("/status", self.show_status)
        return app

    async def healthz(self, _: web.Request) -> web.Response:
        """Report that the process is alive."""
        return web.Response(text="ok\n")

    async def readyz(self, _: web.Request) -> web.Response:
        """Report whether the load balancer may send requests."""
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def show_metrics(self, _: web.Request) -> web.Response:
        """Serve the metrics in the exposition format."""
        self.refresh()
        body, kind = self.metrics.render()
        return web.Response(body=body, headers={"Content-Type": kind})

    async def show_status(self, _: web.Request) -> web.Response:
        """Serve the state of this instance and its view of the other instances."""
        body = orjson.dumps(self.status(), option=orjson.OPT_SORT_KEYS)
        return web.Response(body=body, content_type="application/json")
