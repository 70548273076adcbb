"""Notices and commands between the job keeper and the request path.

The request path sends `JobRequested` and gets `JobAccepted` or `JobRefused`. Later
`JobDue` asks it, at whichever instance, to serve the request as if it had just
arrived: with a claim under the request's idempotency key if it is not
idempotent. It reports the end of each by exactly one `JobEnded`. `JobQueried` is
answered by exactly one of `JobFound`, `JobNotFound` and `JobUnavailable`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.message import Command, Notice

if TYPE_CHECKING:
    from wisterialoom.core.requests.request import (
        Outcome,
        Reason,
        Request,
        StoredAnswer,
    )

__all__ = [
    "JobAccepted",
    "JobQueried",
    "JobDue",
    "JobEnded",
    "JobFound",
    "JobNotFound",
    "JobRefused",
    "JobState",
    "JobUnavailable",
    "JobRequested",
    "AttachBody",
]


class JobState(enum.Enum):
    """How far a job has come."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class JobRequested(Notice):
    """A request may wait, and its caller prefers a job address.

    Attributes:
        request: The request; its body has been read whole.
        caller: Name of the caller.
        traffic_class: Name of the traffic class.
        idempotent: A second run would do no harm.
        max_wait_s: Time within which it has to be served.
        body: The request's body, passed on unread.
    """

    request: Request
    caller: str
    traffic_class: str
    idempotent: bool
    max_wait_s: float
    body: bytes


@dataclass(frozen=True, slots=True)
class JobAccepted(Notice):
    """The job is in the object API: answer 202 with its address."""

    request_id: str
    job_id: str


@dataclass(frozen=True, slots=True)
class JobRefused(Notice):
    """The job was not accepted.

    Attributes:
        request_id: The request.
        reason: Why.
        retry_after_s: When to come back; `None` if never.
        job_id: If not empty, the job may have been accepted all the same, and
            this id tells: the outcome is unknown, not "not run".
    """

    request_id: str
    reason: Reason
    retry_after_s: float | None
    job_id: str = ""


@dataclass(frozen=True, slots=True)
class JobDue(Notice):
    """Serve the request of a job now, at this instance.

    Attributes:
        job_id: The job.
        request: The request, with an id of its own for this attempt, and an
            idempotency key for the claim if it is not idempotent.
        caller: Name of the caller.
        traffic_class: Name of the traffic class.
        idempotent: A second run would do no harm.
        age_s: Time since it was accepted.
        max_wait_s: Time since then within which it has to be served.
    """

    job_id: str
    request: Request
    caller: str
    traffic_class: str
    idempotent: bool
    age_s: float
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class AttachBody(Command):
    """Hold a body for a request, as if it had arrived with it.

    Attributes:
        request_id: As in `JobDue`.
        body: The body.
        request: The request that the body belongs to.
    """

    request_id: str
    body: bytes
    request: Request


@dataclass(frozen=True, slots=True)
class JobEnded(Notice):
    """An attempt at a job ended.

    Attributes:
        request_id: As in `JobDue`.
        outcome: How it ended; after `NOT_RUN` the job waits again.
        answer: The whole answer, if it was completed or failed.
        retry_after_s: After `NOT_RUN`: time until the next attempt.
    """

    request_id: str
    outcome: Outcome
    answer: StoredAnswer | None = None
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class JobQueried(Notice):
    """A caller asks for a job by its address."""

    request_id: str
    caller: str
    job_id: str


@dataclass(frozen=True, slots=True)
class JobFound(Notice):
    """State of the caller's own job.

    Attributes:
        request_id: As in `JobQueried`.
        job_id: The job.
        state: How far it has come.
        answer: The whole answer if it is done; `None` if it was too large.
    """

    request_id: str
    job_id: str
    state: JobState
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class JobNotFound(Notice):
    """No such job of this caller."""

    request_id: str


@dataclass(frozen=True, slots=True)
class JobUnavailable(Notice):
    """The object API did not answer in time: ask again later."""

    request_id: str
    retry_after_s: float
