"""Responses to callers about their jobs: addresses, states and answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.message import Command, Event, Output
from wisterialoom.core.notice import ConfigChanged
from wisterialoom.core.notice_job import (
    JobAccepted,
    JobFound,
    JobNotFound,
    JobQueried,
    JobRefused,
    JobState,
    JobUnavailable,
)
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import (
    Outcome,
    Reason,
    Refusal,
    Refuse,
    ReplayAnswer,
    RequestSettled,
)

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Caller

__all__ = ["JobEndpoint", "JobPolled", "ReportJob"]


@dataclass(frozen=True, slots=True)
class JobPolled(Event):
    """A caller polls the address of a job.

    Attributes:
        request_id: Id of this poll.
        api_key_sha256: Hex digest of the caller's API key.
        job_id: Id of the job.
    """

    request_id: str
    api_key_sha256: str
    job_id: str


@dataclass(frozen=True, slots=True)
class ReportJob(Command):
    """Respond with a job's address and state.

    Attributes:
        request_id: Id of the request or poll.
        job_id: Id of the job.
        state: State of the job.
        accepted: Whether the job has just been accepted, so that the status is 202.
    """

    request_id: str
    job_id: str
    state: JobState
    accepted: bool = False


class JobEndpoint:
    """Turns the notices of the job manager into responses to callers.

    Attributes:
        callers: Callers by the digest of their API key.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        ConfigChanged,
        JobPolled,
        JobAccepted,
        JobRefused,
        JobFound,
        JobNotFound,
        JobUnavailable,
    )

    def __init__(self) -> None:
        self.callers: dict[str, Caller] = {}

    def handle(self, now: float, event: Event) -> list[Output]:
        """Process one event and return the resulting commands and notices.

        Args:
            now: Monotonic time in seconds; unused.
            event: The event.
        """
        match event:
            case ConfigChanged(document=document):
                self.callers = {x.api_key_sha256: x for x in document.callers}
                return []
            case JobPolled(request_id=request_id):
                caller = self.callers.get(event.api_key_sha256)
                if caller is None:
                    return [Refuse(request_id, refuse(Reason.NO_CALLER))]
                return [JobQueried(request_id, caller.name, event.job_id)]
            case JobAccepted(request_id=request_id, job_id=job_id):
                status = ReportJob(request_id, job_id, JobState.WAITING, accepted=True)
                return [status]
            case JobRefused():
                return self._handle_refused(event)
            case JobFound():
                return [self._handle_found(event)]
            case JobNotFound(request_id=request_id):
                return [Refuse(request_id, refuse(Reason.NO_JOB))]
            case JobUnavailable(request_id=request_id, retry_after_s=retry_after_s):
                refusal = refuse(Reason.JOB_UNAVAILABLE, retry_after_s=retry_after_s)
                return [Refuse(request_id, refusal)]
        return []

    def _handle_refused(self, event: JobRefused) -> list[Output]:
        outcome = Outcome.UNKNOWN if event.job_id else None
        refusal: Refusal = refuse(
            event.reason, retry_after_s=event.retry_after_s, outcome=outcome
        )
        settled = RequestSettled(event.request_id, refusal.outcome, event.reason)
        return [Refuse(event.request_id, refusal), settled]

    def _handle_found(self, event: JobFound) -> Command:
        match event.state:
            case JobState.DONE if event.answer is not None:
                return ReplayAnswer(event.request_id, event.answer)
            case JobState.UNKNOWN:
                return Refuse(event.request_id, refuse(Reason.KEY_UNKNOWN))
            case _:
                return ReportJob(event.request_id, event.job_id, event.state)
