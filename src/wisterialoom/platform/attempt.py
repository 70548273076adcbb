"""One attempt to have a backend server answer a request."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import TraceConfig

from wisterialoom.bounded_read import read_bounded
from wisterialoom.core.serving.request_flow import AttemptResult, AttemptVerdict
from wisterialoom.no_resend import was_never_sent
from wisterialoom.platform.event_stream import EventTooLargeError
from wisterialoom.platform.headers import (
    answer_headers,
    HELP_FOR,
    HELP_ONCE,
    HELP_RESULT,
    HelpResult,
    NOT_RUN,
    read_notice,
    request_headers,
    SERVER_ID,
)
from wisterialoom.platform.server_call import call_server, server_url
from wisterialoom.retry_after import RETRY_AFTER

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import SimpleNamespace

    from aiohttp import (
        ClientResponse,
        ClientSession,
        TraceConnectionCreateEndParams,
        web,
    )

    from wisterialoom.core.serving.request_flow import RequestProfile, Send
    from wisterialoom.platform.exchange import Exchange
    from wisterialoom.platform.headers import ServerLoad, ServerNotice

__all__ = ["Attempt", "BufferedAnswer", "trace_connections"]

REFUSAL_READ_S = 0.1
"""Time for which the body of a refusal is read; two round trips between zones."""

MAX_REFUSAL_BYTES = 65_536
"""Size up to which the body of a refusal is read."""

EVENTS = "text/event-stream"

CODING = "Content-Encoding"

EVENT_TIMEOUTS = 2.5
"""Time without a whole event after which a stream has stalled, in read timeouts.

Bytes that complete no event begin the read timeout anew; a large event may take longer
than one.
"""

MAX_BUFFERED_BYTES = 1_000_000
"""Size in bytes up to which an answer is read completely before it is forwarded.

Larger answers are forwarded as they arrive, and so are others when memory is short.
"""


MAX_UNCOUNTED_BYTES = 16_384
"""Size up to which an incomplete event is not counted as memory."""


async def record_opened(
    _: ClientSession, context: SimpleNamespace, __: TraceConnectionCreateEndParams
) -> None:
    """Record on an attempt that a connection was established for it."""
    attempt = context.trace_request_ctx
    if isinstance(attempt, Attempt) and not attempt.step.via:
        attempt.connection_opened()


def trace_connections() -> TraceConfig:
    """Return the tracing that tells attempts of new connections."""
    config = TraceConfig()
    config.on_connection_create_end.append(record_opened)
    return config


@dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """A backend server's answer that was read completely."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Attempt:
    """Sends a request to one backend server once and forwards the answer.

    Attributes:
        exchange: The caller's request and the answer to it.
        profile: Decoded headers and deadlines of the request.
        step: Backend server and queue rank that the dispatcher selected.
        read_timeout_s: Time without received bytes after which the attempt ends, if
            another server can take the request.
        can_retry_elsewhere: Returns whether another server would accept the request
            now.
        record_response_head: Called with what the server says about itself once the
            head of the answer arrives.
        connection_opened: Called when a connection to the server was established.
        guarded: Whether the server gets the team's name instead of the key.
        output_begun: Called at the first whole event of a stream.
        answer: The complete answer, if it has not been forwarded yet.
        load: Load that the server reported; `None` if it did not.
        partial_bytes: Bytes of an incomplete event that are counted as memory.
        had_output: Whether the server has begun to answer: with a whole event, if the
            answer is a stream.
    """

    def __init__(
        self,
        exchange: Exchange,
        profile: RequestProfile,
        step: Send,
        read_timeout_s: float,
        can_retry_elsewhere: Callable[[], bool],
        record_response_head: Callable[[ServerNotice], None],
        connection_opened: Callable[[], None],
        output_begun: Callable[[], None],
        *,
        guarded: bool,
    ) -> None:
        self.exchange = exchange
        self.profile = profile
        self.step = step
        self.read_timeout_s = read_timeout_s
        self.can_retry_elsewhere = can_retry_elsewhere
        self.record_response_head = record_response_head
        self.connection_opened = connection_opened
        self.output_begun = output_begun
        self.guarded = guarded
        self.answer: BufferedAnswer | None = None
        self.load: ServerLoad | None = None
        self.had_output = False
        self.partial_bytes = 0

    async def run(self, session: ClientSession) -> AttemptResult:
        """Send the request, receive the answer and return how the attempt ended."""
        try:
            return await self._exchange(session)
        except (aiohttp.ClientError, EventTooLargeError, OSError) as error:
            if was_never_sent(error):
                # A connection to a helping instance says nothing about the server.
                verdict = (
                    AttemptVerdict.NO_HELP if self.step.via else AttemptVerdict.NOT_SENT
                )
                return self._result(verdict, repr(error))
            return self._result(AttemptVerdict.LOST, repr(error))
        except TimeoutError:
            return self._result(
                AttemptVerdict.TIMED_OUT, "no bytes within the read timeout"
            )

    def _result(self, verdict: AttemptVerdict, detail: str = "") -> AttemptResult:
        return AttemptResult(
            self.step.server_id, verdict, detail, had_output=self.had_output
        )

    async def _exchange(self, session: ClientSession) -> AttemptResult:
        exchange = self.exchange
        profile = self.profile
        headers = request_headers(
            exchange.request.headers,
            server_id=self.step.server_id,
            remaining_s=profile.caller_deadline - time.monotonic(),
            urgency=self.step.urgency if profile.model else None,
            last_event_id=exchange.event_splitter.last_id
            if exchange.head_sent
            else None,
            team=profile.team if self.guarded else None,
        )
        address = self.step.address
        if self.step.via:
            address = self.step.via
            headers.append((HELP_FOR, self.step.server_id))
            if not profile.route.idempotent:
                headers.append((HELP_ONCE, "1"))
        url = server_url(address, exchange.target)
        method = exchange.request.method
        request = call_server(
            session, method, url, exchange.body, headers, context=self
        )
        response = await self.wait_for_head(asyncio.ensure_future(request))
        try:
            return await self._receive(response)
        finally:
            self.exchange.hold(-self.partial_bytes)
            # Closes the connection unless the answer was read to its end.
            response.close()

    async def wait_for_head(
        self, pending: asyncio.Future[ClientResponse]
    ) -> ClientResponse:
        """Wait for the head of the answer.

        Args:
            pending: Call that returns the response.

        Raises:
            TimeoutError: No head came in time, and another server can take the
                request.
        """
        try:
            while True:
                done, _ = await asyncio.wait({pending}, timeout=self.read_timeout_s)
                if done:
                    return pending.result()
                if self.can_retry_elsewhere():
                    raise TimeoutError
        except BaseException:
            pending.cancel()
            pending.add_done_callback(_close_unused)
            raise

    async def _read(self, response: ClientResponse) -> bytes:
        """Return the next bytes of the answer, or no bytes at its end.

        The read timeout applies only while another server can take the request;
        otherwise this server's answer, however late, is the only possible one.

        Raises:
            TimeoutError: No bytes came in time, and another server can take the
                request.
        """
        while True:
            try:
                async with asyncio.timeout(self.read_timeout_s):
                    return await response.content.readany()
            except TimeoutError:
                if self.can_retry_elsewhere():
                    raise

    async def _receive(self, response: ClientResponse) -> AttemptResult:
        if self.step.via:
            refused = self._read_help_result(response)
            if refused is not None:
                return refused
        notice = read_notice(response.status, response.headers)
        self.load = notice.load
        if response.headers.get(SERVER_ID) in (None, self.step.server_id):
            self.record_response_head(notice)
        if response.headers.get(NOT_RUN) or response.status == 421:
            await _read_rest(response)
            return self._refused(response)
        if self.exchange.stream is not None and not _continues(
            response, self.exchange.stream
        ):
            await _read_rest(response)
            return self._result(
                AttemptVerdict.FAILED, f"{response.status}, no part of the stream"
            )
        if self.profile.route.stream and response.status == 200:
            return await self._receive_stream(response)
        return await self._receive_plain(response)

    def _read_help_result(self, response: ClientResponse) -> AttemptResult | None:
        """Return how the attempt ended if the helping instance has no answer."""
        match response.headers.get(HELP_RESULT, ""):
            case HelpResult.PASSED_ON.value:
                return None
            case HelpResult.NOT_SENT.value:
                return self._result(AttemptVerdict.NOT_SENT, "by a helping instance")
            case HelpResult.LOST.value:
                return self._result(AttemptVerdict.LOST, "by a helping instance")
        return self._result(AttemptVerdict.NO_HELP, str(response.status))

    def _refused(self, response: ClientResponse) -> AttemptResult:
        detail = str(response.status)
        if RETRY_AFTER in response.headers:
            detail += f", {RETRY_AFTER}: {response.headers[RETRY_AFTER][:40]}"
        if response.status != 421:
            load = self.load
            saturated = load is None or load.running + load.waiting >= load.slots
            return AttemptResult(
                self.step.server_id, AttemptVerdict.REFUSED_FULL, detail, saturated
            )
        if response.headers.get(SERVER_ID) not in (None, self.step.server_id):
            return self._result(AttemptVerdict.REFUSED_IDENTITY, detail)
        return self._result(AttemptVerdict.REFUSED_ABSENT, detail)

    async def _receive_plain(self, response: ClientResponse) -> AttemptResult:
        """Receive an answer that is no stream, and forward it only if it is large.

        If memory is short, some answers are held as a whole and the others forwarded as
        they arrive. If all were held in part, all servers would wait for callers.
        """
        body = bytearray()
        held = self._hold_whole(response)
        has_room = held is not None
        held = held or 0
        while data := await self._read(response):
            if self.had_output:
                await self.exchange.write(data)
                continue
            body += data
            if has_room and len(body) > held:
                has_room = self.exchange.hold(len(body) - held)
                held = len(body) if has_room else held
            if len(body) > MAX_BUFFERED_BYTES or not has_room:
                self.had_output = True
                # Only a stream goes on at another server.
                self.exchange.resumable = False
                whole = bytes(body)
                body.clear()
                self.exchange.hold(-held)
                await self._forward(response, whole)
        if self.had_output:
            await self.exchange.finish()
            return self._result(AttemptVerdict.ANSWERED, str(response.status))
        headers = answer_headers(response.headers)
        self.answer = BufferedAnswer(response.status, headers, bytes(body))
        if response.status >= 500:
            return self._result(AttemptVerdict.FAILED, str(response.status))
        return self._result(AttemptVerdict.ANSWERED, str(response.status))

    def _hold_whole(self, response: ClientResponse) -> int | None:
        """Hold the declared length of an answer; return `None` if there is no room."""
        length = response.content_length or 0
        if length > MAX_BUFFERED_BYTES or self.exchange.request.method == "HEAD":
            length = 0
        return length if self.exchange.hold(length) else None

    async def _receive_stream(self, response: ClientResponse) -> AttemptResult:
        """Receive a stream and forward its whole events as they arrive.

        Raises:
            TimeoutError: No bytes, or no whole event, came in time, and another server
                can take the request.
        """
        exchange = self.exchange
        event_splitter = exchange.event_splitter
        event_at = time.monotonic()
        while data := await self._read(response):
            complete = event_splitter.feed(data)
            self._hold_partial()
            if not complete:
                without_s = time.monotonic() - event_at
                stalled = without_s > EVENT_TIMEOUTS * self.read_timeout_s
                if stalled and self.can_retry_elsewhere():
                    raise TimeoutError
                continue
            event_at = time.monotonic()
            if not self.had_output:
                self.had_output = True
                self.output_begun()
            await self._forward(response, complete)
        if event_splitter.inside_event and _has_events(response):
            return self._result(AttemptVerdict.LOST, "stream ended inside an event")
        await self._forward(response, event_splitter.partial)
        event_splitter.drop_partial()
        await exchange.finish()
        return self._result(AttemptVerdict.ANSWERED, str(response.status))

    def _hold_partial(self) -> None:
        """Count the bytes of an event that is not complete yet.

        Raises:
            EventTooLargeError: There is no memory for more of it.
        """
        size = len(self.exchange.event_splitter.partial)
        more = (size if size > MAX_UNCOUNTED_BYTES else 0) - self.partial_bytes
        if not more:
            return
        if not self.exchange.hold(more) and more > 0:
            raise EventTooLargeError(f"no memory for an event of {size} bytes")
        self.partial_bytes += more

    async def _forward(self, response: ClientResponse, data: bytes) -> None:
        """Send the caller a part of the answer, and its head first if need be."""
        exchange = self.exchange
        if not exchange.head_sent:
            await exchange.begin(response.status, answer_headers(response.headers))
        if data:
            await exchange.write(data)


async def _read_rest(response: ClientResponse) -> None:
    """Read the rest of an answer whose head says all, so that its connection is kept.

    One that goes on is left unread.
    """
    with contextlib.suppress(aiohttp.ClientError, OSError):
        async with asyncio.timeout(REFUSAL_READ_S):
            await read_bounded(response, MAX_REFUSAL_BYTES)


def _continues(response: ClientResponse, stream: web.StreamResponse) -> bool:
    """Return whether an answer goes on with a stream whose head was sent."""
    return (
        response.status == stream.status
        and _has_events(response)
        and response.headers.get(CODING) == stream.headers.get(CODING)
    )


def _has_events(response: ClientResponse) -> bool:
    """Return whether an answer is a stream of events, also if it does not say so."""
    return response.headers.get("Content-Type", EVENTS).startswith(EVENTS)


def _close_unused(pending: asyncio.Future[ClientResponse]) -> None:
    """Close a response that arrived after its attempt was canceled; ignore errors."""
    if not pending.cancelled() and pending.exception() is None:
        pending.result().close()
