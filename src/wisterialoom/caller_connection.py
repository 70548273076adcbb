"""Connections of callers that are closed only when their answers were sent."""

from __future__ import annotations

import array
import asyncio
import fcntl
import select
import termios
import time
from typing import cast, TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "CallerConnection",
    "CallerRunner",
    "CallerServer",
    "stop_listening",
    "wait_until_sent",
]

CHECK_S = 0.05
"""Interval between checks for answers that callers are still reading."""

MAX_ACCEPT_TURNS = 100
"""Iterations of the event loop after which a listener is closed in any case."""


class CallerConnection(web.RequestHandler):
    """A connection of a caller.

    aiohttp considers a request done when the end of its answer is in the buffer of the
    transport, from which a caller may still be reading for seconds.

    Attributes:
        receiving: Whether the head of a request has arrived in part.
    """

    receiving = False

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        super().data_received(data)
        if data:
            self.receiving = not self._messages and not self.is_handling

    @property
    def is_handling(self) -> bool:
        """Whether a request was received and is not answered completely."""
        return self._waiter is None and self._task_handler is not None

    @property
    def is_busy(self) -> bool:
        """Whether the caller is sending a request or awaits a part of an answer."""
        if self.is_handling or self._messages or self.receiving:
            return True
        transport = self.transport
        if transport is None:
            return False
        if transport.get_write_buffer_size():
            return True
        raw = transport.get_extra_info("socket")
        if transport.is_closing() or raw is None or raw.fileno() < 0:
            return False
        return _unsent_bytes(raw.fileno()) > 0 or _is_readable(raw.fileno())


class CallerServer(web.Server):
    """Serves callers on `CallerConnection`s."""

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    @property
    def is_busy(self) -> bool:
        """Whether a connection is."""
        connections = cast("Iterable[CallerConnection]", self._connections)
        return any(connection.is_busy for connection in connections)


class CallerRunner(web.AppRunner):
    """Runs an application on a `CallerServer`."""

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return CallerServer(
            plain.request_handler,
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
            if not any(_is_readable(raw.fileno()) for raw in sockets):
                break
            await asyncio.sleep(0)
        # An accepted connection is set up in the next iterations of the event loop,
        # and asyncio drops it if its listener is closed before.
        for _ in range(3):
            await asyncio.sleep(0)
        await site.stop()
    await asyncio.sleep(0.02)


def _unsent_bytes(descriptor: int) -> int:
    """Return the bytes that the kernel holds and the peer has not acknowledged."""
    found = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, found)
    return found[0]


def _is_readable(descriptor: int) -> bool:
    """Return whether bytes have arrived that were not read; not so at the end."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    events = dict(poll.poll(0)).get(descriptor, 0)
    return bool(events & select.POLLIN) and not events & select.POLLRDHUP
