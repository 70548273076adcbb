"""Group commit of changes to one bucket of claims."""

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
"""Time between two writes of a bucket in the long run, while changes gather."""

WRITE_BURST = 4
"""Writes of a bucket that need not wait, after a time of rest."""

WAKE_MARGIN_S = 0.001
"""Added to the moment of waking, so that it does not come too early."""

CALL_LIMIT_S = 10.0
"""Time after which a call without an answer counts as failed."""


@dataclass
class PendingChange:
    """A change that waits for its commit.

    Attributes:
        change: What is wanted.
        asker: Entry instance that asked; empty for this one.
        deadline: Monotonic time at which it is given up.
        in_call: The write in progress holds it.
        in_doubt: A write that held it got no answer, and may have taken effect.
    """

    change: Change
    asker: str
    deadline: float
    in_call: bool = False
    in_doubt: bool = False

    @property
    def maybe_written(self) -> bool:
        """It may be in the object, now or later."""
        return self.in_call or self.in_doubt


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """A change was committed, refused or given up."""

    pending: PendingChange
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class AnswersDropped:
    """Answer objects whose entries were pruned."""

    keys: list[str]


CommitOutput: TypeAlias = Command | ChangeEnded | AnswersDropped


class BucketCommitter:
    """Commits the changes to one bucket; while a call is out, more gather.

    Attributes:
        key: Key of the bucket's object.
        wall_clock: Returns the wall-clock time in seconds.
        bucket: The object as last read or written; `None` if in doubt.
        queue: Changes that wait for the next call.
        batch: Changes that the call in progress is for.
        drafted: Changes of the batch that were put into the draft.
        op: Operation id of the call in progress; empty if there is none.
        paced_to: Monotonic time that the writes so far make up for.
        write_at: Monotonic time of the next write at the earliest.
        wake_at: The last such time for which a tick was asked for.
        doubt: Version that a write without an answer was conditional upon; while
            the object still has it, the write may yet take effect.
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
        self.paced_to = 0.0
        self.write_at = 0.0
        self.wake_at = 0.0
        self.doubt = -1

    @property
    def idle(self) -> bool:
        """Nothing waits and no call is in progress."""
        return not self.op and not self.queue

    def forget(self) -> None:
        """Free the copy of the object, to be read again when it is needed."""
        if not self.op:
            self.bucket = None

    def add(self, now: float, pending: PendingChange) -> list[CommitOutput]:
        """Take a change into the next batch."""
        self.queue.append(pending)
        return [] if self.op else self._begin(now)

    def handle(self, now: float, event: ObjectEvent) -> list[CommitOutput]:
        """Take the answer to the call in progress."""
        self.op = ""
        match event:
            case ObjectRead(version=version, body=body):
                self.bucket = ClaimBucket.decode(version, body)
                if version != self.doubt:
                    self.doubt = -1
                return self._commit(now, confirmed=True)
            case ObjectWritten(version=version):
                return self._written(now, version)
            case ObjectUnavailable(ambiguous=ambiguous):
                return self._unavailable(now, ambiguous=ambiguous)
            case ObjectConflict():
                self._close_call(in_doubt=False)
                return self._read(now)
        return []

    def _close_call(self, *, in_doubt: bool) -> None:
        """Forget a copy that the object has, or may have, gone beyond."""
        self.bucket = None
        for pending in self.batch:
            pending.in_doubt |= pending.in_call and in_doubt
            pending.in_call = False

    def tick(self, now: float) -> list[CommitOutput]:
        """Give up what waited too long."""
        late = [x for x in self.batch + self.queue if now >= x.deadline]
        outputs = self._give_up(late)
        if self.op and now >= self.sent_at + CALL_LIMIT_S:
            self.op = ""
            outputs += self._unavailable(now, ambiguous=True)
        if not self.op:
            outputs += self._begin(now)
        return outputs

    def _begin(self, now: float) -> list[CommitOutput]:
        if not self.queue:
            return []
        if now < self.write_at:
            return self._wake()
        self.batch, self.queue = self.queue, []
        if self.bucket is None:
            return self._read(now)
        return self._commit(now, confirmed=False)

    def _wake(self) -> list[CommitOutput]:
        if self.wake_at == self.write_at:
            return []
        self.wake_at = self.write_at
        return [WakeAt(self.write_at + WAKE_MARGIN_S)]

    def _read(self, now: float) -> list[CommitOutput]:
        self.draft = None
        if not self.batch:
            return self._begin(now)
        self.op = self.ops.next()
        self.sent_at = now
        return [ReadObject(self.op, self.key)]

    def _commit(self, now: float, *, confirmed: bool) -> list[CommitOutput]:
        assert self.bucket is not None
        draft = self.bucket.copy()
        draft.prune(self.wall_clock())
        results = [draft.apply(pending.change) for pending in self.batch]
        self.verdicts = [verdict for verdict, _ in results]
        if any(changed for _, changed in results) or self._must_void():
            return self._write(now, draft, [changed for _, changed in results])
        if not confirmed:
            # A refusal may rest on an old copy: ask again before saying so.
            return self._read(now)
        return self._end(now)

    def _must_void(self) -> bool:
        """Tell whether an earlier write has to be kept from taking effect."""
        assert self.bucket is not None
        released = any(isinstance(item.change, Release) for item in self.batch)
        return released and self.bucket.version == self.doubt

    def _write(
        self, now: float, draft: ClaimBucket, changed: list[bool]
    ) -> list[CommitOutput]:
        self.draft = draft
        self.op = self.ops.next()
        self.sent_at = now
        self.paced_to = max(self.paced_to, now) + WRITE_INTERVAL_S
        self.write_at = self.paced_to - WRITE_BURST * WRITE_INTERVAL_S
        for pending, written in zip(self.batch, changed, strict=True):
            pending.in_call = written
        return [WriteObject(self.op, self.key, draft.encode(), draft.version)]

    def _written(self, now: float, version: int) -> list[CommitOutput]:
        assert self.draft is not None
        self.bucket, self.draft = self.draft, None
        self.bucket.version = version
        self.doubt = -1
        dropped = self.bucket.dropped
        outputs: list[CommitOutput] = [AnswersDropped(dropped)] if dropped else []
        return outputs + self._end(now)

    def _unavailable(self, now: float, *, ambiguous: bool) -> list[CommitOutput]:
        if self.draft is not None and ambiguous:
            self.doubt = self.draft.version
        self._close_call(in_doubt=ambiguous)
        if ambiguous:
            # The nonces in the object decide what became of the batch.
            return self._read(now)
        return [*self._give_up(self.batch + self.queue), *self._begin(now)]

    def _end(self, now: float) -> list[CommitOutput]:
        outputs: list[CommitOutput] = [
            ChangeEnded(pending, verdict)
            for pending, verdict in zip(self.batch, self.verdicts, strict=True)
        ]
        self.batch, self.verdicts = [], []
        return outputs + self._begin(now)

    def _give_up(self, late: list[PendingChange]) -> list[CommitOutput]:
        if not late:
            return []
        kept = [
            (pending, verdict)
            for pending, verdict in zip(self.batch, self._verdicts(), strict=True)
            if pending not in late
        ]
        self.batch = [pending for pending, _ in kept]
        self.verdicts = [verdict for _, verdict in kept]
        self.queue = [pending for pending in self.queue if pending not in late]
        verdict = Verdict(ClaimStateWire.UNAVAILABLE)
        return [
            ChangeEnded(item, replace(verdict, maybe_written=item.maybe_written))
            for item in late
        ]

    def _verdicts(self) -> list[Verdict]:
        # While the batch is being read there is no verdict yet.
        missing = len(self.batch) - len(self.verdicts)
        return self.verdicts + [Verdict(ClaimStateWire.UNAVAILABLE)] * missing
