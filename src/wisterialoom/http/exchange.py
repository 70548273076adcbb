"""HTTP exchange with one caller: its request and the single answer to it."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from typing import ClassVar, TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.caller_memory import write_in_pieces, write_whole
from wisterialoom.http.error_answer import (
    error_event,
    error_response,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.caller_memory import CallerMemory
    from wisterialoom.core.memory_budget import HeldBytes
    from wisterialoom.core.notice_job import JobState
    from wisterialoom.core.requests.request import Refusal, StoredAnswer
    from wisterialoom.http.request_parser import ReceivedRequest

__all__ = ["JOB_PATH", "Exchange"]

JOB_PATH = "/v1/jobs/"
"""Prefix of the path of every job URL."""

JOB_RETRY_AFTER_S = 5
"""Interval at which callers should poll a job, in seconds."""


class Exchange:
    """Sends a caller exactly one answer, complete or recognizably truncated.

    Attributes:
        web_request: The caller's request.
        received_request: The request as read.
        memory: Holds the bytes of the request and its answer.
        held: Counts them.
        resources: What is released when the exchange is dropped.
        answer: Resolves to the response at the end of the answer.
        stream: Response of a streamed answer whose headers were sent; otherwise
            `None`.
        caller_gone: Whether the caller has disconnected.
        settled: Whether the core is done with the request.
        keeps_answer: Whether the core needs the complete answer.
    """

    keeps_answer: ClassVar[bool] = False

    def __init__(
        self,
        web_request: web.Request,
        received_request: ReceivedRequest,
        memory: CallerMemory,
        held: HeldBytes,
    ) -> None:
        self.web_request = web_request
        self.received_request = received_request
        self.memory = memory
        self.held = held
        self.resources = ExitStack()
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[web.StreamResponse] = loop.create_future()
        self.stream: web.StreamResponse | None = None
        self.caller_gone = False
        self.settled = False

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self.received_request.request.request_id

    @property
    def open(self) -> bool:
        """Whether the caller is connected and has no complete answer yet."""
        return not self.caller_gone and not self.answer.done()

    def hold(self, count: int) -> bool:
        """Hold bytes of the answer if there is room, and return whether so.

        Args:
            count: Number of bytes; negative to release some.
        """
        return self.memory.hold_answer(self.held, count)

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and headers of a streamed answer."""
        if not self.open:
            return
        self.stream = web.StreamResponse(status=status, headers=headers)
        self.stream.headers[REQUEST_ID_HEADER] = self.request_id
        await self.stream.prepare(self.web_request)

    async def write(self, data: bytes) -> None:
        """Send a chunk of a streamed answer; waits while the caller does not read.

        Raises:
            ConnectionError: If the caller has disconnected, or does not read while
                memory is short. The connection is closed then.
        """
        if not self.open or self.stream is None:
            return
        try:
            await write_in_pieces(
                self.web_request, self.stream, data, self.memory.write
            )
        except ConnectionError:
            if self.web_request.transport is not None:
                self.web_request.transport.abort()
            raise

    async def end(self) -> None:
        """End a streamed answer."""
        if self.open and self.stream is not None:
            await self.stream.write_eof()
            self.answer.set_result(self.stream)

    def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes, outcome: str
    ) -> None:
        """Send a complete answer at once."""
        if not self.open:
            return
        response = web.Response(status=status, headers=headers, body=body)
        response.headers[REQUEST_ID_HEADER] = self.request_id
        response.headers[OUTCOME_HEADER] = outcome
        self.answer.set_result(response)

    async def send(self, answer: web.StreamResponse) -> web.StreamResponse:
        """Send an answer that is complete, unless it is small enough to be returned."""
        return await write_whole(self.web_request, answer)

    def report_job(self, job_id: str, state: JobState, *, accepted: bool) -> None:
        """Answer with the URL and state of a job."""
        address = f"{JOB_PATH}{job_id}"
        headers = {"Content-Type": "application/json", "Location": address}
        headers["Retry-After"] = str(JOB_RETRY_AFTER_S)
        body = orjson.dumps({"id": job_id, "state": state.value, "address": address})
        self.send_complete(202 if accepted else 200, headers, body, state.value)

    def replay(self, answer: StoredAnswer) -> None:
        """Answer with the stored answer of an earlier request with the same key."""
        headers = {"Content-Type": answer.content_type, "X-Replayed": "1"}
        self.send_complete(answer.status, headers, answer.body, "completed")

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal, or truncate an answer that has begun."""
        if not self.open:
            return
        if self.stream is None:
            self.answer.set_result(error_response(refusal, self.request_id))
            return
        await self._truncate(self.stream, refusal)

    async def _truncate(self, stream: web.StreamResponse, refusal: Refusal) -> None:
        """Close the connection without the final chunk.

        The missing chunk shows the caller that the answer is truncated.
        """
        try:
            if stream.content_type == "text/event-stream":
                await stream.write(error_event(refusal))
        except ConnectionError:
            pass
        transport = self.web_request.transport
        if transport is not None:
            transport.close()
        if not self.answer.done():
            self.answer.set_result(stream)
