"""The caller's side of an attempt at a job: nobody waits on a connection."""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.http.intake import Intake

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.notice_job import AttachBody

__all__ = ["JobExchange"]


class JobExchange:
    """Stands in for a connection; the relay keeps the answer for the core.

    Attributes:
        intake: The job's request and body.
        gone: Always true: the exchange is dropped when the attempt has settled.
        keeps_answer: The whole answer is needed by the core.
    """

    keeps_answer: ClassVar[bool] = True

    def __init__(self, command: AttachBody) -> None:
        request = command.request
        headers = {"Content-Type": "application/json"}
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        self.intake = Intake(request, command.body, request.path, headers)
        self.gone = True

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.intake.request.request_id

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Take no notice."""

    async def write(self, data: bytes) -> None:
        """Take no notice."""

    async def end(self) -> None:
        """Take no notice."""

    def send_whole(
        self, status: int, headers: Mapping[str, str], body: bytes, outcome: str
    ) -> None:
        """Take no notice."""
