"""Which trait of the requests in progress explains the crashes of servers."""

from __future__ import annotations

from wisterialoom.core.crash_suspects import (
    CrashSuspects,
    MAX_ANSWERED,
    MAX_CRASHES,
    MAX_SUSPECTS,
    ServerStart,
    Suspect,
)

SETTLE_S = 0.1


def crash(
    suspects: CrashSuspects,
    at: float,
    *requests: tuple[str, ...],
    server: str = "",
    sent_at: float | None = None,
) -> None:
    """Record the crash of a server with requests of these traits in progress."""
    start = ServerStart(server or f"i-{at}", 1)
    sent = at - 0.05 if sent_at is None else sent_at
    for traits in requests:
        found = {trait: Suspect(depth, sent) for depth, trait in enumerate(traits)}
        suspects.record_crash(at, start, found)


def explain(suspects: CrashSuspects, now: float = 100.0) -> list[str]:
    return [item.trait for item in suspects.explain(now, SETTLE_S)]


def test_trait_in_progress_at_each_crash_and_never_answered_explains_them():
    suspects = CrashSuspects()
    suspects.record_answered(0.0, ["all", "a", "b", "c"])
    for at, subject in ((1.0, "a"), (2.0, "b"), (3.0, "c")):
        crash(suspects, at, ("all", subject, "dead"), ("all", "a"), ("all", "b"))
        suspects.record_answered(at + 0.1, ["all"])
    assert explain(suspects) == ["dead"]


def test_two_crashes_explain_nothing_and_wait_for_answers_after_the_third():
    suspects = CrashSuspects()
    crash(suspects, 1.0, ("dead",))
    crash(suspects, 1.02, ("dead",), sent_at=1.01)
    assert explain(suspects) == []
    crash(suspects, 1.05, ("dead",), sent_at=1.04)
    assert explain(suspects, 1.06) == []
    assert explain(suspects, 1.2) == ["dead"]


def test_servers_that_crash_at_the_same_time_are_one_crash():
    """Power was lost; what was in progress everywhere is not to blame."""
    suspects = CrashSuspects()
    for number in range(6):
        crash(suspects, 1.0, ("busy",), server=f"i-{number}", sent_at=0.0)
    assert explain(suspects) == []


def test_trait_that_is_answered_between_crashes_is_cleared():
    suspects = CrashSuspects()
    for at in (1.0, 2.0, 3.0, 4.0):
        crash(suspects, at, ("sound",))
        if at == 3.0:
            assert suspects.record_answered(at + 0.2, ["sound"]) == ["sound"]
    assert explain(suspects) == []
    assert suspects.record_answered(2.0, ["sound"]) == []


def test_narrow_trait_explains_before_the_wide_one_of_the_same_requests():
    suspects = CrashSuspects()
    for at in (1.0, 2.0, 3.0):
        crash(suspects, at, ("all", "subject", "dead"))
    assert explain(suspects) == ["dead"]
    crash(suspects, 4.0, ("all", "other", "dead"))
    assert explain(suspects) == ["dead"]


def test_wider_trait_explains_once_it_is_at_a_crash_without_the_narrow_one():
    suspects = CrashSuspects()
    for at in (1.0, 2.0, 3.0):
        crash(suspects, at, ("dead", "subject"))
    assert explain(suspects) == ["subject"]
    crash(suspects, 4.0, ("dead", "other"))
    assert explain(suspects) == ["dead"]


def test_trait_that_was_answered_before_needs_more_crashes():
    """All servers crash one after the other, before any answers as usual."""
    suspects = CrashSuspects()
    suspects.record_answered(0.0, ["all"])
    for at in (1.0, 2.0, 3.0, 4.0):
        crash(suspects, at, ("all",))
    assert explain(suspects) == []
    crash(suspects, 5.0, ("all",))
    assert explain(suspects) == ["all"]


def test_new_trait_explains_before_one_that_was_answered_before():
    suspects = CrashSuspects()
    suspects.record_answered(0.0, ["all"])
    for at in (1.0, 2.0, 3.0, 4.0, 5.0):
        crash(suspects, at, ("all", "dead") if at > 2.0 else ("all",))
    assert explain(suspects) == ["dead"]


def test_two_traits_explain_crashes_of_their_own():
    suspects = CrashSuspects()
    for number in range(3):
        crash(suspects, 1.0 + number, ("one", f"a{number}"))
        crash(suspects, 1.5 + number, ("two", f"b{number}"))
    assert sorted(explain(suspects)) == ["one", "two"]


def test_equal_rivals_are_held_only_after_more_crashes():
    suspects = CrashSuspects()
    for number in range(5):
        assert explain(suspects) == []
        crash(suspects, 1.0 + number, ("one", f"a{number}"), ("two", f"b{number}"))
    assert sorted(explain(suspects)) == ["one", "two"]


def test_crash_that_several_instances_tell_counts_once():
    suspects = CrashSuspects()
    for _ in range(4):
        crash(suspects, 1.0, ("dead",), server="i-1")
        crash(suspects, 2.0, ("dead",), server="i-2")
    assert explain(suspects) == []
    assert suspects.crashes_with("dead") == {
        ServerStart("i-1", 1),
        ServerStart("i-2", 1),
    }


def test_memory_is_bounded_under_a_flood_of_different_traits():
    suspects = CrashSuspects()
    for number in range(2 * MAX_ANSWERED):
        suspects.record_answered(1.0, [f"t{number}"])
    for number in range(2 * MAX_CRASHES):
        flood = [
            (f"all{number}", f"own{number}-{item}") for item in range(MAX_SUSPECTS)
        ]
        crash(suspects, 1.0 + number, *flood)
    assert len(suspects.answered_at) == MAX_ANSWERED
    assert len(suspects.crashes) == MAX_CRASHES
    kept = next(iter(suspects.crashes.values())).suspects
    assert len(kept) == MAX_SUSPECTS
    suspects.expire(1e6)
    assert not suspects.crashes
