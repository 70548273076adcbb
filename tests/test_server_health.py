"""Tests of `wisterialoom.core.engine_control.server_health`."""

from wisterialoom.core.engine_control.server_health import (
    MIN_ANSWERING_S,
    REPORT_TIMEOUT_S,
    ServerHealth,
    UNREACHABLE_AFTER_S,
)


def run_until_usable(health, start):
    """Report a server as answering each second; return when it becomes usable."""
    now = start
    health.report(now, "1")
    while not health.is_usable(now):
        now += 1
        health.report(now, "1")
    return now


def test_cooldown_starts_with_the_second_failure_and_doubles():
    health = ServerHealth()
    now = run_until_usable(health, 0.0)
    assert now == MIN_ANSWERING_S
    waits = []
    for _ in range(4):
        failed_at = now + 6
        health.report(failed_at, "", answers=False)
        assert not health.is_usable(failed_at)
        start = failed_at + 4
        now = run_until_usable(health, start)
        waits.append(now - failed_at)
    assert waits == [4 + MIN_ANSWERING_S, 20, 40, 80]


def test_restart_counts_as_a_failure():
    health = ServerHealth()
    now = run_until_usable(health, 0.0)
    health.report(now + 1, "2")
    assert not health.is_usable(now + 1)
    assert health.failures == 1


def test_server_stays_usable_between_unchanged_reports():
    health = ServerHealth()
    now = run_until_usable(health, 0.0)
    assert health.is_usable(now + REPORT_TIMEOUT_S - 1)
    assert not health.is_usable(now + REPORT_TIMEOUT_S + 1)
    assert not health.is_serving(now + REPORT_TIMEOUT_S + 1)
    assert health.failures == 0


def test_models_of_an_unreachable_server_stay_reachable_only_for_a_while():
    health = ServerHealth()
    now = run_until_usable(health, 0.0)
    health.report(now, "", answers=False)
    health.report(now + UNREACHABLE_AFTER_S - 1, "", answers=False)
    assert health.is_serving(now + UNREACHABLE_AFTER_S - 1)
    assert not health.is_serving(now + UNREACHABLE_AFTER_S + 1)
