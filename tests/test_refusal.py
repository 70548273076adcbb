"""Tests of `wisterialoom.core.requests.refusal`."""

import pytest

from wisterialoom.core.requests.refusal import refuse, RETRY_AFTER_LIMITS_S
from wisterialoom.core.requests.request import Outcome, Reason


@pytest.mark.parametrize("reason", list(Reason))
def test_every_reason_has_a_message_and_an_error_status(reason):
    refusal = refuse(reason)
    assert refusal.message.endswith(".")
    assert 400 <= refusal.status < 600


def test_retry_hint_is_clamped_and_absent_where_a_retry_is_useless():
    low, high = RETRY_AFTER_LIMITS_S
    assert refuse(Reason.OVERLOAD, retry_after_s=0.01).retry_after_s == low
    assert refuse(Reason.OVERLOAD, retry_after_s=1e9).retry_after_s == high
    assert refuse(Reason.KEY_REUSED, retry_after_s=5.0).retry_after_s is None
    assert refuse(Reason.CONNECT, outcome=Outcome.UNKNOWN).outcome is Outcome.UNKNOWN
