"""Claims of idempotency keys: non-idempotent work is dispatched at most once."""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.claims.claim_answer import (
    AnswerLoaded,
    AnswerStore,
    AnswerStored,
)
from wisterialoom.core.claims.claim_bucket import Claim, Verdict
from wisterialoom.core.claims.claim_commit import AnswersDropped, ChangeEnded
from wisterialoom.core.claims.claim_entry import (
    bucket_of,
    ClaimEntry,
    ClaimState,
)
from wisterialoom.core.claims.claim_home import ClaimHome
from wisterialoom.core.claims.claim_pursuit import Stage
from wisterialoom.core.claims.claim_seek import ClaimSeeker, SeekOutput
from wisterialoom.core.fleet.peer import (
    ClaimAnswer,
    ClaimRequest,
    ClaimStateWire,
    NonceAnswer,
    NonceQuery,
    PeerMessage,
    PeerReceived,
)
from wisterialoom.core.message import Command, Event, Notice, Output, Tick
from wisterialoom.core.notice import (
    ClaimAbandoned,
    ClaimRequested,
    ClaimSettled,
    ConfigChanged,
    DrainRequested,
    MembersChanged,
    PartDrained,
)
from wisterialoom.core.object_store import ObjectEvent, OperationIds

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


__all__ = ["ClaimManager"]

DRAIN_LIMIT_S = 30.0
"""Longest time that a stop waits for settlements to be recorded."""


class ClaimManager:
    """Grants each key to one request over all instances, for its retention.

    Args:
        name: Name of this instance.
        boot_id: Identity of this process; never used by another.
        wall_clock: Returns the wall-clock time in seconds.

    Attributes:
        name: Name of this instance.
        home: Commits for this instance and for others.
        answers: Holds large answers.
        seeker: The claims of this instance's requests.
        settler: Their settlements and releases.
        drain_until: Monotonic time at which a stop waits no longer.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
        ClaimRequested,
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
        self.drain_until: float | None = None
        self.drained = False
        ops = OperationIds("claims")
        self.home = ClaimHome(name, ops, wall_clock)
        self.answers = AnswerStore(ops)
        self.seeker = ClaimSeeker(self.home, self.answers, boot_id, wall_clock)
        self.settler = self.seeker.settler

    @property
    def remaining(self) -> int:
        """Count of claims and settlements that a stop should wait for."""
        return len(self.seeker.pursuits) + len(self.settler.settlements)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it."""
        outputs = self._take(now, event)
        outputs += self._check_drain(now)
        return outputs

    def _take(self, now: float, event: Event) -> list[Output]:
        match event:
            case ClaimRequested():
                return self._absorb(now, self.seeker.want(now, event))
            case ClaimSettled():
                return self._absorb(now, self.seeker.settle(now, event))
            case ClaimAbandoned(request_id=request_id):
                return self._absorb(now, self.seeker.abandon(now, request_id))
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
                self.seeker.settings = document.deployment.claims
            case MembersChanged():
                self.home.change_members(event)
            case DrainRequested() if self.drain_until is None:
                self.drain_until = now + DRAIN_LIMIT_S
        return []

    # Peers, commits, time.

    def _receive(self, now: float, sender: str, message: PeerMessage) -> list[Output]:
        match message:
            case ClaimRequest():
                served = self.home.serve(now, sender, message, self.seeker.expiry())
                return self._absorb(now, [*served])
            case NonceQuery():
                return [*self.home.send(sender, self.seeker.word(message))]
            case NonceAnswer(nonce=nonce):
                for pursuit in list(self.seeker.nonces.values()):
                    if pursuit.stage is not Stage.ASKING_OWNER or not pursuit.entry:
                        continue
                    if pursuit.entry.nonce == nonce:
                        heeded = self.seeker.heed_owner(now, pursuit, message)
                        return self._absorb(now, heeded)
            case ClaimAnswer():
                return self._answered(now, message)
        return []

    def _answered(self, now: float, message: ClaimAnswer) -> list[Output]:
        self.settler.answered(now, message)
        pursuit = self.seeker.nonces.get(message.nonce)
        entry = ClaimEntry.decode(message.entry) if message.entry else None
        verdict = Verdict(message.state, entry)
        if pursuit is None:
            return self._free_orphan(now, message, entry)
        if message.state is ClaimStateWire.GRANTED:
            return self._absorb(now, self.seeker.judge(now, pursuit, verdict))
        if pursuit.stage is not Stage.AT_HOME:
            return []
        if message.state is ClaimStateWire.UNAVAILABLE:
            pursuit.sent = message.maybe_written
            return self._absorb(now, self.seeker.commit(now, pursuit))
        return self._absorb(now, self.seeker.judge(now, pursuit, verdict))

    def _free_orphan(
        self, now: float, message: ClaimAnswer, entry: ClaimEntry | None
    ) -> list[Output]:
        """Release a claim that landed after it had been given up."""
        if entry is None or entry.state is not ClaimState.CLAIMED:
            return []
        if entry.nonce != message.nonce or not self.seeker.word(entry).abandoned:
            return []
        if self.seeker.settings is None:
            return []
        bucket = bucket_of(entry.key, self.seeker.settings.buckets)
        return self._absorb(
            now, self.settler.release(now, bucket, entry.key, entry.nonce)
        )

    def _absorb(self, now: float, outputs: Sequence[SeekOutput]) -> list[Output]:
        """Pass commands on and act upon the rest."""
        absorbed: list[Output] = []
        for output in outputs:
            match output:
                case Command() | Notice():
                    absorbed.append(output)
                case ChangeEnded():
                    absorbed += self._ended(now, output)
                case AnswerStored():
                    absorbed += self._absorb(now, self.settler.stored(now, output))
                case AnswerLoaded():
                    absorbed += self._absorb(now, self.seeker.loaded(output))
                case AnswersDropped(keys=keys):
                    absorbed += self._absorb(now, [*self.answers.drop(keys)])
        return absorbed

    def _ended(self, now: float, ended: ChangeEnded) -> list[Output]:
        change = ended.pending.change
        if not isinstance(change, Claim):
            self.settler.committed(now, change, ended.verdict)
            return []
        pursuit = self.seeker.nonces.get(change.nonce)
        if pursuit is not None and pursuit.stage is Stage.COMMITTING:
            return self._absorb(now, self.seeker.judge(now, pursuit, ended.verdict))
        return []

    def _tick(self, now: float) -> list[Output]:
        outputs = self._absorb(now, [*self.home.tick(now)])
        outputs += self._absorb(now, self.settler.tick(now))
        outputs += self._absorb(now, self.seeker.tick(now))
        return outputs

    def _check_drain(self, now: float) -> list[Output]:
        if self.drain_until is None or self.drained:
            return []
        if self.remaining and now < self.drain_until:
            return []
        self.drained = True
        return [PartDrained("claims")]
