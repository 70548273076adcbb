"""Notices and commands between the job manager and the request path.

The request path sends `JobRequested` and gets `JobAccepted` or `JobRefused`. Later, at
any one instance, `JobDue` makes the request path serve the request as if it had just
arrived, with a claim under its idempotency key if it is not idempotent. The
request path reports the end of each such attempt by exactly one `JobEnded`. Exactly
one of `JobFound`, `JobNotFound` and `JobUnavailable` answers a `JobQueried`.
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
    "AttachBody",
    "JobAccepted",
    "JobDue",
    "JobEnded",
    "JobFound",
    "JobNotFound",
    "JobQueried",
    "JobRefused",
    "JobRequested",
    "JobState",
    "JobUnavailable",
]


class JobState(enum.Enum):
    """Progress of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class JobRequested(Notice):
    """A request is to be stored as a job: it may wait, and its caller prefers a job.

    Attributes:
        request: The request; its body has been read completely.
        caller: Name of the caller.
        traffic_class: Name of the traffic class.
        idempotent: Whether the request may safely run twice.
        max_wait_s: Time in seconds within which the request must be served.
        body: The request's body, passed on without interpretation.
    """

    request: Request
    caller: str
    traffic_class: str
    idempotent: bool
    max_wait_s: float
    body: bytes


@dataclass(frozen=True, slots=True)
class JobAccepted(Notice):
    """The job is stored in the object API: answer 202 with its address."""

    request_id: str
    job_id: str


@dataclass(frozen=True, slots=True)
class JobRefused(Notice):
    """The job was not accepted.

    Attributes:
        request_id: Id of the request.
        reason: Why the job was not accepted.
        retry_after_s: Retry hint in seconds; `None` if a retry cannot succeed.
        job_id: If not empty, the job may have been accepted after all, under this id:
            its outcome is unknown rather than "not run".
    """

    request_id: str
    reason: Reason
    retry_after_s: float | None
    job_id: str = ""


@dataclass(frozen=True, slots=True)
class JobDue(Notice):
    """Serve the request of a job now, at this instance.

    Attributes:
        job_id: Id of the job.
        request: The request, with a separate id for this attempt, and an idempotency
            key for the claim if it is not idempotent.
        caller: Name of the caller.
        traffic_class: Name of the traffic class.
        idempotent: Whether the request may safely run twice.
        age_s: Seconds since the job was accepted.
        max_wait_s: Seconds from acceptance within which the job must be served.
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
    """Attach a stored body to a request, as if the body had arrived with it.

    Attributes:
        request_id: Id of the request in `JobDue`.
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
        request_id: Id of the request in `JobDue`.
        outcome: How the attempt ended; after `NOT_RUN` the job waits again.
        answer: The complete answer, if the attempt completed or failed.
        retry_after_s: Seconds until the next attempt, after `NOT_RUN`.
    """

    request_id: str
    outcome: Outcome
    answer: StoredAnswer | None = None
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class JobQueried(Notice):
    """A caller queried a job by its address."""

    request_id: str
    caller: str
    job_id: str


@dataclass(frozen=True, slots=True)
class JobFound(Notice):
    """State of a job that belongs to the querying caller.

    Attributes:
        request_id: Id of the query in `JobQueried`.
        job_id: Id of the job.
        state: Progress of the job.
        answer: The complete answer if the job is done; `None` if it was too large.
    """

    request_id: str
    job_id: str
    state: JobState
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class JobNotFound(Notice):
    """The caller has no such job."""

    request_id: str


@dataclass(frozen=True, slots=True)
class JobUnavailable(Notice):
    """The object API did not answer in time; the caller should query again later."""

    request_id: str
    retry_after_s: float
