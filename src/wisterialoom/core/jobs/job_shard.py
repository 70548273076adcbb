"""What is known of the jobs that this instance has to look after."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.rendezvous import first
from wisterialoom.core.jobs.job_record import JOB_SHARDS, JobRecord
from wisterialoom.core.notice_job import JobState
from wisterialoom.core.object_store import (
    ABSENT,
    DeleteObject,
    ListObjects,
    ObjectEvent,
    ObjectRead,
    ObjectsListed,
    OperationIds,
    ReadObject,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.message import Command

__all__ = ["JobShards", "KnownJob"]

LIST_INTERVAL_S = 5.0
"""Time between two listings of a shard."""

OBSERVE_INTERVAL_S = 10.0
"""Time between two looks at a job that another attempt works on."""

LEASE_S = 60.0
"""Time without a change after which a job is taken from its holder."""

RETENTION_S = 86_400.0
"""How long the answer of a job is kept."""

MAX_READS = 4
"""Reads in progress at once."""


@dataclass
class KnownJob:
    """A job as this instance last read it, without its body.

    Attributes:
        record: The job.
        version: Of its object.
        since: Monotonic time at which this version was first seen.
        looked_at: Monotonic time of the last look.
        not_before: Monotonic time of the next attempt at the earliest.
    """

    record: JobRecord
    version: int
    since: float
    looked_at: float
    not_before: float = 0.0

    def takeable(self, now: float) -> bool:
        """Tell whether the job waits, or its holder let the lease run out."""
        match self.record.state:
            case JobState.WAITING:
                return now >= self.not_before
            case JobState.RUNNING:
                return now - self.since >= LEASE_S
        return False


class JobShards:
    """Lists the shards whose duty is here and reads their jobs.

    Attributes:
        duties: Next listing of each shard whose duty is here.
        jobs: What is known, by key of the object.
        unread: Keys that were listed and not read yet.
        calls: Key or prefix by operation id of the call in progress.
    """

    def __init__(
        self, name: str, ops: OperationIds, wall_clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.ops = ops
        self.wall_clock = wall_clock
        self.duties: dict[int, float] = {}
        self.jobs: dict[str, KnownJob] = {}
        self.unread: set[str] = set()
        self.calls: dict[str, str] = {}

    def change_members(self, now: float, names: list[str]) -> None:
        """Take up the shards that fall to this instance, and leave others."""
        for shard in range(JOB_SHARDS):
            if first(f"jobs/{shard}", names) != self.name:
                self._leave(shard)
            elif shard not in self.duties:
                # Spread over the interval, so that listings come one by one.
                offset = LIST_INTERVAL_S * (shard + 1) / JOB_SHARDS
                self.duties[shard] = now + offset

    def _leave(self, shard: int) -> None:
        if self.duties.pop(shard, None) is None:
            return
        prefix = f"jobs/{shard}/"
        self.jobs = {k: v for k, v in self.jobs.items() if not k.startswith(prefix)}
        self.unread = {k for k in self.unread if not k.startswith(prefix)}

    def due(self, now: float) -> list[KnownJob]:
        """Return the jobs that may be taken up, most urgent first."""
        jobs = [job for job in self.jobs.values() if job.takeable(now)]
        return sorted(jobs, key=_latest_end)

    def tick(self, now: float) -> list[Command]:
        """List and read what is due, and delete what is over."""
        commands: list[Command] = []
        for shard, at in self.duties.items():
            if now >= at:
                self.duties[shard] = now + LIST_INTERVAL_S
                commands.append(ListObjects(self.ops.next(), f"jobs/{shard}/"))
        commands += self._prune()
        self._look_again(now)
        while self.unread and len(self.calls) < MAX_READS:
            key = min(self.unread)
            self.unread.remove(key)
            op = self.ops.next()
            self.calls[op] = key
            commands.append(ReadObject(op, key))
        return commands

    def _look_again(self, now: float) -> None:
        for key, job in self.jobs.items():
            running = job.record.state is JobState.RUNNING
            if running and now - job.looked_at >= OBSERVE_INTERVAL_S:
                job.looked_at = now
                self.unread.add(key)

    def _prune(self) -> list[Command]:
        wall = self.wall_clock()
        over = [
            key
            for key, job in self.jobs.items()
            if job.record.ended and wall - job.record.ended_at >= RETENTION_S
        ]
        return [
            DeleteObject(self.ops.next(), key, self.jobs.pop(key).version)
            for key in over
        ]

    def handle(self, now: float, event: ObjectEvent) -> None:
        """Take an answer of the object API."""
        key = self.calls.pop(event.op, "")
        match event:
            case ObjectsListed(prefix=prefix, keys=keys):
                self._listed(prefix, set(keys))
            case ObjectRead(version=version, body=body) if key and version != ABSENT:
                self.note(now, key, JobRecord.decode(body), version)

    def _listed(self, prefix: str, keys: set[str]) -> None:
        shard = prefix.removeprefix("jobs/").rstrip("/")
        if not shard.isdigit() or int(shard) not in self.duties:
            return
        for key in [k for k in self.jobs if k.startswith(prefix) and k not in keys]:
            del self.jobs[key]
        self.unread |= keys - self.jobs.keys()

    def note(
        self,
        now: float,
        key: str,
        record: JobRecord,
        version: int,
        not_before: float = 0.0,
    ) -> None:
        """Remember a job as it was just read or written."""
        if int(key.split("/")[1]) not in self.duties:
            return
        known = self.jobs.get(key)
        if known is not None and known.version > version:
            return
        since = known.since if known and known.version == version else now
        held_back = max(not_before, known.not_before if known else 0.0)
        lean = replace(record, body=b"", answer=None)
        self.jobs[key] = KnownJob(lean, version, since, now, held_back)


def _latest_end(job: KnownJob) -> float:
    return job.record.accepted_at + job.record.max_wait_s
