"""Settlement: records the one outcome of each request."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from wisterialoom.core.notice import ClaimAbandoned, ClaimSettled
from wisterialoom.core.notice_job import JobEnded
from wisterialoom.core.requests.in_flight_request import Stage
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import Outcome, Reason, Refuse, RequestSettled

if TYPE_CHECKING:
    from wisterialoom.core.message import Output
    from wisterialoom.core.requests.in_flight_request import InFlightRequest
    from wisterialoom.core.requests.path_state import PathState
    from wisterialoom.core.requests.request import Refusal, StoredAnswer

__all__ = ["Settlement"]

_HELD_BY_EARLIER_ATTEMPT = (Reason.IN_PROGRESS, Reason.ANSWER_UNAVAILABLE)
"""Reasons that end a job's attempt while an earlier attempt holds its claim."""


class Settlement:
    """Ends requests, and updates their claims, jobs and limits.

    Attributes:
        state: State shared by the components of the request path.
    """

    def __init__(self, state: PathState) -> None:
        self.state = state

    def end_with_refusal(
        self, in_flight: InFlightRequest, refusal: Refusal
    ) -> list[Output]:
        """End a request with a refusal, sent to a caller that still waits.

        The outcome is unknown if an earlier attempt may have run.
        """
        outputs: list[Output] = []
        if in_flight.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            refusal = replace(refusal, outcome=Outcome.UNKNOWN)
        if not in_flight.answered:
            in_flight.answered = True
            outputs.append(Refuse(in_flight.request_id, refusal))
        return outputs + self.settle(in_flight, refusal.outcome, refusal.reason)

    def settle(
        self,
        in_flight: InFlightRequest,
        outcome: Outcome,
        reason: Reason | None = None,
        *,
        answer: StoredAnswer | None = None,
    ) -> list[Output]:
        """End a request whose caller has its answer or receives it separately.

        Args:
            in_flight: The request.
            outcome: How the request ended.
            reason: Reason of the outcome; `None` if the request completed.
            answer: The complete answer, if claims or jobs need it.
        """
        classified = in_flight.classified
        self.state.queue.remove(in_flight.request_id)
        del self.state.in_flight_requests[in_flight.request_id]
        self.state.admission.leave(classified)
        settled = RequestSettled(
            request_id=in_flight.request_id,
            outcome=outcome,
            reason=reason,
            caller=classified.caller,
            traffic_class=classified.traffic_class,
            model=classified.request.model,
            server=in_flight.server,
            waited_s=max(0.0, in_flight.dispatched_at - classified.arrived),
            attempts=in_flight.attempts,
            retries=tuple(in_flight.retries),
        )
        outputs = [settled, *self._settle_claim(in_flight, outcome, reason, answer)]
        if in_flight.job:
            outputs.append(JobEnded(in_flight.request_id, outcome, answer))
        return outputs

    def _settle_claim(
        self,
        in_flight: InFlightRequest,
        outcome: Outcome,
        reason: Reason | None,
        answer: StoredAnswer | None,
    ) -> list[Output]:
        if not in_flight.claimed:
            held = reason in _HELD_BY_EARLIER_ATTEMPT
            claiming = in_flight.stage is Stage.CLAIMING and not held
            if claiming and outcome is Outcome.NOT_RUN:
                return [ClaimAbandoned(in_flight.request_id)]
            return []
        if outcome is Outcome.NOT_RUN:
            return [ClaimAbandoned(in_flight.request_id)]
        return [ClaimSettled(in_flight.request_id, answer)]

    def expire(self, now: float, in_flight: InFlightRequest) -> list[Output]:
        """End a request whose deadline passed while it waited."""
        after = self.state.admission.retry_after_s(now, in_flight.classified)
        refusal = refuse(Reason.DEADLINE, retry_after_s=after)
        return self.end_with_refusal(in_flight, refusal)
