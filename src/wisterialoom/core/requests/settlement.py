"""Brings requests to their one outcome."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from wisterialoom.core.notice import ClaimAbandoned, ClaimSettled
from wisterialoom.core.notice_job import JobEnded
from wisterialoom.core.requests.flight import Stage
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import Outcome, Reason, Refuse, RequestSettled

if TYPE_CHECKING:
    from wisterialoom.core.message import Output
    from wisterialoom.core.requests.flight import InFlightRequest
    from wisterialoom.core.requests.path_state import PathState
    from wisterialoom.core.requests.request import Refusal, StoredAnswer

__all__ = ["Settlement"]

_HELD_ELSEWHERE = (Reason.IN_PROGRESS, Reason.ANSWER_UNAVAILABLE)
"""Reasons why a job's attempt ends while an earlier one holds its claim."""


class Settlement:
    """Ends requests, and what hangs on them: claims, jobs, limits.

    Attributes:
        state: Shared by the parts of the request path.
    """

    def __init__(self, state: PathState) -> None:
        self.state = state

    def give_up(self, flight: InFlightRequest, refusal: Refusal) -> list[Output]:
        """End a request by a refusal, which the caller gets at once.

        An earlier attempt that may have run makes the outcome unknown.
        """
        outputs: list[Output] = []
        if flight.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal = replace(refusal, outcome=Outcome.UNKNOWN)
        if not flight.answered:
            flight.answered = True
            outputs.append(Refuse(flight.request_id, refusal))
        return outputs + self.settle(flight, refusal.outcome, refusal.reason)

    def settle(
        self,
        flight: InFlightRequest,
        outcome: Outcome,
        reason: Reason | None = None,
        *,
        answer: StoredAnswer | None = None,
    ) -> list[Output]:
        """End a request, whose caller has its answer or gets it elsewhere.

        Args:
            flight: The request.
            outcome: How it ended.
            reason: Why, unless it completed.
            answer: The whole answer, if claims or jobs need it.
        """
        classified = flight.classified
        self.state.queue.remove(flight.request_id)
        del self.state.in_flight_requests[flight.request_id]
        self.state.admission.leave(classified)
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
        outputs = [settled, *self._settle_claim(flight, outcome, reason, answer)]
        if flight.job:
            outputs.append(JobEnded(flight.request_id, outcome, answer))
        return outputs

    def _settle_claim(
        self,
        flight: InFlightRequest,
        outcome: Outcome,
        reason: Reason | None,
        answer: StoredAnswer | None,
    ) -> list[Output]:
        if not flight.claimed:
            held = reason in _HELD_ELSEWHERE
            claiming = flight.stage is Stage.CLAIMING and not held
            if claiming and outcome is Outcome.NOT_RUN:
                return [ClaimAbandoned(flight.request_id)]
            return []
        if outcome is Outcome.NOT_RUN:
            return [ClaimAbandoned(flight.request_id)]
        return [ClaimSettled(flight.request_id, answer)]

    def expire(self, now: float, flight: InFlightRequest) -> list[Output]:
        """End a request whose deadline has passed while it waited."""
        after = self.state.admission.retry_after_s(now, flight.classified)
        refusal = refuse(Reason.DEADLINE, retry_after_s=after)
        return self.give_up(flight, refusal)
