"""Dispatch of requests to backend servers, and the handling of attempt results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.notice import ServerLeavingSeen
from wisterialoom.core.requests.in_flight_request import Stage
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import (
    Attempt,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    Dispatch,
    Outcome,
    Reason,
    Refuse,
)
from wisterialoom.core.window import FIRST_FILL

if TYPE_CHECKING:
    from wisterialoom.core.message import Output
    from wisterialoom.core.requests.in_flight_request import InFlightRequest
    from wisterialoom.core.requests.path_state import PathState
    from wisterialoom.core.requests.request import ServerNoticed
    from wisterialoom.core.requests.server_view import ServerView
    from wisterialoom.core.requests.settlement import Settlement

__all__ = ["MAX_ATTEMPTS", "AttemptControl"]

MAX_ATTEMPTS = 4
"""Greatest number of attempts of one request, the first included."""

CANCEL_GRACE_S = 5.0
"""Time to wait for the end of a cancelled attempt, in seconds.

After it, the attempt is handled as lost.
"""

_SAFE_TO_RETRY = (AttemptResult.NOT_SENT, AttemptResult.NOT_STARTED)

_ATTEMPT_REASONS = {
    AttemptResult.NOT_SENT: Reason.CONNECT,
    AttemptResult.NOT_STARTED: Reason.SERVER_REFUSED,
    AttemptResult.LOST: Reason.CONNECTION_LOST,
}


class AttemptControl:
    """Binds requests to servers at dispatch time, and handles retries and timeouts.

    Attributes:
        state: State shared by the components of the request path.
        settlement: Records the outcome of requests.
    """

    def __init__(self, state: PathState, settlement: Settlement) -> None:
        self.state = state
        self.settlement = settlement

    def dispatch_or_queue(self, now: float, in_flight: InFlightRequest) -> list[Output]:
        """Dispatch a request, or queue it until a server has a free slot."""
        in_flight.stage = Stage.QUEUED
        if now >= in_flight.claim_until:
            refusal = refuse(Reason.CLAIM_UNAVAILABLE)
            return self.settlement.end_with_refusal(in_flight, refusal)
        if now >= in_flight.classified.deadline:
            return self.settlement.expire(now, in_flight)
        view = self.state.router.choose(now, in_flight.classified, in_flight.tried)
        if view is not None:
            return self._dispatch(now, in_flight, view)
        if self.state.admission.is_unservable(now, in_flight.classified):
            return self.settlement.end_with_refusal(
                in_flight, refuse(Reason.UNREACHABLE)
            )
        held_off = self.state.admission.check_hold_off(now, in_flight.classified)
        if held_off is not None:
            return self.settlement.end_with_refusal(in_flight, held_off)
        self.state.queue.push(in_flight.classified)
        return self.state.demand_meter.report_first_wait(
            now, self.state.queue, in_flight.classified
        )

    def _dispatch(
        self, now: float, in_flight: InFlightRequest, view: ServerView
    ) -> list[Output]:
        classified = in_flight.classified
        self.state.queue.remove_dispatched(classified)
        in_flight.stage = Stage.DISPATCHED
        in_flight.attempts += 1
        in_flight.dispatched_at = now
        in_flight.limit_named = in_flight.brittle_named = False
        view.limit.record_sent(now)
        in_flight.server = view.server.name
        in_flight.attempt = Attempt(
            request_id=in_flight.request_id,
            number=in_flight.attempts,
            server=view.server.name,
            adapter=self.state.router.adapter_of(classified),
        )
        view.window.begin()
        self.state.router.prefixes.record_dispatch(
            view.server.name, classified.request.prefix_hashes
        )
        if in_flight.attempts == 1:
            self.state.retry_budget.record_first_attempt()
        return [Dispatch(in_flight.attempt, classified, in_flight.claim_until)]

    def _find_in_flight(self, attempt: Attempt) -> InFlightRequest | None:
        in_flight = self.state.in_flight_requests.get(attempt.request_id)
        if in_flight is None or in_flight.attempt != attempt:
            self.state.late_events += 1
            return None
        return in_flight

    def record_notice(self, now: float, event: ServerNoticed) -> list[Output]:
        """Follow a server that is leaving, or limits requests, or wants none."""
        view = self.state.router.views.get(event.attempt.server)
        if view is None:
            return []
        self.state.router.hold_off(now, view, event.hold_off_s)
        in_flight = self.state.in_flight_requests.get(event.attempt.request_id)
        if in_flight is not None and event.names_limit:
            in_flight.limit_named = True
        rejections = event.brittle_rejections
        if rejections is not None:
            self.state.router.brittle.record(now, view.server.group, rejections, now)
            if in_flight is not None:
                in_flight.brittle_named = True
        if event.limit_per_s is not None:
            limit_per_s = event.limit_per_s
            self.state.router.record_limit(now, view, limit_per_s, asked_at=now)
        return self._mark_leaving(view) if event.leaving else []

    def _mark_leaving(self, view: ServerView) -> list[Output]:
        view.seen_leaving = True
        return [ServerLeavingSeen(view.server.name, view.server.incarnation)]

    def record_first_byte(self, now: float, attempt: Attempt) -> list[Output]:
        """Record the first output of an attempt; it rules out any further retry."""
        in_flight = self._find_in_flight(attempt)
        if in_flight is None:
            return []
        in_flight.first_byte = True
        self.state.crash_guard.record_output(now, in_flight.classified)
        view = self.state.router.views.get(attempt.server)
        if view is not None:
            view.window.first_byte(now, now - in_flight.dispatched_at)
            if not in_flight.limit_named:
                asked_at = in_flight.dispatched_at
                self.state.router.record_limit(now, view, None, asked_at=asked_at)
            if not in_flight.brittle_named:
                self.state.router.brittle.record(
                    now, view.server.group, None, in_flight.dispatched_at
                )
        if in_flight.classified.request.stream:
            first_output_s = now - in_flight.dispatched_at
            self.state.router.record_first_output_delay(
                in_flight.classified.lane, first_output_s
            )
        return []

    def end(self, now: float, event: AttemptEnded) -> list[Output]:
        """Handle the end of an attempt: settle its request or retry it."""
        in_flight = self._find_in_flight(event.attempt)
        if in_flight is None:
            return []
        view = self.state.router.views.get(event.attempt.server)
        outputs = self._record_end(now, in_flight, view, event)
        in_flight.attempt = None
        outputs += self._conclude(now, in_flight, event)
        if view is not None:
            outputs += self.dispatch_waiting(now, view)
        return outputs

    def _record_end(
        self,
        now: float,
        in_flight: InFlightRequest,
        view: ServerView | None,
        event: AttemptEnded,
    ) -> list[Output]:
        if view is None:
            return []
        view.window.end()
        self.state.crash_guard.record_end(now, in_flight, view, event.result)
        lane = in_flight.classified.lane
        match event.result:
            case AttemptResult.COMPLETED | AttemptResult.SERVER_ERROR:
                view.ejection.record_success(now)
                self.state.router.record_service_time(
                    lane, now - in_flight.dispatched_at
                )
            case AttemptResult.NOT_SENT | AttemptResult.LOST:
                view.ejection.record_failure(
                    now,
                    in_flight.dispatched_at,
                    grows=event.result is AttemptResult.LOST,
                )
            case AttemptResult.NOT_STARTED if not event.leaving:
                self._record_refusal(now, view, lane)
        return self._mark_leaving(view) if event.leaving else []

    def _record_refusal(self, now: float, view: ServerView, lane: str) -> None:
        router = self.state.router
        group = view.server.group
        if not router.brittle.is_brittle(now, group):
            view.refused_lanes[lane] = now
            return
        # It may be full, which says nothing about its models.
        instances = len(router.limit_shares.names)
        router.brittle.record_rejection(
            now, view.server.name, group, instances, is_told=False
        )

    def _conclude(
        self, now: float, in_flight: InFlightRequest, event: AttemptEnded
    ) -> list[Output]:
        match event.result:
            case AttemptResult.COMPLETED:
                return self.settlement.settle(
                    in_flight, Outcome.COMPLETED, answer=event.answer
                )
            case AttemptResult.SERVER_ERROR:
                return self.settlement.settle(
                    in_flight, Outcome.FAILED, Reason.SERVER_ERROR, answer=event.answer
                )
            case AttemptResult.CALLER_GONE:
                return self.settlement.settle(
                    in_flight, Outcome.UNKNOWN, Reason.CALLER_GONE
                )
            case _:
                return self._retry_or_end(now, in_flight, event)

    def _retry_or_end(
        self, now: float, in_flight: InFlightRequest, event: AttemptEnded
    ) -> list[Output]:
        reason = _ATTEMPT_REASONS[event.result]
        if in_flight.timed_out:
            reason = Reason.SERVER_TIMEOUT
        safe = event.result in _SAFE_TO_RETRY
        in_flight.may_have_run |= not safe
        self.state.crash_guard.decide(now)
        if self.state.crash_guard.is_held(in_flight.classified):
            return self.settlement.end_with_refusal(in_flight, refuse(Reason.HELD_BACK))
        if self._may_retry(now, in_flight, safe=safe):
            in_flight.retries.append(reason)
            in_flight.tried |= {event.attempt.server}
            return self.dispatch_or_queue(now, in_flight)
        outcome = Outcome.NOT_RUN if safe else Outcome.UNKNOWN
        refusal = refuse(reason, outcome=outcome, retry_after_s=event.retry_after_s)
        return self.settlement.end_with_refusal(in_flight, refusal)

    def _may_retry(self, now: float, in_flight: InFlightRequest, *, safe: bool) -> bool:
        caller_gone = in_flight.answered and not in_flight.job
        if caller_gone or in_flight.first_byte or in_flight.timed_out:
            return False
        if not safe and not in_flight.classified.idempotent:
            return False
        if in_flight.attempts >= MAX_ATTEMPTS or now >= in_flight.classified.deadline:
            return False
        return self.state.retry_budget.try_spend()

    def check_timeout(self, now: float, in_flight: InFlightRequest) -> list[Output]:
        """Cancel an attempt that has timed out, and answer its caller."""
        limit = in_flight.dispatched_at + in_flight.classified.timeout_s
        if now < limit or in_flight.attempt is None:
            return []
        if in_flight.timed_out:
            if now < limit + CANCEL_GRACE_S:
                return []
            ended = AttemptEnded(in_flight.attempt, AttemptResult.LOST)
            return self.end(now, ended)
        in_flight.timed_out = True
        outputs: list[Output] = [CancelAttempt(in_flight.attempt)]
        if not in_flight.answered:
            in_flight.answered = True
            refusal = refuse(Reason.SERVER_TIMEOUT)
            outputs.append(Refuse(in_flight.request_id, refusal))
        return outputs

    def dispatch_waiting_to_all(self, now: float) -> list[Output]:
        """Dispatch waiting requests, in rank order, to every server with free slots."""
        if not self.state.queue:
            return []
        outputs: list[Output] = []
        for view in list(self.state.router.views.values()):
            outputs += self.dispatch_waiting(now, view)
        return outputs

    def dispatch_waiting(self, now: float, view: ServerView) -> list[Output]:
        """Dispatch waiting requests, in rank order, while a server has free slots."""
        outputs: list[Output] = []
        while self.state.queue and view.has_capacity(now, FIRST_FILL):
            lanes = [lane for lane in view.lanes if view.serves(now, lane)]
            best = self.state.queue.head(now, lanes)
            if best is None:
                break
            fill = self.state.router.fill(now, best[1])
            if not view.has_capacity(now, fill):
                break
            in_flight = self.state.in_flight_requests[best[1].request.request_id]
            outputs += self._dispatch(now, in_flight, view)
        return outputs
