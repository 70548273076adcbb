"""Submission of jobs, and lookups of jobs by their callers."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wisterialoom.core.claims.claim_entry import short_hash
from wisterialoom.core.jobs.job_record import job_key, JobRecord
from wisterialoom.core.notice_job import (
    JobAccepted,
    JobFound,
    JobNotFound,
    JobQueried,
    JobRefused,
    JobRequested,
    JobUnavailable,
)
from wisterialoom.core.object_store import (
    ABSENT,
    ObjectConflict,
    ObjectEvent,
    ObjectRead,
    ObjectUnavailable,
    ObjectWritten,
    OperationIds,
    ReadObject,
    WriteObject,
)
from wisterialoom.core.requests.request import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.message import Output

__all__ = ["JobAccepter"]

RESPONSE_LIMIT_S = 2.0
"""Time within which each submission or lookup is answered."""

RETRY_AFTER_S = 1.0
"""Retry hint after a failure of the object API."""


@dataclass
class Submission:
    """A job that is being written to the object API.

    Attributes:
        request_id: Id of the request.
        record: The job.
        deadline: Monotonic time by which the caller must be answered.
        in_doubt: Whether a write got no response and may have taken effect.
    """

    request_id: str
    record: JobRecord
    deadline: float
    in_doubt: bool = False


class JobAccepter:
    """Creates jobs, and looks them up for their callers.

    Attributes:
        boot_id: Unique identity of this process.
        wall_clock: Returns the wall-clock time in seconds.
        serial: Number of submissions so far.
        submissions: Submissions by operation id of the call in progress.
        lookups: Lookups and their deadlines, by operation id of the read.
    """

    def __init__(
        self, boot_id: str, ops: OperationIds, wall_clock: Callable[[], float]
    ) -> None:
        self.boot_id = boot_id
        self.ops = ops
        self.wall_clock = wall_clock
        self.serial = 0
        self.submissions: dict[str, Submission] = {}
        self.lookups: dict[str, tuple[JobQueried, float]] = {}

    def submit(self, now: float, event: JobRequested) -> list[Output]:
        """Create a job; submissions of one caller with the same key share one job."""
        request_id = event.request.request_id
        record = self._make_record(event)
        if not record.fits:
            return [JobRefused(request_id, Reason.JOB_TOO_LARGE, None)]
        return self._write(Submission(request_id, record, now + RESPONSE_LIMIT_S))

    def _make_record(self, event: JobRequested) -> JobRecord:
        self.serial += 1
        key = event.request.idempotency_key
        name = f"{self.boot_id}.{self.serial}"
        if key:
            name = f"{len(event.caller)}:{event.caller}:{key}"
        job_id = short_hash(f"job {bool(key)} {name}")
        # If the caller sent no idempotency key, the job's id is used for the claim
        # that prevents a second run.
        request = replace(event.request, idempotency_key=key or job_id)
        return JobRecord(
            job_id,
            event.caller,
            request,
            event.traffic_class,
            event.idempotent,
            event.max_wait_s,
            self.wall_clock(),
            body=event.body,
        )

    def look_up(self, now: float, event: JobQueried) -> list[Output]:
        """Look up a job for a caller."""
        op = self.ops.next()
        self.lookups[op] = (event, now + RESPONSE_LIMIT_S)
        return [ReadObject(op, job_key(event.job_id))]

    def handle(self, event: ObjectEvent) -> list[Output]:
        """Process a response of the object API."""
        submission = self.submissions.pop(event.op, None)
        if submission is not None:
            return self._advance(submission, event)
        lookup = self.lookups.pop(event.op, None)
        return [_lookup_result(lookup[0], event)] if lookup else []

    def _advance(self, submission: Submission, event: ObjectEvent) -> list[Output]:
        match event:
            case ObjectWritten():
                job_id = submission.record.job_id
                return [JobAccepted(submission.request_id, job_id)]
            case ObjectRead(version=version, body=body) if version != ABSENT:
                return [_check_content(submission, JobRecord.decode(body))]
            case ObjectRead():
                return self._write(submission)
            case ObjectConflict():
                return self._read(submission)
            case ObjectUnavailable(ambiguous=True):
                submission.in_doubt = True
                return self._read(submission)
        return [_refuse(submission)]

    def _write(self, submission: Submission) -> list[Output]:
        op = self.ops.next()
        self.submissions[op] = submission
        record = submission.record
        return [WriteObject(op, job_key(record.job_id), record.encode(), ABSENT)]

    def _read(self, submission: Submission) -> list[Output]:
        op = self.ops.next()
        self.submissions[op] = submission
        return [ReadObject(op, job_key(submission.record.job_id))]

    def tick(self, now: float) -> list[Output]:
        """Answer the submissions and lookups past their deadline."""
        outputs: list[Output] = []
        for op, submission in list(self.submissions.items()):
            if now >= submission.deadline:
                del self.submissions[op]
                submission.in_doubt = True
                outputs.append(_refuse(submission))
        for op, (lookup, deadline) in list(self.lookups.items()):
            if now >= deadline:
                del self.lookups[op]
                outputs.append(JobUnavailable(lookup.request_id, RETRY_AFTER_S))
        return outputs


def _refuse(submission: Submission) -> JobRefused:
    job_id = submission.record.job_id if submission.in_doubt else ""
    return JobRefused(
        submission.request_id, Reason.JOB_UNAVAILABLE, RETRY_AFTER_S, job_id
    )


def _check_content(submission: Submission, stored: JobRecord) -> Output:
    submitted_hash = submission.record.request.body_sha256
    if stored.request.body_sha256 != submitted_hash:
        return JobRefused(submission.request_id, Reason.KEY_REUSED, None)
    return JobAccepted(submission.request_id, stored.job_id)


def _lookup_result(lookup: JobQueried, event: ObjectEvent) -> Output:
    match event:
        case ObjectRead(version=version, body=body):
            record = JobRecord.decode(body) if version != ABSENT else None
            if record is None or record.caller != lookup.caller:
                return JobNotFound(lookup.request_id)
            return JobFound(
                lookup.request_id, record.job_id, record.state, record.answer
            )
    return JobUnavailable(lookup.request_id, RETRY_AFTER_S)
