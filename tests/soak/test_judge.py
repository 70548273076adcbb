"""The judge sees each kind of broken promise."""

from __future__ import annotations

import pytest

from tests.soak.judge import EVENTS, Judge


def body(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in numbers)


def test_a_second_run_of_what_runs_once_is_seen():
    judge = Judge()
    judge.note_run("deposit-1")
    judge.note_run("draft-2")
    judge.note_run("draft-2")
    assert judge.broken == []
    judge.note_run("deposit-1")
    assert len(judge.broken) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_run_before_or_after_a_refusal_is_seen(status):
    before, after = Judge(), Judge()
    before.note_run("deposit-1")
    before.note_answer("deposit-1", status, b"", whole=True)
    after.note_answer("once-1", status, b"", whole=True)
    assert after.broken == []
    after.note_run("once-1")
    assert (len(before.broken), len(after.broken)) == (1, 1)


@pytest.mark.parametrize("numbers", [(1, 3), (1, 1, 2), (2, 3)])
def test_missing_and_repeated_events_are_seen(numbers):
    judge = Judge()
    judge.note_answer("draft-1", 200, body(*numbers), whole=False)
    assert len(judge.broken) == 1


def test_a_cut_stream_that_looks_whole_is_seen():
    judge = Judge()
    judge.note_answer("draft-1", 200, body(1, 2), whole=False)
    judge.note_answer("draft-2", 200, body(*range(1, EVENTS + 1)), whole=True)
    assert judge.broken == []
    judge.note_answer("draft-1", 200, body(1, 2), whole=True)
    assert len(judge.broken) == 1


def test_another_requests_answer_is_seen():
    judge = Judge()
    judge.note_answer("look-1", 200, b"POST /look/?q=look-1", whole=True)
    assert judge.broken == []
    judge.note_answer("look-1", 200, b"POST /look/?q=look-2", whole=True)
    assert len(judge.broken) == 1


def test_two_holders_with_one_fence_and_too_many_models_are_seen():
    judge = Judge()
    judge.note_order({"fence": 1, "holder": "front-0"}, 3, 2)
    judge.note_order({"fence": 2, "holder": "front-1"}, 3, 2)
    assert judge.broken == []
    judge.note_order({"fence": 2, "holder": "front-0"}, 4, 3)
    assert len(judge.broken) == 3
