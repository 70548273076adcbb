"""Exchange of an attempt at a job, for which no caller waits on a connection."""

from __future__ import annotations

from contextlib import ExitStack
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.http.request_parser import ReceivedRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.notice_job import AttachBody

__all__ = ["JobExchange"]


class JobExchange:
    """Discards output in place of a caller; the relay keeps the answer for the core.

    Attributes:
        received_request: The job's request and body.
        caller_gone: Always true, so that the exchange is dropped once the attempt
            has been settled.
        settled: Whether the core is done with the attempt.
        resources: What is released when the exchange is dropped.
        keeps_answer: Whether the core needs the complete answer.
    """

    keeps_answer: ClassVar[bool] = True

    def __init__(self, command: AttachBody) -> None:
        request = command.request
        headers = {"Content-Type": "application/json"}
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        self.received_request = ReceivedRequest(
            request, command.body, request.path, headers
        )
        self.caller_gone = True
        self.settled = False
        self.resources = ExitStack()

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self.received_request.request.request_id

    def hold(self, _: int) -> bool:
        """Return that there is room: few jobs run at the same time."""
        return True

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Discard the status and headers of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Discard a chunk of a streamed answer."""

    async def end(self) -> None:
        """Discard the end of a streamed answer."""

    def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes, outcome: str
    ) -> None:
        """Discard a complete answer."""
