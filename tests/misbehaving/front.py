"""An instance on the users' platform with lowered limits, and servers behind it."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import re
import signal
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from tests.misbehaving.crowd import Crowd
from tests.misbehaving.process_watch import ProcessWatch
from tests.platform.fakes import config, FakePlainServer, route
from tests.platform.test_process import Instance, site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.platform.fakes import FakeStore


@dataclass(frozen=True)
class Machine:
    """Limits of a machine, as the settings name them.

    Attributes:
        memory_mb: `memoryMb`.
        max_fds: `maxFds`.
    """

    memory_mb: int = 160
    max_fds: int = 700


SMALL = Machine()
USUAL = Machine(300, 4_200)
"""A small machine, so that small crowds tell, and one as the users have it."""

WAIT_MS = 20_000
"""Time that requests may wait; longer than a test needs."""

ANSWERED_S = 60.0
"""Time after which a process counts as hanging if it answers no ordinary request."""

HELP_FOR = b"X-Wisterialoom-Help-For: %s\r\n"
"""Header with which an instance asks another one to pass a request on to a server."""

EVENT = b"id: %d\ndata: " + b"e" * 8_000 + b"\n\n"


@functools.cache
def long_body(size: int) -> bytes:
    """Return a body, the same one for all answers."""
    return b"r" * size


@dataclass
class LongServer(FakePlainServer):
    """A server with answers of any length, and streams without end.

    Attributes:
        began: Number of answers that were begun.
    """

    began: int = field(default=0)

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        self.began += 1
        headers = {
            "Attempt-Id": request.headers["Attempt-Id"],
            "Response-Stamp": "s",
        }
        if "size" in request.query:
            body = long_body(int(request.query["size"]))
            return web.Response(body=body, headers=headers)
        headers["Content-Type"] = "text/event-stream"
        stream = web.StreamResponse(headers=headers)
        await stream.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        with contextlib.suppress(ConnectionError):
            for number in range(first, first + 10_000):
                await stream.write(EVENT % number)
        return stream


class Front(Instance):
    """The deployed program, with the memory and descriptors of some machine.

    Attributes:
        long: Server with long answers.
        slow: Server that does not answer.
        store: Store that the instance follows.
        watch: Observes the process.
        session: Session of ordinary callers.
    """

    long: LongServer
    slow: FakePlainServer
    store: FakeStore
    watch: ProcessWatch
    session: aiohttp.ClientSession

    def __init__(self, name: str, store: str, folder: Path, machine: Machine) -> None:
        super().__init__(name, store, folder)
        text = self.path.read_text()
        limits = (
            f"[limits]\nmemoryMb = {machine.memory_mb}\nmaxFds = {machine.max_fds}\n"
        )
        self.path.write_text(text + limits)
        found = re.search(r"internalPorts = \[(\d+)", text)
        assert found
        self.peer = int(found[1])

    def address(self, listener: str) -> tuple[str, int]:
        """Return the address of `front`, `ready` or `peer`."""
        return "127.0.0.1", getattr(self, listener)

    async def answer_ordinary(self) -> None:
        """Send ordinary requests, as a caller that tries again, until one is served."""
        async with asyncio.timeout(ANSWERED_S):
            while not await self._is_served():
                assert self.process.returncode is None, "the process has ended"
                await asyncio.sleep(0.2)
            while not await self.is_ready(self.session):
                await asyncio.sleep(0.2)

    async def _is_served(self) -> bool:
        headers = {"Deadline-Ms": "9000"}
        with contextlib.suppress(aiohttp.ClientError):
            status, body = await self.call(self.session, "/look/x", **headers)
            return bool(status == 200 and body == b"POST /look/x")
        return False


@asynccontextmanager
async def front(tmp_path: Path, machine: Machine = SMALL) -> AsyncIterator[Front]:
    """Run an instance, and check it at the end."""
    plain = FakePlainServer("i-1")
    slow = FakePlainServer("i-2", service="slow", hang=True)
    long = LongServer("i-3", service="long")
    patient = {"timeoutMs": WAIT_MS, "targetLatencyMs": WAIT_MS}
    routes = [
        route("look", "safe", "registry", maxAttempts=2, timeoutMs=9_000),
        route("wait", "unsafe", "slow", maxAttempts=1, **patient),
        route("long", "safe", "long", maxAttempts=2, **patient),
        route("once", "unsafe", "long", maxAttempts=1, **patient),
        route("draw", "streaming", "long", resumable=True, maxAttempts=2, **patient),
        route("drawonce", "streaming", "long", maxAttempts=1, **patient),
    ]
    services = [
        {"name": name, "healthPath": "/health", "maxConnections": 1_000}
        for name in ("registry", "slow", "long")
    ]
    async with site(tmp_path, plain, slow, long) as store:
        whole = config(2, routes=routes, services=services)
        await store.put("config", "main", whole)
        # Each ordinary request has a connection of its own.
        connector = aiohttp.TCPConnector(force_close=True)
        timeout = aiohttp.ClientTimeout(total=10.0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            instance = Front("front-1", store.address, tmp_path, machine)
            instance.long, instance.slow = long, slow
            instance.store, instance.session = store, session
            await instance.start(session)
            instance.watch = ProcessWatch(
                instance.process, machine.memory_mb, machine.max_fds
            )
            try:
                await instance.answer_ordinary()
                yield instance
                await instance.answer_ordinary()
                instance.watch.check()
            finally:
                instance.watch.sampling.cancel()
                await instance.end(signal.SIGKILL)


@asynccontextmanager
async def crowded_front(
    tmp_path: Path, listener: str, count: int, machine: Machine = SMALL
) -> AsyncIterator[tuple[Front, Crowd]]:
    """Run an instance and a crowd; ordinary callers are served beside it and after.

    Args:
        tmp_path: Folder for the settings.
        listener: Listener that the crowd connects to.
        count: Number of its connections.
        machine: Limits in the settings.
    """
    async with (
        front(tmp_path, machine) as process,
        Crowd(process.address(listener), count) as crowd,
    ):
        yield process, crowd
        await process.answer_ordinary()


def head(path: bytes, number: int = 0, *fields: bytes) -> bytes:
    """Return the head of a request, without the empty line at its end."""
    return (
        b"POST %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: m%d\r\n"
        b"Deadline-Ms: %d\r\n" % (path, number, WAIT_MS)
    ) + b"".join(field + b"\r\n" for field in fields)


NO_BODY = b"Content-Length: 0"
CHUNKED = b"Transfer-Encoding: chunked"
