"""Deferred requests, called jobs.

Jobs are stored in the object API, so that each accepted job ends even if instances
start, fail or shut down in the meantime.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.jobs.job_accept import JobAccepter
from wisterialoom.core.jobs.job_record import job_key, JobRecord
from wisterialoom.core.jobs.job_run import JobRun, RunStage
from wisterialoom.core.jobs.job_shard import JobShards, LEASE_S
from wisterialoom.core.message import Event, Output, Tick
from wisterialoom.core.notice import (
    ConfigChanged,
    DrainRequested,
    MembersChanged,
    PartDrained,
)
from wisterialoom.core.notice_job import (
    AttachBody,
    JobDue,
    JobEnded,
    JobQueried,
    JobRequested,
)
from wisterialoom.core.object_store import (
    ABSENT,
    ObjectEvent,
    ObjectRead,
    OperationIds,
    ReadObject,
)
from wisterialoom.core.requests.request import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["JobManager"]

MAX_RUNS = 8
"""Number of jobs that one instance runs at the same time."""

DRAIN_LIMIT_S = 30.0
"""Longest time that a shutdown waits for attempts to end."""


@dataclass(frozen=True, slots=True)
class LeaseCandidate:
    """A job that is read again before its lease is acquired.

    Attributes:
        key: Key of the job's object.
        version: Version of the object for which the lease may be acquired.
    """

    key: str
    version: int


class JobManager:
    """Accepts jobs, acquires leases on them, and stores their answers.

    Attributes:
        name: Name of this instance.
        boot_id: Unique identity of this process.
        wall_clock: Returns the wall-clock time in seconds.
        accepter: Creates jobs, and looks them up for callers.
        shards: Caches the jobs of the shards assigned to this instance.
        claim_retention_s: Time for which a claim prevents a second run of a job.
        serial: Number of attempts so far.
        runs: Attempts of this instance by nonce.
        lease_candidates: Jobs whose lease is about to be acquired, by operation id
            of the read.
        drain_until: Monotonic time at which a shutdown stops waiting.
        drained: Whether the end of draining has been announced.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        JobRequested,
        JobQueried,
        JobEnded,
        ConfigChanged,
        MembersChanged,
        ObjectEvent,
        Tick,
        DrainRequested,
    )

    def __init__(
        self, name: str, boot_id: str, wall_clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.boot_id = boot_id
        self.wall_clock = wall_clock
        self.ops = OperationIds("jobs")
        self.accepter = JobAccepter(boot_id, self.ops, wall_clock)
        self.shards = JobShards(name, self.ops, wall_clock)
        self.claim_retention_s = 0.0
        self.serial = 0
        self.runs: dict[str, JobRun] = {}
        self.lease_candidates: dict[str, LeaseCandidate] = {}
        self.drain_until: float | None = None
        self.drained = False

    @property
    def remaining(self) -> int:
        """Number of attempts and submissions that a shutdown has to wait for."""
        return len(self.runs) + len(self.accepter.submissions)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Process one event and return the resulting commands and notices."""
        outputs: list[Output] = []
        match event:
            case JobRequested():
                outputs = self.accepter.submit(now, event)
            case JobQueried():
                outputs = self.accepter.look_up(now, event)
            case JobEnded():
                outputs = self._finish(now, event)
            case ConfigChanged(document=document):
                self.claim_retention_s = document.deployment.claims.retention_s
            case MembersChanged(members=members):
                names = [member.name for member in members]
                self.shards.change_members(now, names)
            case ObjectEvent():
                outputs = self._handle_object_event(now, event)
            case Tick():
                outputs = self._tick(now)
            case DrainRequested() if self.drain_until is None:
                self.drain_until = now + DRAIN_LIMIT_S
        return outputs + self._check_drain(now)

    def _finish(self, now: float, event: JobEnded) -> list[Output]:
        run = self.runs.get(event.request_id)
        if run is None or run.stage is not RunStage.WORKING:
            return []
        outputs: list[Output] = [*run.finish(now, event, self.wall_clock())]
        self._remove_if_over(run)
        return outputs

    def _remove_if_over(self, run: JobRun) -> None:
        if run.stage is RunStage.OVER:
            del self.runs[run.nonce]

    def _handle_object_event(self, now: float, event: ObjectEvent) -> list[Output]:
        candidate = self.lease_candidates.pop(event.op, None)
        if candidate is not None:
            return self._acquire_lease(now, candidate, event)
        for run in self.runs.values():
            if run.op == event.op:
                return self._advance_run(now, run, event)
        self.shards.handle(now, event)
        return self.accepter.handle(event)

    def _tick(self, now: float) -> list[Output]:
        outputs = self.accepter.tick(now)
        outputs += self.shards.tick(now)
        for run in list(self.runs.values()):
            outputs += run.tick(now)
        if self.drain_until is None:
            outputs += self._find_work(now)
        return outputs

    # Attempts.

    def _find_work(self, now: float) -> list[Output]:
        running = {run.record.job_id for run in self.runs.values()}
        reading = {candidate.key for candidate in self.lease_candidates.values()}
        free_slots = MAX_RUNS - len(self.runs) - len(self.lease_candidates)
        outputs: list[Output] = []
        for job in self.shards.due(now):
            key = job_key(job.record.job_id)
            if free_slots <= 0:
                break
            if key in reading or job.record.job_id in running:
                continue
            op = self.ops.next()
            self.lease_candidates[op] = LeaseCandidate(key, job.version)
            outputs.append(ReadObject(op, key))
            free_slots -= 1
        return outputs

    def _acquire_lease(
        self, now: float, candidate: LeaseCandidate, event: ObjectEvent
    ) -> list[Output]:
        if not isinstance(event, ObjectRead):
            return []
        if event.version == ABSENT:
            self.shards.jobs.pop(candidate.key, None)
            return []
        record = JobRecord.decode(event.body)
        self.shards.update(now, candidate.key, record, event.version)
        if event.version != candidate.version:
            return []
        self.serial += 1
        nonce = f"{self.boot_id}.job{self.serial}"
        run = JobRun(nonce, record, event.version, self.ops)
        self.runs[nonce] = run
        if self._may_have_run(record):
            return [*run.end_without_run(self.wall_clock())]
        return [*run.acquire_lease(now, self.wall_clock())]

    def _may_have_run(self, record: JobRecord) -> bool:
        """Return whether a job may have run and its claim may have expired.

        Without the claim, nothing would prevent a second run.
        """
        if record.idempotent or not record.attempts:
            return False
        age = self.wall_clock() - record.attempted_at
        return age >= self.claim_retention_s

    def _advance_run(self, now: float, run: JobRun, event: ObjectEvent) -> list[Output]:
        acquiring = run.stage is RunStage.ACQUIRING_LEASE
        outputs: list[Output] = [*run.handle(now, event)]
        key = job_key(run.record.job_id)
        if acquiring and run.stage is RunStage.WORKING:
            outputs += self._start_request(now, run)
        if run.version:
            self.shards.update(now, key, run.record, run.version, run.resume_at)
        self._remove_if_over(run)
        return outputs

    def _start_request(self, now: float, run: JobRun) -> list[Output]:
        if now - run.lease_requested_at >= LEASE_S:
            # The lease expired while this process was paused.
            lease_lost = JobEnded(run.nonce, Outcome.NOT_RUN)
            return [*run.finish(now, lease_lost, self.wall_clock())]
        record = run.record
        request = replace(record.request, request_id=run.nonce, respond_async=False)
        due = JobDue(
            record.job_id,
            request,
            record.caller,
            record.traffic_class,
            record.idempotent,
            max(0.0, self.wall_clock() - record.accepted_at),
            record.max_wait_s,
        )
        return [AttachBody(run.nonce, record.body, due.request), due]

    def _check_drain(self, now: float) -> list[Output]:
        if self.drain_until is None or self.drained:
            return []
        if self.remaining and now < self.drain_until:
            return []
        self.drained = True
        return [PartDrained("jobs")]
