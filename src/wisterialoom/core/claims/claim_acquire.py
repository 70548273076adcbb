"""Seeking claims for the requests of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.claims.claim_bucket import Claim, Verdict
from wisterialoom.core.claims.claim_entry import (
    bucket_of,
    claim_key,
    ClaimEntry,
    ClaimState,
    short_hash,
)
from wisterialoom.core.claims.claim_pursuit import Pursuit, Stage
from wisterialoom.core.claims.claim_settle import ClaimSettler, SettleOutput
from wisterialoom.core.fleet.peer import (
    ClaimRequest,
    ClaimStateWire,
    NonceAnswer,
    NonceQuery,
)
from wisterialoom.core.message import Notice
from wisterialoom.core.notice import (
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimHolding,
    ClaimSettled,
    ClaimWanted,
)
from wisterialoom.core.requests.request import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.claims.claim_answer import AnswerLoaded, AnswerStore
    from wisterialoom.core.claims.claim_home import ClaimHome
    from wisterialoom.core.configuration.document import ClaimSettings

__all__ = ["ClaimSeeker", "SeekOutput"]

ANSWER_LIMIT_S = 2.0
"""Time within which each wanted claim is answered."""

HOME_WAIT_S = 0.5
"""Time that the home has before this instance commits by itself."""

OWNER_WAIT_S = 0.3
"""Time that the owner of an earlier claim has to say what became of it."""

ALLOWED_SKEW_S = 300
"""Difference of wall clocks that the retention makes up for."""

OWNER_GRACE_S = 600.0
"""Age from which a claim of an instance nobody knows has an unknown outcome."""

RETRY_AFTER_S = 1.0
"""When to come back after the object API failed."""

FULL_RETRY_AFTER_S = 60.0
"""When to come back after the bucket was full."""

MAX_SETTLEMENTS = 20_000
"""Count of settlements not yet recorded at which no claim is made."""

SeekOutput: TypeAlias = SettleOutput | Notice


class ClaimSeeker:
    """Takes each wanted claim to its final notice, and knows who may dispatch.

    Attributes:
        home: Commits changes, here or at the bucket's home.
        answers: Holds large answers.
        settler: Records how granted claims ended.
        boot_id: Identity of this process; never used by another.
        wall_clock: Returns the wall-clock time in seconds.
        settings: `None` until a configuration is in force.
        pursuits: Claims that are wanted or granted, by request.
        nonces: The same by nonce.
    """

    def __init__(
        self,
        home: ClaimHome,
        answers: AnswerStore,
        boot_id: str,
        wall_clock: Callable[[], float],
    ) -> None:
        self.home = home
        self.answers = answers
        self.settler = ClaimSettler(home, answers)
        self.name = home.name
        self.boot_id = boot_id
        self.wall_clock = wall_clock
        self.settings: ClaimSettings | None = None
        self.pursuits: dict[str, Pursuit] = {}
        self.nonces: dict[str, Pursuit] = {}
        self.serial = 0

    def want(self, now: float, event: ClaimWanted) -> list[SeekOutput]:
        """Begin to seek a claim; it ends in exactly one final notice."""
        overdue = len(self.settler.settlements) >= MAX_SETTLEMENTS
        if self.settings is None or overdue:
            reason = Reason.CLAIM_UNAVAILABLE
            return [ClaimFailed(event.request_id, reason, RETRY_AFTER_S)]
        key = claim_key(event.caller, event.idempotency_key)
        self.serial += 1
        pursuit = Pursuit(
            request_id=event.request_id,
            key=key,
            bucket=bucket_of(key, self.settings.buckets),
            nonce=f"{self.boot_id}.{self.serial}",
            digest=short_hash(event.digest),
            deadline=now + ANSWER_LIMIT_S,
            valid_until=now + self.settings.retention_s,
        )
        self.pursuits[event.request_id] = pursuit
        self.nonces[pursuit.nonce] = pursuit
        if self.home.is_home(pursuit.bucket):
            return self.commit(now, pursuit)
        return self._ask_home(now, pursuit)

    def _ask_home(self, now: float, pursuit: Pursuit) -> list[SeekOutput]:
        pursuit.stage = Stage.AT_HOME
        pursuit.stage_until = now + HOME_WAIT_S
        pursuit.sent = True
        request = ClaimRequest(
            pursuit.bucket, pursuit.key, pursuit.nonce, pursuit.digest, self.name
        )
        return [*self.home.send(self.home.home_of(pursuit.bucket), request)]

    def commit(
        self, now: float, pursuit: Pursuit, *, replaces: str = ""
    ) -> list[SeekOutput]:
        """Commit a claim by this instance, without the home."""
        pursuit.stage = Stage.COMMITTING
        pursuit.stage_until = pursuit.deadline
        claim = Claim(
            pursuit.key,
            pursuit.nonce,
            pursuit.digest,
            self.name,
            self.expiry(),
            replaces,
        )
        outputs = self.home.commit(now, pursuit.bucket, claim, pursuit.deadline)
        return [*outputs]

    def expiry(self) -> int:
        """Return the wall-clock time until which a new claim is kept."""
        retention = self.settings.retention_s if self.settings else 0.0
        return int(self.wall_clock() + retention) + ALLOWED_SKEW_S

    def judge(self, now: float, pursuit: Pursuit, verdict: Verdict) -> list[SeekOutput]:
        """Act upon what became of a wanted claim."""
        if now >= pursuit.deadline and pursuit.stage is not Stage.GRANTED:
            # After a long pause the retention itself may be over.
            pursuit.sent = True
            return self._fail(now, pursuit)
        match verdict.state:
            case ClaimStateWire.GRANTED if verdict.entry is not None:
                return self._grant(pursuit, verdict.entry)
            case ClaimStateWire.HELD if verdict.entry is not None:
                return self._meet(now, pursuit, verdict.entry)
            case ClaimStateWire.FULL:
                pursuit.sent = False
                return self._fail(now, pursuit, Reason.CLAIMS_FULL, FULL_RETRY_AFTER_S)
        pursuit.sent |= verdict.maybe_written
        return self._fail(now, pursuit)

    def _grant(self, pursuit: Pursuit, entry: ClaimEntry) -> list[SeekOutput]:
        if pursuit.stage is Stage.GRANTED:
            return []
        pursuit.stage = Stage.GRANTED
        pursuit.entry = entry
        return [ClaimGranted(pursuit.request_id, pursuit.valid_until)]

    def _fail(
        self,
        now: float,
        pursuit: Pursuit,
        reason: Reason = Reason.CLAIM_UNAVAILABLE,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> list[SeekOutput]:
        failed = ClaimFailed(pursuit.request_id, reason, retry_after_s)
        return [failed, *self._give_up(now, pursuit)]

    def _forget(self, pursuit: Pursuit) -> None:
        """From here on nothing is dispatched under the claim's nonce."""
        del self.pursuits[pursuit.request_id]
        del self.nonces[pursuit.nonce]

    def _give_up(self, now: float, pursuit: Pursuit) -> list[SeekOutput]:
        """Forget a claim that may be in the object, and free its key."""
        self._forget(pursuit)
        if not pursuit.sent:
            return []
        released = self.settler.release(now, pursuit.bucket, pursuit.key, pursuit.nonce)
        return [*released]

    def abandon(self, now: float, request_id: str) -> list[SeekOutput]:
        """Give a claim up, granted or not, and free its key."""
        pursuit = self.pursuits.get(request_id)
        if pursuit is None:
            return []
        pursuit.sent = True
        return self._give_up(now, pursuit)

    def settle(self, now: float, event: ClaimSettled) -> list[SeekOutput]:
        """Record how a granted claim ended."""
        pursuit = self.pursuits.get(event.request_id)
        if pursuit is None or pursuit.stage is not Stage.GRANTED:
            return []
        self._forget(pursuit)
        assert pursuit.entry is not None
        settled = self.settler.settle(now, pursuit.bucket, pursuit.entry, event.answer)
        return [*settled]

    # Earlier claims that hold the key.

    def _meet(
        self, now: float, pursuit: Pursuit, entry: ClaimEntry
    ) -> list[SeekOutput]:
        pursuit.entry = entry
        if entry.digest != pursuit.digest:
            return self._hold(pursuit, ClaimHolding.OTHER_CONTENT)
        match entry.state:
            case ClaimState.UNKNOWN:
                return self._hold(pursuit, ClaimHolding.UNKNOWN)
            case ClaimState.DONE if entry.answer_object:
                pursuit.stage = Stage.LOADING_ANSWER
                pursuit.stage_until = pursuit.deadline
                return [*self.answers.get(pursuit.nonce, entry.answer_object)]
            case ClaimState.DONE:
                return self._replay(pursuit, entry)
        if entry.owner == self.name:
            return self.heed_owner(now, pursuit, self.word(entry))
        return self._ask_owner(now, pursuit, entry)

    def _ask_owner(
        self, now: float, pursuit: Pursuit, entry: ClaimEntry
    ) -> list[SeekOutput]:
        if entry.owner not in self.home.members:
            lost = entry.owner in self.home.gone or self._is_old(entry)
            holding = ClaimHolding.UNKNOWN if lost else ClaimHolding.IN_PROGRESS
            return self._hold(pursuit, holding)
        pursuit.stage = Stage.ASKING_OWNER
        pursuit.stage_until = min(now + OWNER_WAIT_S, pursuit.deadline)
        return [*self.home.send(entry.owner, NonceQuery(entry.key, entry.nonce))]

    def _is_old(self, entry: ClaimEntry) -> bool:
        # An owner that is leaving is no member any more, but not lost yet.
        return entry.expiry < self.expiry() - OWNER_GRACE_S

    def heed_owner(
        self, now: float, pursuit: Pursuit, word: NonceAnswer
    ) -> list[SeekOutput]:
        """Act upon the word of the instance that holds the key."""
        if word.gone:
            return self._hold(pursuit, ClaimHolding.UNKNOWN)
        if word.abandoned:
            return self.commit(now, pursuit, replaces=word.nonce)
        return self._hold(pursuit, ClaimHolding.IN_PROGRESS)

    def word(self, entry: ClaimEntry | NonceQuery) -> NonceAnswer:
        """Say what became of a claim of this instance.

        A nonce of this process that is in nobody's hands was given up, or its
        settlement is in the object already, where it bars any replacement.
        """
        gone = entry.nonce.rpartition(".")[0] != self.boot_id
        held = entry.nonce in self.nonces or self.settler.settling(entry.nonce)
        return NonceAnswer(entry.key, entry.nonce, not gone and not held, gone)

    def _replay(self, pursuit: Pursuit, entry: ClaimEntry) -> list[SeekOutput]:
        self._forget(pursuit)
        kept = entry.answer is not None
        done = ClaimHolding.DONE
        held = ClaimHeld(pursuit.request_id, done, entry.answer, answer_kept=kept)
        return [held]

    def _hold(self, pursuit: Pursuit, holding: ClaimHolding) -> list[SeekOutput]:
        # Whoever found the holder did not write the nonce, and is done with it.
        self._forget(pursuit)
        return [ClaimHeld(pursuit.request_id, holding)]

    def loaded(self, event: AnswerLoaded) -> list[SeekOutput]:
        """Answer with what an earlier request left."""
        pursuit = self.nonces.get(event.nonce)
        if pursuit is None or pursuit.stage is not Stage.LOADING_ANSWER:
            return []
        self._forget(pursuit)
        done = ClaimHolding.DONE
        return [ClaimHeld(pursuit.request_id, done, event.answer)]

    def tick(self, now: float) -> list[SeekOutput]:
        """Go on where the time for a stage is over."""
        outputs: list[SeekOutput] = []
        for pursuit in list(self.pursuits.values()):
            if pursuit.stage is not Stage.GRANTED and now >= pursuit.stage_until:
                outputs += self._give_up_stage(now, pursuit)
        return outputs

    def _give_up_stage(self, now: float, pursuit: Pursuit) -> list[SeekOutput]:
        match pursuit.stage:
            case Stage.AT_HOME if now < pursuit.deadline:
                return self.commit(now, pursuit)
            case Stage.ASKING_OWNER:
                return self._hold(pursuit, ClaimHolding.IN_PROGRESS)
            case Stage.LOADING_ANSWER:
                return self._hold(pursuit, ClaimHolding.DONE)
        pursuit.sent = True
        return self._fail(now, pursuit)
