"""Servers that crash on some requests, and start again after a while."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.platform.fakes import FakeModelServer, FakePlainServer, FakeStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

__all__ = ["CrashingServers"]

DOWN_S = 0.8
"""Time from a crash until the server has started again."""

ENTRY_S = 0.4
"""Time from a crash until the entry of the server is removed."""


RUN_S = 0.01
"""Time from the arrival of a request until its server crashes."""


class CrashingModelServer(FakeModelServer):
    """A model server that crashes when it begins to write certain answers."""

    pool: CrashingServers

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        await self.pool.crash_if_deadly(self, request)
        return await super().on_request(request)


class CrashingPlainServer(FakePlainServer):
    """A plain server that crashes when it begins to run certain requests."""

    pool: CrashingServers

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        await self.pool.crash_if_deadly(self, request)
        return await super().on_request(request)


CrashingServer = CrashingModelServer | CrashingPlainServer


@dataclass
class CrashingServers:
    """The servers of a service, and their crashes.

    Attributes:
        is_deadly_request: Returns whether a server crashes on a request.
        models: Models that a server has when it starts; none if it is a plain one.
        servers: The servers that run now.
        crashes: Time and request id of each crash.
        arrived: Time and id of each deadly request that reached a server.
        store: Store that the servers register in.
        started: Number of servers that were made.
        tasks: Crashes in progress.
    """

    is_deadly_request: Callable[[web.Request], bool]
    models: dict[str, list[str]]
    servers: list[CrashingServer] = field(default_factory=list)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    arrived: list[tuple[float, str]] = field(default_factory=list)
    store: FakeStore = field(default_factory=FakeStore)
    started: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def make_server(self) -> CrashingServer:
        """Return a new server, not started yet."""
        self.started += 1
        name = f"i-c{self.started}"
        server: CrashingServer = CrashingPlainServer(name)
        if self.models:
            models = {model: list(adapters) for model, adapters in self.models.items()}
            server = CrashingModelServer(name, models=models, slots=16)
        server.pool = self
        self.servers.append(server)
        return server

    async def crash_if_deadly(
        self, server: CrashingServer, request: web.Request
    ) -> None:
        """Crash a server if the request is deadly, and start another one later."""
        if not self.is_deadly_request(request):
            return
        loop = asyncio.get_running_loop()
        self.arrived.append((loop.time(), request.headers["Attempt-Id"]))
        await asyncio.sleep(RUN_S)
        if server in self.servers:
            self.servers.remove(server)
            self.crashes.append((loop.time(), request.headers["Attempt-Id"]))
            task = loop.create_task(self._replace(server))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        raise asyncio.CancelledError

    async def _replace(self, server: CrashingServer) -> None:
        for listener in list(server.runner.sites):
            await listener.stop()
        assert server.runner.server is not None
        for connection in server.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await server.stop()
        await asyncio.sleep(ENTRY_S)
        await self.store.remove("servers", server.server_id)
        await asyncio.sleep(DOWN_S - ENTRY_S)
        successor = self.make_server()
        await successor.start()
        await self.store.put("servers", successor.server_id, successor.entry())

    async def stop(self) -> None:
        """Wait until all crashes have ended, and stop what runs."""
        await asyncio.gather(*self.tasks)
        for server in self.servers:
            await server.stop()
