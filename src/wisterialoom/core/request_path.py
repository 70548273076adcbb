"""The path of a request: classify, admit, claim, queue, dispatch, settle."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.admission import Admission
from wisterialoom.core.classifier import Classifier
from wisterialoom.core.demand_meter import DemandMeter
from wisterialoom.core.flight import Flight, Stage
from wisterialoom.core.message import Event, Output, Tick
from wisterialoom.core.notice import (
    ClaimAbandoned,
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimHolding,
    ClaimSettled,
    ClaimWanted,
    ConfigChanged,
    ConfigFreshness,
    DrainRequested,
    LoadReported,
    MembersChanged,
    PartDrained,
    ServersChanged,
    ServerSeenLeaving,
)
from wisterialoom.core.notice_job import JobDue, JobEnded, JobWanted
from wisterialoom.core.prefix_index import CacheEvents
from wisterialoom.core.refusal import refuse
from wisterialoom.core.request import (
    Attempt,
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    CallerGone,
    CancelAttempt,
    Classified,
    Dispatch,
    Outcome,
    Reason,
    Refusal,
    Refuse,
    ReplayAnswer,
    Request,
    RequestArrived,
    RequestSettled,
    StoredAnswer,
)
from wisterialoom.core.request_queue import RequestQueue
from wisterialoom.core.retry_budget import RetryBudget
from wisterialoom.core.router import Router
from wisterialoom.core.window import FIRST_FILL

if TYPE_CHECKING:
    import random

    from wisterialoom.core.choice import Choice
    from wisterialoom.core.server_view import ServerView
    from wisterialoom.core.window import WindowPolicy

__all__ = ["RequestPath"]

MAX_ATTEMPTS = 4
"""Attempts of one request, the first included."""

DRAIN_QUEUE_LIMIT_S = 10.0
"""Time that waiting requests still have to begin once the instance is stopping."""

CANCEL_GRACE_S = 5.0
"""Time after a timeout in which the shell reports the cancelled attempt's end."""

_SAFE_TO_REPEAT = (AttemptResult.NOT_SENT, AttemptResult.NOT_STARTED)

_ATTEMPT_REASONS = {
    AttemptResult.NOT_SENT: Reason.CONNECT,
    AttemptResult.NOT_STARTED: Reason.SERVER_REFUSED,
    AttemptResult.LOST: Reason.CONNECTION_LOST,
}

_HELD_REASONS = {
    ClaimHolding.IN_PROGRESS: Reason.IN_PROGRESS,
    ClaimHolding.UNKNOWN: Reason.KEY_UNKNOWN,
    ClaimHolding.OTHER_CONTENT: Reason.KEY_REUSED,
}


class RequestPath:
    """Carries each request to exactly one outcome.

    Attributes:
        classifier: Rules of the document in force; `None` before the first.
        fresh: The configuration may be trusted to be the newest.
        draining: The instance is stopping.
        queue_limit: Monotonic time after which no request may wait any more.
        flights: Requests in progress by id.
        queue: Requests that wait.
        router: Views of the backend servers.
        admission: Limits on what may wait.
        budget: Budget for retries.
        demand: Demand by model, for the planner.
        late_events: Count of events for requests already settled.
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
        self.classifier: Classifier | None = None
        self.fresh = False
        self.draining = False
        self.drain_reported = False
        self.queue_limit = math.inf
        self.flights: dict[str, Flight] = {}
        self.queue = RequestQueue()
        self.router = Router(availability_zone)
        if policy is not None:
            self.router.policy = policy
        if choice is not None:
            self.router.choice = choice
        if rng is not None:
            self.router.rng = rng
        self.admission = Admission(self.queue, self.router)
        self.budget = RetryBudget()
        self.demand = DemandMeter()
        self.late_events = 0

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
                return self._first_byte(now, attempt)
            case AttemptEnded():
                return self._attempt_ended(now, event)
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
                return self._pump_all(now)
            case ConfigFreshness(fresh=fresh):
                self.fresh = fresh
            case ServersChanged(servers=servers):
                self.router.set_servers(servers)
                return self._pump_all(now)
            case LoadReported(load=load):
                view = self.router.report(now, load)
                return self._pump(now, view) if view is not None else []
            case MembersChanged(members=members):
                self.router.set_sharers(len(members))
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

    def _want_job(self, found: Classified, body: bytes) -> JobWanted:
        return JobWanted(
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
        flight = Flight(found, job=job, answered=job)
        self.flights[request.request_id] = flight
        self.admission.enter(found)
        if found.idempotent:
            return self._enqueue(now, flight)
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

    def _claim(self, flight: Flight) -> list[Output]:
        flight.stage = Stage.CLAIMING
        request = flight.classified.request
        return [
            ClaimWanted(
                request_id=request.request_id,
                caller=flight.classified.caller,
                idempotency_key=request.idempotency_key,
                digest=request.body_sha256,
            )
        ]

    def _claim_answered(
        self, now: float, event: ClaimGranted | ClaimHeld | ClaimFailed
    ) -> list[Output]:
        flight = self.flights.get(event.request_id)
        if flight is None or flight.stage is not Stage.CLAIMING:
            self.late_events += 1
            if isinstance(event, ClaimGranted):
                return [ClaimAbandoned(event.request_id)]
            return []
        match event:
            case ClaimGranted():
                flight.claimed = True
                return self._enqueue(now, flight)
            case ClaimHeld(holding=ClaimHolding.DONE, answer=answer):
                return self._replay(now, flight, answer)
            case ClaimHeld(holding=holding):
                return self._give_up(now, flight, refuse(_HELD_REASONS[holding]))
            case ClaimFailed(reason=reason, retry_after_s=retry_after_s):
                refusal = refuse(reason, retry_after_s=retry_after_s)
                return self._give_up(now, flight, refusal)

    def _replay(
        self, now: float, flight: Flight, answer: StoredAnswer | None
    ) -> list[Output]:
        if answer is None:
            return self._give_up(now, flight, refuse(Reason.KEY_UNKNOWN))
        settled = self._settle(flight, Outcome.COMPLETED, answer=answer)
        if flight.job:
            return settled
        return [ReplayAnswer(flight.request_id, answer), *settled]

    def _enqueue(self, now: float, flight: Flight) -> list[Output]:
        flight.stage = Stage.QUEUED
        if now >= flight.classified.deadline:
            return self._expire(now, flight)
        view = self.router.choose(now, flight.classified, flight.tried)
        if view is not None:
            return self._dispatch(now, flight, view)
        self.queue.push(flight.classified)
        return self.demand.waits(now, self.queue, flight.classified)

    # Dispatch and the ends of attempts.

    def _dispatch(self, now: float, flight: Flight, view: ServerView) -> list[Output]:
        classified = flight.classified
        self.queue.dispatched(classified)
        flight.stage = Stage.DISPATCHED
        flight.attempts += 1
        flight.dispatched_at = now
        flight.server = view.server.name
        flight.attempt = Attempt(
            request_id=flight.request_id,
            number=flight.attempts,
            server=view.server.name,
            adapter=self.router.adapter_of(classified),
        )
        view.window.begin()
        self.router.prefixes.note_dispatch(
            view.server.name, classified.request.prefix_hashes
        )
        if flight.attempts == 1:
            self.budget.earn()
        return [Dispatch(flight.attempt, classified)]

    def _flight_of(self, attempt: Attempt) -> Flight | None:
        flight = self.flights.get(attempt.request_id)
        if flight is None or flight.attempt != attempt:
            self.late_events += 1
            return None
        return flight

    def _first_byte(self, now: float, attempt: Attempt) -> list[Output]:
        flight = self._flight_of(attempt)
        if flight is None:
            return []
        flight.first_byte = True
        view = self.router.views.get(attempt.server)
        if view is not None:
            view.window.first_byte(now, now - flight.dispatched_at)
        if flight.classified.request.stream:
            self.router.note_first(flight.classified.lane, now - flight.dispatched_at)
        return []

    def _attempt_ended(self, now: float, event: AttemptEnded) -> list[Output]:
        flight = self._flight_of(event.attempt)
        if flight is None:
            return []
        view = self.router.views.get(event.attempt.server)
        outputs = self._note_end(now, flight, view, event)
        flight.attempt = None
        outputs += self._conclude(now, flight, event)
        if view is not None:
            outputs += self._pump(now, view)
        return outputs + self._check_drained()

    def _note_end(
        self, now: float, flight: Flight, view: ServerView | None, event: AttemptEnded
    ) -> list[Output]:
        if view is None:
            return []
        view.window.end()
        lane = flight.classified.lane
        match event.result:
            case AttemptResult.COMPLETED | AttemptResult.SERVER_ERROR:
                view.ejection.succeed(now)
                self.router.note_service(lane, now - flight.dispatched_at)
            case AttemptResult.NOT_SENT | AttemptResult.LOST:
                view.ejection.fail(now)
            case AttemptResult.NOT_STARTED if not event.leaving:
                view.absent[lane] = now
        if not event.leaving:
            return []
        view.seen_leaving = True
        return [ServerSeenLeaving(view.server.name, view.server.incarnation)]

    def _conclude(
        self, now: float, flight: Flight, event: AttemptEnded
    ) -> list[Output]:
        match event.result:
            case AttemptResult.COMPLETED:
                return self._settle(flight, Outcome.COMPLETED, answer=event.answer)
            case AttemptResult.SERVER_ERROR:
                return self._settle(
                    flight, Outcome.FAILED, Reason.SERVER_ERROR, answer=event.answer
                )
            case AttemptResult.CALLER_GONE:
                return self._settle(flight, Outcome.UNKNOWN, Reason.CALLER_GONE)
            case _:
                return self._retry_or_end(now, flight, event)

    def _retry_or_end(
        self, now: float, flight: Flight, event: AttemptEnded
    ) -> list[Output]:
        reason = _ATTEMPT_REASONS[event.result]
        if flight.timed_out:
            reason = Reason.SERVER_TIMEOUT
        safe = event.result in _SAFE_TO_REPEAT
        flight.may_have_run |= not safe
        if self._may_retry(now, flight, safe=safe):
            flight.retries.append(reason)
            flight.tried |= {event.attempt.server}
            return self._enqueue(now, flight)
        outcome = Outcome.NOT_RUN if safe else Outcome.UNKNOWN
        refusal = refuse(reason, outcome=outcome, retry_after_s=event.retry_after_s)
        return self._give_up(now, flight, refusal)

    def _may_retry(self, now: float, flight: Flight, *, safe: bool) -> bool:
        gone = flight.answered and not flight.job
        if gone or flight.first_byte or flight.timed_out:
            return False
        if not safe and not flight.classified.idempotent:
            return False
        if flight.attempts >= MAX_ATTEMPTS or now >= flight.classified.deadline:
            return False
        return self.budget.spend()

    # Ends.

    def _give_up(self, now: float, flight: Flight, refusal: Refusal) -> list[Output]:
        outputs: list[Output] = []
        if flight.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal = replace(refusal, outcome=Outcome.UNKNOWN)
        if not flight.answered:
            flight.answered = True
            outputs.append(Refuse(flight.request_id, refusal))
        return outputs + self._settle(flight, refusal.outcome, refusal.reason)

    def _settle(
        self,
        flight: Flight,
        outcome: Outcome,
        reason: Reason | None = None,
        *,
        answer: StoredAnswer | None = None,
    ) -> list[Output]:
        classified = flight.classified
        self.queue.remove(flight.request_id)
        del self.flights[flight.request_id]
        self.admission.leave(classified)
        settled = RequestSettled(
            request_id=flight.request_id,
            outcome=outcome,
            reason=reason,
            caller=classified.caller,
            traffic_class=classified.traffic_class,
            model=classified.request.model,
            server=flight.server,
            waited_s=max(0.0, flight.dispatched_at - classified.arrived),
            attempts=flight.attempts,
            retries=tuple(flight.retries),
        )
        outputs = [settled, *self._settle_claim(flight, outcome, answer)]
        if flight.job:
            outputs.append(JobEnded(flight.request_id, outcome, answer))
        return outputs

    def _settle_claim(
        self, flight: Flight, outcome: Outcome, answer: StoredAnswer | None
    ) -> list[Output]:
        if not flight.claimed:
            if flight.stage is Stage.CLAIMING and outcome is Outcome.NOT_RUN:
                return [ClaimAbandoned(flight.request_id)]
            return []
        if outcome is Outcome.NOT_RUN:
            return [ClaimAbandoned(flight.request_id)]
        return [ClaimSettled(flight.request_id, answer)]

    def _caller_gone(self, now: float, request_id: str) -> list[Output]:
        flight = self.flights.get(request_id)
        if flight is None:
            self.late_events += 1
            return []
        flight.answered = True
        if flight.stage is not Stage.DISPATCHED:
            return self._give_up(now, flight, refuse(Reason.CALLER_GONE))
        if flight.classified.idempotent and flight.attempt is not None:
            return [CancelAttempt(flight.attempt)]
        return []

    # Time.

    def _tick(self, now: float) -> list[Output]:
        outputs: list[Output] = []
        for flight in list(self.flights.values()):
            outputs += self._check_time(now, flight)
        outputs += self._pump_all(now)
        outputs += self.demand.report(now, self.queue)
        return outputs + self._check_drained()

    def _check_time(self, now: float, flight: Flight) -> list[Output]:
        if flight.stage is Stage.DISPATCHED:
            return self._check_timeout(now, flight)
        if now >= self.queue_limit:
            return self._give_up(now, flight, refuse(Reason.DRAINING))
        match flight.stage:
            case Stage.QUEUED if now >= self._queue_limit(now, flight):
                return self._expire(now, flight)
            case Stage.CLAIMING if now >= flight.classified.deadline:
                return self._expire(now, flight)
        return []

    def _queue_limit(self, now: float, flight: Flight) -> float:
        classified = flight.classified
        latest = self.router.latest_dispatch(classified)
        if classified.give_up <= classified.deadline:
            return latest
        if self.router.candidates(now, classified.lane):
            return latest
        return classified.give_up

    def _expire(self, now: float, flight: Flight) -> list[Output]:
        after = self.admission.retry_after_s(now, flight.classified)
        refusal = refuse(Reason.DEADLINE, retry_after_s=after)
        return self._give_up(now, flight, refusal)

    def _check_timeout(self, now: float, flight: Flight) -> list[Output]:
        limit = flight.dispatched_at + flight.classified.timeout_s
        if now < limit or flight.attempt is None:
            return []
        if flight.timed_out:
            if now < limit + CANCEL_GRACE_S:
                return []
            ended = AttemptEnded(flight.attempt, AttemptResult.LOST)
            return self._attempt_ended(now, ended)
        flight.timed_out = True
        outputs: list[Output] = [CancelAttempt(flight.attempt)]
        if not flight.answered:
            flight.answered = True
            refusal = refuse(Reason.SERVER_TIMEOUT)
            outputs.append(Refuse(flight.request_id, refusal))
        return outputs

    # Late binding: servers with room take the best waiting request.

    def _pump_all(self, now: float) -> list[Output]:
        if not self.queue:
            return []
        outputs: list[Output] = []
        for view in list(self.router.views.values()):
            outputs += self._pump(now, view)
        return outputs

    def _pump(self, now: float, view: ServerView) -> list[Output]:
        outputs: list[Output] = []
        while self.queue and view.has_room(now, FIRST_FILL):
            lanes = [lane for lane in view.lanes if view.serves(now, lane)]
            found = self.queue.head(now, lanes)
            if found is None:
                break
            fill = self.router.fill(now, found[1])
            if not view.has_room(now, fill):
                break
            flight = self.flights[found[1].request.request_id]
            outputs += self._dispatch(now, flight, view)
        return outputs

    # Stopping.

    def _drain(self, now: float) -> list[Output]:
        self.draining = True
        self.queue_limit = now + DRAIN_QUEUE_LIMIT_S
        return self._check_drained()

    def _check_drained(self) -> list[Output]:
        if not self.draining or self.flights or self.drain_reported:
            return []
        self.drain_reported = True
        return [PartDrained("request_path")]
