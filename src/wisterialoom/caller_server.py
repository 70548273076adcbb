"""Listeners for callers, and their end once all answers were sent."""

from __future__ import annotations

import asyncio
import time
from typing import Any, cast, TYPE_CHECKING

from aiohttp import web

from wisterialoom.caller_connection import CallerConnection, is_readable
from wisterialoom.counted_connection import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

__all__ = [
    "CallerRunner",
    "CallerServer",
    "stop_listening",
    "wait_until_sent",
]

CHECK_S = 0.05
"""Interval between checks for answers that callers are still reading."""

MAX_ACCEPT_TURNS = 100
"""Iterations of the event loop after which a listener is closed in any case."""

MIN_IDLE_S = 0.5
"""Time that a connection has for its request, even if there are too many.

Up to twice as many are open for so long; what is planned for each covers a request in
progress, which these do not have.
"""


class CallerServer(web.Server):
    """Serves callers on `CallerConnection`s.

    Attributes:
        limits: What callers may use.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: CallerLimits | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.limits = limits or CallerLimits()

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self, loop=self._loop, limits=self.limits, **self._kwargs
        )

    def check(self, now: float) -> None:
        """Count what connections hold, and close those of callers that are too slow."""
        get_timeouts = self.limits.get_timeouts
        timeouts = get_timeouts() if get_timeouts is not None else None
        for connection in cast("list[CallerConnection]", self.connections):
            if connection.transport is None:
                continue
            connection.recount()
            if timeouts is not None:
                connection.check(now, *timeouts)

    def make_room(self, new: CallerConnection) -> None:
        """Close the connection that does least if there are too many."""
        most = self.limits.max_connections
        if most is None or len(self._connections) <= most:
            return
        found = cast("list[CallerConnection]", self.connections)
        # A connection that is being closed remains registered until it is.
        found = [other for other in found if other.transport is not None]
        if len(found) <= most:
            return
        now = time.monotonic()
        crowded = len(found) > 2 * most
        unused = sorted(
            (
                other
                for other in found
                if not other.is_handling or other.phase == "body"
            ),
            key=lambda other: (other.is_handling, other.phase_since),
        )
        for other in unused:
            if not crowded and now - other.phase_since < MIN_IDLE_S:
                return
            if other is not new and not other.has_arrived():
                other.end("too_many")
                return
        if crowded:
            new.end("too_many")

    @property
    def is_busy(self) -> bool:
        """Whether a connection is."""
        connections = cast("Iterable[CallerConnection]", self._connections)
        return any(connection.is_busy for connection in connections)


class CallerRunner(web.AppRunner):
    """Runs an application on a `CallerServer`.

    Attributes:
        limits: What callers may use.
    """

    def __init__(
        self,
        app: web.Application,
        limits: CallerLimits | None = None,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self.limits = limits or CallerLimits()

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return CallerServer(
            plain.request_handler,
            self.limits,
            request_factory=plain.request_factory,
            handler_cancellation=plain.handler_cancellation,
            loop=plain._loop,
            **plain._kwargs,
        )


async def wait_until_sent(servers: Iterable[CallerServer], limit: float) -> None:
    """Wait until no connection is busy, or until a monotonic time."""
    servers = tuple(servers)
    while any(server.is_busy for server in servers) and time.monotonic() < limit:
        await asyncio.sleep(CHECK_S)


async def stop_listening(runner: web.BaseRunner) -> None:
    """Close the listeners of a runner once all connections to them were accepted.

    Those that the kernel still holds for a listener are reset when it is closed.
    """
    for site in runner.sites:
        server = cast("web.TCPSite", site)._server
        sockets = getattr(server, "sockets", ())
        for _ in range(MAX_ACCEPT_TURNS):
            if not any(is_readable(raw.fileno()) for raw in sockets):
                break
            await asyncio.sleep(0)
        # An accepted connection is set up in the next iterations of the event loop,
        # and asyncio drops it if its listener is closed before.
        for _ in range(3):
            await asyncio.sleep(0)
        await site.stop()
    await asyncio.sleep(0.02)
