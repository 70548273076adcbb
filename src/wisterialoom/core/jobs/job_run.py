"""One attempt of this instance to run a job, from its lease to its end."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wisterialoom.core.jobs.job_record import job_key, JobRecord
from wisterialoom.core.notice_job import JobEnded, JobState
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
from wisterialoom.core.requests.request import Outcome

if TYPE_CHECKING:
    from wisterialoom.core.message import Command

__all__ = ["JobRun", "RunStage"]

RENEW_S = 20.0
"""Time between two renewals of the lease on a running job."""

RETRY_S = 1.0
"""Time between two tries of a write."""

MIN_ATTEMPTS = 10
"""Attempts that may have run, after which an idempotent job may end as unknown.

The job's maximum wait must also be over.
"""

MAX_BACKOFF_S = 60.0
"""Longest time between two attempts with an unknown outcome."""


class RunStage(enum.Enum):
    """Progress of an attempt.

    Attributes:
        ACQUIRING_LEASE: The lease is being written.
        WORKING: The request is running, and the lease is renewed.
        ENDING: The result is being written.
        OVER: Nothing is left to do.
    """

    ACQUIRING_LEASE = "taking"
    WORKING = "working"
    ENDING = "ending"
    OVER = "over"


@dataclass
class JobRun:
    """An attempt to run a job, with its writes to the job's object.

    Attributes:
        nonce: Identity of the attempt.
        record: The job as last read or written.
        version: Version of the object that contained `record`.
        ops: Source of operation ids.
        stage: Progress of the attempt.
        desired: The record to be written next; `None` if no write is due.
        writing: The record that the write in progress contains.
        op: Operation id of the call in progress; empty if there is none.
        due_at: Monotonic time of the next retry or renewal.
        resume_at: Monotonic time before which the job is not attempted again.
        lease_requested_at: Monotonic time at which the lease was requested.
    """

    nonce: str
    record: JobRecord
    version: int
    ops: OperationIds
    stage: RunStage = RunStage.ACQUIRING_LEASE
    desired: JobRecord | None = None
    writing: JobRecord | None = None
    op: str = ""
    due_at: float = 0.0
    resume_at: float = 0.0
    lease_requested_at: float = 0.0

    def acquire_lease(self, now: float, wall_time: float) -> list[Command]:
        """Acquire the lease by writing it to the object."""
        record = self.record
        self.lease_requested_at = now
        self.desired = replace(
            record,
            state=JobState.RUNNING,
            holder=self.nonce,
            attempts=record.attempts + 1,
            attempted_at=record.attempted_at or wall_time,
        )
        return self._write()

    def finish(self, now: float, event: JobEnded, wall_time: float) -> list[Command]:
        """Write how the attempt ended; retried until the object contains it."""
        self.stage = RunStage.ENDING
        self.desired = self._result(event, wall_time)
        backoff_s = event.retry_after_s
        if event.outcome is Outcome.UNKNOWN:
            backoff_s = min(MAX_BACKOFF_S, 2.0**self.record.attempts)
        self.resume_at = now + backoff_s
        if not self._may_overwrite(self.record):
            self._stop()
        return [] if self.op or self.desired is None else self._write()

    def end_without_run(self, wall_time: float) -> list[Command]:
        """End a job that must not run again, with an unknown outcome."""
        self.stage = RunStage.ENDING
        self.desired = self.record.end(JobState.UNKNOWN, None, wall_time)
        return self._write()

    def _result(self, event: JobEnded, wall_time: float) -> JobRecord:
        record = self.record
        match event.outcome:
            case Outcome.COMPLETED | Outcome.FAILED:
                return record.end(JobState.DONE, event.answer, wall_time)
            case Outcome.UNKNOWN if not record.idempotent or _attempts_exhausted(
                record, wall_time
            ):
                return record.end(JobState.UNKNOWN, None, wall_time)
            case Outcome.NOT_RUN:
                attempts = record.attempts - 1
                waiting = replace(record, attempts=attempts)
                if not attempts:
                    waiting = replace(waiting, attempted_at=0.0)
            case _:
                waiting = record
        return replace(waiting, state=JobState.WAITING, holder="")

    def handle(self, now: float, event: ObjectEvent) -> list[Command]:
        """Process the response to the call in progress."""
        self.op = ""
        match event:
            case ObjectWritten(version=version) if self.writing is not None:
                self._handle_written(now, self.writing, version)
            case ObjectRead(version=version, body=body):
                self._reconcile(now, version, body)
            case ObjectConflict():
                return self._read()
            case ObjectUnavailable(ambiguous=ambiguous):
                return self._handle_unavailable(now, ambiguous=ambiguous)
        if self.stage is RunStage.ENDING and self.desired is not None:
            return self._write()
        return []

    def _handle_written(self, now: float, record: JobRecord, version: int) -> None:
        self.record, self.version = record, version
        self.due_at = now + RENEW_S
        if self.stage is RunStage.ACQUIRING_LEASE:
            self.stage = RunStage.WORKING
            self.desired = None
        elif self.stage is RunStage.WORKING:
            self.desired = None
        elif record.holder != self.nonce:
            self.stage = RunStage.OVER
            self.desired = None
        # Otherwise the write was a renewal that began before the attempt ended, and
        # the result is still to be written.

    def _reconcile(self, now: float, version: int, body: bytes) -> None:
        """Continue from the state of the object after a write that failed."""
        if version == ABSENT:
            self._stop()
            return
        stored = JobRecord.decode(body)
        self.record, self.version = stored, version
        holds_lease = stored.holder == self.nonce
        match self.stage:
            case RunStage.ACQUIRING_LEASE if holds_lease:
                self._handle_written(now, stored, version)
            case RunStage.WORKING:
                self.desired = None
                self.due_at = now + RENEW_S
            case RunStage.ENDING if self._may_overwrite(stored):
                pass
            case _:
                self._stop()

    def _may_overwrite(self, stored: JobRecord) -> bool:
        """Return whether the end of this attempt may replace the stored record.

        The first result is kept, even if its attempt had lost the lease by then.
        """
        result = self.desired is not None and self.desired.ended
        return not stored.ended and (result or stored.holder == self.nonce)

    def _stop(self) -> None:
        self.stage = RunStage.OVER
        self.desired = None

    def _handle_unavailable(self, now: float, *, ambiguous: bool) -> list[Command]:
        if ambiguous:
            return self._read()
        self.due_at = now + RETRY_S
        if self.stage is RunStage.ACQUIRING_LEASE:
            self._stop()
        return []

    def tick(self, now: float) -> list[Command]:
        """Renew the lease or retry a write, if due."""
        if self.op or now < self.due_at:
            return []
        match self.stage:
            case RunStage.WORKING if self.record.holder == self.nonce:
                renewals = self.record.renewals + 1
                self.desired = replace(self.record, renewals=renewals)
                return self._write()
            case RunStage.ENDING:
                return self._read()
        return []

    def _write(self) -> list[Command]:
        assert self.desired is not None
        self.op = self.ops.next()
        self.writing = self.desired
        key = job_key(self.record.job_id)
        return [WriteObject(self.op, key, self.desired.encode(), self.version)]

    def _read(self) -> list[Command]:
        self.op = self.ops.next()
        return [ReadObject(self.op, job_key(self.record.job_id))]


def _attempts_exhausted(record: JobRecord, wall_time: float) -> bool:
    overdue = wall_time - record.accepted_at >= record.max_wait_s
    return overdue and record.attempts >= MIN_ATTEMPTS
