"""Fleets of any size find what crashes servers, and hold back nothing else."""

from __future__ import annotations

from dataclasses import replace
from statistics import mean

import pytest

from tests.crash_model import Load, Model
from wisterialoom.core.crash_suspects import (
    CrashSuspects,
    MAX_ANSWERED,
    ServerStart,
)
from wisterialoom.core.crash_watch import (
    AnsweredTraits,
    CrashSeen,
    CrashWatch,
    HeldTraits,
    LOSS_MEMORY_S,
)
from wisterialoom.core.quarantine import TRIALS_AFTER_S

CONTACT_S = 3.0
CRASHES_ALLOWED = 5
REPEATED_CRASHES = 3
ARRIVALS_ALLOWED = 3

SERVED_SHARE = 0.9
"""Part of the sound requests that must not be held back, in any play."""

LOADS = {
    "six": Load(for_s=20.0),
    "often": Load(deadly=(("dead", 0.2),), for_s=12.0),
    "two parts": Load(deadly=(("dead", 0.05), ("other", 0.05)), for_s=20.0),
    "overload": Load(wait_s=1.0, for_s=20.0),
    "lost datagrams": Load(lost=0.3, for_s=20.0),
    "other crashes": Load(planned=((3.0, 1), (4.2, 2), (6.0, 1), (8.0, 2)), for_s=12.0),
    "195": Load(instances=195, servers=59, rate=400.0, subjects=300, for_s=8.0),
}

ONE_REQUEST = Load(deadly=(("request-dead", 0.05),), own_trait=True, for_s=20.0)

SPLITS = {
    "two halves": Load(is_cut=lambda a, b: a % 2 != b % 2, for_s=20.0),
    "two instances": Load(instances=2, is_cut=lambda _, __: True, for_s=20.0),
}

SEEDS = 12


def play(
    load: Load, seeds: int = SEEDS, *, allowed: int = CRASHES_ALLOWED
) -> list[int]:
    """Check plays of a load; return the number of crashes for each deadly trait."""
    crashes = []
    for seed in range(seeds):
        outcome = Model(load, seed).play()
        assert outcome.late_arrivals(allowed, CONTACT_S) <= ARRIVALS_ALLOWED
        held = sum(outcome.held_sound.values())
        assert held <= (1 - SERVED_SHARE) * outcome.sound
        crashes += [len(times) for times in outcome.crashes.values()]
    return crashes


@pytest.mark.parametrize("name", LOADS)
def test_few_servers_crash_and_sound_requests_are_served(name: str):
    crashes = play(LOADS[name], 1 if name == "195" else SEEDS)
    assert mean(crashes) <= CRASHES_ALLOWED


@pytest.mark.parametrize("instances", [1, 2, 6, 30])
def test_request_that_comes_again_is_held_back(instances: int):
    load = replace(ONE_REQUEST, instances=instances)
    assert mean(play(load, allowed=REPEATED_CRASHES)) <= CRASHES_ALLOWED


def test_request_that_crashed_two_servers_and_then_ran_well_is_served():
    watch = CrashWatch("a")
    for number in range(6):
        lose(watch, 1.0 + number, f"i-{number}", "request-1")
        if number % 2:
            watch.record_output(1.5 + number, ("request-1",))
        assert watch.decide(1.8 + number) == []


def test_requests_that_differ_displace_no_part_that_was_answered():
    watch = CrashWatch("a")
    watch.record_output(1.0, ("part-1",))
    for number in range(2 * MAX_ANSWERED):
        watch.record_output(2.0, (f"request-{number}",))
    assert watch.suspects.answered_at == {"part-1": 1.0}


@pytest.mark.parametrize("name", SPLITS)
def test_few_deadly_requests_come_late_while_instances_cannot_hear_each_other(
    name: str,
):
    """Each side of the split has to see the crashes for itself."""
    play(SPLITS[name])


def test_crashes_for_other_reasons_hold_nothing_back():
    planned = ((6.0, 1), (9.0, 2), (12.0, 1), (15.0, 3), (18.0, 6), (23.0, 1))
    load = Load(deadly=(), planned=planned, for_s=30.0)
    for seed in range(SEEDS):
        assert not Model(load, seed).play().held_sound


@pytest.mark.parametrize("instances", [1, 6, 35])
def test_crashes_while_a_new_batch_waits_for_its_first_output_hold_nothing_back(
    instances: int,
):
    """All servers had such requests in progress, so three crashes held the batch."""
    load = Load(
        instances=instances,
        servers=12,
        rate=25.0 if instances == 1 else 60.0,
        deadly=(),
        wait_s=3.8,
        wait_spread=0.02,
        planned=((1.0, 1), (1.9, 1), (2.8, 1)),
        for_s=8.0,
    )
    for seed in range(SEEDS):
        assert not Model(load, seed).play().held_sound


def test_batch_that_crashes_servers_is_held_though_all_of_them_run_it():
    load = Load(
        servers=12,
        deadly=(("dead", 1.0),),
        begins_at=0.0,
        wait_s=1.0,
        wait_spread=0.1,
        for_s=20.0,
    )
    # Many servers are about to crash when the first one does.
    assert mean(play(load)) <= 5


def test_held_requests_reach_a_server_only_in_trials():
    outcome = Model(Load(for_s=4.0 + 2 * TRIALS_AFTER_S[0], rate=30.0), 1).play()
    settled = outcome.crashes["dead"][0] + CONTACT_S
    late = [at for at in outcome.arrivals["dead"] if at > settled]
    assert len(late) == 1


def lose(watch: CrashWatch, now: float, server: str, *traits: str) -> None:
    """Lose an attempt at a server that turns out to be down."""
    start = ServerStart(server, 1)
    watch.record_loss(now, start, now - 0.05, traits)
    watch.record_down(start)


def hold(watch: CrashWatch, now: float, trait: str) -> None:
    for number in range(3):
        lose(watch, now - 1.0 + number / 4, f"i-{now}-{number}", trait)
    assert [item.trait for item in watch.decide(now)] == [trait]


def test_loss_at_a_server_that_is_not_down_suspects_nothing():
    watch = CrashWatch("a", frozenset("a"))
    for number in range(5):
        start = ServerStart(f"i-{number}", 1)
        watch.record_loss(number * 1.0, start, number - 0.1, ("t",))
    assert watch.decide(5.0) == []
    # The news that one is down comes too late to have been the reason.
    watch.record_down(ServerStart("i-4", 1))
    watch.decide(4.0 + LOSS_MEMORY_S + 0.1)
    assert watch.take_messages(100.0) == []


def test_crash_that_another_instance_tells_confirms_own_losses():
    first, second = CrashWatch("a"), CrashWatch("b")
    lose(first, 1.0, "i-1", "t")
    second.record_loss(1.001, ServerStart("i-1", 1), 0.9, ("u",))
    first.decide(1.02)
    for message in first.take_messages(1.02):
        second.handle(1.03, message)
    second.decide(1.03)
    told = second.take_messages(1.03)
    assert [set(x.suspects) for x in told if isinstance(x, CrashSeen)] == [{"u"}]


def test_crash_is_told_twice_as_datagrams_are_lost():
    watch = CrashWatch("a")
    lose(watch, 1.0, "i-1", "t")
    watch.decide(1.1)
    assert len(watch.take_messages(1.1)) == 1
    assert len(watch.take_messages(2.0)) == 1
    assert watch.take_messages(3.0) == []


def test_wrong_hold_ends_as_soon_as_an_instance_knows_better():
    first, second = CrashWatch("a"), CrashWatch("b")
    hold(first, 10.0, "t")
    second.record_output(9.8, ("t",))
    for message in first.take_messages(10.0):
        second.handle(10.01, message)
    assert not second.quarantine.is_held("t")
    for message in second.take_messages(10.5):
        first.handle(10.51, message)
    assert not first.quarantine.is_held("t")


def test_answer_in_progress_when_its_trait_was_held_ends_the_hold():
    watch = CrashWatch("a")
    hold(watch, 10.0, "t")
    watch.record_output(10.1, ("s", "t"))
    assert not watch.quarantine.is_held("t")


def test_trial_is_made_by_one_instance_and_by_the_next_if_that_has_no_such_request():
    names = frozenset(("a", "b", "c"))
    watches = [CrashWatch(name, names) for name in sorted(names)]
    hold(watches[0], 10.0, "t")
    for watch in watches[1:]:
        watch.handle(10.0, HeldTraits(watches[0].quarantine.verdicts()))
    due = 10.0 + TRIALS_AFTER_S[0]
    assert not any(watch.begin_trial(due - 1.0, "t") for watch in watches)
    first = [watch for watch in watches if watch.begin_trial(due, "t")]
    assert len(first) == 1
    others = [watch for watch in watches if watch is not first[0]]
    assert not first[0].begin_trial(due + 1.0, "t")
    assert sum(watch.begin_trial(due + 15.0, "t") for watch in others) == 1


def test_answers_are_told_by_few_instances():
    watches = [
        CrashWatch(f"i{n}", frozenset(f"i{m}" for m in range(50))) for n in range(50)
    ]
    for watch in watches:
        watch.record_output(0.9, ("all",))
    lose(watches[0], 1.0, "i-1", "all")
    watches[0].decide(1.02)
    seen = next(x for x in watches[0].take_messages(1.02) if isinstance(x, CrashSeen))
    for watch in watches[1:]:
        watch.handle(1.01, seen)
    told = 0
    now = 1.01
    while now < 1.3:
        now += 0.002
        for watch in watches[1:]:
            for message in watch.take_messages(now):
                told += 1
                assert isinstance(message, AnsweredTraits)
                for other in watches:
                    other.handle(now, message)
    assert told < 5


def test_verdict_that_all_instances_reach_is_told_by_few():
    """Each told it to all, also when it had only heard it."""
    names = frozenset(f"i{number}" for number in range(100))
    watches = [CrashWatch(name, names) for name in sorted(names)]
    crashes = []
    for number in range(3):
        lose(watches[0], 1.0 + number, f"i-{number}", "t")
        watches[0].decide(1.1 + number)
        crashes += watches[0].take_messages(1.1 + number)
    for watch in watches[1:]:
        for message in crashes:
            watch.handle(3.2, message)
    told, now = 0, 3.2
    while now < 3.6:
        now += 0.001
        for watch in watches:
            watch.decide(now)
            for message in watch.take_messages(now):
                if isinstance(message, HeldTraits):
                    told += 1
                    for other in watches:
                        other.handle(now, message)
    assert all(watch.quarantine.is_held("t") for watch in watches)
    assert told < 5


def test_losses_at_a_crashed_server_are_told_together():
    """Each of them was told to all instances by itself."""
    watch = CrashWatch("a")
    lose(watch, 1.0, "i-1", "t0")
    watch.decide(1.02)
    watch.take_messages(2.0)
    for number in range(1, 40):
        watch.record_loss(1.03, ServerStart("i-1", 1), 0.9, (f"t{number}",))
    watch.decide(1.04)
    told = watch.take_messages(1.04)
    assert len(told) == 1
    assert isinstance(told[0], CrashSeen)
    assert len(told[0].suspects) == 39


def test_reports_of_many_instances_lead_to_few_decisions(monkeypatch):
    """Each led to one, so a crash cost all instances a lot of processor time."""
    decisions = []
    monkeypatch.setattr(
        CrashSuspects, "explain", lambda *args: decisions.append(args) or []
    )
    watch = CrashWatch("a")
    seen = CrashSeen(ServerStart("i-1", 1), 1.0, {})
    now = 1.0
    for _ in range(77):
        now += 0.001
        watch.handle(now, seen)
        watch.decide(now)
    assert len(decisions) <= 8
    pause_s = watch.pause_s(now)
    assert pause_s is not None
    before = len(decisions)
    watch.decide(now + pause_s)
    assert len(decisions) == before + 1
