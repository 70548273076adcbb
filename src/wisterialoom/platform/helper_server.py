"""Passes requests of other instances on to servers that these do not reach."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from wisterialoom.caller_memory import write_in_pieces
from wisterialoom.core.serving.routing import IngressLimits
from wisterialoom.no_resend import was_never_sent
from wisterialoom.platform.headers import (
    ATTEMPT_ID,
    HELP_FOR,
    HELP_ONCE,
    HELP_RESULT,
    HelpResult,
    HOP_BY_HOP_HEADERS,
    NOT_RUN,
    read_notice,
    SERVER_ID,
)
from wisterialoom.platform.server_call import call_server, server_url
from wisterialoom.retry_after import RETRY_AFTER

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientResponse, ClientSession

    from wisterialoom.caller_memory import CallerMemory
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.platform.headers import ServerNotice
    from wisterialoom.platform.peers import PeerLink

__all__ = ["HelperServer"]

logger = logging.getLogger(__name__)


class HelperServer:
    """Serves other instances; it passes a request on once, and only directly.

    The other instance keeps all decisions: which server, how often, until when. A
    request that was not passed on is told apart from one that may have run.

    Attributes:
        dispatcher: Knows the servers and which of them this instance reaches.
        peers: Knows the other instances; nobody else is served.
        memory: Holds what is passed on, with what callers send and are sent.
        max_active: Requests that are passed on at the same time.
        pooled_session: Session with reused connections, for idempotent requests.
        single_use_session: Session that opens a connection for each request.
        record_notice: Called with a server's id and what it says about itself.
        not_opened: Called with the id of a server that could not be connected to.
        doubted: Called with the id of a server whose connection failed.
        stopping: Whether this instance stops soon and takes no more requests.
        active: Requests that are being passed on.
        counts: Requests by result.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        peers: PeerLink,
        memory: CallerMemory,
        max_active: int,
        pooled_session: ClientSession,
        single_use_session: ClientSession,
        record_notice: Callable[[str, ServerNotice], None],
        not_opened: Callable[[str], None],
        doubted: Callable[[str], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.peers = peers
        self.memory = memory
        self.max_active = max_active
        self.pooled_session = pooled_session
        self.single_use_session = single_use_session
        self.record_notice = record_notice
        self.not_opened = not_opened
        self.doubted = doubted
        self.stopping = False
        self.active = 0
        self.counts: Counter[str] = Counter()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass one request on."""
        if request.remote not in self.peers.members.values():
            logger.warning("not a member, refused", extra={"from": request.remote})
            return web.Response(status=403)
        view = self.dispatcher.views.get(request.headers.get(HELP_FOR, ""))
        if (
            view is None
            or view.draining
            or self.stopping
            or self.active >= self.max_active
            or not self.dispatcher.ways.is_direct(view)
        ):
            return self._refuse(HelpResult.NO_HELP)
        wanted_in_s = view.wanted_at(now := time.monotonic()) - now
        if wanted_in_s > 0:
            return self._refuse_for_server(request, wanted_in_s)
        view.notices.record_sent(now)
        self.active += 1
        try:
            with self.memory.open(now) as held:
                body = await self.memory.read(request, held, self._max_body_bytes())
                if body is None:
                    return self._refuse(HelpResult.NO_HELP)
                server = view.server
                return await self._pass_on(request, body, server.id, server.address)
        finally:
            self.active -= 1

    def _max_body_bytes(self) -> int:
        deployment = self.dispatcher.deployment
        limits = deployment.limits if deployment is not None else IngressLimits()
        return limits.max_body_bytes

    def _refuse(self, result: HelpResult) -> web.StreamResponse:
        self.counts[result.value] += 1
        return web.Response(status=503, headers={HELP_RESULT: result.value})

    def _refuse_for_server(
        self, request: web.BaseRequest, wanted_in_s: float
    ) -> web.StreamResponse:
        """Answer as a server does that wants nothing from this instance for a time."""
        self.counts["resting"] += 1
        headers = {
            HELP_RESULT: HelpResult.PASSED_ON.value,
            ATTEMPT_ID: request.headers.get(ATTEMPT_ID, ""),
            NOT_RUN: "1",
            RETRY_AFTER: f"{wanted_in_s:.3f}",
        }
        return web.Response(status=503, headers=headers)

    async def _pass_on(
        self, request: web.BaseRequest, body: bytes, server_id: str, address: str
    ) -> web.StreamResponse:
        once = HELP_ONCE in request.headers
        session = self.single_use_session if once else self.pooled_session
        dropped = HOP_BY_HOP_HEADERS | {HELP_FOR.lower(), HELP_ONCE.lower()}
        headers = [
            (name, value)
            for name, value in request.headers.items()
            if name.lower() not in dropped
        ]
        url = server_url(address, request.raw_path)
        try:
            response = await call_server(session, request.method, url, body, headers)
        except (aiohttp.ClientError, OSError) as error:
            if was_never_sent(error):
                self.not_opened(server_id)
                return self._refuse(HelpResult.NOT_SENT)
            self.doubted(server_id)
            return self._refuse(HelpResult.LOST)
        try:
            return await self._forward(request, response, server_id)
        except (aiohttp.ClientError, OSError):
            # The other instance sees from the closed connection that it is incomplete.
            if request.transport is not None:
                request.transport.abort()
            self.counts["broken"] += 1
            raise asyncio.CancelledError from None
        finally:
            response.close()

    async def _forward(
        self, request: web.BaseRequest, response: ClientResponse, server_id: str
    ) -> web.StreamResponse:
        if response.headers.get(SERVER_ID) in (None, server_id):
            self.record_notice(
                server_id, read_notice(response.status, response.headers)
            )
        answer = web.StreamResponse(status=response.status)
        for name, value in response.headers.items():
            if name.lower() not in HOP_BY_HOP_HEADERS:
                answer.headers.add(name, value)
        answer.headers[HELP_RESULT] = HelpResult.PASSED_ON.value
        if response.content_length is not None:
            answer.content_length = response.content_length
        await answer.prepare(request)
        while data := await response.content.readany():
            await write_in_pieces(request, answer, data, self.memory.write)
        await answer.write_eof()
        self.counts[HelpResult.PASSED_ON.value] += 1
        return answer
