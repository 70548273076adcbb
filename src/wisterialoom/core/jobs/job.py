"""Deferred work: accepted jobs end, whichever instances come and go."""

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
"""Jobs that one instance works on at once."""

DRAIN_LIMIT_S = 30.0
"""Longest time that a stop waits for attempts to end."""


@dataclass(frozen=True, slots=True)
class TakeUp:
    """A job that is read once more before its lease is asked for.

    Attributes:
        key: Key of its object.
        version: The version that may be taken up.
    """

    key: str
    version: int


class JobManager:
    """Accepts jobs, takes them up, and keeps their answers.

    Attributes:
        name: Name of this instance.
        boot_id: Identity of this process; never used by another.
        wall_clock: Returns the wall-clock time in seconds.
        claim_retention_s: How long a claim keeps a job from running twice.
        runs: Attempts of this instance by nonce.
        take_ups: Jobs about to be taken up, by operation id of the read.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
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
        self.take_ups: dict[str, TakeUp] = {}
        self.drain_until: float | None = None
        self.drained = False

    @property
    def remaining(self) -> int:
        """Count of attempts and submissions that a stop should wait for."""
        return len(self.runs) + len(self.accepter.submissions)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it."""
        outputs: list[Output] = []
        match event:
            case JobRequested():
                outputs = self.accepter.want(now, event)
            case JobQueried():
                outputs = self.accepter.ask(now, event)
            case JobEnded():
                outputs = self._finish(now, event)
            case ConfigChanged(document=document):
                self.claim_retention_s = document.deployment.claims.retention_s
            case MembersChanged(members=members):
                names = [member.name for member in members]
                self.shards.change_members(now, names)
            case ObjectEvent():
                outputs = self._absorb(now, event)
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
        self._let_go(run)
        return outputs

    def _let_go(self, run: JobRun) -> None:
        if run.stage is RunStage.OVER:
            del self.runs[run.nonce]

    def _absorb(self, now: float, event: ObjectEvent) -> list[Output]:
        take_up = self.take_ups.pop(event.op, None)
        if take_up is not None:
            return self._take(now, take_up, event)
        for run in self.runs.values():
            if run.op == event.op:
                return self._advance(now, run, event)
        self.shards.handle(now, event)
        return self.accepter.handle(event)

    def _tick(self, now: float) -> list[Output]:
        outputs = self.accepter.tick(now)
        outputs += self.shards.tick(now)
        for run in list(self.runs.values()):
            outputs += run.tick(now)
        if self.drain_until is None:
            outputs += self._look_for_work(now)
        return outputs

    # Attempts.

    def _look_for_work(self, now: float) -> list[Output]:
        busy = {run.record.job_id for run in self.runs.values()}
        reading = {take_up.key for take_up in self.take_ups.values()}
        room = MAX_RUNS - len(self.runs) - len(self.take_ups)
        outputs: list[Output] = []
        for job in self.shards.due(now):
            key = job_key(job.record.job_id)
            if room <= 0:
                break
            if key in reading or job.record.job_id in busy:
                continue
            op = self.ops.next()
            self.take_ups[op] = TakeUp(key, job.version)
            outputs.append(ReadObject(op, key))
            room -= 1
        return outputs

    def _take(self, now: float, take_up: TakeUp, event: ObjectEvent) -> list[Output]:
        if not isinstance(event, ObjectRead):
            return []
        if event.version == ABSENT:
            self.shards.jobs.pop(take_up.key, None)
            return []
        record = JobRecord.decode(event.body)
        self.shards.note(now, take_up.key, record, event.version)
        if event.version != take_up.version:
            return []
        self.serial += 1
        nonce = f"{self.boot_id}.job{self.serial}"
        run = JobRun(nonce, record, event.version, self.ops)
        self.runs[nonce] = run
        if self._may_have_run(record):
            return [*run.expire(self.wall_clock())]
        return [*run.take(now, self.wall_clock())]

    def _may_have_run(self, record: JobRecord) -> bool:
        """Tell whether no claim keeps a job from a second run any more."""
        if record.idempotent or not record.attempts:
            return False
        age = self.wall_clock() - record.attempted_at
        return age >= self.claim_retention_s

    def _advance(self, now: float, run: JobRun, event: ObjectEvent) -> list[Output]:
        taking = run.stage is RunStage.TAKING
        outputs: list[Output] = [*run.handle(now, event)]
        key = job_key(run.record.job_id)
        if taking and run.stage is RunStage.WORKING:
            outputs += self._begin(now, run)
        if run.version:
            self.shards.note(now, key, run.record, run.version, run.resume_at)
        self._let_go(run)
        return outputs

    def _begin(self, now: float, run: JobRun) -> list[Output]:
        if now - run.taken_at >= LEASE_S:
            # The lease ran out while this process was paused.
            late = JobEnded(run.nonce, Outcome.NOT_RUN)
            return [*run.finish(now, late, self.wall_clock())]
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
