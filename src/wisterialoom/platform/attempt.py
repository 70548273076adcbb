"""One attempt of a request at one backend server."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import ClientOSError, ClientResponse, ClientTimeout
from yarl import URL

from wisterialoom.core.serving.request_flow import AttemptResult, AttemptVerdict
from wisterialoom.no_resend import no_resend, was_never_sent
from wisterialoom.platform.headers import (
    answer_headers,
    ATTEMPT_ID,
    NOT_RUN,
    read_load,
    request_headers,
    SERVER_ID,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientSession
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import Connection

    from wisterialoom.core.serving.request_flow import RequestProfile, Send
    from wisterialoom.platform.exchange import Exchange
    from wisterialoom.platform.headers import ServerLoad

__all__ = ["Attempt", "TrackedResponse", "WholeAnswer"]

CONNECT_TIMEOUT_S = 0.25
"""Longest wait for a connection; some twenty round trips between zones."""

WHOLE_LIMIT = 1_000_000
"""Answers up to this size are passed on only when they are whole, in bytes."""


class TrackedResponse(ClientResponse):
    """An answer that keeps its connection's protocol in view to the end.

    Attributes:
        protocol: Protocol of the connection that the answer comes on.
    """

    protocol: ResponseHandler | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Begin to read the answer."""
        self.protocol = connection.protocol
        return await super().start(connection)


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A backend server's answer, read to its end."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Attempt:
    """Sends a request once and passes the answer on.

    Attributes:
        exchange: The caller's side.
        profile: What the request asks for.
        step: Where it is sent.
        silence_s: Silence after which the request goes elsewhere, if it may.
        may_move: Tells whether another server would take the request now.
        record_response_head: Takes the reported load when the head of an answer comes.
        answer: The answer, if it was read whole and not yet passed on.
        load: Load that the server reported, if it did.
    """

    def __init__(
        self,
        exchange: Exchange,
        profile: RequestProfile,
        step: Send,
        silence_s: float,
        may_move: Callable[[], bool],
        record_response_head: Callable[[ServerLoad | None], None],
    ) -> None:
        self.exchange = exchange
        self.profile = profile
        self.step = step
        self.silence_s = silence_s
        self.may_move = may_move
        self.record_response_head = record_response_head
        self.answer: WholeAnswer | None = None
        self.load: ServerLoad | None = None

    async def run(self, session: ClientSession) -> AttemptResult:
        """Carry the attempt out and return how it ended."""
        try:
            return await self._exchange(session)
        except (aiohttp.ClientError, OSError) as error:
            if was_never_sent(error):
                return self._ended(AttemptVerdict.NOT_SENT, repr(error))
            return self._ended(AttemptVerdict.LOST, repr(error))
        except TimeoutError:
            return self._ended(AttemptVerdict.TIMED_OUT, "no bytes for too long")

    def _ended(self, verdict: AttemptVerdict, detail: str = "") -> AttemptResult:
        return AttemptResult(self.step.server_id, verdict, detail)

    async def _exchange(self, session: ClientSession) -> AttemptResult:
        exchange = self.exchange
        profile = self.profile
        headers = request_headers(
            exchange.request.headers,
            server_id=self.step.server_id,
            left_s=profile.caller_deadline - time.monotonic(),
            urgency=self.step.urgency if profile.model else None,
            last_event_id=exchange.cutter.last_id if exchange.begun else None,
        )
        url = URL(f"http://{self.step.address}{exchange.target}", encoded=True)
        request = session.request(
            exchange.request.method,
            url,
            data=exchange.body or None,
            headers=headers,
            allow_redirects=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            middlewares=(no_resend,),
        )
        response = await self.head(asyncio.ensure_future(request))
        try:
            return await self._take(response)
        finally:
            # Closes the connection unless the answer was read to its end.
            response.close()

    async def head(self, pending: asyncio.Future[ClientResponse]) -> ClientResponse:
        """Wait for the head of the answer; silence ends it only if it may move."""
        try:
            while True:
                done, _ = await asyncio.wait({pending}, timeout=self.silence_s)
                if done:
                    return pending.result()
                if self.may_move():
                    raise TimeoutError
        except BaseException:
            pending.cancel()
            pending.add_done_callback(_discard)
            raise

    async def _read(self, response: ClientResponse) -> bytes:
        """Return the next bytes of the answer, none at its end.

        Silence ends the attempt only if the request can go on elsewhere; otherwise
        the server's answer may still come.
        """
        while True:
            try:
                async with asyncio.timeout(self.silence_s):
                    return await response.content.readany()
            except TimeoutError:
                if self.may_move():
                    raise

    async def _take(self, response: ClientResponse) -> AttemptResult:
        self.load = read_load(response.headers)
        self.record_response_head(self.load)
        if response.headers.get(ATTEMPT_ID) not in (None, self.profile.request_id):
            return self._ended(AttemptVerdict.LOST, "answer to another request")
        if response.headers.get(NOT_RUN) or response.status == 421:
            while await self._read(response):
                pass
            return self._refused(response)
        if self.profile.route.stream and response.status == 200:
            return await self._take_stream(response)
        return await self._take_whole(response)

    def _refused(self, response: ClientResponse) -> AttemptResult:
        detail = str(response.status)
        if response.status != 421:
            load = self.load
            saturated = load is None or load.running + load.waiting >= load.slots
            return AttemptResult(
                self.step.server_id, AttemptVerdict.REFUSED_FULL, detail, saturated
            )
        if response.headers.get(SERVER_ID) not in (None, self.step.server_id):
            return self._ended(AttemptVerdict.REFUSED_IDENTITY, detail)
        return self._ended(AttemptVerdict.REFUSED_ABSENT, detail)

    async def _take_whole(self, response: ClientResponse) -> AttemptResult:
        body = bytearray()
        while True:
            data = await self._read(response)
            if not data:
                break
            body += data
            if len(body) > WHOLE_LIMIT:
                return await self._pass_on_large(response, bytes(body))
        if _was_reset(response):
            return self._ended(AttemptVerdict.LOST, "reset while answering")
        headers = answer_headers(response.headers)
        self.answer = WholeAnswer(response.status, headers, bytes(body))
        if response.status >= 500:
            return self._ended(AttemptVerdict.FAILED, str(response.status))
        return self._ended(AttemptVerdict.ANSWERED, str(response.status))

    async def _pass_on_large(
        self, response: ClientResponse, begun: bytes
    ) -> AttemptResult:
        exchange = self.exchange
        await exchange.begin(response.status, answer_headers(response.headers))
        await exchange.write(begun)
        while True:
            data = await self._read(response)
            if not data:
                break
            await exchange.write(data)
        await exchange.finish()
        return self._ended(AttemptVerdict.ANSWERED, str(response.status))

    async def _take_stream(self, response: ClientResponse) -> AttemptResult:
        exchange = self.exchange
        cutter = exchange.cutter
        while True:
            data = await self._read(response)
            if not data:
                break
            whole = cutter.feed(data) if exchange.resumable else data
            if not whole:
                continue
            if not exchange.begun:
                await exchange.begin(response.status, answer_headers(response.headers))
            await exchange.write(whole)
        if _was_reset(response):
            return self._ended(AttemptVerdict.LOST, "reset while streaming")
        if not exchange.begun:
            await exchange.begin(response.status, answer_headers(response.headers))
        if cutter.partial:
            await exchange.write(cutter.partial)
            cutter.drop_partial()
        await exchange.finish()
        return self._ended(AttemptVerdict.ANSWERED, str(response.status))


def _was_reset(response: ClientResponse) -> bool:
    """Tell whether an answer without a length ended by a reset, not by its end.

    Such an answer ends with its connection, so aiohttp takes a reset for the end.
    """
    framed = "Content-Length" in response.headers or (
        response.headers.get("Transfer-Encoding", "").lower() == "chunked"
    )
    protocol = response.protocol if isinstance(response, TrackedResponse) else None
    if framed or protocol is None:
        return False
    return isinstance(protocol.exception(), ClientOSError)


def _discard(pending: asyncio.Future[ClientResponse]) -> None:
    """Close an answer that came after its attempt was stopped; errors mean nothing."""
    if not pending.cancelled() and pending.exception() is None:
        pending.result().close()
