"""Acquisition of claims for the requests of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.claims.claim_attempt import ClaimAttempt, Stage
from wisterialoom.core.claims.claim_bucket import Claim, Verdict
from wisterialoom.core.claims.claim_entry import (
    bucket_of,
    claim_key,
    ClaimEntry,
    ClaimState,
    short_hash,
)
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
    ClaimRequested,
    ClaimSettled,
    HeldClaimState,
)
from wisterialoom.core.requests.request import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.claims.claim_answer import AnswerLoaded, AnswerStore
    from wisterialoom.core.claims.claim_coordinator import ClaimCoordinator
    from wisterialoom.core.configuration.document import ClaimSettings

__all__ = ["ClaimAcquirer", "AcquireOutput"]

ANSWER_LIMIT_S = 2.0
"""Time within which each claim attempt has a final result."""

COORDINATOR_WAIT_S = 0.5
"""Time that the coordinator has before this instance commits by itself."""

OWNER_WAIT_S = 0.3
"""Time that the owner of an earlier claim has to report its state."""

ALLOWED_SKEW_S = 300
"""Largest difference between two instances' wall clocks that is allowed for.

It is added to the expiry of each claim, in seconds.
"""

OWNER_GRACE_S = 600.0
"""Age from which a claim counts as lost if its owner's whereabouts are unknown.

Such an owner is neither a member nor recorded as having left or failed.

The outcome of such a claim is unknown.
"""

RETRY_AFTER_S = 1.0
"""Retry hint after a failure of the object API."""

FULL_RETRY_AFTER_S = 60.0
"""Retry hint if the bucket is full."""

MAX_SETTLEMENTS = 20_000
"""Number of unrecorded settlements from which new claims are refused."""

AcquireOutput: TypeAlias = SettleOutput | Notice


class ClaimAcquirer:
    """Brings each claim attempt to its final notice.

    Attributes:
        coordinator: Commits changes on this instance, and sends messages to peers.
        answers: Stores the answers that are too large for a bucket.
        settler: Records how granted claims ended.
        name: Name of this instance.
        boot_id: Unique identity of this process.
        wall_clock: Returns the wall-clock time in seconds.
        settings: Settings of the claims; `None` until a configuration is in force.
        attempts: Claim attempts in progress or granted, by request id.
        nonces: The same attempts by nonce.
        serial: Number of claim attempts so far.
    """

    def __init__(
        self,
        coordinator: ClaimCoordinator,
        answers: AnswerStore,
        boot_id: str,
        wall_clock: Callable[[], float],
    ) -> None:
        self.coordinator = coordinator
        self.answers = answers
        self.settler = ClaimSettler(coordinator, answers)
        self.name = coordinator.name
        self.boot_id = boot_id
        self.wall_clock = wall_clock
        self.settings: ClaimSettings | None = None
        self.attempts: dict[str, ClaimAttempt] = {}
        self.nonces: dict[str, ClaimAttempt] = {}
        self.serial = 0

    def acquire(self, now: float, event: ClaimRequested) -> list[AcquireOutput]:
        """Begin a claim attempt, which ends in exactly one final notice."""
        backlogged = len(self.settler.settlements) >= MAX_SETTLEMENTS
        if self.settings is None or backlogged:
            reason = Reason.CLAIM_UNAVAILABLE
            return [ClaimFailed(event.request_id, reason, RETRY_AFTER_S)]
        key = claim_key(event.caller, event.idempotency_key)
        self.serial += 1
        attempt = ClaimAttempt(
            request_id=event.request_id,
            key=key,
            bucket=bucket_of(key, self.settings.buckets),
            nonce=f"{self.boot_id}.{self.serial}",
            digest=short_hash(event.digest),
            deadline=now + ANSWER_LIMIT_S,
            valid_until=now + self.settings.retention_s,
        )
        self.attempts[event.request_id] = attempt
        self.nonces[attempt.nonce] = attempt
        if self.coordinator.is_coordinator(attempt.bucket):
            return self.commit(now, attempt)
        return self._ask_coordinator(now, attempt)

    def _ask_coordinator(
        self, now: float, attempt: ClaimAttempt
    ) -> list[AcquireOutput]:
        attempt.stage = Stage.AT_COORDINATOR
        attempt.stage_until = now + COORDINATOR_WAIT_S
        attempt.needs_release = True
        request = ClaimRequest(
            attempt.bucket, attempt.key, attempt.nonce, attempt.digest, self.name
        )
        return [
            *self.coordinator.send(
                self.coordinator.coordinator_of(attempt.bucket), request
            )
        ]

    def commit(
        self, now: float, attempt: ClaimAttempt, *, replaces: str = ""
    ) -> list[AcquireOutput]:
        """Commit a claim on this instance, without a message to the coordinator.

        Args:
            now: Monotonic time in seconds.
            attempt: The attempt to acquire the claim.
            replaces: Nonce of the abandoned claim to replace; empty if none.
        """
        attempt.stage = Stage.COMMITTING
        attempt.stage_until = attempt.deadline
        claim = Claim(
            attempt.key,
            attempt.nonce,
            attempt.digest,
            self.name,
            self.expiry(),
            replaces,
        )
        outputs = self.coordinator.commit(now, attempt.bucket, claim, attempt.deadline)
        return [*outputs]

    def expiry(self) -> int:
        """Return the wall-clock time until which a new claim is retained."""
        retention = self.settings.retention_s if self.settings else 0.0
        return int(self.wall_clock() + retention) + ALLOWED_SKEW_S

    def handle_verdict(
        self, now: float, attempt: ClaimAttempt, verdict: Verdict
    ) -> list[AcquireOutput]:
        """Process the result of committing the claim of an attempt."""
        if now >= attempt.deadline and attempt.stage is not Stage.GRANTED:
            # After a long pause of this process, the claim may have expired.
            attempt.needs_release = True
            return self._fail(now, attempt)
        match verdict.state:
            case ClaimStateWire.GRANTED if verdict.entry is not None:
                return self._grant(attempt, verdict.entry)
            case ClaimStateWire.HELD if verdict.entry is not None:
                return self._handle_existing(now, attempt, verdict.entry)
            case ClaimStateWire.FULL:
                attempt.needs_release = False
                return self._fail(now, attempt, Reason.CLAIMS_FULL, FULL_RETRY_AFTER_S)
        attempt.needs_release |= verdict.maybe_written
        return self._fail(now, attempt)

    def _grant(self, attempt: ClaimAttempt, entry: ClaimEntry) -> list[AcquireOutput]:
        if attempt.stage is Stage.GRANTED:
            return []
        attempt.stage = Stage.GRANTED
        attempt.entry = entry
        return [ClaimGranted(attempt.request_id, attempt.valid_until)]

    def _fail(
        self,
        now: float,
        attempt: ClaimAttempt,
        reason: Reason = Reason.CLAIM_UNAVAILABLE,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> list[AcquireOutput]:
        failed = ClaimFailed(attempt.request_id, reason, retry_after_s)
        return [failed, *self._forget_and_release(now, attempt)]

    def _forget(self, attempt: ClaimAttempt) -> None:
        """End the attempt; from now on, nothing is dispatched under its nonce."""
        del self.attempts[attempt.request_id]
        del self.nonces[attempt.nonce]

    def _forget_and_release(
        self, now: float, attempt: ClaimAttempt
    ) -> list[AcquireOutput]:
        """End the attempt, and release its key if the nonce may have been written."""
        self._forget(attempt)
        if not attempt.needs_release:
            return []
        released = self.settler.release(now, attempt.bucket, attempt.key, attempt.nonce)
        return [*released]

    def abandon(self, now: float, request_id: str) -> list[AcquireOutput]:
        """Abandon a claim, granted or not, and release its key."""
        attempt = self.attempts.get(request_id)
        if attempt is None:
            return []
        attempt.needs_release = True
        return self._forget_and_release(now, attempt)

    def settle(self, now: float, event: ClaimSettled) -> list[AcquireOutput]:
        """Record how the request of a granted claim ended."""
        attempt = self.attempts.get(event.request_id)
        if attempt is None or attempt.stage is not Stage.GRANTED:
            return []
        self._forget(attempt)
        assert attempt.entry is not None
        settled = self.settler.settle(now, attempt.bucket, attempt.entry, event.answer)
        return [*settled]

    # Earlier claims that hold the key.

    def _handle_existing(
        self, now: float, attempt: ClaimAttempt, entry: ClaimEntry
    ) -> list[AcquireOutput]:
        attempt.entry = entry
        if entry.digest != attempt.digest:
            return self._report_held(attempt, HeldClaimState.OTHER_CONTENT)
        match entry.state:
            case ClaimState.UNKNOWN:
                return self._report_held(attempt, HeldClaimState.UNKNOWN)
            case ClaimState.DONE if entry.answer_object:
                attempt.stage = Stage.LOADING_ANSWER
                attempt.stage_until = attempt.deadline
                return [*self.answers.get(attempt.nonce, entry.answer_object)]
            case ClaimState.DONE:
                return self._replay(attempt, entry)
        if entry.owner == self.name:
            return self.handle_owner_answer(now, attempt, self.nonce_answer(entry))
        return self._ask_owner(now, attempt, entry)

    def _ask_owner(
        self, now: float, attempt: ClaimAttempt, entry: ClaimEntry
    ) -> list[AcquireOutput]:
        if entry.owner not in self.coordinator.members:
            lost = entry.owner in self.coordinator.gone or self._is_old(entry)
            held_state = HeldClaimState.UNKNOWN if lost else HeldClaimState.IN_PROGRESS
            return self._report_held(attempt, held_state)
        attempt.stage = Stage.ASKING_OWNER
        attempt.stage_until = min(now + OWNER_WAIT_S, attempt.deadline)
        return [*self.coordinator.send(entry.owner, NonceQuery(entry.key, entry.nonce))]

    def _is_old(self, entry: ClaimEntry) -> bool:
        # An owner that is shutting down is no longer a member, but may still settle
        # its claims.
        return entry.expiry < self.expiry() - OWNER_GRACE_S

    def handle_owner_answer(
        self, now: float, attempt: ClaimAttempt, nonce_answer: NonceAnswer
    ) -> list[AcquireOutput]:
        """Process what the owner of an earlier claim reports about it."""
        if nonce_answer.gone:
            return self._report_held(attempt, HeldClaimState.UNKNOWN)
        if nonce_answer.abandoned:
            return self.commit(now, attempt, replaces=nonce_answer.nonce)
        return self._report_held(attempt, HeldClaimState.IN_PROGRESS)

    def nonce_answer(self, entry: ClaimEntry | NonceQuery) -> NonceAnswer:
        """Report the state of a claim of this instance.

        A nonce of this process with neither an attempt nor a pending settlement
        was abandoned, or its settlement is in the object already and prevents any
        replacement.
        """
        gone = entry.nonce.rpartition(".")[0] != self.boot_id
        in_use = entry.nonce in self.nonces or self.settler.is_settling(entry.nonce)
        return NonceAnswer(entry.key, entry.nonce, not gone and not in_use, gone)

    def _replay(self, attempt: ClaimAttempt, entry: ClaimEntry) -> list[AcquireOutput]:
        self._forget(attempt)
        stored = entry.answer is not None
        done = HeldClaimState.DONE
        held = ClaimHeld(attempt.request_id, done, entry.answer, answer_stored=stored)
        return [held]

    def _report_held(
        self, attempt: ClaimAttempt, held_state: HeldClaimState
    ) -> list[AcquireOutput]:
        # The key was found to be held, so that the nonce of this attempt was not
        # written and needs no release.
        self._forget(attempt)
        return [ClaimHeld(attempt.request_id, held_state)]

    def handle_loaded(self, event: AnswerLoaded) -> list[AcquireOutput]:
        """Report the stored answer of an earlier request."""
        attempt = self.nonces.get(event.nonce)
        if attempt is None or attempt.stage is not Stage.LOADING_ANSWER:
            return []
        self._forget(attempt)
        done = HeldClaimState.DONE
        return [ClaimHeld(attempt.request_id, done, event.answer)]

    def tick(self, now: float) -> list[AcquireOutput]:
        """Advance the attempts whose current stage has timed out."""
        outputs: list[AcquireOutput] = []
        for attempt in list(self.attempts.values()):
            if attempt.stage is not Stage.GRANTED and now >= attempt.stage_until:
                outputs += self._expire_stage(now, attempt)
        return outputs

    def _expire_stage(self, now: float, attempt: ClaimAttempt) -> list[AcquireOutput]:
        match attempt.stage:
            case Stage.AT_COORDINATOR if now < attempt.deadline:
                return self.commit(now, attempt)
            case Stage.ASKING_OWNER:
                return self._report_held(attempt, HeldClaimState.IN_PROGRESS)
            case Stage.LOADING_ANSWER:
                return self._report_held(attempt, HeldClaimState.DONE)
        attempt.needs_release = True
        return self._fail(now, attempt)
