"""Runs the soak test with two fixed seeds and every seed that has ever failed.

`python -m tests.soak` runs more seeds, and new ones unless the first seed is given.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.soak.faults import draw_faults
from tests.soak.soak_run import Instance, SoakRun

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.processes

FIXED_SEEDS = [1, 2]

FAILED_SEEDS: dict[int, str] = {
    133: "two deployments picked the same port; each now has its own addresses",
    134: "same cause as 133",
    137: "the error of a call that was canceled while connecting was never retrieved",
    1796350572: "a reload signal before its first statement ended a process",
    1796350574: "same cause as 1796350572",
    34018: "an instance that was starting read a settings file that was half written",
}
"""Seeds that have failed, each with the cause."""


RESTORE_SEEDS = [1, 2]
ROLE_SEEDS = [1, 2]


@pytest.mark.parametrize("seed", [*FIXED_SEEDS, *FAILED_SEEDS])
async def test_promises_hold_under_faults(seed: int, tmp_path: Path):
    checker = await SoakRun(seed, tmp_path).run()
    assert checker.violations == []
    assert checker.answers["deposit 200"] > 20
    assert checker.answers["draft 200"] > 20


@pytest.mark.parametrize("seed", RESTORE_SEEDS)
async def test_promises_hold_while_the_store_is_restored(seed: int, tmp_path: Path):
    checker = await SoakRun(seed, tmp_path, restores=True).run()
    assert checker.violations == []
    assert checker.answers["deposit 200"] > 20
    assert checker.answers["draft 200"] > 20


@pytest.mark.parametrize("seed", ROLE_SEEDS)
async def test_promises_hold_while_all_instances_of_a_role_fail(
    seed: int, tmp_path: Path
):
    checker = await SoakRun(seed, tmp_path, roles=True).run()
    assert checker.violations == []
    assert checker.answers["deposit 200"] > 20
    assert checker.answers["draft 200"] > 20


def test_a_seed_reproduces_the_same_faults():
    assert draw_faults(5) == draw_faults(5)
    assert draw_faults(5) != draw_faults(6)


def test_settings_are_never_seen_half_written(tmp_path):
    """Seed 34018: an instance that was starting read an empty file and ended."""
    instance = Instance(0, "127.0.0.1:1", "127.0.0.1", tmp_path, (tmp_path,))
    instance.proxy.address = "127.0.0.1:2"
    instance.write_settings()
    before = instance.path.read_text()
    with instance.path.open() as being_read:
        instance.slack += 1
        instance.write_settings()
        assert being_read.read() == before
    assert instance.path.read_text() != before
