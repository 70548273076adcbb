"""Hands a request to a backend server and relays its answer."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import ClientTimeout

from wisterialoom.core.object_store import MAX_OBJECT_BYTES
from wisterialoom.core.requests.request import (
    Attempt,
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    Classified,
    Dispatch,
    StoredAnswer,
)
from wisterialoom.http.error_answer import REQUEST_ID_HEADER
from wisterialoom.no_resend import no_resend, was_never_sent

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientResponse, ClientSession

    from wisterialoom.core.message import Event
    from wisterialoom.http.exchange import Exchange
    from wisterialoom.http.job_exchange import JobExchange

__all__ = ["Relay", "RelayTimes"]

CONNECT_TIMEOUT_S = 2.0

WHOLE_LIMIT = 1_000_000
"""Answers up to this size are relayed only when they are whole, in bytes."""

STORED_LIMIT = MAX_OBJECT_BYTES
"""Bytes of an answer that are kept for claims and jobs.

A longer answer is cut off just above it. No object holds that much, so the core
records it as done, with an answer too large to be kept.
"""

NOT_STARTED_HEADER = "X-Not-Started"
LEAVING_HEADER = "X-Leaving"

STREAM_END = b"data: [DONE]"
"""Last event of a model engine's stream; without it a stream was cut."""

_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_CALLER_ONLY_HEADERS = _HOP_HEADERS | {
    "authorization",
    "x-request-id",
    "x-deadline-ms",
    "prefer",
    "accept-encoding",
}


class _CutError(Exception):
    """Raised when an answer ended before it was whole."""


@dataclass
class RelayTimes:
    """Moments of one attempt, for metrics.

    Attributes:
        sent: When the request was handed over, monotonic seconds.
        first: When the first output came; 0 before.
        last: When the last output came; 0 before.
        pieces: Count of pieces of output.
    """

    sent: float = 0.0
    first: float = 0.0
    last: float = 0.0
    pieces: int = 0

    def note(self) -> None:
        """Note a piece of output."""
        self.last = time.monotonic()
        self.first = self.first or self.last
        self.pieces += 1


class Relay:
    """One attempt at one backend server.

    Attributes:
        attempt: The attempt.
        classified: The request and its rules.
        exchange: The caller's side.
        address: `IP:port` of the backend server.
        deliver: Takes the events of the attempt.
        times: Moments, for metrics.
        valid_until: Monotonic time after which no byte may be sent.
        mismatched: The answer carried another request's id and was dropped.
    """

    def __init__(
        self,
        command: Dispatch,
        exchange: Exchange | JobExchange,
        address: str,
        deliver: Callable[[Event], None],
    ) -> None:
        self.attempt: Attempt = command.attempt
        self.classified: Classified = command.classified
        self.exchange = exchange
        self.address = address
        self.deliver = deliver
        self.times = RelayTimes()
        self.valid_until = command.valid_until
        self.mismatched = False
        self.leaving = False
        self.tail = b""
        self.kept = bytearray()

    async def run(self, session: ClientSession) -> AttemptEnded:
        """Carry the attempt out and return how it ended.

        Args:
            session: Pools connections for idempotent requests; opens one for
                each other request, so that a lost connection is never mistaken
                for one that had carried nothing.
        """
        self.times.sent = time.monotonic()
        if self.times.sent > self.valid_until - CONNECT_TIMEOUT_S:
            return self._ended(AttemptResult.NOT_SENT)
        try:
            return await self._exchange(session)
        except (aiohttp.ClientError, TimeoutError, OSError, _CutError) as error:
            if was_never_sent(error):
                return self._ended(AttemptResult.NOT_SENT)
            return self._ended(AttemptResult.LOST)

    def _ended(
        self, result: AttemptResult, answer: StoredAnswer | None = None
    ) -> AttemptEnded:
        return AttemptEnded(
            attempt=self.attempt,
            result=result,
            answer=answer,
            tokens=self.times.pieces,
            leaving=self.leaving,
        )

    async def _exchange(self, session: ClientSession) -> AttemptEnded:
        intake = self.exchange.intake
        async with session.request(
            intake.request.method,
            f"http://{self.address}{intake.target}",
            data=intake.body,
            headers=self._request_headers(),
            allow_redirects=False,
            timeout=ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
            middlewares=(no_resend,),
        ) as response:
            self.leaving = LEAVING_HEADER in response.headers
            if response.headers.get(NOT_STARTED_HEADER):
                return self._ended(AttemptResult.NOT_STARTED)
            echoed = response.headers.get(REQUEST_ID_HEADER)
            if echoed not in (None, self.exchange.request_id):
                self.mismatched = True
                return self._ended(AttemptResult.LOST)
            return await self._relay(response)

    def _request_headers(self) -> dict[str, str]:
        headers = {
            name: value
            for name, value in self.exchange.intake.headers.items()
            if name.lower() not in _CALLER_ONLY_HEADERS
        }
        headers[REQUEST_ID_HEADER] = self.exchange.request_id
        headers["X-Priority"] = str(self.classified.priority)
        if not self.classified.idempotent:
            headers["X-Run-Once"] = "1"
        return headers

    async def _relay(self, response: ClientResponse) -> AttemptEnded:
        if response.content_type == "text/event-stream":
            await self._relay_pieces(response, b"")
            if response.status < 400 and STREAM_END not in self.tail:
                raise _CutError
        else:
            await self._relay_whole(response)
        result = AttemptResult.COMPLETED
        if response.status >= 400:
            result = AttemptResult.SERVER_ERROR
        return self._ended(result, self._stored(response))

    async def _relay_whole(self, response: ClientResponse) -> None:
        body = bytearray()
        async for piece in response.content.iter_any():
            self.times.note()
            body += piece
            if len(body) > WHOLE_LIMIT:
                await self._relay_pieces(response, bytes(body))
                return
        self._keep(bytes(body))
        self.deliver(AttemptFirstByte(self.attempt))
        outcome = "completed" if response.status < 400 else "failed"
        headers = self._answer_headers(response)
        self.exchange.send_whole(response.status, headers, bytes(body), outcome)

    async def _relay_pieces(self, response: ClientResponse, begun: bytes) -> None:
        first = begun or await response.content.readany()
        self.times.note()
        self.deliver(AttemptFirstByte(self.attempt))
        await self._to_caller_begin(response)
        await self._pass_on(first)
        async for piece in response.content.iter_any():
            self.times.note()
            await self._pass_on(piece)
        if response.content_type != "text/event-stream" or STREAM_END in self.tail:
            await self._to_caller_end()

    async def _pass_on(self, piece: bytes) -> None:
        self._keep(piece)
        self.tail = (self.tail + piece)[-2 * len(STREAM_END) - 8 :]
        if self.exchange.gone:
            return
        try:
            await self.exchange.write(piece)
        except ConnectionError:
            self.exchange.gone = True

    async def _to_caller_begin(self, response: ClientResponse) -> None:
        try:
            await self.exchange.begin(response.status, self._answer_headers(response))
        except ConnectionError:
            self.exchange.gone = True

    async def _to_caller_end(self) -> None:
        try:
            await self.exchange.end()
        except ConnectionError:
            self.exchange.gone = True

    @property
    def _keeps(self) -> bool:
        return self.exchange.keeps_answer or not self.classified.idempotent

    def _keep(self, piece: bytes) -> None:
        if self._keeps and len(self.kept) <= STORED_LIMIT:
            self.kept += piece

    def _stored(self, response: ClientResponse) -> StoredAnswer | None:
        if not self._keeps:
            return None
        kind = response.headers.get("Content-Type", "application/octet-stream")
        return StoredAnswer(response.status, kind, bytes(self.kept))

    def _answer_headers(self, response: ClientResponse) -> dict[str, str]:
        return {
            name: value
            for name, value in response.headers.items()
            if name.lower() not in _HOP_HEADERS
            and name not in (REQUEST_ID_HEADER, LEAVING_HEADER)
        }
