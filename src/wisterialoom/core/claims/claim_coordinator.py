"""The home of claim buckets: commits what this and other instances ask for."""

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

__all__ = ["ClaimHome", "HomeOutput"]

REMOTE_LIMIT_S = 2.0
"""Time after which a change asked for by another instance is given up."""

HomeOutput: TypeAlias = CommitOutput


class ClaimHome:
    """Holds one committer for each bucket that is in use here.

    Attributes:
        name: Name of this instance.
        committers: By number of the bucket.
        calls: Number of the bucket by operation id of the call in progress.
        members: Live members by name.
        gone: Names of members that left or are taken for dead.
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
        """Share the buckets out over other members."""
        self.members = {member.name: member for member in event.members}
        self.gone = event.gone
        for bucket, committer in self.committers.items():
            if not self.is_home(bucket):
                committer.forget()

    def home_of(self, bucket: int) -> str:
        """Return the name of a bucket's home; this instance if in doubt."""
        return first(f"claims/{bucket}", self.members) or self.name

    def is_home(self, bucket: int) -> bool:
        """Tell whether this instance is a bucket's home."""
        return self.home_of(bucket) == self.name

    def send(self, to: str, message: PeerMessage) -> list[Command]:
        """Send a message if the instance's address is known."""
        member = self.members.get(to)
        return [SendPeer(to, member.address, message)] if member else []

    def commit(
        self, now: float, bucket: int, change: Change, deadline: float
    ) -> list[HomeOutput]:
        """Commit a change that this instance wants."""
        pending = PendingChange(change, "", deadline)
        return self._add(now, bucket, pending)

    def serve(
        self, now: float, sender: str, request: ClaimRequest, expiry: int
    ) -> list[HomeOutput]:
        """Commit a change that another instance asks for.

        Args:
            now: Monotonic time in seconds.
            sender: The instance that asks.
            request: What it asks for.
            expiry: Wall-clock time at which a new claim is forgotten.
        """
        pending = PendingChange(
            _change_of(request, expiry), sender, now + REMOTE_LIMIT_S
        )
        return self._add(now, request.bucket, pending)

    def handle(self, now: float, event: ObjectEvent) -> list[HomeOutput]:
        """Take an answer of the object API."""
        bucket = self.calls.pop(event.op, None)
        if bucket is None:
            return []
        committer = self.committers[bucket]
        if committer.op != event.op:
            return []
        return self._route(bucket, committer.handle(now, event))

    def tick(self, now: float) -> list[HomeOutput]:
        """Give up what waited too long."""
        outputs: list[HomeOutput] = []
        for bucket, committer in self.committers.items():
            if not committer.idle:
                outputs += self._route(bucket, committer.tick(now))
        return outputs

    def _add(self, now: float, bucket: int, pending: PendingChange) -> list[HomeOutput]:
        committer = self.committers.get(bucket)
        if committer is None:
            key = f"claims/{bucket}"
            committer = BucketCommitter(key, self.ops, self.wall_clock)
            self.committers[bucket] = committer
        return self._route(bucket, committer.add(now, pending))

    def _route(self, bucket: int, outputs: list[CommitOutput]) -> list[HomeOutput]:
        committer = self.committers[bucket]
        if committer.op:
            self.calls[committer.op] = bucket
        if committer.idle and not self.is_home(bucket):
            # Only the home keeps copies: each may take some MB.
            committer.forget()
        routed: list[HomeOutput] = []
        for output in outputs:
            match output:
                case ChangeEnded(pending, verdict) if pending.asker:
                    routed += self._answer(pending, verdict)
                case _:
                    routed.append(output)
        return routed

    def _answer(self, pending: PendingChange, verdict: Verdict) -> list[HomeOutput]:
        entry = verdict.entry.encode() if verdict.entry else b""
        change = pending.change
        answer = ClaimAnswer(
            change.key, change.nonce, verdict.state, entry, verdict.maybe_written
        )
        return list(self.send(pending.asker, answer))


def _change_of(request: ClaimRequest, expiry: int) -> Change:
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
