"""An entry instance of the own interface with lowered limits, and servers behind it."""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from tests.misbehaving.crowd import Crowd
from tests.misbehaving.process_watch import ProcessWatch
from tests.platform.fakes import serve
from tests.processes import API_KEY, ProcessDeployment
from wisterialoom.demo import DOCUMENT

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

MEMORY_MB = 200
MAX_DESCRIPTORS = 700
"""`memory_mb` and `max_descriptors` of the settings."""

WAIT_MS = 20_000
"""Time that requests may wait; longer than a test needs."""

ANSWERED_S = 60.0
"""Time after which a process counts as hanging if it answers no ordinary request."""

LIMITS = f"""
[limits]
max_body_bytes = 4194304
memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
"""

RULES = """
[[server_groups]]
name = "{role}"
selector = "kind=service,role={role}"
kind = "service"
slots = 200

[[traffic]]
name = "{role}"
path = "/{role}/*"
servers = "kind=service,role={role}"
"""

ROLES = ("plain", "slow", "long")

CALLER_DOCUMENT = DOCUMENT.partition("[[models]]")[0] + (
    DOCUMENT[DOCUMENT.index("[[traffic_classes]]") : DOCUMENT.index("[[traffic]]")]
    + "".join(RULES.format(role=role) for role in ROLES)
)

EVENT = b"data: " + b"e" * 8_000 + b"\n\n"


@dataclass
class BackendServer:
    """Answers at once, never, at length or without end, as the path says.

    Attributes:
        began: Number of requests that were begun.
    """

    began: int = field(default=0)

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        self.began += 1
        headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        if request.path.startswith("/slow/"):
            await asyncio.sleep(3_600)
        if "size" in request.query:
            body = b"r" * int(request.query["size"])
            return web.Response(body=body, headers=headers)
        if not request.path.startswith("/long/"):
            return web.Response(body=b"plain", headers=headers)
        headers["Content-Type"] = "text/event-stream"
        stream = web.StreamResponse(headers=headers)
        await stream.prepare(request)
        with contextlib.suppress(ConnectionError):
            for _ in range(10_000):
                await stream.write(EVENT)
        return stream


@dataclass
class Entry:
    """The deployed program of the own interface.

    Attributes:
        deployment: The entry instance and the platform.
        backend: Its servers.
        watch: Observes the process.
        session: Session of ordinary callers.
    """

    deployment: ProcessDeployment
    backend: BackendServer
    watch: ProcessWatch
    session: aiohttp.ClientSession

    def address(self, listener: str) -> tuple[str, int]:
        """Return the address of `callers` or `admin`."""
        url = self.deployment.urls[f"entry-1/{listener}"]
        host, _, port = url.removeprefix("http://").rpartition(":")
        return host, int(port)

    async def answer_ordinary(self) -> None:
        """Send ordinary requests, as a caller that tries again, until one is served."""
        async with asyncio.timeout(ANSWERED_S):
            while not await self._is_served():
                ended = self.watch.process.returncode is not None
                assert not ended, "the process has ended"
                await asyncio.sleep(0.2)

    async def _is_served(self) -> bool:
        url = self.deployment.urls["entry-1/callers"]
        headers = {"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "9000"}
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            call = self.session.post(f"{url}/plain/x", headers=headers, data=b"small")
            async with call as answer:
                served = answer.status == 200 and await answer.read() == b"plain"
            return served and await self.deployment.is_ready(self.session, "entry-1")
        return False


@asynccontextmanager
async def entry(tmp_path: Path) -> AsyncIterator[Entry]:
    """Run an entry instance, and check it at the end."""
    backend = BackendServer()
    app = web.Application(client_max_size=8_000_000)
    app.router.add_route("*", "/{path:.*}", backend.on_request)
    runner, address = await serve(app)
    deployment = ProcessDeployment(tmp_path)
    timeout = aiohttp.ClientTimeout(total=10.0)
    connector = aiohttp.TCPConnector(force_close=True)
    session = aiohttp.ClientSession(connector=connector, timeout=timeout)
    try:
        await deployment.start_standin("platform", "platform")
        path = tmp_path / "document.toml"
        path.write_text(CALLER_DOCUMENT)
        arguments = ("--platform", deployment.urls["platform"], "--expect", "0")
        code = await deployment.run_command("config", "apply", str(path), *arguments)
        assert code == 0, deployment.children["command"].errors
        for role in ROLES:
            await deployment.change_instances(register=_listed(role, address))
        await deployment.start_entry("entry-1", settings=LIMITS)
        process = deployment.children["entry-1"].process
        watch = ProcessWatch(process, MEMORY_MB, MAX_DESCRIPTORS)
        started = Entry(deployment, backend, watch, session)
        try:
            await started.answer_ordinary()
            yield started
            await started.answer_ordinary()
            watch.check()
        finally:
            watch.sampling.cancel()
    finally:
        await session.close()
        await deployment.close()
        await runner.cleanup()


@asynccontextmanager
async def crowded_entry(
    tmp_path: Path, listener: str, count: int
) -> AsyncIterator[tuple[Entry, Crowd]]:
    """Run an entry instance and a crowd; ordinary callers are served beside it.

    Args:
        tmp_path: Folder for the settings.
        listener: Listener that the crowd connects to.
        count: Number of its connections.
    """
    async with (
        entry(tmp_path) as process,
        Crowd(process.address(listener), count) as crowd,
    ):
        yield process, crowd
        await process.answer_ordinary()


def _listed(role: str, address: str) -> dict[str, object]:
    return {
        "name": f"{role}-1",
        "incarnation": "1",
        "address": address,
        "availability_zone": "az-1",
        "labels": {"kind": "service", "role": role},
        "state": "live",
    }


def head(path: bytes, *fields: bytes) -> bytes:
    """Return the head of a request, without the empty line at its end."""
    return (
        b"POST %s HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\n"
        b"X-Deadline-Ms: %d\r\n" % (path, API_KEY.encode(), WAIT_MS)
    ) + b"".join(field + b"\r\n" for field in fields)
