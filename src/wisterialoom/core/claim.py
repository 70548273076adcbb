"""Claims of idempotency keys: non-idempotent work is dispatched at most once."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.claim_answer import AnswerLoaded, AnswerStore, AnswerStored
from wisterialoom.core.claim_bucket import Claim, Verdict
from wisterialoom.core.claim_commit import AnswersDropped, ChangeEnded
from wisterialoom.core.claim_entry import (
    bucket_of,
    claim_key,
    ClaimEntry,
    ClaimState,
    short_hash,
)
from wisterialoom.core.claim_home import ClaimHome
from wisterialoom.core.claim_settle import ClaimSettler, SettleOutput
from wisterialoom.core.message import Command, Event, Output, Tick
from wisterialoom.core.notice import (
    ClaimAbandoned,
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimHolding,
    ClaimSettled,
    ClaimWanted,
    ConfigChanged,
    DrainRequested,
    MembersChanged,
    PartDrained,
)
from wisterialoom.core.object_store import ObjectEvent, OperationIds
from wisterialoom.core.peer import (
    ClaimAnswer,
    ClaimRequest,
    ClaimStateWire,
    NonceAnswer,
    NonceQuery,
    PeerMessage,
    PeerReceived,
)
from wisterialoom.core.request import Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from wisterialoom.core.document import ClaimSettings

__all__ = ["ClaimKeeper"]

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

DRAIN_LIMIT_S = 30.0
"""Longest time that a stop waits for settlements to be recorded."""


class Stage(enum.Enum):
    """How far a wanted claim has come."""

    AT_HOME = "at_home"
    COMMITTING = "committing"
    ASKING_OWNER = "asking_owner"
    LOADING_ANSWER = "loading_answer"
    GRANTED = "granted"


@dataclass
class Pursuit:
    """A request of this instance and its claim.

    Attributes:
        request_id: The request.
        key: Hash of caller and idempotency key.
        bucket: Number of the key's bucket.
        nonce: Identity of this attempt; nothing else is dispatched under it.
        digest: Hash of the request's content.
        deadline: Monotonic time by which it is answered.
        stage: How far it has come.
        stage_until: Monotonic time at which the stage is given up.
        entry: The claim that was granted, or the earlier one that holds the key.
        sent: Somebody was asked to write the nonce.
    """

    request_id: str
    key: str
    bucket: int
    nonce: str
    digest: str
    deadline: float
    stage: Stage = Stage.AT_HOME
    stage_until: float = 0.0
    entry: ClaimEntry | None = None
    sent: bool = False


class ClaimKeeper:
    """Grants each key to one request over all instances, for its retention.

    Attributes:
        name: Name of this instance.
        boot_id: Identity of this process; never used by another.
        wall_clock: Returns the wall-clock time in seconds.
        settings: `None` until a configuration is in force.
        pursuits: Claims that are wanted or granted, by request.
        nonces: The same by nonce.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
        ClaimWanted,
        ClaimSettled,
        ClaimAbandoned,
        ConfigChanged,
        MembersChanged,
        PeerReceived,
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
        self.settings: ClaimSettings | None = None
        self.pursuits: dict[str, Pursuit] = {}
        self.nonces: dict[str, Pursuit] = {}
        self.serial = 0
        self.drain_until: float | None = None
        self.drained = False
        ops = OperationIds("claims")
        self.home = ClaimHome(name, ops, wall_clock)
        self.answers = AnswerStore(ops)
        self.settler = ClaimSettler(self.home, self.answers)

    @property
    def remaining(self) -> int:
        """Count of claims and settlements that a stop should wait for."""
        return len(self.pursuits) + len(self.settler.settlements)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it."""
        outputs = self._take(now, event)
        outputs += self._check_drain(now)
        return outputs

    def _take(self, now: float, event: Event) -> list[Output]:
        match event:
            case ClaimWanted():
                return self._want(now, event)
            case ClaimSettled():
                return self._settle(now, event)
            case ClaimAbandoned(request_id=request_id):
                return self._abandon(now, request_id)
            case PeerReceived(sender=sender, message=message):
                return self._receive(now, sender, message)
            case ObjectEvent():
                outputs = self._absorb(now, self.home.handle(now, event))
                return outputs + self._absorb(now, [*self.answers.handle(event)])
            case Tick():
                return self._tick(now)
            case _:
                return self._adjust(now, event)

    def _adjust(self, now: float, event: Event) -> list[Output]:
        match event:
            case ConfigChanged(document=document):
                self.settings = document.deployment.claims
            case MembersChanged():
                self.home.change_members(event)
            case DrainRequested() if self.drain_until is None:
                self.drain_until = now + DRAIN_LIMIT_S
        return []

    # Claims.

    def _want(self, now: float, event: ClaimWanted) -> list[Output]:
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
        )
        self.pursuits[event.request_id] = pursuit
        self.nonces[pursuit.nonce] = pursuit
        if self.home.is_home(pursuit.bucket):
            return self._commit(now, pursuit)
        return self._ask_home(now, pursuit)

    def _ask_home(self, now: float, pursuit: Pursuit) -> list[Output]:
        pursuit.stage = Stage.AT_HOME
        pursuit.stage_until = now + HOME_WAIT_S
        pursuit.sent = True
        request = ClaimRequest(
            pursuit.bucket, pursuit.key, pursuit.nonce, pursuit.digest, self.name
        )
        return [*self.home.send(self.home.home_of(pursuit.bucket), request)]

    def _commit(
        self, now: float, pursuit: Pursuit, *, replaces: str = ""
    ) -> list[Output]:
        pursuit.stage = Stage.COMMITTING
        pursuit.stage_until = pursuit.deadline
        claim = Claim(
            pursuit.key,
            pursuit.nonce,
            pursuit.digest,
            self.name,
            self._expiry(),
            replaces,
        )
        outputs = self.home.commit(now, pursuit.bucket, claim, pursuit.deadline)
        return self._absorb(now, [*outputs])

    def _expiry(self) -> int:
        retention = self.settings.retention_s if self.settings else 0.0
        return int(self.wall_clock() + retention) + ALLOWED_SKEW_S

    def _judge(self, now: float, pursuit: Pursuit, verdict: Verdict) -> list[Output]:
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

    def _grant(self, pursuit: Pursuit, entry: ClaimEntry) -> list[Output]:
        if pursuit.stage is Stage.GRANTED:
            return []
        pursuit.stage = Stage.GRANTED
        pursuit.entry = entry
        return [ClaimGranted(pursuit.request_id)]

    def _fail(
        self,
        now: float,
        pursuit: Pursuit,
        reason: Reason = Reason.CLAIM_UNAVAILABLE,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> list[Output]:
        failed = ClaimFailed(pursuit.request_id, reason, retry_after_s)
        return [failed, *self._give_up(now, pursuit)]

    def _forget(self, pursuit: Pursuit) -> None:
        """From here on nothing is dispatched under the claim's nonce."""
        del self.pursuits[pursuit.request_id]
        del self.nonces[pursuit.nonce]

    def _give_up(self, now: float, pursuit: Pursuit) -> list[Output]:
        """Forget a claim that may be in the object, and free its key."""
        self._forget(pursuit)
        if not pursuit.sent:
            return []
        released = self.settler.release(now, pursuit.bucket, pursuit.key, pursuit.nonce)
        return self._absorb(now, released)

    def _abandon(self, now: float, request_id: str) -> list[Output]:
        pursuit = self.pursuits.get(request_id)
        if pursuit is None:
            return []
        pursuit.sent = True
        return self._give_up(now, pursuit)

    def _settle(self, now: float, event: ClaimSettled) -> list[Output]:
        pursuit = self.pursuits.get(event.request_id)
        if pursuit is None or pursuit.stage is not Stage.GRANTED:
            return []
        self._forget(pursuit)
        assert pursuit.entry is not None
        settled = self.settler.settle(now, pursuit.bucket, pursuit.entry, event.answer)
        return self._absorb(now, settled)

    # Earlier claims that hold the key.

    def _meet(self, now: float, pursuit: Pursuit, entry: ClaimEntry) -> list[Output]:
        pursuit.entry = entry
        if entry.digest != pursuit.digest:
            return self._hold(pursuit, ClaimHolding.OTHER_CONTENT)
        match entry.state:
            case ClaimState.UNKNOWN:
                return self._hold(pursuit, ClaimHolding.UNKNOWN)
            case ClaimState.DONE if entry.answer_object:
                pursuit.stage = Stage.LOADING_ANSWER
                pursuit.stage_until = pursuit.deadline
                return self._absorb(
                    now, self.answers.get(pursuit.nonce, entry.answer_object)
                )
            case ClaimState.DONE:
                return self._replay(pursuit, entry)
        if entry.owner == self.name:
            return self._heed_owner(now, pursuit, self._word(entry))
        return self._ask_owner(now, pursuit, entry)

    def _ask_owner(
        self, now: float, pursuit: Pursuit, entry: ClaimEntry
    ) -> list[Output]:
        if entry.owner not in self.home.members:
            lost = entry.owner in self.home.gone or self._is_old(entry)
            holding = ClaimHolding.UNKNOWN if lost else ClaimHolding.IN_PROGRESS
            return self._hold(pursuit, holding)
        pursuit.stage = Stage.ASKING_OWNER
        pursuit.stage_until = min(now + OWNER_WAIT_S, pursuit.deadline)
        return [*self.home.send(entry.owner, NonceQuery(entry.key, entry.nonce))]

    def _is_old(self, entry: ClaimEntry) -> bool:
        # An owner that is leaving is no member any more, but not lost yet.
        return entry.expiry < self._expiry() - OWNER_GRACE_S

    def _heed_owner(
        self, now: float, pursuit: Pursuit, word: NonceAnswer
    ) -> list[Output]:
        if word.gone:
            return self._hold(pursuit, ClaimHolding.UNKNOWN)
        if word.abandoned:
            return self._commit(now, pursuit, replaces=word.nonce)
        return self._hold(pursuit, ClaimHolding.IN_PROGRESS)

    def _word(self, entry: ClaimEntry | NonceQuery) -> NonceAnswer:
        """Say what became of a claim of this instance.

        A nonce of this process that is in nobody's hands was given up, or its
        settlement is in the object already, where it bars any replacement.
        """
        gone = entry.nonce.rpartition(".")[0] != self.boot_id
        held = entry.nonce in self.nonces or self.settler.settling(entry.nonce)
        return NonceAnswer(entry.key, entry.nonce, not gone and not held, gone)

    def _replay(self, pursuit: Pursuit, entry: ClaimEntry) -> list[Output]:
        self._forget(pursuit)
        kept = entry.answer is not None
        done = ClaimHolding.DONE
        held = ClaimHeld(pursuit.request_id, done, entry.answer, answer_kept=kept)
        return [held]

    def _hold(self, pursuit: Pursuit, holding: ClaimHolding) -> list[Output]:
        # Whoever found the holder did not write the nonce, and is done with it.
        self._forget(pursuit)
        return [ClaimHeld(pursuit.request_id, holding)]

    def _loaded(self, event: AnswerLoaded) -> list[Output]:
        pursuit = self.nonces.get(event.nonce)
        if pursuit is None or pursuit.stage is not Stage.LOADING_ANSWER:
            return []
        self._forget(pursuit)
        done = ClaimHolding.DONE
        return [ClaimHeld(pursuit.request_id, done, event.answer)]

    # Peers, commits, time.

    def _receive(self, now: float, sender: str, message: PeerMessage) -> list[Output]:
        match message:
            case ClaimRequest():
                served = self.home.serve(now, sender, message, self._expiry())
                return self._absorb(now, [*served])
            case NonceQuery():
                return [*self.home.send(sender, self._word(message))]
            case NonceAnswer(nonce=nonce):
                for pursuit in list(self.nonces.values()):
                    if pursuit.stage is not Stage.ASKING_OWNER or not pursuit.entry:
                        continue
                    if pursuit.entry.nonce == nonce:
                        return self._heed_owner(now, pursuit, message)
            case ClaimAnswer():
                return self._answered(now, message)
        return []

    def _answered(self, now: float, message: ClaimAnswer) -> list[Output]:
        self.settler.answered(now, message)
        pursuit = self.nonces.get(message.nonce)
        entry = ClaimEntry.decode(message.entry) if message.entry else None
        verdict = Verdict(message.state, entry)
        if pursuit is None:
            return self._free_orphan(now, message, entry)
        if message.state is ClaimStateWire.GRANTED:
            return self._judge(now, pursuit, verdict)
        if pursuit.stage is not Stage.AT_HOME:
            return []
        if message.state is ClaimStateWire.UNAVAILABLE:
            pursuit.sent = message.maybe_written
            return self._commit(now, pursuit)
        return self._judge(now, pursuit, verdict)

    def _free_orphan(
        self, now: float, message: ClaimAnswer, entry: ClaimEntry | None
    ) -> list[Output]:
        """Release a claim that landed after it had been given up."""
        if entry is None or entry.state is not ClaimState.CLAIMED:
            return []
        if entry.nonce != message.nonce or not self._word(entry).abandoned:
            return []
        if self.settings is None:
            return []
        bucket = bucket_of(entry.key, self.settings.buckets)
        return self._absorb(
            now, self.settler.release(now, bucket, entry.key, entry.nonce)
        )

    def _absorb(self, now: float, outputs: Sequence[SettleOutput]) -> list[Output]:
        """Pass commands on and act upon the rest."""
        absorbed: list[Output] = []
        for output in outputs:
            match output:
                case Command():
                    absorbed.append(output)
                case ChangeEnded():
                    absorbed += self._ended(now, output)
                case AnswerStored():
                    absorbed += self._absorb(now, self.settler.stored(now, output))
                case AnswerLoaded():
                    absorbed += self._loaded(output)
                case AnswersDropped(keys=keys):
                    absorbed += self._absorb(now, [*self.answers.drop(keys)])
        return absorbed

    def _ended(self, now: float, ended: ChangeEnded) -> list[Output]:
        change = ended.pending.change
        if not isinstance(change, Claim):
            self.settler.committed(now, change, ended.verdict)
            return []
        pursuit = self.nonces.get(change.nonce)
        if pursuit is not None and pursuit.stage is Stage.COMMITTING:
            return self._judge(now, pursuit, ended.verdict)
        return []

    def _tick(self, now: float) -> list[Output]:
        outputs = self._absorb(now, [*self.home.tick(now)])
        outputs += self._absorb(now, self.settler.tick(now))
        for pursuit in list(self.pursuits.values()):
            if pursuit.stage is not Stage.GRANTED and now >= pursuit.stage_until:
                outputs += self._give_up_stage(now, pursuit)
        return outputs

    def _give_up_stage(self, now: float, pursuit: Pursuit) -> list[Output]:
        match pursuit.stage:
            case Stage.AT_HOME if now < pursuit.deadline:
                return self._commit(now, pursuit)
            case Stage.ASKING_OWNER:
                return self._hold(pursuit, ClaimHolding.IN_PROGRESS)
            case Stage.LOADING_ANSWER:
                return self._hold(pursuit, ClaimHolding.DONE)
        pursuit.sent = True
        return self._fail(now, pursuit)

    def _check_drain(self, now: float) -> list[Output]:
        if self.drain_until is None or self.drained:
            return []
        if self.remaining and now < self.drain_until:
            return []
        self.drained = True
        return [PartDrained("claims")]
