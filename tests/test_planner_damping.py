"""Tests of `wisterialoom.core.planner_damping`."""

from wisterialoom.core.planner_damping import ServerHealth


def report_for(health, start, seconds):
    for second in range(seconds):
        health.report(start + second, "1")
    return start + seconds - 1


def test_first_fall_costs_nothing_and_the_next_ones_cool_down_longer():
    health = ServerHealth()
    now = report_for(health, 0.0, 2)
    assert health.is_usable(now)
    waits = []
    for _ in range(4):
        assert not health.is_usable(now + 6)
        start = now + 10
        now = start + 1
        report_for(health, start, 2)
        while not health.is_usable(now):
            now += 1
            health.report(now, "1")
        waits.append(now - start)
    assert waits == [1, 20, 40, 80]
