"""Tells other instances what servers say they can take, and passes turns on."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from wisterialoom.platform._tasks import TaskGroup, wait_for
from wisterialoom.platform.hints import (
    BrittleRejection,
    ServerLimit,
    ServerLimits,
    TurnsGranted,
    TurnsWanted,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from wisterialoom.core.request_limit import RequestLimit
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.hints import ServerHint
    from wisterialoom.platform.peers import PeerLink

__all__ = ["LimitExchange"]

INTERVAL_S = 0.2
"""Minimum time between two messages about limits."""


class LimitExchange:
    """Exchanges messages about servers that limit requests.

    Attributes:
        instance: Name of this instance.
        peers: Datagrams between instances.
        dispatcher: Keeps the limits.
        turn_received: Called when a waiting request may proceed.
        changed: Servers whose limit has changed, as this instance heard.
        wake_event: Set when there are such servers.
        tasks: The task that sends messages.
    """

    def __init__(
        self,
        instance: str,
        peers: PeerLink,
        dispatcher: Dispatcher,
        turn_received: Callable[[], None],
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.dispatcher = dispatcher
        self.turn_received = turn_received
        self.changed: set[str] = set()
        self.wake_event = asyncio.Event()
        self.tasks = TaskGroup()

    def start(self) -> None:
        """Start sending messages."""
        self.tasks.supervise("limit_exchange", self._run)

    async def stop(self) -> None:
        """Stop sending messages."""
        await self.tasks.stop()

    def announce(self, server_id: str) -> None:
        """Tell all other instances soon what a server said about its limit."""
        self.changed.add(server_id)
        self.wake_event.set()

    def tell_rejection(self, server_id: str) -> None:
        """Tell all other instances at once that a brittle server is full."""
        view = self.dispatcher.views.get(server_id)
        if view is None:
            return
        known = self.dispatcher.brittle.services.get(view.server.service)
        if known is not None:
            hint = BrittleRejection(self.instance, server_id, known.rejections)
            self.peers.send_all(hint, self.peers.addresses_except(self.instance))

    def handle_hint(self, hint: ServerHint, address: str) -> None:
        """Handle a message of another instance.

        Args:
            hint: The message.
            address: Address of the sender.
        """
        now = time.monotonic()
        match hint:
            case BrittleRejection(server=server_id, rejections=rejections):
                view = self.dispatcher.views.get(server_id)
                if view is not None:
                    service = view.server.service
                    self.dispatcher.brittle.record(now, service, rejections, now)
                    self.dispatcher.record_rejection(now, server_id)
            case ServerLimits(limits=limits):
                for server_id, said in limits.items():
                    if self._find(server_id, said.started_ms) is not None:
                        as_of = now - said.age_s
                        self.dispatcher.record_limit(
                            now, server_id, said.limit_per_s, as_of
                        )
                self.wake_event.set()
            case TurnsWanted(servers=servers):
                granted = {
                    server_id: started_ms
                    for server_id, started_ms, limit in self._known(servers)
                    if limit.give_turn(now)
                }
                if granted:
                    self.peers.send(TurnsGranted(self.instance, granted), address)
            case TurnsGranted(servers=servers):
                for _, _, limit in self._known(servers):
                    limit.take_turn(now)
                self.turn_received()

    def _find(self, server_id: str, started_ms: int) -> RequestLimit | None:
        view = self.dispatcher.views.get(server_id)
        if view is None or view.server.started_ms != started_ms:
            return None
        return view.limit

    def _known(
        self, servers: dict[str, int]
    ) -> Iterator[tuple[str, int, RequestLimit]]:
        for server_id, started_ms in servers.items():
            limit = self._find(server_id, started_ms)
            if limit is not None:
                yield server_id, started_ms, limit

    async def _run(self) -> None:
        while True:
            if self._limited():
                await wait_for(self.wake_event, INTERVAL_S)
            else:
                await self.wake_event.wait()
            self.wake_event.clear()
            now = time.monotonic()
            if self.changed:
                self._send_changes(now)
            self._ask_for_turns(now)
            await asyncio.sleep(INTERVAL_S)

    def _limited(self) -> list[str]:
        return [
            server_id
            for server_id in self.dispatcher.limits.limits
            if (view := self.dispatcher.views.get(server_id)) is not None
            and view.limit.limit_per_s is not None
        ]

    def _send_changes(self, now: float) -> None:
        views = self.dispatcher.views
        limits = {
            server_id: ServerLimit(
                views[server_id].server.started_ms,
                views[server_id].limit.limit_per_s,
                now - views[server_id].limit.as_of,
            )
            for server_id in self.changed & views.keys()
        }
        self.changed.clear()
        hint = ServerLimits(self.instance, limits)
        self.peers.send_all(hint, self.peers.addresses_except(self.instance))

    def _ask_for_turns(self, now: float) -> None:
        """Ask the instances that share the limits of servers for their turns."""
        wanted: dict[str, dict[str, int]] = {}
        for server_id in self._limited():
            view = self.dispatcher.views[server_id]
            limit_per_s = view.limit.limit_per_s
            if limit_per_s is None or not view.limit.wants_turn(now):
                continue
            shares = self.dispatcher.limit_shares
            for name in shares.sharing_names(now, server_id, limit_per_s):
                address = self.peers.members.get(name)
                if address is not None and name != self.instance:
                    servers = wanted.setdefault(address, {})
                    servers[server_id] = view.server.started_ms
        for address, servers in wanted.items():
            self.peers.send(TurnsWanted(self.instance, servers), address)
