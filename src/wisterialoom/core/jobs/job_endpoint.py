"""Between callers and the job keeper: job addresses, states and answers."""

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
    """A caller asks for a job by its address.

    Attributes:
        request_id: Of this question.
        api_key_sha256: Hex digest of the caller's API key.
        job_id: The job.
    """

    request_id: str
    api_key_sha256: str
    job_id: str


@dataclass(frozen=True, slots=True)
class ReportJob(Command):
    """Answer with a job's address and state.

    Attributes:
        request_id: The request or question.
        job_id: The job.
        state: How far it has come.
        accepted: It was accepted right now: answer 202.
    """

    request_id: str
    job_id: str
    state: JobState
    accepted: bool = False


class JobEndpoint:
    """Turns what the job keeper says into answers to callers.

    Attributes:
        callers: Callers by the digest of their API key.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
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
        """Take one event and return what follows from it.

        Args:
            now: Monotonic time in seconds; plays no role.
            event: What happened.
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
                told = ReportJob(request_id, job_id, JobState.WAITING, accepted=True)
                return [told]
            case JobRefused():
                return self._refused(event)
            case JobFound():
                return [self._found(event)]
            case JobNotFound(request_id=request_id):
                return [Refuse(request_id, refuse(Reason.NO_JOB))]
            case JobUnavailable(request_id=request_id, retry_after_s=after):
                refusal = refuse(Reason.JOB_UNAVAILABLE, retry_after_s=after)
                return [Refuse(request_id, refusal)]
        return []

    def _refused(self, event: JobRefused) -> list[Output]:
        outcome = Outcome.UNKNOWN if event.job_id else None
        refusal: Refusal = refuse(
            event.reason, retry_after_s=event.retry_after_s, outcome=outcome
        )
        settled = RequestSettled(event.request_id, refusal.outcome, event.reason)
        return [Refuse(event.request_id, refusal), settled]

    def _found(self, event: JobFound) -> Command:
        match event.state:
            case JobState.DONE if event.answer is not None:
                return ReplayAnswer(event.request_id, event.answer)
            case JobState.UNKNOWN:
                return Refuse(event.request_id, refuse(Reason.KEY_UNKNOWN))
            case _:
                return ReportJob(event.request_id, event.job_id, event.state)
