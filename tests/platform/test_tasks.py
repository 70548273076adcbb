"""Background tasks are restarted after an unexpected error."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import harness, wait_until
from wisterialoom.platform._tasks import restart_counts, TaskGroup

if TYPE_CHECKING:
    import pytest


async def test_failed_task_is_restarted_logged_and_counted(
    caplog: pytest.LogCaptureFixture,
):
    """A task that ended with an error was gone for the lifetime of the process."""
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs < 3:
            raise RuntimeError("unexpected")
        await asyncio.sleep(3600)

    before = restart_counts().get("sample", 0)
    tasks = TaskGroup()
    tasks.supervise("sample", run)
    await wait_until(lambda: runs == 3)
    assert restart_counts()["sample"] == before + 2
    assert [record.levelname for record in caplog.records] == ["ERROR", "ERROR"]
    await asyncio.wait_for(tasks.stop(), 1.0)
    assert runs == 3


async def test_task_that_keeps_failing_is_restarted_less_often():
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        raise RuntimeError("unexpected")

    tasks = TaskGroup()
    tasks.supervise("sample", run)
    await asyncio.sleep(1.0)
    await tasks.stop()
    assert 3 <= runs <= 5


async def test_listing_that_could_not_be_applied_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
):
    """The watch went on after it, so that the servers of the list stayed unknown."""
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        catalog = site.app.catalog
        applied = catalog.server_watcher.on_listing
        failures = 1

        def apply(*args: Any) -> None:
            nonlocal failures
            if failures:
                failures -= 1
                raise RuntimeError("unexpected")
            applied(*args)

        monkeypatch.setattr(catalog.server_watcher, "on_listing", apply)
        await site.store.forget_history()
        site.store.objects["servers"]["i-2"] = {
            "metadata": {"name": "i-2", "revision": site.store.revision},
            "spec": FakePlainServer("i-2").entry() | {"address": "127.0.0.1:9"},
        }
        await wait_until(lambda: "i-2" in site.app.dispatcher.views)
        assert failures == 0
