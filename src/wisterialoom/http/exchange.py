"""One caller's exchange: its request, and the one answer that it gets."""

from __future__ import annotations

import asyncio
from typing import ClassVar, TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.http.error_answer import (
    error_event,
    error_response,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.notice_job import JobState
    from wisterialoom.core.requests.request import Refusal, StoredAnswer
    from wisterialoom.http.intake import Intake

__all__ = ["JOB_PATH", "Exchange"]

JOB_PATH = "/v1/jobs/"
"""Job addresses begin with this."""

JOB_RETRY_AFTER_S = 5
"""When to ask for a job again, in seconds."""


class Exchange:
    """Gives a caller its answer, whole or visibly cut, and no more than one.

    Attributes:
        web_request: The caller's request.
        intake: The request as read.
        answer: Resolves to the response when the answer has ended.
        stream: The response once its headers were sent piece by piece.
        gone: The caller has left.
        keeps_answer: The whole answer is needed by the core.
    """

    keeps_answer: ClassVar[bool] = False

    def __init__(self, web_request: web.Request, intake: Intake) -> None:
        self.web_request = web_request
        self.intake = intake
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[web.StreamResponse] = loop.create_future()
        self.stream: web.StreamResponse | None = None
        self.gone = False

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.intake.request.request_id

    @property
    def open(self) -> bool:
        """The caller is there and has no final answer yet."""
        return not self.gone and not self.answer.done()

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and headers of an answer that follows in pieces."""
        if not self.open:
            return
        self.stream = web.StreamResponse(status=status, headers=headers)
        self.stream.headers[REQUEST_ID_HEADER] = self.request_id
        await self.stream.prepare(self.web_request)

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer.

        Raises:
            ConnectionError: The caller has left.
        """
        if self.open and self.stream is not None:
            await self.stream.write(data)

    async def end(self) -> None:
        """End an answer that was sent in pieces."""
        if self.open and self.stream is not None:
            await self.stream.write_eof()
            self.answer.set_result(self.stream)

    def send_whole(
        self, status: int, headers: Mapping[str, str], body: bytes, outcome: str
    ) -> None:
        """Answer with a whole body at once."""
        if not self.open:
            return
        response = web.Response(status=status, headers=headers, body=body)
        response.headers[REQUEST_ID_HEADER] = self.request_id
        response.headers[OUTCOME_HEADER] = outcome
        self.answer.set_result(response)

    def tell_job(self, job_id: str, state: JobState, *, accepted: bool) -> None:
        """Answer with a job's address and state."""
        address = f"{JOB_PATH}{job_id}"
        headers = {"Content-Type": "application/json", "Location": address}
        headers["Retry-After"] = str(JOB_RETRY_AFTER_S)
        body = orjson.dumps({"id": job_id, "state": state.value, "address": address})
        self.send_whole(202 if accepted else 200, headers, body, state.value)

    def replay(self, answer: StoredAnswer) -> None:
        """Answer with what an earlier request of the same key got."""
        headers = {"Content-Type": answer.content_type, "X-Replayed": "1"}
        self.send_whole(answer.status, headers, answer.body, "completed")

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal, or cut an answer that has begun."""
        if not self.open:
            return
        if self.stream is None:
            self.answer.set_result(error_response(refusal, self.request_id))
            return
        await self._cut(self.stream, refusal)

    async def _cut(self, stream: web.StreamResponse, refusal: Refusal) -> None:
        """Close the connection without the final chunk, so that the cut shows."""
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
