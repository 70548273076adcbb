"""Verdicts about traits, which all instances share."""

from __future__ import annotations

from hypothesis import given, strategies as st

from wisterialoom.core.quarantine import (
    HOLD_S,
    MAX_VERDICTS,
    Quarantine,
    RELEASED_MEMORY_S,
    TRIAL_OF_ANSWERED_S,
    TRIALS_AFTER_S,
    Verdict,
)


def test_held_trait_is_tried_in_growing_intervals_and_only_so_often():
    quarantine = Quarantine()
    assert quarantine.hold(0.0, "t", was_answered=False)
    assert not quarantine.hold(0.1, "t", was_answered=False)
    now = 0.0
    for after_s in TRIALS_AFTER_S:
        assert not quarantine.trial_due(now + after_s - 0.1, "t")
        now += after_s
        assert quarantine.trial_due(now, "t")
        quarantine.begin_trial(now, "t")
        assert quarantine.is_held("t")
    assert not quarantine.trial_due(now + HOLD_S, "t")
    quarantine.expire(now + HOLD_S)
    assert not quarantine.is_held("t")
    quarantine.expire(now + HOLD_S + RELEASED_MEMORY_S)
    assert not quarantine.entries


def test_trait_that_was_answered_before_is_tried_early():
    quarantine = Quarantine()
    quarantine.hold(0.0, "t", was_answered=True)
    assert quarantine.trial_due(TRIAL_OF_ANSWERED_S, "t")


def test_end_of_a_hold_is_not_undone_by_older_verdicts():
    first, second = Quarantine(), Quarantine()
    first.hold(0.0, "t", was_answered=False)
    held = first.verdicts()
    second.merge(0.1, held)
    assert second.is_held("t")
    first.release(0.2, "t")
    assert first.merge(0.3, second.verdicts()) == []
    assert not first.is_held("t")
    second.merge(0.3, first.verdicts())
    assert not second.is_held("t")
    assert second.held_trait(["t"]) is None


def test_trial_counts_over_all_instances():
    first, second = Quarantine(), Quarantine()
    first.hold(0.0, "t", was_answered=False)
    second.merge(0.0, first.verdicts())
    first.begin_trial(TRIALS_AFTER_S[0], "t")
    second.merge(TRIALS_AFTER_S[0], first.verdicts())
    assert not second.trial_due(TRIALS_AFTER_S[0] + 1.0, "t")


def test_holds_outlast_ended_ones_if_there_are_too_many():
    quarantine = Quarantine()
    quarantine.hold(0.0, "t", was_answered=False)
    for number in range(2 * MAX_VERDICTS):
        quarantine.hold(1.0 + number, f"u{number}", was_answered=False)
        quarantine.release(1.0 + number, f"u{number}")
    assert len(quarantine.entries) == MAX_VERDICTS
    assert quarantine.is_held("t")


verdicts = st.builds(
    Verdict, st.integers(0, 5), st.booleans(), st.integers(0, 3), st.booleans()
)


@given(st.lists(st.dictionaries(st.sampled_from("ab"), verdicts), max_size=6))
def test_instances_agree_in_whatever_order_they_hear_verdicts(messages):
    first, second = Quarantine(), Quarantine()
    for message in messages:
        first.merge(0.0, message)
    for message in reversed(messages):
        second.merge(0.0, message)
        second.merge(0.0, message)
    states = [
        {trait: verdict.order for trait, verdict in quarantine.verdicts().items()}
        for quarantine in (first, second)
    ]
    assert states[0] == states[1]
