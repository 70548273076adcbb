"""Tests that the soak test detects each kind of violated promise."""

from __future__ import annotations

import pytest

from tests.soak.promise_checker import EVENTS, PromiseChecker


def encode_events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in numbers)


def test_second_execution_of_an_at_most_once_request_is_detected():
    checker = PromiseChecker()
    checker.record_run("deposit-1")
    checker.record_run("draft-2")
    checker.record_run("draft-2")
    assert checker.violations == []
    checker.record_run("deposit-1")
    assert len(checker.violations) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_execution_before_or_after_a_refusal_is_detected(status):
    before, after = PromiseChecker(), PromiseChecker()
    before.record_run("deposit-1")
    before.record_answer("deposit-1", status, b"", complete=True)
    after.record_answer("once-1", status, b"", complete=True)
    assert after.violations == []
    after.record_run("once-1")
    assert (len(before.violations), len(after.violations)) == (1, 1)


@pytest.mark.parametrize("numbers", [(1, 3), (1, 1, 2), (2, 3)])
def test_missing_and_repeated_events_are_detected(numbers):
    checker = PromiseChecker()
    checker.record_answer("draft-1", 200, encode_events(*numbers), complete=False)
    assert len(checker.violations) == 1


def test_truncated_stream_that_looks_complete_is_detected():
    checker = PromiseChecker()
    checker.record_answer("draft-1", 200, encode_events(1, 2), complete=False)
    checker.record_answer(
        "draft-2", 200, encode_events(*range(1, EVENTS + 1)), complete=True
    )
    assert checker.violations == []
    checker.record_answer("draft-1", 200, encode_events(1, 2), complete=True)
    assert len(checker.violations) == 1


def test_answer_to_another_request_is_detected():
    checker = PromiseChecker()
    checker.record_answer("look-1", 200, b"POST /look/?q=look-1", complete=True)
    assert checker.violations == []
    checker.record_answer("look-1", 200, b"POST /look/?q=look-2", complete=True)
    assert len(checker.violations) == 1


def test_two_holders_of_one_fence_and_excess_models_are_detected():
    checker = PromiseChecker()
    checker.record_order({"fence": 1, "holder": "front-0"}, 3, 2)
    checker.record_order({"fence": 2, "holder": "front-1"}, 3, 2)
    assert checker.violations == []
    checker.record_order({"fence": 2, "holder": "front-0"}, 4, 3)
    assert len(checker.violations) == 3


def test_stream_with_events_of_two_versions_is_detected():
    checker = PromiseChecker()
    body = b": v1\n" + encode_events(1) + b": v2\n" + encode_events(2)
    checker.record_answer("draft-1", 200, body, complete=False)
    assert len(checker.violations) == 1
    checker.checks_versions = False
    checker.record_answer("draft-2", 200, body, complete=False)
    assert len(checker.violations) == 1
