"""Settlements and releases of claims, retried until the object contains them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.claims.claim_answer import (
    AnswerOutput,
    AnswerStore,
    AnswerStored,
    fits_object,
)
from wisterialoom.core.claims.claim_bucket import (
    Change,
    INLINE_ANSWER_BYTES,
    Release,
    Settle,
    Verdict,
)
from wisterialoom.core.claims.claim_coordinator import (
    ClaimCoordinator,
    CoordinatorOutput,
)
from wisterialoom.core.claims.claim_entry import ClaimEntry, ClaimState
from wisterialoom.core.fleet.peer import ClaimAnswer, ClaimRequest, ClaimStateWire

if TYPE_CHECKING:
    from wisterialoom.core.requests.request import StoredAnswer

__all__ = ["ClaimSettler", "Settlement", "SettleOutput"]

COORDINATOR_WAIT_S = 0.5
"""Time that the coordinator has before this instance commits a settlement."""

RETRY_S = 1.0
"""Time between two tries after a failure."""

TRY_LIMIT_S = 5.0
"""Time after which a commit of this instance is retried."""

SettleOutput: TypeAlias = CoordinatorOutput | AnswerOutput


@dataclass
class Settlement:
    """A change that has to be recorded in a bucket.

    Attributes:
        bucket: Number of the bucket.
        change: The change to record.
        answer: Answer that must be stored in a separate object first, if any.
        retry_at: Monotonic time of the next try.
    """

    bucket: int
    change: Change
    answer: StoredAnswer | None = None
    retry_at: float = 0.0

    @property
    def is_release(self) -> bool:
        """Whether the claim was abandoned, so that no request runs under its nonce."""
        return isinstance(self.change, Release)


class ClaimSettler:
    """Records settlements and releases, also across outages of the object API.

    Attributes:
        coordinator: Commits changes on this instance, and sends messages to peers.
        answers: Stores the answers that are too large for a bucket.
        settlements: Changes that are not recorded yet, by nonce.
    """

    def __init__(self, coordinator: ClaimCoordinator, answers: AnswerStore) -> None:
        self.coordinator = coordinator
        self.answers = answers
        self.settlements: dict[str, Settlement] = {}

    def settle(
        self, now: float, bucket: int, entry: ClaimEntry, answer: StoredAnswer | None
    ) -> list[SettleOutput]:
        """Record how the request that holds a claim ended.

        Args:
            now: Monotonic time in seconds.
            bucket: Number of the bucket.
            entry: The claim as it was granted.
            answer: The whole answer; `None` if the outcome is unknown.
        """
        if answer is None:
            settled = replace(entry, state=ClaimState.UNKNOWN)
            return self._start(now, bucket, Settle(entry.key, entry.nonce, settled))
        done = replace(entry, state=ClaimState.DONE, answer=answer)
        size = len(done.encode()) - len(entry.encode())
        if answer.is_whole and size <= INLINE_ANSWER_BYTES:
            return self._start(now, bucket, Settle(entry.key, entry.nonce, done))
        done = replace(done, answer=None)
        if not fits_object(answer):
            return self._start(now, bucket, Settle(entry.key, entry.nonce, done))
        done = replace(done, answer_object=f"answers/{entry.key}/{entry.nonce}")
        change = Settle(entry.key, entry.nonce, done)
        return self._start(now, bucket, change, answer)

    def release(
        self, now: float, bucket: int, key: str, nonce: str
    ) -> list[SettleOutput]:
        """Release a key whose request did not run and never will."""
        if nonce in self.settlements:
            return []
        return self._start(now, bucket, Release(key, nonce))

    def is_settling(self, nonce: str) -> bool:
        """Return whether the end of a request under the nonce is yet to be recorded."""
        settlement = self.settlements.get(nonce)
        return settlement is not None and not settlement.is_release

    def _start(
        self,
        now: float,
        bucket: int,
        change: Change,
        answer: StoredAnswer | None = None,
    ) -> list[SettleOutput]:
        settlement = Settlement(bucket, change, answer)
        self.settlements[change.nonce] = settlement
        return self._try(now, settlement, first=True)

    def _try(
        self, now: float, settlement: Settlement, *, first: bool = False
    ) -> list[SettleOutput]:
        change, bucket = settlement.change, settlement.bucket
        settlement.retry_at = now + TRY_LIMIT_S
        if settlement.answer is not None and isinstance(change, Settle):
            key = change.entry.answer_object
            return list(self.answers.put(change.nonce, key, settlement.answer))
        coordinator_name = self.coordinator.coordinator_of(bucket)
        if (
            first
            and coordinator_name != self.coordinator.name
            and isinstance(change, Settle)
        ):
            settlement.retry_at = now + COORDINATOR_WAIT_S
            return list(
                self.coordinator.send(coordinator_name, _request(bucket, change))
            )
        deadline = now + TRY_LIMIT_S
        return list(self.coordinator.commit(now, bucket, change, deadline))

    def tick(self, now: float) -> list[SettleOutput]:
        """Retry the settlements that are due."""
        outputs: list[SettleOutput] = []
        for settlement in list(self.settlements.values()):
            if now >= settlement.retry_at:
                outputs += self._try(now, settlement)
        return outputs

    def handle_stored(self, now: float, event: AnswerStored) -> list[SettleOutput]:
        """Continue once the answer has been stored in a separate object."""
        settlement = self.settlements.get(event.nonce)
        if settlement is None or settlement.answer is None:
            return []
        if not event.stored:
            settlement.retry_at = now + RETRY_S
            return []
        settlement.answer = None
        return self._try(now, settlement, first=True)

    def handle_commit(self, now: float, change: Change, verdict: Verdict) -> None:
        """Process the result of a commit on this instance."""
        settlement = self.settlements.get(change.nonce)
        if settlement is None or type(settlement.change) is not type(change):
            return
        if verdict.state is ClaimStateWire.UNAVAILABLE:
            settlement.retry_at = now + RETRY_S
            return
        # Either the change was granted, or another entry has the key because the
        # retention of this claim was over. In both cases nothing is left to do.
        del self.settlements[change.nonce]

    def handle_answer(self, now: float, message: ClaimAnswer) -> None:
        """Process the coordinator's response to a settlement."""
        if not self.is_settling(message.nonce):
            return
        if message.state is ClaimStateWire.UNAVAILABLE:
            self.settlements[message.nonce].retry_at = now
            return
        if message.entry and _is_settled(message):
            del self.settlements[message.nonce]


def _is_settled(message: ClaimAnswer) -> bool:
    # A late response to the claim itself has the same nonce, but contains an open
    # entry.
    entry = ClaimEntry.decode(message.entry)
    return entry.nonce == message.nonce and entry.state is not ClaimState.CLAIMED


def _request(bucket: int, change: Settle) -> ClaimRequest:
    entry = change.entry
    return ClaimRequest(
        bucket, entry.key, entry.nonce, entry.digest, entry.owner, entry.encode()
    )
