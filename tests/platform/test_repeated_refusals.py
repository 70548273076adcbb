"""A server that writes an earlier refusal once more on a kept connection.

What a caller is told must be true: a request that a server runs is not refused.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import asynccontextmanager
from typing import Any, TYPE_CHECKING

import pytest

from tests.platform.test_app import harness, wait_until
from tests.platform.test_lost_paths import lost_site
from tests.platform.test_unframed_answers import ListedServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.test_app import Harness

REFUSALS = {
    "503": b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n",
    "503 with a rest": (
        b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRetry-After: 0.03\r\n"
    ),
    "429": b"HTTP/1.1 429 Many\r\nNot-Executed: 1\r\n",
    "421": b"HTTP/1.1 421 Other\r\n",
}
MOMENTS = ("same segment", "own segment", "idle", "head read", "request read", "late")
"""When the refusal comes again: after itself, in the pause before the next request, or
once a part or all of the next one was read, or a moment later."""

PATHS = {"registry": ("/look/", "/deposit/"), "scribe": ("/draft/", "/once/")}
ONCE = ("/deposit/", "/once/")
RUN_S = 0.6
"""Time that a run takes; longer than callers wait."""

OWN_REFUSALS = (408, 421, 429, 503)


class RepeatingServer(ListedServer):
    """Refuses the first requests on a connection, and writes the refusal again.

    Attributes:
        refusal: First lines of the refusal.
        moment: When it writes the refusal once more.
        refused: Ids that are refused once each.
        counts: Number of runs by id.
    """

    def __init__(self, service: str, refusal: bytes, moment: str) -> None:
        super().__init__("i-1", service)
        self.refusal = refusal
        self.moment = moment
        self.refused: set[str] = set()
        self.counts: Counter[str] = Counter()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        models = [{"name": "m1", "version": 1, "adapters": []}]
        return super().entry(state) | {"models": models}

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[None]:
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        try:
            yield
        finally:
            listener.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        again = b""
        try:
            while True:
                first = await reader.readexactly(1)
                if self.moment == "head read":
                    writer.write(again)
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
                if self.moment == "request read":
                    writer.write(again)
                elif self.moment == "late" and again:
                    await asyncio.sleep(0.01)
                    writer.write(again)
                marks = f"Attempt-Id: {request_id}\r\n".encode()
                if request_id in self.refused and not again:
                    self.refused.discard(request_id)
                    again = self.refusal + marks + b"Content-Length: 0\r\n\r\n"
                    await self.refuse(writer, again)
                    continue
                self.counts[request_id] += 1
                await asyncio.sleep(RUN_S)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n"
                    b"Content-Type: text/event-stream\r\nContent-Length: 15\r\n"
                    + marks
                    + b"\r\nid: 1\ndata: x\n\n"
                )
                again = b""
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def refuse(self, writer: asyncio.StreamWriter, refusal: bytes) -> None:
        match self.moment:
            case "same segment":
                writer.write(2 * refusal)
            case "own segment":
                writer.write(refusal)
                await asyncio.sleep(0.001)
                writer.write(refusal)
            case "idle":
                writer.write(refusal)
                await asyncio.sleep(0.01)
                writer.write(refusal)
            case _:
                writer.write(refusal)


@pytest.mark.parametrize("way", ["direct", "through another instance"])
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("service", PATHS)
async def test_refusal_that_comes_again_is_not_believed(
    service: str, refusal: str, moment: str, way: str
):
    """Guards against a request that runs and is refused, or runs at two servers."""
    server = RepeatingServer(service, REFUSALS[refusal], moment)
    async with server.listening():
        if way == "direct":
            async with harness(server) as site:
                await check_requests(site, server)
        else:
            async with lost_site(server, count=2) as (_, site):
                await check_requests(site, server)


async def check_requests(site: Harness, server: RepeatingServer) -> None:
    """Send requests whose runs outlast their deadlines; some ids are sent again."""
    for path in PATHS[server.service]:
        server.counts.clear()
        server.refused = {"a", "c"}
        for request_id in ("a", "b", "a", "c"):
            before = server.counts[request_id]
            headers = {"Model": "m1", "Token_Count": "1,2", "Deadline_Ms": "400"}
            status, _, _ = await site.call(path, Attempt_Id=request_id, **headers)
            ran = server.counts[request_id] - before
            assert not (ran and status in OWN_REFUSALS), (path, request_id, status)
            assert not (ran > 1 and path in ONCE)
            await wait_until(lambda: not site.app.ingress.active)
        assert server.counts
