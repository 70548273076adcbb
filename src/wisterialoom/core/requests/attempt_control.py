"""Dispatches requests to backend servers and takes the ends of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.notice import ServerLeavingSeen
from wisterialoom.core.requests.flight import Stage
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
    from wisterialoom.core.requests.flight import InFlightRequest
    from wisterialoom.core.requests.path_state import PathState
    from wisterialoom.core.requests.server_view import ServerView
    from wisterialoom.core.requests.settlement import Settlement

__all__ = ["MAX_ATTEMPTS", "AttemptControl"]

MAX_ATTEMPTS = 4
"""Attempts of one request, the first included."""

CANCEL_GRACE_S = 5.0
"""Time after a timeout in which the shell reports the cancelled attempt's end."""

_SAFE_TO_REPEAT = (AttemptResult.NOT_SENT, AttemptResult.NOT_STARTED)

_ATTEMPT_REASONS = {
    AttemptResult.NOT_SENT: Reason.CONNECT,
    AttemptResult.NOT_STARTED: Reason.SERVER_REFUSED,
    AttemptResult.LOST: Reason.CONNECTION_LOST,
}


class AttemptControl:
    """Late binding of requests to servers, retries, and timeouts.

    Attributes:
        state: Shared by the parts of the request path.
        settlement: Brings requests to their outcome.
    """

    def __init__(self, state: PathState, settlement: Settlement) -> None:
        self.state = state
        self.settlement = settlement

    def enqueue(self, now: float, flight: InFlightRequest) -> list[Output]:
        """Dispatch a request, or let it wait for a server with room."""
        flight.stage = Stage.QUEUED
        if now >= flight.claim_until:
            refusal = refuse(Reason.CLAIM_UNAVAILABLE)
            return self.settlement.give_up(flight, refusal)
        if now >= flight.classified.deadline:
            return self.settlement.expire(now, flight)
        view = self.state.router.choose(now, flight.classified, flight.tried)
        if view is not None:
            return self._dispatch(now, flight, view)
        if self.state.admission.is_hopeless(now, flight.classified):
            return self.settlement.give_up(flight, refuse(Reason.UNREACHABLE))
        self.state.queue.push(flight.classified)
        return self.state.demand.waits(now, self.state.queue, flight.classified)

    def _dispatch(
        self, now: float, flight: InFlightRequest, view: ServerView
    ) -> list[Output]:
        classified = flight.classified
        self.state.queue.dispatched(classified)
        flight.stage = Stage.DISPATCHED
        flight.attempts += 1
        flight.dispatched_at = now
        flight.server = view.server.name
        flight.attempt = Attempt(
            request_id=flight.request_id,
            number=flight.attempts,
            server=view.server.name,
            adapter=self.state.router.adapter_of(classified),
        )
        view.window.begin()
        self.state.router.prefixes.note_dispatch(
            view.server.name, classified.request.prefix_hashes
        )
        if flight.attempts == 1:
            self.state.budget.earn()
        return [Dispatch(flight.attempt, classified, flight.claim_until)]

    def _flight_of(self, attempt: Attempt) -> InFlightRequest | None:
        flight = self.state.in_flight_requests.get(attempt.request_id)
        if flight is None or flight.attempt != attempt:
            self.state.late_events += 1
            return None
        return flight

    def first_byte(self, now: float, attempt: Attempt) -> list[Output]:
        """Take the first output of an attempt; no retry from here on."""
        flight = self._flight_of(attempt)
        if flight is None:
            return []
        flight.first_byte = True
        view = self.state.router.views.get(attempt.server)
        if view is not None:
            view.window.first_byte(now, now - flight.dispatched_at)
        if flight.classified.request.stream:
            first_s = now - flight.dispatched_at
            self.state.router.note_first(flight.classified.lane, first_s)
        return []

    def end(self, now: float, event: AttemptEnded) -> list[Output]:
        """Take the end of an attempt: settle its request, or try again."""
        flight = self._flight_of(event.attempt)
        if flight is None:
            return []
        view = self.state.router.views.get(event.attempt.server)
        outputs = self._note_end(now, flight, view, event)
        flight.attempt = None
        outputs += self._conclude(now, flight, event)
        if view is not None:
            outputs += self.pump(now, view)
        return outputs

    def _note_end(
        self,
        now: float,
        flight: InFlightRequest,
        view: ServerView | None,
        event: AttemptEnded,
    ) -> list[Output]:
        if view is None:
            return []
        view.window.end()
        lane = flight.classified.lane
        match event.result:
            case AttemptResult.COMPLETED | AttemptResult.SERVER_ERROR:
                view.ejection.succeed(now)
                self.state.router.note_service(lane, now - flight.dispatched_at)
            case AttemptResult.NOT_SENT | AttemptResult.LOST:
                view.ejection.fail(now)
            case AttemptResult.NOT_STARTED if not event.leaving:
                view.absent[lane] = now
        if not event.leaving:
            return []
        view.seen_leaving = True
        return [ServerLeavingSeen(view.server.name, view.server.incarnation)]

    def _conclude(
        self, now: float, flight: InFlightRequest, event: AttemptEnded
    ) -> list[Output]:
        match event.result:
            case AttemptResult.COMPLETED:
                return self.settlement.settle(
                    flight, Outcome.COMPLETED, answer=event.answer
                )
            case AttemptResult.SERVER_ERROR:
                return self.settlement.settle(
                    flight, Outcome.FAILED, Reason.SERVER_ERROR, answer=event.answer
                )
            case AttemptResult.CALLER_GONE:
                return self.settlement.settle(
                    flight, Outcome.UNKNOWN, Reason.CALLER_GONE
                )
            case _:
                return self._retry_or_end(now, flight, event)

    def _retry_or_end(
        self, now: float, flight: InFlightRequest, event: AttemptEnded
    ) -> list[Output]:
        reason = _ATTEMPT_REASONS[event.result]
        if flight.timed_out:
            reason = Reason.SERVER_TIMEOUT
        safe = event.result in _SAFE_TO_REPEAT
        flight.may_have_run |= not safe
        if self._may_retry(now, flight, safe=safe):
            flight.retries.append(reason)
            flight.tried |= {event.attempt.server}
            return self.enqueue(now, flight)
        outcome = Outcome.NOT_RUN if safe else Outcome.UNKNOWN
        refusal = refuse(reason, outcome=outcome, retry_after_s=event.retry_after_s)
        return self.settlement.give_up(flight, refusal)

    def _may_retry(self, now: float, flight: InFlightRequest, *, safe: bool) -> bool:
        gone = flight.answered and not flight.job
        if gone or flight.first_byte or flight.timed_out:
            return False
        if not safe and not flight.classified.idempotent:
            return False
        if flight.attempts >= MAX_ATTEMPTS or now >= flight.classified.deadline:
            return False
        return self.state.budget.spend()

    def check_timeout(self, now: float, flight: InFlightRequest) -> list[Output]:
        """Cancel an attempt whose time is over and answer its caller."""
        limit = flight.dispatched_at + flight.classified.timeout_s
        if now < limit or flight.attempt is None:
            return []
        if flight.timed_out:
            if now < limit + CANCEL_GRACE_S:
                return []
            ended = AttemptEnded(flight.attempt, AttemptResult.LOST)
            return self.end(now, ended)
        flight.timed_out = True
        outputs: list[Output] = [CancelAttempt(flight.attempt)]
        if not flight.answered:
            flight.answered = True
            refusal = refuse(Reason.SERVER_TIMEOUT)
            outputs.append(Refuse(flight.request_id, refusal))
        return outputs

    def pump_all(self, now: float) -> list[Output]:
        """Give every server with room the best waiting requests."""
        if not self.state.queue:
            return []
        outputs: list[Output] = []
        for view in list(self.state.router.views.values()):
            outputs += self.pump(now, view)
        return outputs

    def pump(self, now: float, view: ServerView) -> list[Output]:
        """Give one server the best waiting requests while it has room."""
        outputs: list[Output] = []
        while self.state.queue and view.has_capacity(now, FIRST_FILL):
            lanes = [lane for lane in view.lanes if view.serves(now, lane)]
            found = self.state.queue.head(now, lanes)
            if found is None:
                break
            fill = self.state.router.fill(now, found[1])
            if not view.has_capacity(now, fill):
                break
            flight = self.state.in_flight_requests[found[1].request.request_id]
            outputs += self._dispatch(now, flight, view)
        return outputs
