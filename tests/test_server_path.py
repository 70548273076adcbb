"""Paths to the servers of a service, of which none is reached for a while."""

from __future__ import annotations

from wisterialoom.core.serving.server_path import PathTable

PROBED_S = 3.0
"""Time within which each server of an unreached service is probed."""


def probe_all(paths: PathTable, start: float, alive: set[str]) -> set[str]:
    """Probe whatever is due for some time; return the probed servers."""
    probed: set[str] = set()
    now = start
    while now < start + PROBED_S:
        for server_id in paths.take_probes(now):
            probed.add(server_id)
            paths.end_probe(server_id)
            if server_id in alive:
                paths.record_opened(now, server_id, "scribe")
            else:
                paths.record_failed(now, server_id, "scribe", listed=())
        now += 0.1
    return probed


def lose_service(paths: PathTable, listed: list[str]) -> None:
    for number in range(3):
        for _ in range(2):
            paths.record_failed(number * 1.0, listed[number], "scribe", listed)
    assert paths.lost_services() == {"scribe"}


def test_each_server_of_an_unreached_service_is_probed():
    """Only some were; nobody returned to the others once those were gone."""
    listed = [f"i-{number}" for number in range(59)]
    paths = PathTable()
    lose_service(paths, listed)
    assert probe_all(paths, 3.0, set()) == set(listed)
    assert paths.is_lost("i-58", "scribe")
    probe_all(paths, 6.0, {"i-58"})
    assert not paths.is_lost("i-58", "scribe")


def test_server_that_is_listed_while_its_service_is_unreached_is_probed_at_once():
    listed = ["i-0", "i-1", "i-2"]
    paths = PathTable()
    lose_service(paths, listed)
    paths.set_servers({"i-3": "scribe"})
    assert paths.take_probes(3.0) == ["i-3"]


def test_server_that_starts_again_under_its_id_is_probed_at_once():
    """It was probed every 2 s only, as it had been down for a while."""
    paths = PathTable()
    now = 0.0
    while now < 10.0:
        for server_id in paths.take_probes(now) or (["i-0"] if not now else []):
            paths.end_probe(server_id)
            paths.record_failed(now, server_id, "scribe", listed=("i-0", "i-1"))
        now += 0.1
    assert "i-0" not in paths.take_probes(now)
    paths.record_restarted("i-0")
    assert "i-0" in paths.take_probes(now)
    paths.record_restarted("i-9")
