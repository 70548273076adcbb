"""Tests of `wisterialoom.core.requests.attempt_control`."""

import pytest

from tests.documents import make_load, make_server
from tests.test_request_path import arrive, chat, make_path, only, registration
from wisterialoom.core.notice import ClaimGranted, ServersChanged
from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptResult,
    Dispatch,
    Outcome,
    Refuse,
)


def test_end_of_an_earlier_attempt_does_not_settle_a_request():
    path = make_path(make_load("e1", "drafting"), make_load("e2", "drafting"))
    first = only(arrive(path, 1.0, chat(1)), Dispatch).attempt
    lost = AttemptEnded(first, AttemptResult.LOST)
    second = only(path.handle(1.1, lost), Dispatch).attempt
    assert path.handle(1.2, AttemptEnded(first, AttemptResult.COMPLETED)) == []
    assert path.late_events == 1
    assert path.in_flight_requests[second.request_id].attempt == second


@pytest.mark.parametrize(
    ("result", "outcome"),
    [(AttemptResult.LOST, Outcome.UNKNOWN), (AttemptResult.NOT_SENT, None)],
)
def test_non_idempotent_work_is_repeated_only_if_it_was_not_sent(result, outcome):
    path = make_path()
    services = [make_server(f"registry-{n}", "service") for n in (1, 2)]
    path.handle(0.5, ServersChanged(tuple(services)))
    arrive(path, 1.0, registration(1))
    attempt = only(path.handle(1.1, ClaimGranted("r1")), Dispatch).attempt
    outputs = path.handle(1.2, AttemptEnded(attempt, result))
    if outcome is None:
        assert only(outputs, Dispatch).attempt.server != attempt.server
    else:
        assert only(outputs, Refuse).refusal.outcome is outcome
        assert not any(isinstance(item, Dispatch) for item in outputs)
