"""Tests of `wisterialoom.core.engine_control.planner_damping`."""

from wisterialoom.core.engine_control.planner_damping import (
    LOST_S,
    RISE_S,
    ServerHealth,
    SILENCE_S,
)


def rise(health, start):
    """Report a server that answers each second; return when it is usable."""
    now = start
    health.report(now, "1")
    while not health.is_usable(now):
        now += 1
        health.report(now, "1")
    return now


def test_first_fall_costs_nothing_and_the_next_ones_cool_down_longer():
    health = ServerHealth()
    now = rise(health, 0.0)
    assert now == RISE_S
    waits = []
    for _ in range(4):
        fell = now + 6
        health.report(fell, "", answers=False)
        assert not health.is_usable(fell)
        start = fell + 4
        now = rise(health, start)
        waits.append(now - fell)
    assert waits == [4 + RISE_S, 20, 40, 80]


def test_restart_counts_as_a_fall():
    health = ServerHealth()
    now = rise(health, 0.0)
    health.report(now + 1, "2")
    assert not health.is_usable(now + 1)
    assert health.falls == 1


def test_server_without_news_stays_usable_for_longer_than_reports_are_apart():
    health = ServerHealth()
    now = rise(health, 0.0)
    assert health.is_usable(now + SILENCE_S - 1)
    assert not health.is_usable(now + SILENCE_S + 1)
    assert not health.is_serving(now + SILENCE_S + 1)
    assert health.falls == 0


def test_unreachable_server_is_lost_after_a_while():
    health = ServerHealth()
    now = rise(health, 0.0)
    health.report(now, "", answers=False)
    health.report(now + LOST_S - 1, "", answers=False)
    assert health.is_serving(now + LOST_S - 1)
    assert not health.is_serving(now + LOST_S + 1)
