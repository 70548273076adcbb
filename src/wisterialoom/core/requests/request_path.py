"""The path of a request: classify, admit, claim, queue, dispatch, settle."""

from __future__ import annotations

import math
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.message import Event, Output, Tick
from wisterialoom.core.notice import (
    ClaimAbandoned,
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimRequested,
    ConfigChanged,
    ConfigFreshness,
    DrainRequested,
    HeldClaimState,
    LoadReported,
    MembersChanged,
    PartDrained,
    ServersChanged,
)
from wisterialoom.core.notice_job import JobDue, JobEnded, JobRequested
from wisterialoom.core.requests.attempt_control import AttemptControl
from wisterialoom.core.requests.classifier import Classifier
from wisterialoom.core.requests.flight import InFlightRequest, Stage
from wisterialoom.core.requests.path_state import PathState
from wisterialoom.core.requests.prefix_index import CacheEvents
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptFirstByte,
    CallerGone,
    CancelAttempt,
    Classified,
    Outcome,
    Reason,
    Refusal,
    Refuse,
    ReplayAnswer,
    Request,
    RequestArrived,
    RequestSettled,
)
from wisterialoom.core.requests.router import Router
from wisterialoom.core.requests.settlement import Settlement

if TYPE_CHECKING:
    import random

    from wisterialoom.core.requests.choice import Choice
    from wisterialoom.core.window import WindowPolicy

__all__ = ["RequestPath"]

DRAIN_QUEUE_LIMIT_S = 10.0
"""Time that waiting requests still have to begin once the instance is stopping."""

_HELD_REASONS = {
    HeldClaimState.IN_PROGRESS: Reason.IN_PROGRESS,
    HeldClaimState.UNKNOWN: Reason.KEY_UNKNOWN,
    HeldClaimState.OTHER_CONTENT: Reason.KEY_REUSED,
}


class RequestPath(PathState):
    """Carries each request to exactly one outcome.

    Attributes:
        settlement: Brings requests to their outcome.
        attempts: Dispatches requests and takes the ends of attempts.
        queue_limit: Monotonic time after which no request may wait any more.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
        RequestArrived,
        JobDue,
        CallerGone,
        AttemptFirstByte,
        AttemptEnded,
        ClaimGranted,
        ClaimHeld,
        ClaimFailed,
        ConfigChanged,
        ConfigFreshness,
        ServersChanged,
        LoadReported,
        MembersChanged,
        CacheEvents,
        DrainRequested,
        Tick,
    )

    def __init__(
        self,
        availability_zone: str,
        *,
        policy: WindowPolicy | None = None,
        choice: Choice | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__(Router(availability_zone))
        if policy is not None:
            self.router.policy = policy
        if choice is not None:
            self.router.choice = choice
        if rng is not None:
            self.router.rng = rng
        self.settlement = Settlement(self)
        self.attempts = AttemptControl(self, self.settlement)
        self.queue_limit = math.inf
        self.drain_reported = False

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it.

        Args:
            now: Monotonic time in seconds.
            event: What happened.
        """
        match event:
            case RequestArrived(request=request, body=body):
                return self._arrive(now, request, body)
            case JobDue():
                return self._arrive_job(now, event)
            case AttemptFirstByte(attempt=attempt):
                return self.attempts.first_byte(now, attempt)
            case AttemptEnded():
                return self.attempts.end(now, event) + self._check_drained()
            case CallerGone(request_id=request_id):
                return self._caller_gone(now, request_id)
            case ClaimGranted() | ClaimHeld() | ClaimFailed():
                return self._claim_answered(now, event)
            case Tick():
                return self._tick(now)
            case _:
                return self._take_notice(now, event)

    def _take_notice(self, now: float, event: Event) -> list[Output]:
        match event:
            case ConfigChanged(document=document):
                self.classifier = Classifier.from_document(document)
                self.admission.configure(document)
                self.router.configure(document)
                return self.attempts.pump_all(now)
            case ConfigFreshness(fresh=fresh):
                self.fresh = fresh
            case ServersChanged(servers=servers):
                self.router.set_servers(servers)
                return self.attempts.pump_all(now)
            case LoadReported(load=load):
                view = self.router.report(now, load)
                return self.attempts.pump(now, view) if view is not None else []
            case MembersChanged(members=members):
                self.router.set_sharing_instances(len(members))
            case CacheEvents():
                self.router.prefixes.note_events(event)
            case DrainRequested():
                return self._drain(now)
        return []

    # Arrival: classify, admit, claim, queue.

    def _arrive(self, now: float, request: Request, body: bytes) -> list[Output]:
        refusal = self._refuse_any()
        if refusal is not None:
            return self._turn_away(request, refusal)
        assert self.classifier is not None
        found = self.classifier.classify(now, request)
        if isinstance(found, Refusal):
            return self._turn_away(request, found)
        if request.respond_async and found.may_wait:
            return [self._want_job(found, body)]
        self.demand.arrived(now, request.model)
        return self._admit(now, found)

    def _want_job(self, found: Classified, body: bytes) -> JobRequested:
        return JobRequested(
            request=found.request,
            caller=found.caller,
            traffic_class=found.traffic_class,
            idempotent=found.idempotent,
            max_wait_s=found.deadline - found.arrived,
            body=body,
        )

    def _arrive_job(self, now: float, due: JobDue) -> list[Output]:
        request = due.request
        found = None
        if self.classifier is not None and not self.draining:
            found = self.classifier.classify_job(now, due)
        if not isinstance(found, Classified):
            return [JobEnded(request.request_id, Outcome.NOT_RUN)]
        self.demand.arrived(now, request.model)
        return self._admit(now, found, job=True)

    def _admit(
        self, now: float, found: Classified, *, job: bool = False
    ) -> list[Output]:
        request = found.request
        if not found.idempotent and not request.idempotency_key:
            return self._turn_away(request, refuse(Reason.KEY_MISSING), found)
        refusal = self.admission.check(now, found)
        if refusal is not None and job:
            wait_s = refusal.retry_after_s or 1.0
            ended = JobEnded(request.request_id, Outcome.NOT_RUN, retry_after_s=wait_s)
            return [ended]
        if refusal is not None:
            return self._turn_away(request, refusal, found)
        flight = InFlightRequest(found, job=job, answered=job)
        self.in_flight_requests[request.request_id] = flight
        self.admission.enter(found)
        if found.idempotent:
            return self.attempts.enqueue(now, flight)
        return self._claim(flight)

    def _refuse_any(self) -> Refusal | None:
        if self.draining:
            return refuse(Reason.DRAINING)
        if self.classifier is None or not self.fresh:
            return refuse(Reason.CONFIG_STALE)
        return None

    def _turn_away(
        self, request: Request, refusal: Refusal, found: Classified | None = None
    ) -> list[Output]:
        settled = RequestSettled(
            request_id=request.request_id,
            outcome=refusal.outcome,
            reason=refusal.reason,
            caller=found.caller if found else "",
            traffic_class=found.traffic_class if found else "",
            model=request.model,
        )
        return [Refuse(request.request_id, refusal), settled]

    def _claim(self, flight: InFlightRequest) -> list[Output]:
        flight.stage = Stage.CLAIMING
        request = flight.classified.request
        return [
            ClaimRequested(
                request_id=request.request_id,
                caller=flight.classified.caller,
                idempotency_key=request.idempotency_key,
                digest=request.body_sha256,
            )
        ]

    def _claim_answered(
        self, now: float, event: ClaimGranted | ClaimHeld | ClaimFailed
    ) -> list[Output]:
        flight = self.in_flight_requests.get(event.request_id)
        if flight is None or flight.stage is not Stage.CLAIMING:
            self.late_events += 1
            if isinstance(event, ClaimGranted):
                return [ClaimAbandoned(event.request_id)]
            return []
        match event:
            case ClaimGranted():
                flight.claimed = True
                flight.claim_until = event.valid_until
                return self.attempts.enqueue(now, flight)
            case ClaimHeld(held_state=HeldClaimState.DONE):
                return self._replay(flight, event)
            case ClaimHeld(held_state=HeldClaimState.IN_PROGRESS) if flight.job:
                return self.settlement.settle(
                    flight, Outcome.NOT_RUN, Reason.IN_PROGRESS
                )
            case ClaimHeld(held_state=held_state):
                return self.settlement.give_up(
                    flight, refuse(_HELD_REASONS[held_state])
                )
            case ClaimFailed(reason=reason, retry_after_s=retry_after_s):
                refusal = refuse(reason, retry_after_s=retry_after_s)
                return self.settlement.give_up(flight, refusal)

    def _replay(self, flight: InFlightRequest, held: ClaimHeld) -> list[Output]:
        if held.answer is None and held.answer_stored and flight.job:
            reason = Reason.ANSWER_UNAVAILABLE
            return self.settlement.settle(flight, Outcome.NOT_RUN, reason)
        if held.answer is None:
            kept = held.answer_stored
            reason = Reason.ANSWER_UNAVAILABLE if kept else Reason.ANSWER_NOT_KEPT
            return self.settlement.give_up(flight, refuse(reason))
        settled = self.settlement.settle(flight, Outcome.COMPLETED, answer=held.answer)
        if flight.job:
            return settled
        return [ReplayAnswer(flight.request_id, held.answer), *settled]

    def _caller_gone(self, now: float, request_id: str) -> list[Output]:
        flight = self.in_flight_requests.get(request_id)
        if flight is None:
            self.late_events += 1
            return []
        flight.answered = True
        if flight.stage is not Stage.DISPATCHED:
            return self.settlement.give_up(flight, refuse(Reason.CALLER_GONE))
        if flight.classified.idempotent and flight.attempt is not None:
            return [CancelAttempt(flight.attempt)]
        return []

    # Time.

    def _tick(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        for flight in list(self.in_flight_requests.values()):
            outputs += self._check_time(now, flight)
        outputs += self.attempts.pump_all(now)
        outputs += self.demand.report(now, self.queue)
        return outputs + self._check_drained()

    def _check_time(self, now: float, flight: InFlightRequest) -> list[Output]:
        if flight.stage is Stage.DISPATCHED:
            return self.attempts.check_timeout(now, flight)
        if now >= self.queue_limit:
            return self.settlement.give_up(flight, refuse(Reason.DRAINING))
        match flight.stage:
            case Stage.QUEUED if self.admission.is_hopeless(now, flight.classified):
                return self.settlement.give_up(flight, refuse(Reason.UNREACHABLE))
            case Stage.QUEUED if now >= self._queue_limit(now, flight):
                return self.settlement.expire(now, flight)
            case Stage.CLAIMING if now >= flight.classified.deadline:
                return self.settlement.expire(now, flight)
        return []

    def _queue_limit(self, now: float, flight: InFlightRequest) -> float:
        classified = flight.classified
        latest = self.router.latest_dispatch(classified)
        if classified.give_up <= classified.deadline:
            return latest
        if self.router.candidates(now, classified.lane):
            return latest
        return classified.give_up

    # Stopping.

    def _drain(self, now: float) -> list[Output]:
        self.draining = True
        self.queue_limit = now + DRAIN_QUEUE_LIMIT_S
        return self._check_drained()

    def _check_drained(self) -> list[Output]:
        if not self.draining or self.in_flight_requests or self.drain_reported:
            return []
        self.drain_reported = True
        return [PartDrained("request_path")]
