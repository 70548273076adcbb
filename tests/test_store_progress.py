"""Tests of `wisterialoom.core.fleet.store_progress`."""

from __future__ import annotations

from wisterialoom.core.fleet import Revision, StoreProgress


def revision(number: int, era: int = 1) -> Revision:
    return Revision(era, number)


def test_answer_from_before_a_known_revision_is_past():
    progress = StoreProgress()
    assert not progress.is_past(0.0, progress.latest, revision(5))
    progress.record_report(revision(8))
    assert progress.is_past(1.0, progress.latest, revision(7))
    assert not progress.is_past(1.1, progress.latest, revision(8))


def test_answer_to_a_call_sent_before_the_revision_was_known_is_not_past():
    progress = StoreProgress()
    known = progress.latest
    progress.record_report(revision(8))
    assert not progress.is_past(1.0, known, revision(7))


def test_answer_of_a_later_era_is_not_past_whatever_its_number():
    progress = StoreProgress()
    progress.record_answer(0.0, revision(90))
    assert not progress.is_past(1.0, progress.latest, revision(3, era=2))


def test_store_that_stays_behind_was_set_up_anew():
    progress = StoreProgress()
    progress.record_answer(0.0, revision(90))
    assert all(
        progress.is_past(1.0 + second, progress.latest, revision(3))
        for second in range(11)
    )
    assert not progress.is_past(11.5, progress.latest, revision(3))
    assert not progress.is_past(12.0, progress.latest, revision(4))
    assert not progress.disproves(revision(4), 13.0)


def test_claim_is_disproved_by_an_earlier_answer_only():
    progress = StoreProgress()
    progress.record_answer(10.0, revision(8))
    assert progress.disproves(revision(7), 10.5)
    assert not progress.disproves(revision(8), 10.5)
    assert not progress.disproves(revision(7), 9.9)
    # The claim may have been under way for a while, so its time is not exact.
    assert not progress.disproves(revision(7), 10.1)
