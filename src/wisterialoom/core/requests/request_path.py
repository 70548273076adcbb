"""The request path: classify, admit, claim, queue, dispatch and settle."""

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
from wisterialoom.core.request_limit import LimitShares
from wisterialoom.core.requests.attempt_control import AttemptControl
from wisterialoom.core.requests.classifier import Classifier
from wisterialoom.core.requests.in_flight_request import InFlightRequest, Stage
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
    ServerNoticed,
)
from wisterialoom.core.requests.router import Router
from wisterialoom.core.requests.settlement import Settlement

if TYPE_CHECKING:
    import random

    from wisterialoom.core.requests.selection_policy import SelectionPolicy
    from wisterialoom.core.window import WindowPolicy

__all__ = ["RequestPath"]

HELD_JOB_RETRY_S = 30.0
"""Time after which a job is tried again that is held back, as servers crash on it."""

DRAIN_QUEUE_TIMEOUT_S = 10.0
"""Time to dispatch waiting requests once the instance is stopping, in seconds."""

_HELD_REASONS = {
    HeldClaimState.IN_PROGRESS: Reason.IN_PROGRESS,
    HeldClaimState.UNKNOWN: Reason.KEY_UNKNOWN,
    HeldClaimState.OTHER_CONTENT: Reason.KEY_REUSED,
}


class RequestPath(PathState):
    """Processes each request up to exactly one outcome.

    Attributes:
        settlement: Records the outcome of requests.
        attempt_control: Dispatches requests and handles the ends of attempts.
        drain_deadline: Monotonic time after which no request may wait any more.
        drain_reported: Whether `PartDrained` has been reported.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        RequestArrived,
        JobDue,
        CallerGone,
        ServerNoticed,
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
        name: str = "",
        policy: WindowPolicy | None = None,
        choice: SelectionPolicy | None = None,
        rng: random.Random | None = None,
    ) -> None:
        router = Router(availability_zone, limit_shares=LimitShares(name))
        super().__init__(router, name)
        if policy is not None:
            self.router.policy = policy
        if choice is not None:
            self.router.choice = choice
        if rng is not None:
            self.router.rng = rng
        self.settlement = Settlement(self)
        self.attempt_control = AttemptControl(self, self.settlement)
        self.drain_deadline = math.inf
        self.drain_reported = False

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event and return the resulting outputs.

        Args:
            now: Monotonic time in seconds.
            event: The event.
        """
        match event:
            case RequestArrived(request=request, body=body):
                return self._arrive(now, request, body)
            case JobDue():
                return self._arrive_job(now, event)
            case AttemptFirstByte(attempt=attempt):
                return self.attempt_control.record_first_byte(now, attempt)
            case ServerNoticed():
                return self.attempt_control.record_notice(now, event)
            case AttemptEnded():
                outputs = self.attempt_control.end(now, event)
                outputs += self._end_held(now)
                return outputs + self._check_drained()
            case CallerGone(request_id=request_id):
                return self._handle_caller_gone(now, request_id)
            case ClaimGranted() | ClaimHeld() | ClaimFailed():
                return self._handle_claim_result(now, event)
            case Tick():
                return self._tick(now)
            case _:
                return self._handle_notification(now, event)

    def _handle_notification(self, now: float, event: Event) -> list[Output]:
        match event:
            case ConfigChanged(document=document):
                self.classifier = Classifier.from_document(document)
                self.admission.configure(document)
                self.router.configure(document)
                return self.attempt_control.dispatch_waiting_to_all(now)
            case ConfigFreshness(fresh=fresh):
                self.fresh = fresh
            case ServersChanged(servers=servers):
                before = dict(self.router.views)
                self.router.set_servers(servers)
                self.crash_guard.record_listed(before, self.router.views.values())
                return self.attempt_control.dispatch_waiting_to_all(now)
            case LoadReported(load=load):
                view = self.router.report(now, load)
                return (
                    self.attempt_control.dispatch_waiting(now, view)
                    if view is not None
                    else []
                )
            case MembersChanged(members=members):
                self.router.set_instances(now, [item.name for item in members])
            case CacheEvents():
                self.router.prefixes.apply_events(event)
            case DrainRequested():
                return self._drain(now)
        return []

    # Arrival: classify, admit, claim and queue.

    def _arrive(self, now: float, request: Request, body: bytes) -> list[Output]:
        refusal = self._refuse_if_not_serving()
        if refusal is not None:
            return self._reject(request, refusal)
        assert self.classifier is not None
        classified = self.classifier.classify(now, request)
        if isinstance(classified, Refusal):
            return self._reject(request, classified)
        if request.respond_async and classified.may_wait:
            return [self._request_job(classified, body)]
        self.demand_meter.record_arrival(now, request.model)
        return self._admit(now, classified)

    def _request_job(self, classified: Classified, body: bytes) -> JobRequested:
        return JobRequested(
            request=classified.request,
            caller=classified.caller,
            traffic_class=classified.traffic_class,
            idempotent=classified.idempotent,
            max_wait_s=classified.deadline - classified.arrived,
            body=body,
        )

    def _arrive_job(self, now: float, due: JobDue) -> list[Output]:
        request = due.request
        classified = None
        if self.classifier is not None and not self.draining:
            classified = self.classifier.classify_job(now, due)
        if not isinstance(classified, Classified):
            return [JobEnded(request.request_id, Outcome.NOT_RUN)]
        self.demand_meter.record_arrival(now, request.model)
        return self._admit(now, classified, job=True)

    def _admit(
        self, now: float, classified: Classified, *, job: bool = False
    ) -> list[Output]:
        request = classified.request
        if not classified.idempotent and not request.idempotency_key:
            return self._reject(request, refuse(Reason.KEY_MISSING), classified)
        refusal = self.admission.check(now, classified)
        if refusal is not None and job:
            wait_s = refusal.retry_after_s or 1.0
            ended = JobEnded(request.request_id, Outcome.NOT_RUN, retry_after_s=wait_s)
            return [ended]
        if refusal is not None:
            return self._reject(request, refusal, classified)
        in_flight = InFlightRequest(classified, job=job, answered=job)
        if self.crash_guard.is_held(classified):
            in_flight.on_trial = self.crash_guard.begin_trial(now, classified)
            if not in_flight.on_trial:
                return self._reject_held(classified, job=job)
        self.in_flight_requests[request.request_id] = in_flight
        self.admission.enter(classified)
        if classified.idempotent:
            return self.attempt_control.dispatch_or_queue(now, in_flight)
        return self._request_claim(in_flight)

    def _reject_held(self, classified: Classified, *, job: bool) -> list[Output]:
        request = classified.request
        if job:
            wait_s = HELD_JOB_RETRY_S
            ended = JobEnded(request.request_id, Outcome.NOT_RUN, retry_after_s=wait_s)
            return [ended]
        return self._reject(request, refuse(Reason.HELD_BACK), classified)

    def _refuse_if_not_serving(self) -> Refusal | None:
        if self.draining:
            return refuse(Reason.DRAINING)
        if self.classifier is None or not self.fresh:
            return refuse(Reason.CONFIG_STALE)
        return None

    def _reject(
        self, request: Request, refusal: Refusal, classified: Classified | None = None
    ) -> list[Output]:
        settled = RequestSettled(
            request_id=request.request_id,
            outcome=refusal.outcome,
            reason=refusal.reason,
            caller=classified.caller if classified else "",
            traffic_class=classified.traffic_class if classified else "",
            model=request.model,
        )
        return [Refuse(request.request_id, refusal), settled]

    def _request_claim(self, in_flight: InFlightRequest) -> list[Output]:
        in_flight.stage = Stage.CLAIMING
        request = in_flight.classified.request
        return [
            ClaimRequested(
                request_id=request.request_id,
                caller=in_flight.classified.caller,
                idempotency_key=request.idempotency_key,
                digest=request.body_sha256,
            )
        ]

    def _handle_claim_result(
        self, now: float, event: ClaimGranted | ClaimHeld | ClaimFailed
    ) -> list[Output]:
        in_flight = self.in_flight_requests.get(event.request_id)
        if in_flight is None or in_flight.stage is not Stage.CLAIMING:
            self.late_events += 1
            if isinstance(event, ClaimGranted):
                return [ClaimAbandoned(event.request_id)]
            return []
        match event:
            case ClaimGranted():
                in_flight.claimed = True
                in_flight.claim_until = event.valid_until
                return self.attempt_control.dispatch_or_queue(now, in_flight)
            case ClaimHeld(held_state=HeldClaimState.DONE):
                return self._replay(in_flight, event)
            case ClaimHeld(held_state=HeldClaimState.IN_PROGRESS) if in_flight.job:
                return self.settlement.settle(
                    in_flight, Outcome.NOT_RUN, Reason.IN_PROGRESS
                )
            case ClaimHeld(held_state=held_state):
                return self.settlement.end_with_refusal(
                    in_flight, refuse(_HELD_REASONS[held_state])
                )
            case ClaimFailed(reason=reason, retry_after_s=retry_after_s):
                refusal = refuse(reason, retry_after_s=retry_after_s)
                return self.settlement.end_with_refusal(in_flight, refusal)

    def _replay(self, in_flight: InFlightRequest, held: ClaimHeld) -> list[Output]:
        if held.answer is None and held.answer_stored and in_flight.job:
            reason = Reason.ANSWER_UNAVAILABLE
            return self.settlement.settle(in_flight, Outcome.NOT_RUN, reason)
        if held.answer is None:
            stored = held.answer_stored
            reason = Reason.ANSWER_UNAVAILABLE if stored else Reason.ANSWER_NOT_KEPT
            return self.settlement.end_with_refusal(in_flight, refuse(reason))
        settled = self.settlement.settle(
            in_flight, Outcome.COMPLETED, answer=held.answer
        )
        if in_flight.job:
            return settled
        return [ReplayAnswer(in_flight.request_id, held.answer), *settled]

    def _handle_caller_gone(self, now: float, request_id: str) -> list[Output]:
        in_flight = self.in_flight_requests.get(request_id)
        if in_flight is None:
            self.late_events += 1
            return []
        in_flight.answered = True
        if in_flight.stage is not Stage.DISPATCHED:
            return self.settlement.end_with_refusal(
                in_flight, refuse(Reason.CALLER_GONE)
            )
        if in_flight.classified.idempotent and in_flight.attempt is not None:
            return [CancelAttempt(in_flight.attempt)]
        return []

    # Deadlines and timeouts.

    def _tick(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        for in_flight in list(self.in_flight_requests.values()):
            outputs += self._check_deadlines(now, in_flight)
        outputs += self.attempt_control.dispatch_waiting_to_all(now)
        outputs += self.demand_meter.report(now, self.queue)
        outputs += self._end_held(now)
        return outputs + self._check_drained()

    def _end_held(self, now: float) -> list[Output]:
        """End waiting requests that are held back from now on."""
        outputs: list[Output] = []
        self.crash_guard.decide(now)
        if not self.crash_guard.has_new_holds:
            return outputs
        self.crash_guard.has_new_holds = False
        for in_flight in list(self.in_flight_requests.values()):
            waits = in_flight.stage is not Stage.DISPATCHED
            if waits and self.crash_guard.is_held(in_flight.classified):
                outputs += self.settlement.end_with_refusal(
                    in_flight, refuse(Reason.HELD_BACK)
                )
        return outputs

    def _check_deadlines(self, now: float, in_flight: InFlightRequest) -> list[Output]:
        if in_flight.stage is Stage.DISPATCHED:
            return self.attempt_control.check_timeout(now, in_flight)
        if now >= self.drain_deadline:
            return self.settlement.end_with_refusal(in_flight, refuse(Reason.DRAINING))
        match in_flight.stage:
            case Stage.QUEUED if self.admission.is_unservable(
                now, in_flight.classified
            ):
                return self.settlement.end_with_refusal(
                    in_flight, refuse(Reason.UNREACHABLE)
                )
            case Stage.QUEUED if held_off := self.admission.check_hold_off(
                now, in_flight.classified
            ):
                return self.settlement.end_with_refusal(in_flight, held_off)
            case Stage.QUEUED if now >= self._queue_deadline(now, in_flight):
                return self.settlement.expire(now, in_flight)
            case Stage.CLAIMING if now >= in_flight.classified.deadline:
                return self.settlement.expire(now, in_flight)
        return []

    def _queue_deadline(self, now: float, in_flight: InFlightRequest) -> float:
        classified = in_flight.classified
        latest = self.router.latest_dispatch(classified)
        if classified.load_wait_deadline <= classified.deadline:
            return latest
        if self.router.candidates(now, classified.lane):
            return latest
        return classified.load_wait_deadline

    # Shutdown.

    def _drain(self, now: float) -> list[Output]:
        self.draining = True
        self.drain_deadline = now + DRAIN_QUEUE_TIMEOUT_S
        return self._check_drained()

    def _check_drained(self) -> list[Output]:
        if not self.draining or self.in_flight_requests or self.drain_reported:
            return []
        self.drain_reported = True
        return [PartDrained("request_path")]
