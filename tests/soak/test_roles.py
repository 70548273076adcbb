"""Tests of what the soak reads from the logs of instances."""

from __future__ import annotations

import json
import time
from datetime import datetime
from typing import Any, TYPE_CHECKING

from tests.soak.roles import EVERYBODY, find_role, Role, ViewAges

if TYPE_CHECKING:
    from pathlib import Path


def write(path: Path, *lines: dict[str, Any]) -> Path:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines) + "not json\n")
    return path


def request(at: float, view_age_ms: int) -> dict[str, Any]:
    text = datetime.fromtimestamp(at).strftime("%Y-%m-%d %H:%M:%S,%f")[:-3]
    return {
        "message": "request",
        "at": text,
        "request_id": "r1",
        "total_ms": 0,
        "view_age_ms": view_age_ms,
    }


def test_roles_are_those_since_the_last_start(tmp_path: Path):
    on = {"message": "watcher role", "on": True}
    logs = {
        0: write(tmp_path / "0", on, {"message": "lease taken", "epoch": 1}),
        1: write(tmp_path / "1", on, {"message": "started"}),
        2: write(tmp_path / "2", on, {"message": "lease taken", "epoch": 2}),
    }
    assert find_role(Role.WATCHERS, logs) == {0, 2}
    assert find_role(Role.HOLDER, logs) == {2}
    assert find_role(Role.ALL_BUT_A_FOLLOWER, logs) == {0, 2}


def test_outdated_view_of_an_undisturbed_instance_is_a_violation(tmp_path: Path):
    ages, now = ViewAges(), time.time()
    path = write(tmp_path / "0", request(now, 1900), request(now, 2100))
    assert len(list(ages.violations(0, path))) == 1
    ages.record(1, now - 1.0, now)
    assert len(list(ages.violations(0, path))) == 1
    ages.record(EVERYBODY, now - 9.0, now - 4.0)
    assert len(list(ages.violations(0, path))) == 1
    ages.record(0, now - 4.0, now - 2.0)
    assert not list(ages.violations(0, path))


def test_disturbance_lasts_from_its_begin_to_a_while_after_its_end():
    ages = ViewAges()
    with ages.disturbed({0}):
        assert not ages.owes(0, time.time())
        assert ages.owes(1, time.time())
    assert not ages.owes(0, time.time() + 1.0)
    assert ages.owes(0, time.time() + 4.0)


def test_instance_owes_nothing_until_a_while_after_it_has_started(tmp_path: Path):
    now = time.time()
    started = request(now, 0) | {"message": "started"}
    soon, late = request(now + 2.9, 1_000_000), request(now + 3.1, 1_000_000)
    assert not list(ViewAges().violations(0, write(tmp_path / "0", started, soon)))
    assert list(ViewAges().violations(0, write(tmp_path / "0", started, late)))
