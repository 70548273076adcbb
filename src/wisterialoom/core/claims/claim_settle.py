"""Settlements and releases of claims, repeated until they are in the object."""

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
from wisterialoom.core.claims.claim_entry import ClaimEntry, ClaimState
from wisterialoom.core.claims.claim_home import ClaimHome, HomeOutput
from wisterialoom.core.fleet.peer import ClaimAnswer, ClaimRequest, ClaimStateWire

if TYPE_CHECKING:
    from wisterialoom.core.requests.request import StoredAnswer

__all__ = ["ClaimSettler", "Settlement", "SettleOutput"]

HOME_WAIT_S = 0.5
"""Time that the home has for a settlement before this instance commits it."""

RETRY_S = 1.0
"""Time between two tries."""

TRY_LIMIT_S = 5.0
"""Time after which a commit of one's own is tried anew."""

SettleOutput: TypeAlias = HomeOutput | AnswerOutput


@dataclass
class Settlement:
    """A change that has to reach the object.

    Attributes:
        bucket: Number of the bucket.
        change: What is to be recorded.
        answer: What is to be stored in an object of its own first.
        retry_at: Monotonic time of the next try.
    """

    bucket: int
    change: Change
    answer: StoredAnswer | None = None
    retry_at: float = 0.0

    @property
    def releases(self) -> bool:
        """Nothing ran, or will run, under the nonce."""
        return isinstance(self.change, Release)


class ClaimSettler:
    """Brings settlements and releases into the object, through outages too.

    Attributes:
        settlements: By nonce, until they are recorded.
    """

    def __init__(self, home: ClaimHome, answers: AnswerStore) -> None:
        self.home = home
        self.answers = answers
        self.settlements: dict[str, Settlement] = {}

    def settle(
        self, now: float, bucket: int, entry: ClaimEntry, answer: StoredAnswer | None
    ) -> list[SettleOutput]:
        """Record how the holder of a claim ended.

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
        if len(done.encode()) - len(entry.encode()) <= INLINE_ANSWER_BYTES:
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
        """Free a key under whose nonce nothing ran, nor will."""
        if nonce in self.settlements:
            return []
        return self._start(now, bucket, Release(key, nonce))

    def settling(self, nonce: str) -> bool:
        """Tell whether a request ran under the nonce and is not recorded yet."""
        settlement = self.settlements.get(nonce)
        return settlement is not None and not settlement.releases

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
        home = self.home.home_of(bucket)
        if first and home != self.home.name and isinstance(change, Settle):
            settlement.retry_at = now + HOME_WAIT_S
            return list(self.home.send(home, _request(bucket, change)))
        deadline = now + TRY_LIMIT_S
        return list(self.home.commit(now, bucket, change, deadline))

    def tick(self, now: float) -> list[SettleOutput]:
        """Try again what is due."""
        outputs: list[SettleOutput] = []
        for settlement in list(self.settlements.values()):
            if now >= settlement.retry_at:
                outputs += self._try(now, settlement)
        return outputs

    def stored(self, now: float, event: AnswerStored) -> list[SettleOutput]:
        """Go on once the answer is in an object of its own."""
        settlement = self.settlements.get(event.nonce)
        if settlement is None or settlement.answer is None:
            return []
        if not event.stored:
            settlement.retry_at = now + RETRY_S
            return []
        settlement.answer = None
        return self._try(now, settlement, first=True)

    def committed(self, now: float, change: Change, verdict: Verdict) -> None:
        """Take the end of a commit by this instance."""
        settlement = self.settlements.get(change.nonce)
        if settlement is None or type(settlement.change) is not type(change):
            return
        if verdict.state is ClaimStateWire.UNAVAILABLE:
            settlement.retry_at = now + RETRY_S
            return
        # Granted, or another entry stands there: the retention was over.
        del self.settlements[change.nonce]

    def answered(self, now: float, message: ClaimAnswer) -> None:
        """Take the home's word on a settlement."""
        if not self.settling(message.nonce):
            return
        if message.state is ClaimStateWire.UNAVAILABLE:
            self.settlements[message.nonce].retry_at = now
            return
        if message.entry and _is_settled(message):
            del self.settlements[message.nonce]


def _is_settled(message: ClaimAnswer) -> bool:
    # A late answer to the claim itself carries an open entry.
    entry = ClaimEntry.decode(message.entry)
    return entry.nonce == message.nonce and entry.state is not ClaimState.CLAIMED


def _request(bucket: int, change: Settle) -> ClaimRequest:
    entry = change.entry
    return ClaimRequest(
        bucket, entry.key, entry.nonce, entry.digest, entry.owner, entry.encode()
    )
