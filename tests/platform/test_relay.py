"""Several instances over real sockets: few read the store, all have its contents."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, TYPE_CHECKING, TypeVar

import pytest

from tests.platform.fakes import (
    addresses,
    config,
    FakePlainServer,
    FakeStore,
    FRONT_PORT,
    METRICS_PORT,
    PEER_PORT,
    READY_PORT,
)
from tests.platform.test_app import harness, settings, wait_until
from wisterialoom.core.fleet import Revision, TableEntry
from wisterialoom.core.fleet.watcher_role import FIRST_DELAY_S
from wisterialoom.core.serving.routing import NO_VERSION
from wisterialoom.platform.app import PlatformApp
from wisterialoom.platform.hint_codec import decode_hint, encode_hint
from wisterialoom.platform.hints import (
    ConfigCopy,
    CopyWanted,
    News,
    ServersCopy,
    StoreReached,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

COUNT = 6


App = TypeVar("App", bound=PlatformApp)


def make_app(store: str, number: int, ip: str, kind: type[App]) -> App:
    values: dict[str, Any] = {
        "instance": f"front-{number}",
        "ip": ip,
        "front": f"{ip}:{FRONT_PORT}",
        "ready": f"{ip}:{READY_PORT}",
        "peer_port": PEER_PORT,
        "metrics_port": METRICS_PORT,
    }
    return kind(settings(store, **values))


def watchers(apps: list[PlatformApp]) -> list[PlatformApp]:
    return [app for app in apps if app.relay.role.active]


def watchers_settled(apps: list[PlatformApp]) -> bool:
    """Return whether three instances read the store and announce it to all others."""
    followers = [app for app in apps if not app.relay.role.active]
    now = time.monotonic()
    return len(apps) - len(followers) == 3 and all(
        len(app.relay.role.live_watchers(now)) >= 3 for app in followers
    )


@asynccontextmanager
async def fleet() -> AsyncIterator[tuple[FakeStore, list[PlatformApp]]]:
    """Run instances, and wait until only three of them read the store."""
    store = FakeStore()
    await store.start()
    await store.put("config", "main", config())
    await store.put("servers", "i-1", FakePlainServer("i-1").entry() | ADDRESS)
    ips = addresses()[:COUNT]
    apps = [
        make_app(await store.open_door(), number, ip, PlatformApp)
        for number, ip in enumerate(ips)
    ]
    for app in apps:
        await app.on_start()
    try:
        await wait_until(lambda: all(app.catalog.is_loaded for app in apps))
        await wait_until(lambda: watchers_settled(apps))
        yield store, apps
    finally:
        for app in apps:
            await app.on_stop()
        await store.stop()


ADDRESS = {"address": "127.0.0.1:9"}


async def test_instances_that_do_not_read_the_store_receive_its_changes():
    async with fleet() as (store, apps):
        followers = [app for app in apps if not app.relay.role.active]
        assert len(followers) == COUNT - 3
        # A watch call in progress may still complete after the watcher role has ended.
        await wait_until(
            lambda: all(
                app.catalog.config_confirmed_at > app.catalog.config.checked_at
                for app in followers
            )
        )
        await store.put("config", "main", config(version=2))
        await store.put("servers", "i-2", FakePlainServer("i-2").entry() | ADDRESS)
        draining = FakePlainServer("i-1").entry("draining") | ADDRESS
        await store.put("servers", "i-1", draining)
        await wait_until(lambda: all(app.catalog.config_version == 2 for app in apps))
        await wait_until(lambda: all("i-2" in app.dispatcher.views for app in apps))
        await wait_until(
            lambda: all(app.dispatcher.views["i-1"].server.draining for app in apps)
        )
        await store.remove("servers", "i-1")
        await wait_until(lambda: all("i-1" not in app.dispatcher.views for app in apps))
        assert not any(app.relay.role.active for app in followers)


async def test_change_right_after_all_instances_started_reaches_them_at_once():
    """Nobody watched the store for a second, while the servers registered again."""
    store = FakeStore()
    await store.start()
    await store.put("config", "main", config())
    apps = [
        make_app(await store.open_door(), number, ip, PlatformApp)
        for number, ip in enumerate(addresses()[:COUNT])
    ]
    await asyncio.gather(*(app.on_start() for app in apps))
    try:
        await wait_until(lambda: all(app.catalog.is_loaded for app in apps))
        await store.put("servers", "i-1", FakePlainServer("i-1").entry() | ADDRESS)
        await wait_until(
            lambda: all("i-1" in app.dispatcher.views for app in apps),
            FIRST_DELAY_S / 2,
        )
        await wait_until(lambda: watchers_settled(apps), 10.0)
    finally:
        for app in apps:
            await app.on_stop()
        await store.stop()


async def test_instances_that_start_get_their_first_view_from_the_holder():
    """Each of 195 instances used to list both kinds at its start."""
    async with fleet() as (store, apps):
        lists = store.calls["GET servers"]
        assert lists < COUNT
        last = apps.pop()
        await last.on_stop()
        again = PlatformApp(last.settings)
        apps.append(again)
        await again.on_start()
        await wait_until(lambda: again.catalog.is_loaded)
        assert store.calls["GET servers"] == lists


@asynccontextmanager
async def empty_site(
    **bounds: Any,
) -> AsyncIterator[tuple[FakeStore, list[PlatformApp]]]:
    """Run four instances at a store without objects."""
    store = FakeStore()
    await store.start()
    apps = [
        make_app(store.address, number, ip, PlatformApp)
        for number, ip in enumerate(addresses()[:4])
    ]
    for app in apps:
        changed = replace(app.settings.bounds, **bounds)
        app.settings = replace(app.settings, bounds=changed)
        await app.on_start()
    try:
        yield store, apps
    finally:
        for app in apps:
            await app.on_stop()
        await store.stop()


async def test_empty_list_of_servers_is_copied_like_any_other():
    """Before the servers had registered, all of 195 instances listed them."""
    async with empty_site() as (store, apps):
        await wait_until(lambda: all(app.catalog.has_servers for app in apps))
        assert store.calls["GET servers"] < len(apps)
        await store.put("config", "main", config())
        await store.put("servers", "i-1", FakePlainServer("i-1").entry() | ADDRESS)
        await wait_until(lambda: all(app.catalog.is_loaded for app in apps))
        await wait_until(lambda: all("i-1" in app.dispatcher.views for app in apps))


async def test_configuration_of_version_0_is_in_force_at_all_instances():
    """Guards against a first version of 0 that is taken for no configuration."""
    async with empty_site(revoke_strict=True) as (store, apps):
        assert {app.catalog.config_version for app in apps} == {NO_VERSION}
        await store.put("config", "main", config(version=0) | {"tenants": []})
        await store.put("servers", "i-1", FakePlainServer("i-1").entry() | ADDRESS)
        await wait_until(lambda: all(app.catalog.is_loaded for app in apps))
        assert {app.catalog.config_version for app in apps} == {0}
        await wait_until(lambda: all(app.key_exchange.can_vouch() for app in apps))


async def test_instance_reads_the_store_if_the_recorded_holder_does_not_answer():
    async with harness(FakePlainServer("i-1")) as site:
        await wait_until(lambda: "wisterialoom-leases" in site.store.objects)
        record = site.store.objects["wisterialoom-leases"]["placement-1"]["spec"]
        gone = record | {"holder": "front-9", "address": "127.0.0.99", "serial": 9}
        await site.app.on_stop()
        await site.store.change("wisterialoom-leases", "placement-1", gone)
        again = PlatformApp(site.app.settings)
        await again.on_start()
        await wait_until(lambda: again.catalog.is_loaded, limit_s=2.0)
        await again.on_stop()


async def test_other_instances_read_the_store_once_its_watchers_have_stopped():
    async with fleet() as (store, apps):
        for app in watchers(apps):
            await app.on_stop()
            apps.remove(app)
        await store.put("config", "main", config(version=2))
        await wait_until(
            lambda: all(app.catalog.config_version == 2 for app in apps), limit_s=3.0
        )


async def test_instance_started_in_an_outage_gets_its_view_from_other_instances():
    async with fleet() as (store, apps):
        last = apps.pop()
        old = last.settings
        await last.on_stop()
        store.mode = "down"
        again = PlatformApp(old)
        apps.append(again)
        await again.on_start()
        await wait_until(lambda: again.catalog.is_loaded)
        assert again.catalog.config_version == 1
        assert set(again.dispatcher.views) == {"i-1"}


async def test_copy_repairs_the_view_after_a_lost_message():
    async with fleet() as (_, apps):
        follower = next(app for app in apps if not app.relay.role.active)
        follower.catalog.table.remove(0.0, 0, "none")
        follower.catalog.table.entries.clear()
        follower.catalog.table.cached_digest = None
        await wait_until(lambda: set(follower.catalog.table.servers) == {"i-1"})
        assert not follower.relay.role.active


@pytest.mark.parametrize("revision", [Revision(0, 9), Revision(3, 9)])
def test_relay_messages_are_unchanged_by_encoding_and_decoding(revision: Revision):
    entries: dict[str, Any] = {"i-1": TableEntry(revision, None, changed_at=0.0)}
    for hint in (
        News("front-1", 5, 0.25, 0.5, 3, revision, revision, 77, entries),
        CopyWanted("front-1", 3, 77),
        ConfigCopy.from_spec(config()),
        ServersCopy("front-1", revision, 0, 1, entries),
        StoreReached("front-1", revision),
    ):
        assert decode_hint(encode_hint(hint)) == hint
    assert ConfigCopy.from_spec(config()).unpack() == config()


async def test_software_versions_reach_instances_that_do_not_read_the_store():
    async with fleet() as (store, apps):
        entry = FakePlainServer("i-2").entry() | ADDRESS | {"version": "v1.1"}
        await store.put("servers", "i-2", entry)

        def versions(app: PlatformApp) -> dict[str, str]:
            views = app.dispatcher.views.values()
            return {view.server.id: view.server.software_version for view in views}

        expected = {"i-1": "v1", "i-2": "v1.1"}
        await wait_until(lambda: all(versions(app) == expected for app in apps))


async def test_software_versions_are_read_from_the_store_if_no_watcher_tells_them(
    monkeypatch,
):
    """Watchers of an earlier build leave the versions out of their messages."""
    async with fleet() as (_, apps):
        follower = next(app for app in apps if not app.relay.role.active)
        table = follower.catalog.table
        entry = table.entries["i-1"]
        assert entry.server is not None
        unversioned = replace(entry.server, software_version="")
        for app in apps:
            app.catalog.table.software_versions.clear()
            if app is not follower:
                monkeypatch.setattr(app.relay, "answer", lambda *_: None)
                monkeypatch.setattr(app.relay, "_send_versions", lambda *_: None)
        table.entries["i-1"] = replace(entry, server=unversioned)
        await wait_until(lambda: table.listed["i-1"].software_version == "v1")
