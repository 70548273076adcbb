"""Group commit of the changes to one bucket of claims."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.claims.claim_bucket import Change, ClaimBucket, Release, Verdict
from wisterialoom.core.fleet.peer import ClaimStateWire
from wisterialoom.core.message import Command, WakeAt
from wisterialoom.core.object_store import (
    ObjectConflict,
    ObjectEvent,
    ObjectRead,
    ObjectUnavailable,
    ObjectWritten,
    OperationIds,
    ReadObject,
    WriteObject,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "AnswersDropped",
    "BucketCommitter",
    "ChangeEnded",
    "CommitOutput",
    "PendingChange",
]

WRITE_INTERVAL_S = 0.2
"""Minimum average time between two writes of a bucket.

Changes that arrive in the meantime are collected for the next write.
"""

WRITE_BURST = 4
"""Number of writes of an idle bucket that are not rate-limited."""

WAKE_MARGIN_S = 0.001
"""Added to the requested wake-up time, so that the tick does not come too early."""

CALL_LIMIT_S = 10.0
"""Time after which a call of the object API without a response counts as failed."""


@dataclass
class PendingChange:
    """A change that waits for its commit.

    Attributes:
        change: The requested change.
        requester: Instance that requested the change; empty for this instance.
        deadline: Monotonic time at which the change times out.
        in_write: Whether the write in progress contains the change.
        in_doubt: Whether a write that contained the change got no response, and
            may have taken effect.
    """

    change: Change
    requester: str
    deadline: float
    in_write: bool = False
    in_doubt: bool = False

    @property
    def maybe_written(self) -> bool:
        """Whether the change may be in the object, now or later."""
        return self.in_write or self.in_doubt


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """A change was committed or refused, or it timed out."""

    pending: PendingChange
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class AnswersDropped:
    """Keys of the answer objects whose entries were pruned."""

    keys: list[str]


CommitOutput: TypeAlias = Command | ChangeEnded | AnswersDropped


class BucketCommitter:
    """Commits the changes to one bucket in batches.

    One call of the object API is in progress at a time; the changes that arrive
    meanwhile form the next batch.

    Attributes:
        key: Key of the bucket's object.
        wall_clock: Returns the wall-clock time in seconds.
        bucket: The object as last read or written; `None` if its current content
            is not known.
        draft: The bucket as it is being written.
        queue: Changes that wait for the next batch.
        batch: Changes that the call in progress is for.
        verdicts: Results of the batch, to be reported once they are confirmed.
        op: Operation id of the call in progress; empty if there is none.
        sent_at: Monotonic time at which the call in progress began.
        theoretical_arrival: Theoretical arrival time of the rate limiter, a
            generic cell rate algorithm.
        next_write_at: Monotonic time before which the rate limiter allows no
            write.
        wake_at: The latest `next_write_at` for which a tick was requested.
        unconfirmed_version: Version that a write without a response was
            conditional upon, or -1. While the object still has this version, the
            write may yet take effect.
    """

    def __init__(
        self, key: str, ops: OperationIds, wall_clock: Callable[[], float]
    ) -> None:
        self.key = key
        self.ops = ops
        self.wall_clock = wall_clock
        self.bucket: ClaimBucket | None = None
        self.draft: ClaimBucket | None = None
        self.queue: list[PendingChange] = []
        self.batch: list[PendingChange] = []
        self.verdicts: list[Verdict] = []
        self.op = ""
        self.sent_at = 0.0
        self.theoretical_arrival = 0.0
        self.next_write_at = 0.0
        self.wake_at = 0.0
        self.unconfirmed_version = -1

    @property
    def idle(self) -> bool:
        """Whether no change waits and no call is in progress."""
        return not self.op and not self.queue

    def drop_copy(self) -> None:
        """Drop the copy of the object; the next batch reads the object again."""
        if not self.op:
            self.bucket = None

    def add(self, now: float, pending: PendingChange) -> list[CommitOutput]:
        """Add a change to the next batch."""
        self.queue.append(pending)
        return [] if self.op else self._start_batch(now)

    def handle(self, now: float, event: ObjectEvent) -> list[CommitOutput]:
        """Process the response to the call in progress."""
        self.op = ""
        match event:
            case ObjectRead(version=version, body=body):
                self.bucket = ClaimBucket.decode(version, body)
                if version != self.unconfirmed_version:
                    self.unconfirmed_version = -1
                return self._commit(now, confirmed=True)
            case ObjectWritten(version=version):
                return self._written(now, version)
            case ObjectUnavailable(ambiguous=ambiguous):
                return self._unavailable(now, ambiguous=ambiguous)
            case ObjectConflict():
                self._drop_copy_after_write(in_doubt=False)
                return self._read(now)
        return []

    def _drop_copy_after_write(self, *, in_doubt: bool) -> None:
        """Drop a copy of the object that is, or may be, outdated."""
        self.bucket = None
        for pending in self.batch:
            pending.in_doubt |= pending.in_write and in_doubt
            pending.in_write = False

    def tick(self, now: float) -> list[CommitOutput]:
        """Fail the changes past their deadline, and a call without a response."""
        failed = [x for x in self.batch + self.queue if now >= x.deadline]
        outputs = self._fail(failed)
        if self.op and now >= self.sent_at + CALL_LIMIT_S:
            self.op = ""
            outputs += self._unavailable(now, ambiguous=True)
        if not self.op:
            outputs += self._start_batch(now)
        return outputs

    def _start_batch(self, now: float) -> list[CommitOutput]:
        if not self.queue:
            return []
        if now < self.next_write_at:
            return self._schedule_wake()
        self.batch, self.queue = self.queue, []
        if self.bucket is None:
            return self._read(now)
        return self._commit(now, confirmed=False)

    def _schedule_wake(self) -> list[CommitOutput]:
        if self.wake_at == self.next_write_at:
            return []
        self.wake_at = self.next_write_at
        return [WakeAt(self.next_write_at + WAKE_MARGIN_S)]

    def _read(self, now: float) -> list[CommitOutput]:
        self.draft = None
        if not self.batch:
            return self._start_batch(now)
        self.op = self.ops.next()
        self.sent_at = now
        return [ReadObject(self.op, self.key)]

    def _commit(self, now: float, *, confirmed: bool) -> list[CommitOutput]:
        assert self.bucket is not None
        draft = self.bucket.copy()
        draft.prune(self.wall_clock())
        results = [draft.apply(pending.change) for pending in self.batch]
        self.verdicts = [verdict for verdict, _ in results]
        if any(changed for _, changed in results) or self._must_void_lost_write():
            return self._write(now, draft, [changed for _, changed in results])
        if not confirmed:
            # The refusal may be based on an outdated copy. Read the object again
            # before reporting it.
            return self._read(now)
        return self._end(now)

    def _must_void_lost_write(self) -> bool:
        """Return whether a write is needed to void an earlier one that got no response.

        A write that is still under way could store a claim after its release.
        Any write to the object changes its version, so that the earlier,
        conditional write can no longer take effect.
        """
        assert self.bucket is not None
        released = any(isinstance(item.change, Release) for item in self.batch)
        return released and self.bucket.version == self.unconfirmed_version

    def _write(
        self, now: float, draft: ClaimBucket, changed: list[bool]
    ) -> list[CommitOutput]:
        self.draft = draft
        self.op = self.ops.next()
        self.sent_at = now
        self.theoretical_arrival = max(self.theoretical_arrival, now) + WRITE_INTERVAL_S
        self.next_write_at = self.theoretical_arrival - WRITE_BURST * WRITE_INTERVAL_S
        for pending, written in zip(self.batch, changed, strict=True):
            pending.in_write = written
        return [WriteObject(self.op, self.key, draft.encode(), draft.version)]

    def _written(self, now: float, version: int) -> list[CommitOutput]:
        assert self.draft is not None
        self.bucket, self.draft = self.draft, None
        self.bucket.version = version
        self.unconfirmed_version = -1
        dropped = self.bucket.dropped
        outputs: list[CommitOutput] = [AnswersDropped(dropped)] if dropped else []
        return outputs + self._end(now)

    def _unavailable(self, now: float, *, ambiguous: bool) -> list[CommitOutput]:
        if self.draft is not None and ambiguous:
            self.unconfirmed_version = self.draft.version
        self._drop_copy_after_write(in_doubt=ambiguous)
        if ambiguous:
            # The nonces in the object show which changes took effect.
            return self._read(now)
        return [*self._fail(self.batch + self.queue), *self._start_batch(now)]

    def _end(self, now: float) -> list[CommitOutput]:
        outputs: list[CommitOutput] = [
            ChangeEnded(pending, verdict)
            for pending, verdict in zip(self.batch, self.verdicts, strict=True)
        ]
        self.batch, self.verdicts = [], []
        return outputs + self._start_batch(now)

    def _fail(self, failed: list[PendingChange]) -> list[CommitOutput]:
        if not failed:
            return []
        kept = [
            (pending, verdict)
            for pending, verdict in zip(
                self.batch, self._padded_verdicts(), strict=True
            )
            if pending not in failed
        ]
        self.batch = [pending for pending, _ in kept]
        self.verdicts = [verdict for _, verdict in kept]
        self.queue = [pending for pending in self.queue if pending not in failed]
        verdict = Verdict(ClaimStateWire.UNAVAILABLE)
        return [
            ChangeEnded(item, replace(verdict, maybe_written=item.maybe_written))
            for item in failed
        ]

    def _padded_verdicts(self) -> list[Verdict]:
        # There are no verdicts yet while the object is being read for the batch.
        missing = len(self.batch) - len(self.verdicts)
        return self.verdicts + [Verdict(ClaimStateWire.UNAVAILABLE)] * missing
