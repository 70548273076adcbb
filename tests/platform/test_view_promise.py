"""Instances with access to the store have its changes in time, whoever has lost it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.platform.fakes import config, FakePlainServer
from tests.platform.test_app import wait_until
from tests.platform.test_relay import ADDRESS, fleet

if TYPE_CHECKING:
    from tests.platform.fakes import FakeStore
    from wisterialoom.platform.app import PlatformApp

PROMISE_S = 2.0
"""Time within which the platform wants each change to be in force."""


def cut_from_store(store: FakeStore, apps: list[PlatformApp], mode: str) -> None:
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


@pytest.mark.parametrize("mode", ["silent", "down"])
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
