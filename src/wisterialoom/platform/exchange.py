"""A caller's request and the single answer to it."""

from __future__ import annotations

import time
from contextlib import contextmanager, nullcontext
from typing import TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.caller_memory import write_in_pieces, write_whole
from wisterialoom.core.serving.request_flow import GiveUpReason
from wisterialoom.platform.event_stream import EventSplitter
from wisterialoom.platform.headers import ATTEMPT_ID, LAST_EVENT_ID

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from contextlib import AbstractContextManager

    from wisterialoom.core.serving.request_flow import GiveUp, RequestProfile
    from wisterialoom.core.teams.allowance import Charge
    from wisterialoom.platform.attempt import BufferedAnswer

__all__ = ["CallerGoneError", "Exchange"]

BAD_REQUEST = 400
UNAUTHORIZED = 401
BAD_GATEWAY = 502
UNAVAILABLE = 503

VERSION_REASONS = (GiveUpReason.VERSION_LEFT, GiveUpReason.VERSION_UNKNOWN)
"""Reasons for which a stream cannot go on, while a new one can begin."""

HELD_BACK_TEXT = (
    "held back, as servers crashed on requests like this one; "
    "change it before you send it again, or ask the operators"
)


class CallerGoneError(Exception):
    """A caller cannot be sent its answer, whatever the server does.

    It has closed its connection, or it does not read while memory is short.
    """


@contextmanager
def _sending() -> Iterator[None]:
    """Tell errors of a caller's connection from those of a server's."""
    try:
        yield
    except ConnectionError as error:
        raise CallerGoneError from error


class Exchange:
    """Sends a caller its answer.

    An answer that cannot be completed ends with a closed connection, so that the
    caller sees that it is incomplete.

    Attributes:
        request: The caller's request.
        body: The request's body.
        target: Path and query, unchanged.
        resumable: Whether another server may continue a broken stream.
        event_splitter: Splits a stream at event boundaries.
        stream: The streamed response; `None` until its head was sent.
        head_sent_at: Monotonic time at which sending the head began; 0 before.
        last_write_at: Monotonic time of the last write to a stream; 0 before.
        max_gap_s: Longest pause between two writes.
        response: The final response; `None` until it is known.
        charge: What the request was charged; `None` if its team has no quota.
        not_run: Whether the request was refused and certainly has not run.
        closing: Whether to close the caller's connection after the answer.
        hold: Returns whether the process may hold so many more bytes of the answer.
        hold_written: Holds a number of bytes that the caller has yet to take; its
            second argument ends the answer if memory is short.
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
        self.charge: Charge | None = None
        self.not_run = False
        self.closing = False
        self.hold: Callable[[int], bool] = lambda _: True
        self.hold_written: Callable[
            [int, Callable[[], None]], AbstractContextManager[None]
        ] = lambda *_: nullcontext()

    @property
    def head_sent(self) -> bool:
        """Whether sending the head of a streamed answer has begun."""
        return self.stream is not None

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of a streamed answer.

        Raises:
            CallerGoneError: The caller cannot be sent it.
        """
        stream = web.StreamResponse(status=status)
        stream.headers.extend(headers)
        if self.closing:
            stream.force_close()
        self.head_sent_at = time.monotonic()
        self.stream = stream
        with _sending():
            await stream.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Send a chunk of a streamed answer; waits while the caller does not read.

        Raises:
            CallerGoneError: The caller cannot be sent it.
        """
        assert self.stream is not None
        now = time.monotonic()
        if self.last_write_at:
            self.max_gap_s = max(self.max_gap_s, now - self.last_write_at)
        self.last_write_at = now
        with _sending():
            await write_in_pieces(self.request, self.stream, data, self.hold_written)

    async def finish(self) -> None:
        """End a streamed answer.

        Raises:
            CallerGoneError: The caller cannot be sent it.
        """
        assert self.stream is not None
        with _sending():
            await self.stream.write_eof()
        self.response = self.stream

    def send_buffered(self, answer: BufferedAnswer) -> None:
        """Answer with a server's complete answer, or abort a stream in progress."""
        if self.stream is not None:
            self.abort()
            return
        response = web.Response(status=answer.status, body=answer.body)
        response.headers.extend(answer.headers)
        if self.closing:
            response.force_close()
        self.response = response

    async def send_large(self) -> None:
        """Send an answer that is larger than the buffer of a connection."""
        assert self.response is not None
        self.response = await write_whole(self.request, self.response)

    def refuse(self, profile: RequestProfile | None, end: GiveUp) -> None:
        """Answer with an error, or abort a stream in progress.

        Args:
            profile: Decoded request.
            end: Why no backend server answers.
        """
        if self.stream is not None:
            self.abort()
            return
        self.not_run = end.not_run
        if end.reason is GiveUpReason.HELD_BACK:
            self.respond(BAD_REQUEST, HELD_BACK_TEXT, not_run=end.not_run)
            return
        if end.reason is GiveUpReason.KEY_REVOKED and end.not_run:
            self.respond(UNAUTHORIZED, end.reason.value)
            return
        status = UNAVAILABLE if end.not_run else BAD_GATEWAY
        details = {"start_again": True} if end.reason in VERSION_REASONS else {}
        self.respond(status, end.reason.value, end.retry_after_s, **details)

    def respond(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **details: bool,
    ) -> None:
        """Answer with an error of this instance.

        Args:
            status: HTTP status.
            reason: Value of `error` in the body.
            retry_after_s: Value of `Retry-After`; no such header if `None`.
            details: More fields of the body.
        """
        response = web.Response(
            status=status,
            body=orjson.dumps({"error": reason, **details}),
            content_type="application/json",
        )
        request_id = self.request.headers.get(ATTEMPT_ID)
        if request_id is not None:
            response.headers[ATTEMPT_ID] = request_id
        if retry_after_s is not None:
            response.headers["Retry-After"] = f"{retry_after_s:.2f}"
        if status == UNAUTHORIZED:
            response.headers["WWW-Authenticate"] = "Bearer"
        if self.closing:
            response.force_close()
        self.response = response

    def abort(self) -> None:
        """Close the connection before the end of the answer.

        The caller sees from this that the answer is incomplete.
        """
        transport = self.request.transport
        if transport is not None:
            transport.close()
        self.response = self.stream
