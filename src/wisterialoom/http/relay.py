"""Sends a request to a backend server and relays its answer."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import ClientTimeout

from wisterialoom.core.object_store import MAX_OBJECT_BYTES
from wisterialoom.core.rate_text import read_rate
from wisterialoom.core.requests.request import (
    Attempt,
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    Classified,
    Dispatch,
    ServerNoticed,
    StoredAnswer,
)
from wisterialoom.http.error_answer import REQUEST_ID_HEADER
from wisterialoom.no_resend import no_resend, was_never_sent
from wisterialoom.retry_after import read_retry_after, RETRY_AFTER

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientResponse, ClientSession

    from wisterialoom.core.message import Event
    from wisterialoom.http.exchange import Exchange
    from wisterialoom.http.job_exchange import JobExchange

__all__ = ["Relay", "RelayTimes"]

CONNECT_TIMEOUT_S = 2.0
"""Time for connecting to a backend server, in seconds."""

MAX_BUFFERED_BYTES = 1_000_000
"""Largest answer that is buffered and relayed only once complete, in bytes.

An answer lost before it is relayed can still be retried.
"""

MAX_STORED_BYTES = MAX_OBJECT_BYTES
"""Number of bytes of an answer that are kept for claims and jobs.

A longer answer is truncated just above the limit. It then exceeds the size of an
object, so the core records the request as done with an answer too large to keep.
"""

NOT_STARTED_HEADER = "X-Not-Started"
LEAVING_HEADER = "X-Leaving"
LIMIT_HEADER = "X-Request-Limit"
BRITTLE_HEADER = "X-Brittle"

STREAM_END = b"data: [DONE]"
"""Last event of a model engine's stream; a stream without it is truncated."""

_HOP_BY_HOP_HEADERS = frozenset(
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
_NOT_RETURNED_HEADERS = (
    REQUEST_ID_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    BRITTLE_HEADER,
)
_NOT_FORWARDED_HEADERS = _HOP_BY_HOP_HEADERS | {
    "authorization",
    "x-request-id",
    "x-deadline-ms",
    "prefer",
    "accept-encoding",
}


class _TruncatedAnswerError(Exception):
    """Raised if an answer ends before it is complete."""


@dataclass
class RelayTimes:
    """Timestamps of one attempt, for metrics.

    Attributes:
        sent: Monotonic time at which the request was sent, in seconds.
        first: Monotonic time of the first output; 0 before it.
        last: Monotonic time of the latest output; 0 before the first.
        chunks: Number of received chunks.
    """

    sent: float = 0.0
    first: float = 0.0
    last: float = 0.0
    chunks: int = 0

    def record_chunk(self) -> None:
        """Record the receipt of a chunk."""
        self.last = time.monotonic()
        self.first = self.first or self.last
        self.chunks += 1


class Relay:
    """One attempt at one backend server.

    Attributes:
        attempt: The attempt.
        classified: The request with its limits.
        exchange: Exchange with the caller.
        address: `IP:port` of the backend server.
        deliver: Delivers an event to the core.
        times: Timestamps for metrics.
        valid_until: Monotonic time after which no byte may be sent.
        mismatched: Whether the answer carried the id of another request and was
            dropped.
        error: Why the attempt was lost; empty if it was not.
        leaving: Whether the backend server announced that it is leaving.
        retry_after_s: Seconds for which it wants no more requests, if it said so.
        tail: Last bytes of the answer, to detect the end of a stream.
        stored_body: The part of the answer that is kept for claims and jobs.
        is_kept: Whether there is memory for that part.
        held_bytes: Bytes of the answer that are held until the attempt has ended.
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
        self.error = ""
        self.leaving = False
        self.retry_after_s: float | None = None
        self.tail = b""
        self.stored_body = bytearray()
        self.is_kept = True
        self.held_bytes = 0

    async def run(self, session: ClientSession) -> AttemptEnded:
        """Run the attempt and return how it ended.

        Args:
            session: Client session. It pools connections for idempotent requests,
                and opens a new one for each other request, so that a connection
                lost after bytes were sent is not reported as never used.
        """
        self.times.sent = time.monotonic()
        if self.times.sent > self.valid_until - CONNECT_TIMEOUT_S:
            return self._make_ended(AttemptResult.NOT_SENT)
        try:
            return await self._exchange(session)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            _TruncatedAnswerError,
        ) as error:
            if was_never_sent(error):
                return self._make_ended(AttemptResult.NOT_SENT)
            self.error = repr(error)
            return self._make_ended(AttemptResult.LOST)
        finally:
            self._release()

    def _report_notice(self, response: ClientResponse) -> None:
        """Report what the server says about itself, before its answer has ended."""
        if response.status == 503:
            text = response.headers.get(RETRY_AFTER, "")
            self.retry_after_s = read_retry_after(text) or None
        names_limit = LIMIT_HEADER in response.headers
        rejections = read_rate(response.headers.get(BRITTLE_HEADER, ""))
        says_more = names_limit or rejections is not None
        if self.leaving or self.retry_after_s or says_more:
            self.deliver(
                ServerNoticed(
                    self.attempt,
                    self.leaving,
                    self.retry_after_s or 0.0,
                    names_limit,
                    read_rate(response.headers.get(LIMIT_HEADER, "")),
                    rejections,
                )
            )

    def _make_ended(
        self, result: AttemptResult, answer: StoredAnswer | None = None
    ) -> AttemptEnded:
        return AttemptEnded(
            attempt=self.attempt,
            result=result,
            answer=answer,
            tokens=self.times.chunks,
            leaving=self.leaving,
            retry_after_s=self.retry_after_s,
        )

    async def _exchange(self, session: ClientSession) -> AttemptEnded:
        received_request = self.exchange.received_request
        async with session.request(
            received_request.request.method,
            f"http://{self.address}{received_request.target}",
            data=received_request.body,
            headers=self._request_headers(),
            allow_redirects=False,
            timeout=ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
            middlewares=(no_resend,),
        ) as response:
            self.leaving = LEAVING_HEADER in response.headers
            self._report_notice(response)
            if response.headers.get(NOT_STARTED_HEADER):
                return self._make_ended(AttemptResult.NOT_STARTED)
            echoed = response.headers.get(REQUEST_ID_HEADER)
            if echoed not in (None, self.exchange.request_id):
                self.mismatched = True
                return self._make_ended(AttemptResult.LOST)
            return await self._relay(response)

    def _request_headers(self) -> dict[str, str]:
        headers = {
            name: value
            for name, value in self.exchange.received_request.headers.items()
            if name.lower() not in _NOT_FORWARDED_HEADERS
        }
        headers[REQUEST_ID_HEADER] = self.exchange.request_id
        headers["X-Priority"] = str(self.classified.priority)
        if not self.classified.idempotent:
            headers["X-Run-Once"] = "1"
        return headers

    async def _relay(self, response: ClientResponse) -> AttemptEnded:
        if response.content_type == "text/event-stream":
            await self._relay_chunks(response, b"")
            if response.status < 400 and STREAM_END not in self.tail:
                raise _TruncatedAnswerError
        else:
            await self._relay_buffered(response)
        result = AttemptResult.COMPLETED
        if response.status >= 400:
            result = AttemptResult.SERVER_ERROR
        return self._make_ended(result, self._stored_answer(response))

    async def _relay_buffered(self, response: ClientResponse) -> None:
        body = bytearray()
        has_room = self._hold(self._declared_bytes(response))
        while chunk := await response.content.readany():
            self.times.record_chunk()
            body += chunk
            has_room = has_room and self._hold(len(body) - self.held_bytes)
            if len(body) > MAX_BUFFERED_BYTES or not has_room:
                whole = bytes(body)
                body.clear()
                self._release()
                await self._relay_chunks(response, whole)
                return
        self._store(bytes(body))
        # The exchange holds the answer until it was sent.
        self.held_bytes = 0
        self.deliver(AttemptFirstByte(self.attempt))
        outcome = "completed" if response.status < 400 else "failed"
        headers = self._answer_headers(response)
        self.exchange.send_complete(response.status, headers, bytes(body), outcome)

    async def _relay_chunks(self, response: ClientResponse, buffered: bytes) -> None:
        first = buffered or await response.content.readany()
        self.times.record_chunk()
        self.deliver(AttemptFirstByte(self.attempt))
        await self._begin_answer(response)
        await self._forward(first)
        while chunk := await response.content.readany():
            self.times.record_chunk()
            await self._forward(chunk)
        if response.content_type != "text/event-stream" or STREAM_END in self.tail:
            await self._end_answer()

    async def _forward(self, chunk: bytes) -> None:
        self._store(chunk)
        self.tail = (self.tail + chunk)[-2 * len(STREAM_END) - 8 :]
        if self.exchange.caller_gone:
            return
        try:
            await self.exchange.write(chunk)
        except ConnectionError:
            self.exchange.caller_gone = True

    async def _begin_answer(self, response: ClientResponse) -> None:
        try:
            await self.exchange.begin(response.status, self._answer_headers(response))
        except ConnectionError:
            self.exchange.caller_gone = True

    async def _end_answer(self) -> None:
        try:
            await self.exchange.end()
        except ConnectionError:
            self.exchange.caller_gone = True

    @property
    def _stores_answer(self) -> bool:
        return self.exchange.keeps_answer or not self.classified.idempotent

    def _declared_bytes(self, response: ClientResponse) -> int:
        """Return the declared length of an answer that may be buffered whole."""
        length = response.content_length or 0
        answers_head = self.exchange.received_request.request.method == "HEAD"
        return 0 if length > MAX_BUFFERED_BYTES or answers_head else length

    def _hold(self, count: int) -> bool:
        """Hold more bytes of the answer, and return whether there is room."""
        if count <= 0:
            return True
        has_room = self.exchange.hold(count)
        self.held_bytes += count if has_room else 0
        return has_room

    def _release(self) -> None:
        self.exchange.hold(-self.held_bytes)
        self.held_bytes = 0

    def _store(self, chunk: bytes) -> None:
        if not self._stores_answer or len(self.stored_body) > MAX_STORED_BYTES:
            return
        self.is_kept = self.is_kept and self._hold(len(chunk))
        if self.is_kept:
            self.stored_body += chunk
        else:
            self.stored_body.clear()

    def _stored_answer(self, response: ClientResponse) -> StoredAnswer | None:
        if not self._stores_answer:
            return None
        kind = response.headers.get("Content-Type", "application/octet-stream")
        body = bytes(self.stored_body)
        return StoredAnswer(response.status, kind, body, is_whole=self.is_kept)

    def _answer_headers(self, response: ClientResponse) -> dict[str, str]:
        return {
            name: value
            for name, value in response.headers.items()
            if name.lower() not in _HOP_BY_HOP_HEADERS
            and name not in _NOT_RETURNED_HEADERS
        }
