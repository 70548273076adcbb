"""Probes servers that this instance may not reach, and tells the others."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import LostPaths
from wisterialoom.platform.server_call import CONNECT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from wisterialoom.core.serving.backend import BackendView
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.peers import PeerLink

__all__ = ["PathProber", "can_connect"]

logger = logging.getLogger(__name__)

IDLE_CHECK_S = 0.1
"""Interval between checks for due probes while a path is in doubt."""

TELL_INTERVAL_S = 1.0
"""Time after which other instances are told again which services are not reached."""


async def can_connect(address: str) -> bool:
    """Return whether a connection to an address can be established."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError, ValueError):
        return False
    writer.transport.abort()
    return True


class PathProber:
    """Probes paths in doubt, and tells which services this instance does not reach.

    Attributes:
        instance: Name of this instance.
        dispatcher: Keeps the paths.
        peers: Datagrams between instances.
        connect: Returns whether a connection to an address can be established.
        changed: Called when waiting requests may proceed.
        wake_event: Set when a path is in doubt.
        told: Services that the other instances were last told of.
        told_at: Monotonic time of that message.
        tasks: The probes in progress, and the task that starts them.
    """

    def __init__(
        self,
        instance: str,
        dispatcher: Dispatcher,
        peers: PeerLink,
        changed: Callable[[], None],
    ) -> None:
        self.instance = instance
        self.dispatcher = dispatcher
        self.peers = peers
        self.connect: Callable[[str], Awaitable[bool]] = can_connect
        self.changed = changed
        self.wake_event = asyncio.Event()
        self.told: frozenset[str] = frozenset()
        self.told_at = float("-inf")
        self.tasks = TaskGroup()

    def start(self) -> None:
        """Start probing."""
        self.tasks.supervise("path_prober", self._run)

    async def stop(self) -> None:
        """Stop probing."""
        await self.tasks.stop()

    def record_opened(self, server_id: str) -> None:
        """Record that a connection to a server was established."""
        view = self.dispatcher.views.get(server_id)
        if view is None:
            return
        if self.dispatcher.ways.record_opened(time.monotonic(), view):
            logger.info("path to server is back", extra={"server": server_id})
            self.changed()

    def record_doubt(self, server_id: str) -> None:
        """Probe a server that did not answer a call."""
        view = self.dispatcher.views.get(server_id)
        if view is not None:
            self.dispatcher.ways.record_doubt(time.monotonic(), view)
            self.wake_event.set()

    def record_not_opened(self, server_id: str) -> None:
        """Record that a connection to a server could not be established."""
        view = self.dispatcher.views.get(server_id)
        if view is None:
            return
        was_direct = self.dispatcher.ways.is_direct(view)
        self.dispatcher.ways.record_not_opened(time.monotonic(), view)
        self.log_loss(view, was_direct=was_direct)

    def log_loss(self, view: BackendView, *, was_direct: bool) -> None:
        """Log that a path was lost, if it was, and probe it again soon."""
        self.wake_event.set()
        if was_direct and not self.dispatcher.ways.is_direct(view):
            logger.warning("path to server is lost", extra={"server": view.server.id})
            self.changed()

    async def _run(self) -> None:
        paths = self.dispatcher.ways.paths
        while True:
            if paths.next_probe_at() is None and not paths.all_lost_at:
                self._tell_others()
                await self.wake_event.wait()
            else:
                await wait_for(self.wake_event, IDLE_CHECK_S)
            self.wake_event.clear()
            for server_id in paths.take_probes(time.monotonic()):
                self.tasks.spawn(self._probe(server_id))
            self._tell_others()

    async def _probe(self, server_id: str) -> None:
        view = self.dispatcher.views.get(server_id)
        try:
            if view is None:
                return
            if await self.connect(view.server.address):
                self.record_opened(server_id)
            else:
                self.record_not_opened(server_id)
        finally:
            self.dispatcher.ways.paths.end_probe(server_id)

    def _tell_others(self) -> None:
        now = time.monotonic()
        lost = self.dispatcher.ways.paths.lost_services()
        if lost == self.told and not (lost and now - self.told_at >= TELL_INTERVAL_S):
            return
        if lost - self.told:
            helpers = [
                self.dispatcher.ways.helpers.is_available(now, service)
                for service in sorted(lost)
            ]
            logger.warning(
                "no server of a service is reached",
                extra={"services": sorted(lost), "others_can_help": helpers},
            )
        self.told, self.told_at = lost, now
        hint = LostPaths(self.instance, tuple(sorted(lost)))
        self.peers.send_all(hint, self.peers.addresses_except(self.instance))
