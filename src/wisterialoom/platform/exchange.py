"""A caller's request, and the one answer that it gets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.platform.event_stream import EventSplitter
from wisterialoom.platform.headers import ATTEMPT_ID, LAST_EVENT_ID

if TYPE_CHECKING:
    from wisterialoom.core.serving.request_flow import GiveUp, RequestProfile
    from wisterialoom.platform.attempt import BufferedAnswer

__all__ = ["Exchange"]

BAD_GATEWAY = 502
UNAVAILABLE = 503


class Exchange:
    """Gives a caller its answer, whole or visibly cut.

    Attributes:
        request: The caller's request.
        body: Its body.
        target: Path and query as they came.
        resumable: A broken stream may go on at another server.
        event_splitter: Finds the events of a stream.
        stream: The response once its head was sent.
        head_sent_at: Monotonic time at which the head was sent; 0 before.
        last_write_at: Monotonic time of the last piece of a stream; 0 before.
        max_gap_s: Longest pause between two pieces.
        response: The final response.
        closing: The caller's connection is closed after the answer.
    """

    def __init__(self, request: web.BaseRequest, body: bytes) -> None:
        self.request = request
        self.body = body
        self.target = request.raw_path
        self.resumable = False
        self.event_splitter = EventSplitter(request.headers.get(LAST_EVENT_ID))
        self.stream: web.StreamResponse | None = None
        self.head_sent_at = 0.0
        self.last_write_at = 0.0
        self.max_gap_s = 0.0
        self.response: web.StreamResponse | None = None
        self.closing = False

    @property
    def head_sent(self) -> bool:
        """The head of a streamed answer has been sent."""
        return self.stream is not None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of an answer that follows in pieces."""
        stream = web.StreamResponse(status=status)
        stream.headers.extend(headers)
        if self.closing:
            stream.force_close()
        self.head_sent_at = time.monotonic()
        await stream.prepare(self.request)
        self.stream = stream

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer; waits while the caller does not read."""
        assert self.stream is not None
        now = time.monotonic()
        if self.last_write_at:
            self.max_gap_s = max(self.max_gap_s, now - self.last_write_at)
        self.last_write_at = now
        await self.stream.write(data)

    async def finish(self) -> None:
        """End an answer that was sent in pieces."""
        assert self.stream is not None
        await self.stream.write_eof()
        self.response = self.stream

    def send_buffered(self, answer: BufferedAnswer) -> None:
        """Answer with a backend server's whole answer, unless one has begun."""
        if self.stream is not None:
            self.abort()
            return
        response = web.Response(status=answer.status, body=answer.body)
        response.headers.extend(answer.headers)
        if self.closing:
            response.force_close()
        self.response = response

    def refuse(self, profile: RequestProfile | None, end: GiveUp) -> None:
        """Answer without a backend server, or cut an answer that has begun."""
        if self.stream is not None:
            self.abort()
            return
        status = UNAVAILABLE if end.not_run else BAD_GATEWAY
        self.respond(status, end.reason.value, end.retry_after_s)

    def respond(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Answer with an error of this instance."""
        response = web.Response(
            status=status,
            body=orjson.dumps({"error": reason}),
            content_type="application/json",
        )
        request_id = self.request.headers.get(ATTEMPT_ID)
        if request_id is not None:
            response.headers[ATTEMPT_ID] = request_id
        if retry_after_s is not None:
            response.headers["Retry-After"] = f"{retry_after_s:.2f}"
        if self.closing:
            response.force_close()
        self.response = response

    def abort(self) -> None:
        """Close the connection without an end, so that the cut shows."""
        transport = self.request.transport
        if transport is not None:
            transport.close()
        self.response = self.stream
