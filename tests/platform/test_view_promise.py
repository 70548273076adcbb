"""Instances with access to the store have its changes in time, whoever has lost it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.platform.fakes import config, FakePlainServer
from tests.platform.test_app import harness, wait_until
from tests.platform.test_relay import ADDRESS, fleet
from wisterialoom.core.fleet import Revision

if TYPE_CHECKING:
    from tests.platform.fakes import FakeStore
    from wisterialoom.platform.app import PlatformApp

PROMISE_S = 2.0
"""Time within which the platform wants each change to be in force."""


def cut_from_store(store: FakeStore, apps: list[PlatformApp], mode: str) -> None:
    store.past_revision = store.revision
    store.late_s = PROMISE_S
    for app in apps:
        store.door_modes[app.settings.store] = mode


async def change_all(store: FakeStore, version: int) -> float:
    """Change configuration and servers; return the monotonic time of the last one."""
    await store.put("config", "main", config(version=version))
    draining = FakePlainServer("i-1").entry("draining") | ADDRESS
    await store.put("servers", "i-1", draining)
    return time.monotonic()


def has_all(app: PlatformApp, version: int) -> bool:
    draining = app.dispatcher.views["i-1"].server.draining
    return app.catalog.config_version == version and draining


@pytest.mark.parametrize("mode", ["silent", "down", "late", "past"])
@pytest.mark.parametrize("pause_s", [0.0, 0.4])
async def test_survivor_of_a_cut_that_takes_all_watchers_stays_current(
    mode: str, pause_s: float
):
    async with fleet() as (store, apps):
        survivor = next(app for app in apps if not app.relay.role.active)
        cut_from_store(store, [app for app in apps if app is not survivor], mode)
        await asyncio.sleep(pause_s)
        changed_at = await change_all(store, version=2)
        await wait_until(lambda: has_all(survivor, 2), limit_s=10.0)
        assert time.monotonic() - changed_at <= PROMISE_S


async def test_watchers_that_all_read_a_past_state_are_noticed():
    """Only the holder of the lease hears of the store's progress otherwise."""
    async with fleet() as (store, apps):
        survivors = [app for app in apps if not app.relay.role.active]
        cut_from_store(store, [app for app in apps if app not in survivors], "past")
        changed_at = await change_all(store, version=2)
        await wait_until(lambda: all(has_all(app, 2) for app in apps))
        assert time.monotonic() - changed_at <= PROMISE_S


async def test_instance_whose_own_calls_contradict_the_watchers_warns_all_others():
    async with fleet() as (_, apps):
        follower = next(app for app in apps if not app.relay.role.active)
        progress = follower.catalog.config.store.progress
        reached = Revision(progress.latest.era, progress.latest.number + 1000)
        progress.record_answer(time.monotonic(), reached)
        await wait_until(lambda: follower.relay.role.active, limit_s=PROMISE_S)
        await wait_until(
            lambda: all(
                app.catalog.config.store.progress.latest >= reached for app in apps
            ),
            limit_s=0.5,
        )


async def test_watch_that_is_answered_from_a_past_state_confirms_nothing():
    async with harness(FakePlainServer("i-1")) as site:
        catalog = site.app.catalog
        site.store.past_revision = site.store.revision
        site.store.mode = "past"
        await wait_until(lambda: catalog.config.lost_since is not None)
        await asyncio.sleep(PROMISE_S)
        assert time.monotonic() - catalog.current_at >= PROMISE_S
        assert set(catalog.table.servers) == {"i-1"}
        site.store.mode = "ok"
        await wait_until(lambda: time.monotonic() - catalog.current_at < 1.0)


async def test_store_that_was_set_up_anew_without_an_era_is_believed_after_a_while(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr("wisterialoom.core.fleet.store_progress.MAX_PAST_S", 0.5)
    async with harness(FakePlainServer("i-1")) as site:
        site.store.revision += 10_000
        site.store.history.clear()
        site.store.oldest = site.store.revision
        known = site.app.catalog.config.store
        await wait_until(lambda: known.progress.latest.number > 10_000)
        site.store.history.clear()
        site.store.revision = site.store.oldest = 1
        for kind in ("config", "servers"):
            for item in site.store.objects[kind].values():
                item["metadata"]["revision"] = 1
        await wait_until(lambda: site.app.catalog.config.lost_since is not None)
        await wait_until(
            lambda: time.monotonic() - site.app.catalog.current_at < 0.4, limit_s=4.0
        )


async def test_instance_that_sees_a_restore_does_not_wait_for_its_watchers():
    """It followed the messages of watchers that had yet to notice the restore."""
    async with fleet() as (store, apps):
        follower = next(app for app in apps if not app.relay.role.active)
        cut_from_store(store, [app for app in apps if app is not follower], "silent")
        await store.restore(store.copy())
        seen_at = time.monotonic()
        await follower.catalog.config.store.read("config", "main")
        await wait_until(lambda: follower.catalog.config.revision.era == 2)
        assert time.monotonic() - seen_at <= 0.3
