"""Odd entries of another writer among those of the servers.

Whatever an entry holds, no task ends, no message between instances is lost, and the
other entries are followed.
"""

from __future__ import annotations

import random
import time
from contextlib import asynccontextmanager
from typing import Any, TYPE_CHECKING

import pytest
from aiohttp import web

from tests.platform.fakes import FakeModelServer, FakePlainServer
from tests.platform.odd_values import ODD_ADDRESSES, ODD_VALUES
from tests.platform.test_app import Harness, harness, second_instance, wait_until
from tests.platform.test_relay import ADDRESS
from wisterialoom.core.placement.placement_table import ServerPlacement
from wisterialoom.platform._tasks import restart_counts
from wisterialoom.platform.hint_codec import encode_hint
from wisterialoom.platform.hints import CopyWanted, News, PlacementHint, ServersCopy
from wisterialoom.platform.peers import MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from wisterialoom.platform.app import PlatformApp
    from wisterialoom.platform.hints import Hint


FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "models",
    "sequence",
    "born",
    "remainingMs",
    "unknown",
)
MODEL_FIELDS = ("name", "version", "adapters", "unknown")


def odd_specs(entry: dict[str, Any], value: Any) -> dict[str, Any]:
    """Return entries of which each has a value in another field."""
    specs = {field: entry | {field: value} for field in FIELDS}
    model = {"name": "m0", "version": 1, "adapters": ["a1"]}
    for field in MODEL_FIELDS:
        specs[f"model-{field}"] = entry | {"models": [model | {field: value}]}
    specs["model"] = entry | {"models": [value]}
    specs["adapter"] = entry | {"models": [model | {"adapters": [value]}]}
    specs["whole"] = value
    return specs


class ManyServers(FakeModelServer):
    """Answers in the name of any server, and carries out no orders."""

    async def on_order(self, request: web.Request) -> web.Response:
        return web.Response(status=409)

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        self.server_id = request.headers["Expect-Instance"]
        return await super().on_request(request)

    async def on_report(self, request: web.Request) -> web.Response:
        self.server_id = request.headers["Expect-Instance"]
        return await super().on_report(request)


def failures(app: PlatformApp) -> tuple[Any, ...]:
    return (dict(restart_counts()), app.peers.failed, app.peers.dropped)


@asynccontextmanager
async def site_with_follower(
    **models: list[str],
) -> AsyncIterator[tuple[Harness, Harness]]:
    """Run an instance that reads the store, and one that is told by it."""
    engine = ManyServers("i-1", models={"m0": ["a1"], **models})
    plain = FakePlainServer("i-2")
    async with harness(engine, plain) as site, second_instance(site) as other:
        await wait_until(lambda: other.app.catalog.is_loaded)
        yield site, other


async def expect_all_is_followed(site: Harness, other: Harness, name: str) -> None:
    """Check that entries which come later are in force, and requests served."""
    later = FakePlainServer(name)
    later.address = site.app.dispatcher.views["i-2"].server.address
    await site.store.put("servers", name, later.entry("draining"))
    sites = (site, other)
    await wait_until(lambda: all(name in found.app.dispatcher.views for found in sites))
    for found in sites:
        assert {"i-1", "i-2"} <= found.app.dispatcher.views.keys()
        for path in ("/look/", "/deposit/") * 3:
            status, _, body = await found.call(path)
            assert status == 200, body
        status, _, body = await found.call("/draft/", Model="m0", Token_Count="1,2")
        assert status == 200, body


@pytest.mark.parametrize("name", ODD_VALUES)
async def test_odd_value_in_any_field(name: str):
    async with site_with_follower() as (site, other):
        before = [failures(found.app) for found in (site, other)]
        good = site.store.objects["servers"]["i-1"]["spec"]
        specs = odd_specs(good, ODD_VALUES[name])
        for field, spec in specs.items():
            await site.store.put("servers", f"own-{field}", spec)
            await site.store.put(
                "servers", f"changed-{field}", good | {"state": "draining"}
            )
            await site.store.put("servers", f"changed-{field}", spec)
        await expect_all_is_followed(site, other, "i-3")
        await site.store.forget_history()
        await expect_all_is_followed(site, other, "i-4")
        async with second_instance(
            site,
            instance="front-3",
            ip="127.0.0.3",
            front="127.0.0.3:" + site.app.settings.front.rpartition(":")[2],
            ready="127.0.0.3:" + site.app.settings.ready.rpartition(":")[2],
        ) as late:
            late.app.catalog.read_store()
            await wait_until(lambda: late.app.catalog.is_loaded)
            await expect_all_is_followed(site, late, "i-5")
        assert before == [failures(found.app) for found in (site, other)]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
@pytest.mark.parametrize("kind", ["engine", "plain"])
async def test_odd_address(kind: str, address: str):
    async with site_with_follower() as (site, other):
        before = [failures(found.app) for found in (site, other)]
        name = {"engine": "i-1", "plain": "i-2"}[kind]
        good = site.store.objects["servers"][name]["spec"]
        await site.store.put("servers", "own", good | {"address": address})
        await site.store.put("servers", "changed", good)
        await site.store.put("servers", "changed", good | {"address": address})
        await expect_all_is_followed(site, other, "i-3")
        await site.store.forget_history()
        await expect_all_is_followed(site, other, "i-4")
        assert before == [failures(found.app) for found in (site, other)]


def random_name(rng: random.Random) -> str:
    return rng.randbytes(128).hex()


async def test_many_entries_at_the_limit_of_size_are_told_to_other_instances():
    """Guards against messages between instances that no datagram can carry.

    A single server with very many names kept all others from being told, too.
    """
    rng = random.Random(1)
    held: dict[str, list[str]] = {random_name(rng): [] for _ in range(30)}
    async with site_with_follower(**held) as (site, other):
        before = [failures(found.app) for found in (site, other)]
        good = site.store.objects["servers"]["i-1"]["spec"]
        names = [random_name(rng) for _ in range(40)]
        for name in names:
            zone = random_name(rng)
            entry = good | {"zone": zone, "version": zone}
            await site.store.put("servers", name, entry)
        await expect_all_is_followed(site, other, "i-3")
        views = other.app.dispatcher.views
        assert views.keys() >= set(names)
        await wait_until(
            lambda: all(views[name].models.keys() >= held.keys() for name in names)
        )
        versions = {view.server.software_version for view in views.values()}
        assert len(versions) >= len(names)
        assert before == [failures(found.app) for found in (site, other)]


async def test_copies_of_many_entries_at_the_limit_of_size_fit_into_datagrams():
    """Guards against a copy or news of the servers that no datagram can carry.

    Instances that were not told read the store themselves, all at once.
    """
    rng = random.Random(2)
    async with harness(FakePlainServer("i-2")) as site:
        names = [random_name(rng) for _ in range(40)]
        for name in names:
            text = random_name(rng)
            models = [{"name": random_name(rng), "adapters": []} for _ in range(30)]
            changes = {"zone": text, "version": text, "models": models}
            entry = FakePlainServer(name).entry() | ADDRESS | changes
            await site.store.put("servers", name, entry)
        views = site.app.dispatcher.views
        await wait_until(lambda: views.keys() >= set(names))
        peers = site.app.peers
        peers.members["front-9"] = "127.0.0.9"
        sent: list[Hint] = []
        peers.send_all = lambda hint, _: sent.append(hint)
        site.app.relay.answer(CopyWanted("front-9", 0, 0), "127.0.0.9")
        site.app.relay._publish(time.monotonic())
        for number, name in enumerate(names):
            held = {random_name(rng): frozenset[str]() for _ in range(30)}
            placement = ServerPlacement(held, frozenset(), number)
            site.app.placement_controller.feed.table.put(name, placement)
        site.app.placement_controller.feed.send_snapshot("127.0.0.9")
        assert all(len(encode_hint(hint)) <= MAX_DATAGRAM_BYTES for hint in sent)
        copies = [hint for hint in sent if isinstance(hint, ServersCopy)]
        assert [copy.part for copy in copies] == list(range(copies[0].parts))
        assert {name for copy in copies for name in copy.entries} == views.keys()
        placements = [hint for hint in sent if isinstance(hint, PlacementHint)]
        assert {name for hint in placements for name in hint.servers} >= set(names)
        assert any(isinstance(hint, News) for hint in sent)
