"""One job in the hands of this instance: taken up, kept, and ended."""

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
"""Time between two renewals of the lease on a job that is worked on."""

RETRY_S = 1.0
"""Time between two tries of a write."""

MIN_ATTEMPTS = 10
"""Attempts without a known end before an idempotent job may be given up."""

MAX_BACKOFF_S = 60.0
"""Longest time between two attempts without a known end."""


class RunStage(enum.Enum):
    """How far an attempt has come."""

    TAKING = "taking"
    WORKING = "working"
    ENDING = "ending"
    OVER = "over"


@dataclass
class JobRun:
    """An attempt at a job, and its writes to the job's object.

    Attributes:
        nonce: Identity of the attempt.
        record: The object as it was last known.
        version: Its version.
        ops: Source of operation ids.
        stage: How far it has come.
        wanted: What the object should hold next; `None` if nothing is due.
        writing: What the write in progress holds.
        op: Call in progress; empty if there is none.
        due_at: Monotonic time of the next try or renewal.
        resume_at: Monotonic time before which the job is not taken up again.
        taken_at: Monotonic time at which the lease was asked for.
    """

    nonce: str
    record: JobRecord
    version: int
    ops: OperationIds
    stage: RunStage = RunStage.TAKING
    wanted: JobRecord | None = None
    writing: JobRecord | None = None
    op: str = ""
    due_at: float = 0.0
    resume_at: float = 0.0
    taken_at: float = 0.0

    def take(self, now: float, wall: float) -> list[Command]:
        """Write the lease."""
        record = self.record
        self.taken_at = now
        self.wanted = replace(
            record,
            state=JobState.RUNNING,
            holder=self.nonce,
            attempts=record.attempts + 1,
            attempted_at=record.attempted_at or wall,
        )
        return self._write()

    def finish(self, now: float, event: JobEnded, wall: float) -> list[Command]:
        """Write how the attempt ended; repeated until it is in the object."""
        self.stage = RunStage.ENDING
        self.wanted = self._result(event, wall)
        pause = event.retry_after_s
        if event.outcome is Outcome.UNKNOWN:
            pause = min(MAX_BACKOFF_S, 2.0**self.record.attempts)
        self.resume_at = now + pause
        if not self._may_write(self.record):
            self._stop()
        return [] if self.op or self.wanted is None else self._write()

    def expire(self, wall: float) -> list[Command]:
        """End a job that must not be run again, with an unknown outcome."""
        self.stage = RunStage.ENDING
        self.wanted = self.record.end(JobState.UNKNOWN, None, wall)
        return self._write()

    def _result(self, event: JobEnded, wall: float) -> JobRecord:
        record = self.record
        match event.outcome:
            case Outcome.COMPLETED | Outcome.FAILED:
                return record.end(JobState.DONE, event.answer, wall)
            case Outcome.UNKNOWN if not record.idempotent or _hopeless(record, wall):
                return record.end(JobState.UNKNOWN, None, wall)
            case Outcome.NOT_RUN:
                attempts = record.attempts - 1
                waiting = replace(record, attempts=attempts)
                if not attempts:
                    waiting = replace(waiting, attempted_at=0.0)
            case _:
                waiting = record
        return replace(waiting, state=JobState.WAITING, holder="")

    def handle(self, now: float, event: ObjectEvent) -> list[Command]:
        """Take the answer to the call in progress."""
        self.op = ""
        match event:
            case ObjectWritten(version=version) if self.writing is not None:
                self._wrote(now, self.writing, version)
            case ObjectRead(version=version, body=body):
                self._compare(now, version, body)
            case ObjectConflict():
                return self._read()
            case ObjectUnavailable(ambiguous=ambiguous):
                return self._fail(now, ambiguous=ambiguous)
        if self.stage is RunStage.ENDING and self.wanted is not None:
            return self._write()
        return []

    def _wrote(self, now: float, record: JobRecord, version: int) -> None:
        self.record, self.version = record, version
        self.due_at = now + RENEW_S
        if self.stage is RunStage.TAKING:
            self.stage = RunStage.WORKING
            self.wanted = None
        elif self.stage is RunStage.WORKING:
            self.wanted = None
        elif record.holder != self.nonce:
            self.stage = RunStage.OVER
            self.wanted = None
        # Otherwise a renewal came in between, and the result is still due.

    def _compare(self, now: float, version: int, body: bytes) -> None:
        """Act upon the object as it is after a write that failed."""
        if version == ABSENT:
            self._stop()
            return
        stored = JobRecord.decode(body)
        self.record, self.version = stored, version
        ours = stored.holder == self.nonce
        match self.stage:
            case RunStage.TAKING if ours:
                self._wrote(now, stored, version)
            case RunStage.WORKING:
                self.wanted = None
                self.due_at = now + RENEW_S
            case RunStage.ENDING if self._may_write(stored):
                pass
            case _:
                self._stop()

    def _may_write(self, stored: JobRecord) -> bool:
        """Tell whether the attempt's end may replace what is stored.

        The first result stands, also if the lease was lost before it came.
        """
        result = self.wanted is not None and self.wanted.ended
        return not stored.ended and (result or stored.holder == self.nonce)

    def _stop(self) -> None:
        self.stage = RunStage.OVER
        self.wanted = None

    def _fail(self, now: float, *, ambiguous: bool) -> list[Command]:
        if ambiguous:
            return self._read()
        self.due_at = now + RETRY_S
        if self.stage is RunStage.TAKING:
            self._stop()
        return []

    def tick(self, now: float) -> list[Command]:
        """Renew the lease or try a write again, if that is due."""
        if self.op or now < self.due_at:
            return []
        match self.stage:
            case RunStage.WORKING if self.record.holder == self.nonce:
                renewals = self.record.renewals + 1
                self.wanted = replace(self.record, renewals=renewals)
                return self._write()
            case RunStage.ENDING:
                return self._read()
        return []

    def _write(self) -> list[Command]:
        assert self.wanted is not None
        self.op = self.ops.next()
        self.writing = self.wanted
        key = job_key(self.record.job_id)
        return [WriteObject(self.op, key, self.wanted.encode(), self.version)]

    def _read(self) -> list[Command]:
        self.op = self.ops.next()
        return [ReadObject(self.op, job_key(self.record.job_id))]


def _hopeless(record: JobRecord, wall: float) -> bool:
    late = wall - record.accepted_at >= record.max_wait_s
    return late and record.attempts >= MIN_ATTEMPTS
