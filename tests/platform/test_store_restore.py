"""The store comes back from an older copy, while instances serve over real sockets."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

import aiohttp
import pytest
from aiohttp import web

from tests.platform.fakes import (
    config,
    FakeModelServer,
    FakePlainServer,
    FakeStore,
    serve,
)
from tests.platform.test_app import Harness, harness, wait_until
from tests.platform.test_relay import ADDRESS, fleet
from wisterialoom.core.fleet import Revision
from wisterialoom.platform.store import (
    StoreClient,
    StoreRestoredError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable


async def wait_for_era(site: Harness, era: int) -> None:
    watchers = (site.app.catalog.config, site.app.catalog.server_watcher)
    await wait_until(
        lambda: all(watcher.revision.era == era for watcher in watchers), limit_s=6.0
    )


async def test_configuration_does_not_go_back_with_the_store():
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        old = site.store.copy()
        await site.store.put("config", "main", config(7))
        await wait_until(lambda: site.app.catalog.config_version == 7)
        lost = await site.store.restore(old)
        await wait_for_era(site, 2)
        assert site.app.catalog.config_version == 7
        assert (await site.call("/deposit/"))[0] == 200
        await site.store.write_again(lost)
        await site.store.put("config", "main", config(8))
        await wait_until(lambda: site.app.catalog.config_version == 8)


async def test_draining_server_of_the_copy_gets_no_requests():
    first, second = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(first, second) as site:
        old = site.store.copy()
        await site.store.put("servers", "i-1", first.entry("draining"))
        await wait_until(lambda: site.app.dispatcher.views["i-1"].server.draining)
        await site.store.restore(old)
        await wait_for_era(site, 2)
        assert site.app.dispatcher.views["i-1"].server.draining
        for number in range(10):
            assert (await site.call("/deposit/", Attempt_Id=f"b{number}"))[0] == 200
        assert first.runs == []


async def test_server_that_left_is_not_brought_back_by_the_copy():
    first, second = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(first, second) as site:
        old = site.store.copy()
        await site.store.remove("servers", "i-1")
        await wait_until(lambda: "i-1" not in site.app.dispatcher.views)
        await site.store.restore(old)
        await wait_for_era(site, 2)
        assert "i-1" not in site.app.dispatcher.views
        # Once the server has registered again, it is in use again.
        await site.store.put("servers", "i-1", first.entry() | {"slots": 7})
        await wait_until(lambda: "i-1" in site.app.dispatcher.views)


async def test_server_that_the_copy_lacks_is_kept_until_it_registers_again():
    first, second = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(first) as site:
        old = site.store.copy()
        await second.start()
        await site.store.put("servers", "i-2", second.entry())
        await wait_until(lambda: "i-2" in site.app.dispatcher.views)
        lost = await site.store.restore(old)
        await wait_for_era(site, 2)
        assert "i-2" in site.app.dispatcher.views
        await site.store.write_again(lost)
        await asyncio.sleep(1.0)
        assert "i-2" in site.app.dispatcher.views
        # One that does not register again is dropped after some seconds.
        await site.store.remove("servers", "i-2")
        await wait_until(lambda: "i-2" not in site.app.dispatcher.views)
        await second.stop()


async def test_change_is_seen_though_its_revision_was_assigned_before():
    """A watch from such a revision goes on without 410 and skips what came before."""
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        old = site.store.copy()
        await wait_until(lambda: site.app.catalog.server_watcher.listed)
        for number in range(5):
            await site.store.put("servers", "i-1", server.entry() | {"slots": number})
        await wait_until(
            lambda: site.app.dispatcher.views["i-1"].server.slots == 4,
        )
        await site.store.restore(old)
        for number in range(9):
            await site.store.put("servers", f"i-{number + 2}", server.entry())
        await wait_until(lambda: len(site.app.dispatcher.views) == 10)


async def test_lease_is_retaken_with_a_higher_fencing_number():
    server = FakeModelServer("i-1", models={"m0": []})
    async with harness(server) as site:
        old = site.store.copy()
        controller = site.app.placement_controller
        await wait_until(lambda: controller.holds_lease)
        assert (await site.call("/draft/", Model="m1"))[0] == 200
        for _ in range(3):
            before = controller.lease.epoch
            await site.store.restore(old)
            await wait_until(lambda: controller.lease.epoch > before, limit_s=6.0)  # noqa: B023
        assert (await site.call("/draft/", Model="m2"))[0] == 200
        fences = [order["fence"] for order in server.orders]
        assert fences == sorted(fences)
        assert fences[-1] > fences[0]


async def test_requests_are_served_during_outage_and_restore():
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        old = site.store.copy()
        site.store.mode = "down"
        statuses = [(await site.call("/deposit/", Attempt_Id="a"))[0]]
        await site.store.restore(old)
        site.store.mode = "ok"
        for number in range(30):
            status = (await site.call("/deposit/", Attempt_Id=f"b{number}"))[0]
            statuses.append(status)
            await asyncio.sleep(0.02)
        assert set(statuses) == {200}


async def test_all_instances_follow_a_restore_that_few_of_them_see():
    async with fleet() as (store, apps):
        old = store.copy()
        await store.put("servers", "i-2", FakePlainServer("i-2").entry() | ADDRESS)
        draining = FakePlainServer("i-1").entry("draining") | ADDRESS
        await store.put("servers", "i-1", draining)
        await store.put("config", "main", config(version=2))
        await wait_until(lambda: all("i-2" in app.dispatcher.views for app in apps))
        await wait_until(
            lambda: all(app.dispatcher.views["i-1"].server.draining for app in apps)
        )
        await wait_until(lambda: all(app.catalog.config_version == 2 for app in apps))
        lost = await store.restore(old)
        await wait_until(
            lambda: all(app.catalog.server_watcher.revision.era == 2 for app in apps)
        )
        assert all(app.dispatcher.views["i-1"].server.draining for app in apps)
        assert all("i-2" in app.dispatcher.views for app in apps)
        assert all(app.catalog.config_version == 2 for app in apps)
        await store.write_again(lost)
        await store.put("servers", "i-3", FakePlainServer("i-3").entry() | ADDRESS)
        await wait_until(lambda: all("i-3" in app.dispatcher.views for app in apps))
        await wait_until(
            lambda: all(app.catalog.config.revision.era == 2 for app in apps)
        )


@pytest.mark.parametrize("text", ["", "soon", "-1", "1.5", "9" * 30, "²"])
async def test_era_that_cannot_be_read_is_no_news(
    text: str, caplog: pytest.LogCaptureFixture
):
    store = FakeStore(era="3")
    await store.start()
    async with aiohttp.ClientSession() as session:
        client = StoreClient(store.address, session)
        await client.list("config")
        store.era = text
        await client.list("config")
        await client.list("config")
        assert client.era == 3
        assert client.restores == 0
        assert len([r for r in caplog.records if "era" in r.getMessage()]) == 1
        store.era = None
        await client.list("config")
        assert client.era == 3
    await store.stop()


async def test_answer_of_an_earlier_era_changes_nothing():
    store = FakeStore(era="3")
    await store.start()
    async with aiohttp.ClientSession() as session:
        client = StoreClient(store.address, session)
        client.record_era(4)
        with pytest.raises(StoreUnavailableError):
            await client.list("config")
    await store.stop()


async def test_call_that_refers_to_an_earlier_era_is_told_so():
    store = FakeStore()
    await store.start()
    await store.put("leases", "one", {})
    async with aiohttp.ClientSession() as session:
        client = StoreClient(store.address, session)
        found = await client.read("leases", "one")
        assert found is not None
        await store.restore(store.copy())
        with pytest.raises(StoreRestoredError):
            await client.replace("leases", "one", {"a": 1}, found.revision)
        with pytest.raises(StoreRestoredError):
            await client.watch("leases", found.revision, 0.1)
        assert client.restores == 1
    await store.stop()


NO_LIST: list[Any] = [
    {},
    {"items": 5, "at": 1},
    {"items": {"a": {}}, "at": 1},
    {"items": [], "at": "x"},
    [1],
    None,
]
NO_WATCH: list[Any] = [
    {},
    {"events": 5, "at": 1},
    {"events": {"a": {}}, "at": 1},
    {"events": []},
    [1],
    None,
]


@pytest.mark.parametrize(
    ("purpose", "item"),
    [("list", item) for item in NO_LIST] + [("watch", item) for item in NO_WATCH],
)
async def test_malformed_answer_counts_as_no_answer(purpose: str, item: Any):
    """A list or watch without its fields ended the watching task for good."""

    async def answer(_: web.Request) -> web.Response:
        return web.json_response(item)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    runner, address = await serve(app)
    async with aiohttp.ClientSession() as session:
        client = StoreClient(address, session)
        call: Awaitable[object] = (
            client.list("servers")
            if purpose == "list"
            else client.watch("servers", Revision(0, 1), 0.1)
        )
        with pytest.raises(StoreUnavailableError):
            await call
        with pytest.raises(StoreUnavailableError):
            await client.read("servers", "i-1")
    await runner.cleanup()


async def test_change_between_two_pages_of_a_list_is_seen():
    """A server on the first page that began to drain then was in use for good."""
    server = FakePlainServer("i-01")
    async with harness(server) as site:
        for number in range(2, 80):
            entry = server.entry() | {"address": f"127.0.0.1:{number}"}
            await site.store.put("servers", f"i-{number:02d}", entry)
        views = site.app.dispatcher.views
        await wait_until(lambda: len(views) == 79)
        changed = False

        async def change(after: str) -> None:
            nonlocal changed
            if after and not changed:
                changed = True
                await site.store.put("servers", "i-01", server.entry("draining"))
                await site.store.remove("servers", "i-02")

        site.store.before_page = change
        await site.store.forget_history()
        await wait_until(lambda: changed)
        await wait_until(lambda: views["i-01"].server.draining, limit_s=4.0)
        await wait_until(lambda: "i-02" not in views, limit_s=4.0)
