"""Revoked API keys at instances that lose the store, are paused, or restart."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, TYPE_CHECKING

import pytest

from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import (
    Harness,
    harness,
    second_instance,
    settings,
    wait_until,
)
from tests.platform.test_relay import fleet
from tests.platform.test_teams import config_with_teams, KEY, put_config, TENANTS
from wisterialoom.platform.hint_codec import decode_hint, encode_hint
from wisterialoom.platform.hints import KeysAnswer, KeysQuestion
from wisterialoom.platform.settings import Bounds

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.fakes import FakeStore, StoreCopy
    from wisterialoom.platform.app import PlatformApp

REVOKE_S = 1.6
"""Shorter than in practice, so that the tests are, too."""

BOUNDS = Bounds(
    fenced=True, lease_s=1.0, grace_s=3.0, revoke_strict=True, revoke_s=REVOKE_S
)
BEARER = f"Bearer {KEY}"


async def is_ready(site: Harness) -> bool:
    url = f"http://{site.app.settings.ready}/"
    async with site.session.get(url) as got:
        return got.status == 200


def test_bounds_are_read_and_shorten_the_age_of_the_view():
    bounds = Bounds.from_table({"revokeStrict": True, "revokeMs": 1000})
    assert (bounds.revoke_strict, bounds.revoke_s) == (True, 1.0)
    assert bounds.promise.limit_s == pytest.approx(0.4)
    assert Bounds.from_table({"revokeMs": 1000}).promise.limit_s == 2.0
    with pytest.raises(ValueError, match="revokeMs"):
        Bounds.from_table({"revokeMs": 0})


@pytest.mark.parametrize(
    "hint", [KeysQuestion("front-1", 4), KeysAnswer("front-1", 4, 7, 0.25)]
)
def test_hints_are_encoded_and_decoded(hint: KeysQuestion | KeysAnswer):
    assert decode_hint(encode_hint(hint)) == hint


async def test_keys_are_refused_and_the_instance_not_ready_without_the_store():
    """Guards against revoked keys at an instance that has lost the store."""
    server = FakePlainServer("i-1")
    async with harness(server, bounds=BOUNDS) as site:
        await put_config(site, 2)
        await wait_until(site.app.key_exchange.can_vouch)
        assert (await site.call("/deposit/", Authorization=BEARER))[0] == 200
        assert await is_ready(site)
        site.store.mode = "silent"
        lost_at = time.monotonic()
        await asyncio.sleep(0.5 * REVOKE_S)
        assert (await site.call("/deposit/", Authorization=BEARER))[0] == 200
        await wait_until(lambda: not site.app.key_exchange.can_vouch(), REVOKE_S)
        assert time.monotonic() - lost_at <= 0.9 * REVOKE_S + 0.1
        runs = len(server.runs)
        status, headers, _ = await site.call("/deposit/", Authorization=BEARER)
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert len(server.runs) == runs
        assert not await is_ready(site)
        assert (await site.call("/look/"))[0] == 200
        site.store.mode = "ok"
        await wait_until(site.app.key_exchange.can_vouch)
        assert (await site.call("/deposit/", Authorization=BEARER))[0] == 200
        assert await is_ready(site)


async def test_without_teams_an_outage_of_the_store_changes_nothing():
    """Guards against instances that stop in outages though there are no keys."""
    server = FakePlainServer("i-1")
    async with harness(server, bounds=BOUNDS) as site:
        site.store.mode = "silent"
        await asyncio.sleep(REVOKE_S)
        assert (await site.call("/deposit/"))[0] == 200
        assert await is_ready(site)


async def test_followers_are_confirmed_by_the_watchers():
    """Guards against instances that refuse keys because they do not read the store."""
    async with fleet() as (store, apps):
        for app in apps:
            app.settings = settings_with(app, replace(BOUNDS, revoke_s=5.0))
        await store.put("config", "main", config_with_teams(2))
        await wait_until(lambda: all(app.catalog.config_version == 2 for app in apps))
        await wait_until(lambda: all(app.key_exchange.can_vouch() for app in apps))
        until = time.monotonic() + 2.5
        while time.monotonic() < until:
            assert all(app.key_exchange.can_vouch() for app in apps)
            await asyncio.sleep(0.05)
        followers = [app for app in apps if not app.relay.role.active]
        assert followers
        assert any(app.key_exchange.counts["confirmed"] for app in followers)
        await lose_store(store, apps)
        await wait_until(
            lambda: not any(app.key_exchange.can_vouch() for app in apps), 5.0
        )


async def lose_store(store: FakeStore, apps: list[PlatformApp]) -> None:
    for app in apps:
        store.door_modes[app.settings.store] = "silent"


def settings_with(app: PlatformApp, bounds: Bounds):
    return settings(
        app.settings.store,
        instance=app.settings.instance,
        ip=app.settings.ip,
        front=app.settings.front,
        ready=app.settings.ready,
        peer_port=app.settings.peer_port,
        metrics_port=app.settings.metrics_port,
        bounds=bounds,
    )


async def test_process_that_was_paused_does_not_trust_its_view(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a view that looks current as the clock stood still."""
    server = FakePlainServer("i-1")
    async with harness(server, bounds=BOUNDS) as site:
        await put_config(site, 2)
        await wait_until(site.app.key_exchange.can_vouch)
        site.store.mode = "silent"
        paused_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        monkeypatch.setattr(
            "wisterialoom.platform.key_exchange.lease_clock",
            lambda: paused_at + REVOKE_S,
        )
        assert (await site.call("/deposit/", Authorization=BEARER))[0] == 503


async def test_restarted_instance_accepts_no_key_that_a_restored_store_brings_back():
    """Guards against a key that was revoked before the store came back as a copy."""
    server = FakePlainServer("i-1")
    async with harness(server, bounds=BOUNDS) as site:
        await put_config(site, 2)
        await put_config(site, 3, tenants=TENANTS[1:])
        site.store.objects["config"]["main"]["spec"] = config_with_teams(2)
        async with second_instance(site, bounds=BOUNDS) as other:
            later = other.app
            # It reads the store at once, as a real one does if the holder is slow.
            later.catalog.read_store()
            until = time.monotonic() + 2.0
            while time.monotonic() < until:
                status, _, _ = await other.call("/deposit/", Authorization=BEARER)
                assert status in (401, 503)
            await wait_until(later.key_exchange.can_vouch)
            assert later.catalog.config_version == 3
        assert not server.runs


@asynccontextmanager
async def instance_on_a_restored_store(
    site: Harness, before: StoreCopy
) -> AsyncIterator[Harness]:
    """Run one more instance that reads a copy before it hears the first instance."""
    await site.store.restore(before)
    async with second_instance(site, bounds=BOUNDS) as other:
        hear, other.app.peers.on_hint = other.app.peers.on_hint, lambda *_: None
        other.app.catalog.read_store()
        await wait_until(lambda: other.app.catalog.is_loaded)
        yield other
        other.app.peers.on_hint = hear
        await wait_until(lambda: other.app.catalog.config_version == 2)


@pytest.mark.parametrize("tenants", [[], TENANTS])
async def test_restored_store_without_teams_opens_no_route_at_a_restarted_instance(
    tenants: list[Any],
):
    """Guards against a copy from before there were teams that is taken for current."""
    server = FakePlainServer("i-1")
    async with harness(server, bounds=BOUNDS) as site:
        before = site.store.copy()
        await put_config(site, 2, tenants=tenants)
        async with instance_on_a_restored_store(site, before) as other:
            assert not await is_ready(other)
            for headers in ({}, {"Authorization": BEARER}):
                status, got, _ = await other.call("/deposit/", **headers)
                assert status == 503
                assert float(got["Retry-After"]) > 0
        assert not server.seen


async def test_restored_store_that_never_had_teams_is_served_without_them():
    """Guards against instances that wait for teams that nobody knows of."""
    server = FakePlainServer("i-1")
    async with harness(server, bounds=BOUNDS) as site:
        await site.store.restore(site.store.copy())
        async with second_instance(site, bounds=BOUNDS) as other:
            other.app.catalog.read_store()
            await wait_until(lambda: other.app.catalog.is_loaded)
            await wait_until(lambda: other.app.ingress.team_gate.is_vouching, 1.0)
            assert (await other.call("/deposit/"))[0] == 200
            assert await is_ready(other)
