"""Connections whose requests are counted as memory before they are parsed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TYPE_CHECKING

from aiohttp import web
from aiohttp.http import RawRequestMessage

from wisterialoom.caller_memory import CallerMemory
from wisterialoom.core.memory_budget import HeldBytes, parsed_bytes, SMALL_BYTES
from wisterialoom.request_framing import (
    PartKind,
    RequestFault,
    RequestFaultError,
    RequestFraming,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from aiohttp.streams import StreamReader

    from wisterialoom.request_framing import Part

__all__ = [
    "CallerLimits",
    "CountedConnection",
    "InputRefusal",
    "MAX_HEAD_BYTES",
    "encode_refusal",
]

MAX_HEAD_BYTES = 65_536
"""Largest head of a request, and largest trailers, unless a listener sets less."""

INCLUDED_BYTES = 6_144
"""Bytes of a connection that are not counted, as what is planned for it covers them."""

MAX_AHEAD_BYTES = 65_536
"""Bytes that a caller may send on a connection before its last request is answered."""

READ_AHEAD_BYTES = 16_384
"""Bytes of a body that are parsed ahead of their reader; parsing stops above twice."""

FREEING_CHECK_S = 0.005
"""Interval between checks whether what others held is free; some loop iterations."""

LINGER_S = 0.5
"""Time for which the rest of a refused request is read and dropped.

Closing the connection at once would reset it before the caller has read the answer.
"""

LINGER_BYTES = 262_144
"""Bytes of it after which the connection is closed all the same."""


class InputRefusal(Enum):
    """Why a request is refused before it is parsed."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    MEMORY = "memory"


PLAIN_ANSWERS = {
    InputRefusal.MALFORMED: "400 Bad Request",
    InputRefusal.HEAD_TOO_LARGE: "431 Request Header Fields Too Large",
    InputRefusal.MEMORY: "503 Service Unavailable",
}


def answer_plainly(refusal: InputRefusal) -> bytes:
    """Return an answer without a body that refuses a request, and closes."""
    return encode_refusal(PLAIN_ANSWERS[refusal], {}, b"")


def encode_refusal(status: str, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer after which the connection is closed.

    Args:
        status: Status code and reason phrase.
        headers: Headers other than `Content-Length` and `Connection`.
        body: The body.
    """
    fields = {**headers, "Content-Length": str(len(body)), "Connection": "close"}
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass
class CallerLimits:
    """What the callers of a listener may use.

    Attributes:
        memory: Counts what is held for them, with those of other listeners.
        max_connections: Number of connections that are open at the same time; `None`
            if it is not limited.
        get_timeouts: Returns the seconds within which a head must arrive, and after
            which an idle or stalled connection is closed; `None` if there are none.
        get_max_head_bytes: Returns the largest size of a head, and of trailers.
        answer_refused: Returns the answer to a request that is refused unparsed.
        closed: Connections that were closed, by reason.
    """

    memory: CallerMemory = field(default_factory=CallerMemory)
    max_connections: int | None = None
    get_timeouts: Callable[[], tuple[float, float]] | None = None
    get_max_head_bytes: Callable[[], int] = lambda: MAX_HEAD_BYTES
    answer_refused: Callable[[InputRefusal], bytes] = answer_plainly
    closed: Counter[str] = field(default_factory=Counter)


class CountedConnection(web.RequestHandler):
    """A connection that parses whole heads only, and while there is room for them.

    One request is parsed at a time, and nothing is read while bytes of the next one
    wait for its answer.

    Attributes:
        limits: Limits of the listener.
        framing: Bytes that have arrived, and where requests end in them.
        held: Counts what the connection holds.
        head_bytes: Size of the head of the last request.
        parsed_bytes: What its head and trailers count as; the HTTP library keeps them
            until the next request.
        is_pending: Whether a request was parsed and is not answered.
        is_refused: Whether the rest of what arrives is dropped.
        dropped_bytes: Bytes that were dropped.
        received_bytes: Number of bytes that have arrived.
        payload: Body of the last request.
        waiting: Head or trailers that are parsed once there is room.
    """

    def __init__(
        self, manager: web.Server, *, limits: CallerLimits, **options: Any
    ) -> None:
        options["lingering_time"] = LINGER_S
        options["read_bufsize"] = READ_AHEAD_BYTES
        super().__init__(manager, **options)
        self.limits = limits
        self.framing = RequestFraming(limits.get_max_head_bytes)
        self.held = HeldBytes(0.0)
        self.head_bytes = 0
        self.parsed_bytes = 0
        self.is_pending = False
        self.is_refused = False
        self.dropped_bytes = 0
        self.received_bytes = 0
        self.payload: StreamReader | None = None
        self.waiting: Part | None = None

    def data_received(self, data: bytes) -> None:
        """Count bytes of requests, and parse those for which there is room."""
        if self.is_refused:
            self._drop(len(data))
            return
        if self._close or self._force_close:
            return
        if not data:
            # The parser goes on with what it kept while its reader was behind.
            super().data_received(data)
        self.received_bytes += len(data)
        self.framing.feed(data)
        if self.recount():
            self._parse()

    def _parse(self) -> None:
        """Parse what has arrived of one request."""
        while not (self._reading_paused or self.awaits_answer):
            try:
                part = self.waiting or self.framing.take()
            except RequestFaultError as error:
                self._refuse_fault(error.fault)
                return
            if part is None:
                break
            if not self._admit(part):
                return
            self.waiting = None
            super().data_received(part.data)
            if part.kind is PartKind.HEAD and not self._begin_request():
                return
        if self.recount():
            self._hold_back()

    @property
    def awaits_answer(self) -> bool:
        """Whether a request has arrived completely and is not answered."""
        return self.is_pending and self.framing.is_between

    def _admit(self, part: Part) -> bool:
        """Return whether there is room now for what a part takes once it is parsed.

        The request is refused if there is none. It waits if there will be, once what
        others held is freed.
        """
        if part.kind is PartKind.BODY:
            return True
        if self.waiting is None:
            kept = parsed_bytes(part.data)
            if part.kind is PartKind.TRAILERS:
                kept += self.parsed_bytes
            else:
                self.head_bytes = len(part.data)
            if not self._has_room(kept):
                self._refuse(InputRefusal.MEMORY)
                return False
            self.parsed_bytes = kept
        if self.held.count > SMALL_BYTES and self.limits.memory.budget.is_freeing:
            self.waiting = part
            self._loop.call_later(FREEING_CHECK_S, self._continue)
            return False
        return True

    def _begin_request(self) -> bool:
        """Expect the body of a request; return whether its head could be parsed."""
        message, self.payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            # The library answers 400 and closes.
            self._drop_input()
            return False
        length = message.headers.get("Content-Length", "")
        self.framing.begin_body(
            int(length) if length.isdigit() else 0, chunked=message.chunked
        )
        self.is_pending = True
        return True

    def _hold_back(self) -> None:
        """Stop reading while bytes wait for an answer, and go on after it."""
        waiting = len(self.framing.buffer) if self.awaits_answer else 0
        if waiting > MAX_AHEAD_BYTES:
            self.end("pipelined")
        elif waiting and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif not waiting and self._buffer_paused:
            self._resume_reading_for_buffer()

    def _resume_reading_if_drained(self) -> None:
        """Leave it to `_hold_back` when reading goes on."""

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self.is_pending = False
            self._loop.call_soon(self._continue)

    def _continue(self) -> None:
        """Parse what has arrived while a request was being answered."""
        if self.transport is not None and not self.is_refused:
            self._parse()

    def recount(self) -> bool:
        """Count what is held now, and refuse the request if there is no room for it.

        Returns:
            Whether there is room.
        """
        has_room = self._has_room(self.parsed_bytes)
        if not has_room:
            self._refuse(InputRefusal.MEMORY)
        return has_room

    def _has_room(self, kept: int) -> bool:
        """Count what is held, with so many bytes for what is parsed."""
        count = len(self.framing.buffer) + kept
        if self.payload is not None:
            count += getattr(self.payload, "_size", 0)
        unread = self.transport.get_write_buffer_size() if self.transport else 0
        count += unread
        # A request that has arrived is not refused in favor of others, but its answer
        # is cut if the caller does not read it.
        self.held.complete = self.awaits_answer and not unread
        return self.limits.memory.resize(
            self.held, max(0, count - INCLUDED_BYTES), self._end_for_memory
        )

    def _end_for_memory(self) -> None:
        """Give up what is held in favor of others."""
        if self.framing.buffer or self.waiting is not None:
            self._refuse(InputRefusal.MEMORY)
        else:
            self.end("memory")

    def _refuse_fault(self, fault: RequestFault) -> None:
        if fault is RequestFault.HEAD_TOO_LARGE:
            self._refuse(InputRefusal.HEAD_TOO_LARGE)
        elif self.is_pending:
            self.end(fault.value)
        else:
            self._refuse(InputRefusal.MALFORMED)

    def _refuse(self, refusal: InputRefusal) -> None:
        """Refuse a request that was not parsed, and close the connection.

        It is closed without an answer if it still holds much of a request before, or
        if the body of the request is arriving.
        """
        keeps_much = self._request_count > 0 and self.parsed_bytes > INCLUDED_BYTES
        if self.is_pending or keeps_much or self.transport is None:
            self.end(refusal.value)
            return
        self.limits.closed[refusal.value] += 1
        self._drop_input()
        self.transport.write(self.limits.answer_refused(refusal))
        self._loop.call_later(LINGER_S, self._close_refused)

    def _drop(self, count: int) -> None:
        """Count bytes that are dropped, and close the connection if there are many."""
        self.dropped_bytes += count
        if self.dropped_bytes > LINGER_BYTES:
            self._close_refused()

    def _close_refused(self) -> None:
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.end("not_read")
        else:
            self.force_close()

    def _drop_input(self) -> None:
        """Drop what has arrived, and what still arrives."""
        self.is_refused = True
        self.framing.buffer = bytearray()
        self.waiting = None

    def end(self, reason: str) -> None:
        """Close the connection at once and count why."""
        raise NotImplementedError

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what is held, once the library has let go of it."""
        self._drop_input()
        self.payload = None
        super().connection_lost(exc)
        self._loop.call_soon(self.limits.memory.release, self.held)
