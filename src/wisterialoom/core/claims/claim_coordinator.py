"""Commits to claim buckets that this instance and its peers request.

Each bucket has one coordinator among the members, chosen by rendezvous hashing. All
instances send it their changes, so that it can commit many of them in one write. Any
instance can commit by itself when the coordinator does not respond.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.claims.claim_bucket import Change, Claim, Settle, Verdict
from wisterialoom.core.claims.claim_commit import (
    BucketCommitter,
    ChangeEnded,
    CommitOutput,
    PendingChange,
)
from wisterialoom.core.claims.claim_entry import ClaimEntry
from wisterialoom.core.fleet.peer import (
    ClaimAnswer,
    ClaimRequest,
    PeerMessage,
    SendPeer,
)
from wisterialoom.core.fleet.rendezvous import first

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.message import Command
    from wisterialoom.core.notice import Member, MembersChanged
    from wisterialoom.core.object_store import ObjectEvent, OperationIds

__all__ = ["ClaimCoordinator", "CoordinatorOutput"]

REMOTE_LIMIT_S = 2.0
"""Time after which a change that a peer requested counts as failed."""

CoordinatorOutput: TypeAlias = CommitOutput


class ClaimCoordinator:
    """Commits changes to buckets, with one committer for each bucket in use.

    Attributes:
        name: Name of this instance.
        committers: Committers by number of the bucket.
        calls: Numbers of buckets by the operation id of the call in progress.
        members: Live members by name.
        gone: Names of members that left or are considered failed.
    """

    def __init__(
        self, name: str, ops: OperationIds, wall_clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.members: dict[str, Member] = {}
        self.gone: frozenset[str] = frozenset()
        self.ops = ops
        self.wall_clock = wall_clock
        self.committers: dict[int, BucketCommitter] = {}
        self.calls: dict[str, int] = {}

    def change_members(self, event: MembersChanged) -> None:
        """Assign the buckets to the current members."""
        self.members = {member.name: member for member in event.members}
        self.gone = event.gone
        for bucket, committer in self.committers.items():
            if not self.is_coordinator(bucket):
                committer.drop_copy()

    def coordinator_of(self, bucket: int) -> str:
        """Return the name of a bucket's coordinator; without members, this instance."""
        return first(f"claims/{bucket}", self.members) or self.name

    def is_coordinator(self, bucket: int) -> bool:
        """Return whether this instance is a bucket's coordinator."""
        return self.coordinator_of(bucket) == self.name

    def send(self, to: str, message: PeerMessage) -> list[Command]:
        """Send a message to an instance if it is a member."""
        member = self.members.get(to)
        return [SendPeer(to, member.address, message)] if member else []

    def commit(
        self, now: float, bucket: int, change: Change, deadline: float
    ) -> list[CoordinatorOutput]:
        """Commit a change of this instance."""
        pending = PendingChange(change, "", deadline)
        return self._add(now, bucket, pending)

    def serve(
        self, now: float, sender: str, request: ClaimRequest, expiry: int
    ) -> list[CoordinatorOutput]:
        """Commit a change that a peer requested.

        Args:
            now: Monotonic time in seconds.
            sender: Name of the peer.
            request: The requested change.
            expiry: Wall-clock time after which a new claim is removed.
        """
        pending = PendingChange(
            _decode_change(request, expiry), sender, now + REMOTE_LIMIT_S
        )
        return self._add(now, request.bucket, pending)

    def handle(self, now: float, event: ObjectEvent) -> list[CoordinatorOutput]:
        """Process a response of the object API."""
        bucket = self.calls.pop(event.op, None)
        if bucket is None:
            return []
        committer = self.committers[bucket]
        if committer.op != event.op:
            return []
        return self._route(bucket, committer.handle(now, event))

    def tick(self, now: float) -> list[CoordinatorOutput]:
        """Fail the changes and calls that have timed out, and start due batches."""
        outputs: list[CoordinatorOutput] = []
        for bucket, committer in self.committers.items():
            if not committer.idle:
                outputs += self._route(bucket, committer.tick(now))
        return outputs

    def _add(
        self, now: float, bucket: int, pending: PendingChange
    ) -> list[CoordinatorOutput]:
        committer = self.committers.get(bucket)
        if committer is None:
            key = f"claims/{bucket}"
            committer = BucketCommitter(key, self.ops, self.wall_clock)
            self.committers[bucket] = committer
        return self._route(bucket, committer.add(now, pending))

    def _route(
        self, bucket: int, outputs: list[CommitOutput]
    ) -> list[CoordinatorOutput]:
        committer = self.committers[bucket]
        if committer.op:
            self.calls[committer.op] = bucket
        if committer.idle and not self.is_coordinator(bucket):
            # Only the coordinator keeps a copy, which may take several MB.
            committer.drop_copy()
        routed: list[CoordinatorOutput] = []
        for output in outputs:
            match output:
                case ChangeEnded(pending, verdict) if pending.requester:
                    routed += self._answer(pending, verdict)
                case _:
                    routed.append(output)
        return routed

    def _answer(
        self, pending: PendingChange, verdict: Verdict
    ) -> list[CoordinatorOutput]:
        entry = verdict.entry.encode() if verdict.entry else b""
        change = pending.change
        answer = ClaimAnswer(
            change.key, change.nonce, verdict.state, entry, verdict.maybe_written
        )
        return list(self.send(pending.requester, answer))


def _decode_change(request: ClaimRequest, expiry: int) -> Change:
    if request.settled:
        entry = ClaimEntry.decode(request.settled)
        return Settle(request.key, request.nonce, entry)
    return Claim(
        request.key,
        request.nonce,
        request.digest,
        request.owner,
        expiry,
        request.replaces,
    )
