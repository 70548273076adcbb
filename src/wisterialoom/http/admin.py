"""The HTTP server for operators: health, metrics and status."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import orjson
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.metrics import Metrics

__all__ = ["Admin"]


class Admin:
    """Answers operators and the balancer.

    Attributes:
        metrics: What `/metrics` shows.
        is_ready: Tells whether the balancer may send work.
        status: Returns what `/status` shows.
        refresh: Brings gauges up to date before each scrape.
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
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get("/healthz", self.healthz)
        app.router.add_get("/readyz", self.readyz)
        app.router.add_get("/metrics", self.show_metrics)
        app.router.add_get("/status", self.show_status)
        return app

    async def healthz(self, _: web.Request) -> web.Response:
        """Answer that the process is alive."""
        return web.Response(text="ok\n")

    async def readyz(self, _: web.Request) -> web.Response:
        """Answer whether the balancer may send work."""
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def show_metrics(self, _: web.Request) -> web.Response:
        """Answer with the exposition text."""
        self.refresh()
        body, kind = self.metrics.render()
        return web.Response(body=body, headers={"Content-Type": kind})

    async def show_status(self, _: web.Request) -> web.Response:
        """Answer with the state of this instance and what it knows of others."""
        body = orjson.dumps(self.status(), option=orjson.OPT_SORT_KEYS)
        return web.Response(body=body, content_type="application/json")
