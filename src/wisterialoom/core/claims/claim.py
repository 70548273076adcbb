"""Claims of idempotency keys, so that non-idempotent work runs at most once."""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.claims.claim_acquire import AcquireOutput, ClaimAcquirer
from wisterialoom.core.claims.claim_answer import (
    AnswerLoaded,
    AnswerStore,
    AnswerStored,
)
from wisterialoom.core.claims.claim_attempt import Stage
from wisterialoom.core.claims.claim_bucket import Claim, Verdict
from wisterialoom.core.claims.claim_commit import AnswersDropped, ChangeEnded
from wisterialoom.core.claims.claim_coordinator import ClaimCoordinator
from wisterialoom.core.claims.claim_entry import (
    bucket_of,
    ClaimEntry,
    ClaimState,
)
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
"""Longest time that a shutdown waits for settlements to be recorded."""


class ClaimManager:
    """Grants each idempotency key to at most one request across all instances.

    A claim lasts until its retention time is over.

    Args:
        name: Name of this instance.
        boot_id: Unique identity of this process.
        wall_clock: Returns the wall-clock time in seconds.

    Attributes:
        name: Name of this instance.
        coordinator: Commits the changes of this instance and of its peers.
        answers: Stores the answers that are too large for a bucket.
        acquirer: Acquires the claims of this instance's requests.
        settler: Records how granted claims ended, and releases abandoned ones.
        drain_until: Monotonic time at which a shutdown stops waiting.
        drained: Whether the end of draining has been announced.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
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
        self.coordinator = ClaimCoordinator(name, ops, wall_clock)
        self.answers = AnswerStore(ops)
        self.acquirer = ClaimAcquirer(
            self.coordinator, self.answers, boot_id, wall_clock
        )
        self.settler = self.acquirer.settler

    @property
    def remaining(self) -> int:
        """Number of claims and settlements that a shutdown has to wait for."""
        return len(self.acquirer.attempts) + len(self.settler.settlements)

    def handle(self, now: float, event: Event) -> list[Output]:
        """Process one event and return the resulting commands and notices."""
        outputs = self._handle_event(now, event)
        outputs += self._check_drain(now)
        return outputs

    def _handle_event(self, now: float, event: Event) -> list[Output]:
        match event:
            case ClaimRequested():
                return self._process(now, self.acquirer.acquire(now, event))
            case ClaimSettled():
                return self._process(now, self.acquirer.settle(now, event))
            case ClaimAbandoned(request_id=request_id):
                return self._process(now, self.acquirer.abandon(now, request_id))
            case PeerReceived(sender=sender, message=message):
                return self._receive(now, sender, message)
            case ObjectEvent():
                outputs = self._process(now, self.coordinator.handle(now, event))
                return outputs + self._process(now, [*self.answers.handle(event)])
            case Tick():
                return self._tick(now)
            case _:
                return self._handle_state_change(now, event)

    def _handle_state_change(self, now: float, event: Event) -> list[Output]:
        match event:
            case ConfigChanged(document=document):
                self.acquirer.settings = document.deployment.claims
            case MembersChanged():
                self.coordinator.change_members(event)
            case DrainRequested() if self.drain_until is None:
                self.drain_until = now + DRAIN_LIMIT_S
        return []

    # Peer messages, commits and ticks.

    def _receive(self, now: float, sender: str, message: PeerMessage) -> list[Output]:
        match message:
            case ClaimRequest():
                outputs = self.coordinator.serve(
                    now, sender, message, self.acquirer.expiry()
                )
                return self._process(now, [*outputs])
            case NonceQuery():
                return [
                    *self.coordinator.send(sender, self.acquirer.nonce_answer(message))
                ]
            case NonceAnswer(nonce=nonce):
                for attempt in list(self.acquirer.nonces.values()):
                    if attempt.stage is not Stage.ASKING_OWNER or not attempt.entry:
                        continue
                    if attempt.entry.nonce == nonce:
                        handled = self.acquirer.handle_owner_answer(
                            now, attempt, message
                        )
                        return self._process(now, handled)
            case ClaimAnswer():
                return self._handle_claim_answer(now, message)
        return []

    def _handle_claim_answer(self, now: float, message: ClaimAnswer) -> list[Output]:
        self.settler.handle_answer(now, message)
        attempt = self.acquirer.nonces.get(message.nonce)
        entry = ClaimEntry.decode(message.entry) if message.entry else None
        verdict = Verdict(message.state, entry)
        if attempt is None:
            return self._release_orphan(now, message, entry)
        if message.state is ClaimStateWire.GRANTED:
            return self._process(
                now, self.acquirer.handle_verdict(now, attempt, verdict)
            )
        if attempt.stage is not Stage.AT_COORDINATOR:
            return []
        if message.state is ClaimStateWire.UNAVAILABLE:
            attempt.needs_release = message.maybe_written
            return self._process(now, self.acquirer.commit(now, attempt))
        return self._process(now, self.acquirer.handle_verdict(now, attempt, verdict))

    def _release_orphan(
        self, now: float, message: ClaimAnswer, entry: ClaimEntry | None
    ) -> list[Output]:
        """Release a claim that was committed after its attempt had been abandoned."""
        if entry is None or entry.state is not ClaimState.CLAIMED:
            return []
        if (
            entry.nonce != message.nonce
            or not self.acquirer.nonce_answer(entry).abandoned
        ):
            return []
        if self.acquirer.settings is None:
            return []
        bucket = bucket_of(entry.key, self.acquirer.settings.buckets)
        return self._process(
            now, self.settler.release(now, bucket, entry.key, entry.nonce)
        )

    def _process(self, now: float, outputs: Sequence[AcquireOutput]) -> list[Output]:
        """Pass on commands and notices, and process every other output."""
        processed: list[Output] = []
        for output in outputs:
            match output:
                case Command() | Notice():
                    processed.append(output)
                case ChangeEnded():
                    processed += self._handle_change_ended(now, output)
                case AnswerStored():
                    processed += self._process(
                        now, self.settler.handle_stored(now, output)
                    )
                case AnswerLoaded():
                    processed += self._process(now, self.acquirer.handle_loaded(output))
                case AnswersDropped(keys=keys):
                    processed += self._process(now, [*self.answers.drop(keys)])
        return processed

    def _handle_change_ended(self, now: float, ended: ChangeEnded) -> list[Output]:
        change = ended.pending.change
        if not isinstance(change, Claim):
            self.settler.handle_commit(now, change, ended.verdict)
            return []
        attempt = self.acquirer.nonces.get(change.nonce)
        if attempt is not None and attempt.stage is Stage.COMMITTING:
            return self._process(
                now, self.acquirer.handle_verdict(now, attempt, ended.verdict)
            )
        return []

    def _tick(self, now: float) -> list[Output]:
        outputs = self._process(now, [*self.coordinator.tick(now)])
        outputs += self._process(now, self.settler.tick(now))
        outputs += self._process(now, self.acquirer.tick(now))
        return outputs

    def _check_drain(self, now: float) -> list[Output]:
        if self.drain_until is None or self.drained:
            return []
        if self.remaining and now < self.drain_until:
            return []
        self.drained = True
        return [PartDrained("claims")]
