"""Which software versions may have begun a stream."""

from __future__ import annotations

from wisterialoom.core.serving.backend import BackendServer
from wisterialoom.core.serving.software_versions import (
    MIN_RETENTION_S,
    sole_version,
    VersionHistory,
)


def server(name: str, version: str, started_ms: int = 1) -> BackendServer:
    return BackendServer(
        name, started_ms, "s", "ip:1", "a", 8, False, 0, software_version=version
    )


def observed(*moments: tuple[float, list[BackendServer]]) -> VersionHistory:
    history = VersionHistory()
    for now, servers in moments:
        history.set_servers(now, servers)
    return history


def test_instance_that_has_just_started_does_not_know_that_a_version_is_the_only_one():
    history = observed((0.0, [server("i-1", "v2")]))
    assert history.possible(0.1, "s") is None
    assert history.possible(MIN_RETENTION_S + 0.1, "s") == {"v2"}


def test_recorded_versions_count_until_nobody_can_take_their_streams_up():
    history = observed((0.0, [server("i-1", "v2")]))
    history.record_earlier(0.0, {"s": ["v1", "v2"]})
    assert history.possible(0.1, "s") == {"v1", "v2"}
    assert history.possible(MIN_RETENTION_S - 0.1, "s") == {"v1", "v2"}
    assert history.possible(MIN_RETENTION_S + 0.1, "s") == {"v2"}


def test_incomplete_record_says_nothing():
    history = observed((0.0, [server("i-1", "v2")]))
    history.record_earlier(0.0, None)
    assert history.possible(0.1, "s") is None
    assert history.to_record(0.1) is None


def test_version_counts_for_a_while_after_its_last_server_left():
    history = observed(
        (0.0, [server("i-1", "v1"), server("i-2", "v2")]), (5.0, [server("i-2", "v2")])
    )
    history.record_earlier(0.0, {})
    assert history.possible(5.0 + MIN_RETENTION_S - 0.1, "s") == {"v1", "v2"}
    assert history.possible(5.0 + MIN_RETENTION_S + 0.1, "s") == {"v2"}


def test_server_that_has_not_told_its_version_is_taken_for_another_one():
    history = observed((0.0, [server("i-1", "v1"), server("i-2", "")]))
    history.record_earlier(0.0, {})
    assert sole_version(history.possible(1.0, "s")) is None
    history.set_servers(2.0, [server("i-1", "v1"), server("i-2", "v1")])
    assert sole_version(history.possible(2.0, "s")) == "v1"


def test_only_server_that_has_not_told_its_version_has_no_known_one():
    history = observed((0.0, [server("i-1", "")]))
    history.record_earlier(0.0, {})
    assert sole_version(history.possible(1.0, "s")) is None


def test_server_that_left_without_telling_its_version_counts_for_a_while():
    history = observed((0.0, [server("i-1", "v1"), server("i-2", "")]))
    history.record_earlier(0.0, {})
    history.set_servers(1.0, [server("i-1", "v1")])
    assert sole_version(history.possible(2.0, "s")) is None
    assert sole_version(history.possible(MIN_RETENTION_S + 1.1, "s")) == "v1"


def test_versions_may_have_come_and_gone_in_a_gap():
    history = observed((0.0, [server("i-1", "v1")]))
    history.record_earlier(0.0, {})
    history.record_gap(10.0)
    assert history.possible(10.1, "s") is None
    history.record_earlier(10.2, {"s": ["v1"]})
    assert history.possible(10.3, "s") == {"v1"}


def test_new_version_is_settled_once_all_instances_know_it():
    history = observed((0.0, [server("i-1", "v1")]))
    history.set_servers(10.0, [server("i-1", "v1"), server("i-2", "v2")])
    assert history.settled(10.5, "s") == {"v1"}
    assert history.settled(12.0, "s") == {"v1", "v2"}


def test_new_version_is_not_settled_before_the_older_one_at_a_start():
    history = observed((0.0, [server("i-1", "v1")]))
    history.set_servers(0.6, [server("i-1", "v1"), server("i-2", "v2")])
    assert history.settled(0.7, "s") == {"v1"}


def test_only_recorded_versions_are_settled_at_a_start():
    history = observed((0.0, [server("i-1", "v1"), server("i-2", "v2")]))
    assert history.settled(0.1, "s") == {"v1", "v2"}
    history.record_earlier(0.1, {"s": ["v1"]})
    assert history.settled(0.2, "s") == {"v1"}


def test_version_without_a_server_is_not_settled():
    history = observed((0.0, [server("i-1", "v1")]), (5.0, []))
    assert history.settled(5.0, "s") == frozenset()


def test_retention_follows_the_longest_timeout_of_streams():
    history = VersionHistory()
    history.set_longest_timeout(60.0)
    assert history.retention_s == 120.0
    history.set_longest_timeout(1.0)
    assert history.retention_s == 120.0


def test_version_that_an_instance_saw_leave_counts_beside_what_others_know():
    history = observed((0.0, [server("i-1", "v1")]), (5.0, [server("i-2", "v2")]))
    assert history.possible(6.0, "s") is None
    assert history.known(6.0, "s") == {"v1", "v2"}
