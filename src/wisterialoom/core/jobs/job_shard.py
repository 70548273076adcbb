"""Cache of the jobs that this instance is responsible for."""

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

__all__ = ["JobShards", "CachedJob"]

LIST_INTERVAL_S = 5.0
"""Time between two listings of a shard."""

RECHECK_INTERVAL_S = 10.0
"""Time between two reads of a running job."""

LEASE_S = 60.0
"""Time without a change of the object after which the holder's lease expires."""

RETENTION_S = 86_400.0
"""Time for which the answer of a job is retained."""

MAX_READS = 4
"""Largest number of reads in progress."""


@dataclass
class CachedJob:
    """A job as this instance last read it, without its body.

    Attributes:
        record: The job.
        version: Version of the job's object.
        seen_since: Monotonic time at which this version was first seen.
        checked_at: Monotonic time at which the job was last read, written or
            scheduled to be read.
        not_before: Monotonic time before which the job is not attempted.
    """

    record: JobRecord
    version: int
    seen_since: float
    checked_at: float
    not_before: float = 0.0

    def is_available(self, now: float) -> bool:
        """Return whether the job waits, or its holder's lease has expired."""
        match self.record.state:
            case JobState.WAITING:
                return now >= self.not_before
            case JobState.RUNNING:
                return now - self.seen_since >= LEASE_S
        return False


class JobShards:
    """Lists the shards that are assigned to this instance and reads their jobs.

    Attributes:
        name: Name of this instance.
        wall_clock: Returns the wall-clock time in seconds.
        next_listings: Monotonic time of the next listing of each assigned shard.
        jobs: Jobs as last read or written, by key of the object.
        unread: Keys of objects that have to be read.
        calls: Keys by operation id of the read in progress.
    """

    def __init__(
        self, name: str, ops: OperationIds, wall_clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.ops = ops
        self.wall_clock = wall_clock
        self.next_listings: dict[int, float] = {}
        self.jobs: dict[str, CachedJob] = {}
        self.unread: set[str] = set()
        self.calls: dict[str, str] = {}

    def change_members(self, now: float, names: list[str]) -> None:
        """Update the set of shards that are assigned to this instance."""
        for shard in range(JOB_SHARDS):
            if first(f"jobs/{shard}", names) != self.name:
                self._unassign(shard)
            elif shard not in self.next_listings:
                # Spread the listings of the shards over the interval.
                offset = LIST_INTERVAL_S * (shard + 1) / JOB_SHARDS
                self.next_listings[shard] = now + offset

    def _unassign(self, shard: int) -> None:
        if self.next_listings.pop(shard, None) is None:
            return
        prefix = f"jobs/{shard}/"
        self.jobs = {k: v for k, v in self.jobs.items() if not k.startswith(prefix)}
        self.unread = {k for k in self.unread if not k.startswith(prefix)}

    def due(self, now: float) -> list[CachedJob]:
        """Return the jobs whose lease may be acquired, the most urgent first."""
        jobs = [job for job in self.jobs.values() if job.is_available(now)]
        return sorted(jobs, key=_serve_by)

    def tick(self, now: float) -> list[Command]:
        """List shards and read jobs, if due, and delete jobs past their retention."""
        commands: list[Command] = []
        for shard, at in self.next_listings.items():
            if now >= at:
                self.next_listings[shard] = now + LIST_INTERVAL_S
                commands.append(ListObjects(self.ops.next(), f"jobs/{shard}/"))
        commands += self._prune()
        self._recheck_running(now)
        while self.unread and len(self.calls) < MAX_READS:
            key = min(self.unread)
            self.unread.remove(key)
            op = self.ops.next()
            self.calls[op] = key
            commands.append(ReadObject(op, key))
        return commands

    def _recheck_running(self, now: float) -> None:
        for key, job in self.jobs.items():
            running = job.record.state is JobState.RUNNING
            if running and now - job.checked_at >= RECHECK_INTERVAL_S:
                job.checked_at = now
                self.unread.add(key)

    def _prune(self) -> list[Command]:
        wall_time = self.wall_clock()
        expired = [
            key
            for key, job in self.jobs.items()
            if job.record.ended and wall_time - job.record.ended_at >= RETENTION_S
        ]
        return [
            DeleteObject(self.ops.next(), key, self.jobs.pop(key).version)
            for key in expired
        ]

    def handle(self, now: float, event: ObjectEvent) -> None:
        """Process a response of the object API."""
        key = self.calls.pop(event.op, "")
        match event:
            case ObjectsListed(prefix=prefix, keys=keys):
                self._handle_listing(prefix, set(keys))
            case ObjectRead(version=version, body=body) if key and version != ABSENT:
                self.update(now, key, JobRecord.decode(body), version)

    def _handle_listing(self, prefix: str, keys: set[str]) -> None:
        shard = prefix.removeprefix("jobs/").rstrip("/")
        if not shard.isdigit() or int(shard) not in self.next_listings:
            return
        for key in [k for k in self.jobs if k.startswith(prefix) and k not in keys]:
            del self.jobs[key]
        self.unread |= keys - self.jobs.keys()

    def update(
        self,
        now: float,
        key: str,
        record: JobRecord,
        version: int,
        not_before: float = 0.0,
    ) -> None:
        """Cache a job as it was just read or written."""
        if int(key.split("/")[1]) not in self.next_listings:
            return
        cached = self.jobs.get(key)
        if cached is not None and cached.version > version:
            return
        seen_since = cached.seen_since if cached and cached.version == version else now
        earliest_attempt = max(not_before, cached.not_before if cached else 0.0)
        without_content = replace(record, body=b"", answer=None)
        self.jobs[key] = CachedJob(
            without_content, version, seen_since, now, earliest_attempt
        )


def _serve_by(job: CachedJob) -> float:
    return job.record.accepted_at + job.record.max_wait_s
