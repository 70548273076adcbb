"""Tests of `wisterialoom.object_api` against the platform emulator."""

import asyncio
import dataclasses
from contextlib import asynccontextmanager

import aiohttp
import orjson
import pytest
from aiohttp import web

from tests.platform.odd_values import ODD_ADDRESSES, ODD_VALUES
from tests.ports import free_port
from wisterialoom.core.fleet.instance_list import InstanceListRead, ReadInstanceList
from wisterialoom.core.object_store import (
    DeleteObject,
    ListObjects,
    MAX_OBJECT_BYTES,
    ObjectConflict,
    ObjectRead,
    ObjectsListed,
    ObjectTooLargeError,
    ObjectUnavailable,
    ObjectWritten,
    ReadObject,
    StoredObject,
    VersionConflictError,
    WatchObject,
    WriteObject,
)
from wisterialoom.object_api import (
    PlatformClient,
    PlatformPort,
    PlatformUnavailableError,
)
from wisterialoom.object_api.codec import decode_instances
from wisterialoom.standin.platform_app import PlatformApp
from wisterialoom.standin.server import StandinServer

KEY = "claims/2026-12-03/bucket 7?"


@asynccontextmanager
async def running(**options):
    platform = PlatformApp(**options)
    async with (
        StandinServer(platform.app) as server,
        aiohttp.ClientSession() as session,
    ):
        yield platform, PlatformClient(session, server.url, 2.0)


async def test_conditional_updates_check_versions_and_store_bodies():
    async with running() as (_, client):
        assert await client.read(KEY) == StoredObject()
        version = await client.write(KEY, b"\x00\xff", 0)
        assert await client.read(KEY) == StoredObject(version, b"\x00\xff")
        with pytest.raises(VersionConflictError) as caught:
            await client.write(KEY, b"other", 0)
        assert caught.value.version == version
        with pytest.raises(ObjectTooLargeError):
            await client.write(KEY, b"x" * (MAX_OBJECT_BYTES + 1), version)
        assert await client.list("claims/") == (KEY,)
        assert await client.delete(KEY, version) > version
        assert await client.list("claims/") == ()


@pytest.mark.parametrize("reuse_connection", [False, True])
async def test_committed_write_without_answer_is_ambiguous_and_sent_once(
    reuse_connection,
):
    async with running() as (platform, client):
        # aiohttp resends a PUT by itself only on a reused connection.
        if reuse_connection:
            await client.read(KEY)
        platform.fault.lose_answers = 1
        with pytest.raises(PlatformUnavailableError) as caught:
            await client.write(KEY, b"body", 0)
        assert caught.value.ambiguous
        assert len(platform.store.history) == 1
        assert platform.writes.allowed == 1


async def test_refused_connection_and_rate_limit_are_not_ambiguous():
    async with aiohttp.ClientSession() as session:
        client = PlatformClient(session, f"http://127.0.0.1:{free_port()}", 1.0)
        with pytest.raises(PlatformUnavailableError) as caught:
            await client.write(KEY, b"body", 0)
        assert not caught.value.ambiguous
    async with running(writes_per_s=1.0) as (platform, client):
        await client.write(KEY, b"body", 0)
        with pytest.raises(PlatformUnavailableError) as caught:
            await client.write(KEY, b"more", 1)
        assert not caught.value.ambiguous
        assert platform.store.read(KEY).body == b"body"


async def test_undecodable_answer_counts_as_no_answer():
    async def answer(request):
        return web.Response(text="{}")

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    async with StandinServer(app) as server, aiohttp.ClientSession() as session:
        client = PlatformClient(session, server.url, 2.0)
        calls = {
            client.write(KEY, b"", 0): True,
            client.delete(KEY, 1): True,
            client.read(KEY): False,
            client.list(""): False,
            client.instances(): False,
        }
        for call, ambiguous in calls.items():
            with pytest.raises(PlatformUnavailableError) as caught:
                await call
            assert caught.value.ambiguous is ambiguous


async def test_port_answers_each_command_with_its_operation_id():
    async with running() as (platform, client):
        events: asyncio.Queue = asyncio.Queue()
        port = PlatformPort(client, events.put_nowait)
        await port.start()

        async def execute(command):
            port.execute(command)
            return await asyncio.wait_for(events.get(), 5)

        assert await execute(WriteObject("a/1", KEY, b"1", 0)) == ObjectWritten(
            "a/1", KEY, 1
        )
        assert await execute(WriteObject("a/2", KEY, b"2", 0)) == ObjectConflict(
            "a/2", KEY, 1
        )
        assert await execute(ReadObject("a/3", KEY)) == ObjectRead("a/3", KEY, 1, b"1")
        assert await execute(ListObjects("a/4", "")) == ObjectsListed("a/4", "", (KEY,))
        port.execute(WatchObject("a/5", KEY, 1))
        async with asyncio.timeout(5):
            while not platform.watchers.get(KEY):
                await asyncio.sleep(0.001)
        platform.fault.down = True
        assert await execute(ReadObject("a/6", KEY)) == ObjectUnavailable(
            "a/6", KEY, ambiguous=False
        )
        platform.fault.down = False
        await client.write(KEY, b"new", 1)
        watched = await asyncio.wait_for(events.get(), 5)
        assert watched == ObjectRead("a/5", KEY, 2, b"new")
        assert await execute(DeleteObject("a/7", KEY, 2)) == ObjectWritten(
            "a/7", KEY, 3
        )
        listing = await execute(ReadInstanceList())
        assert isinstance(listing, InstanceListRead)
        port.execute(WatchObject("a/8", KEY, 9))
        await port.stop()
        assert not port.tasks
        assert events.empty()


async def test_emulated_instance_list_lags_and_freezes():
    async with running() as (platform, client):

        async def change(item):
            call = client.session.post(f"{client.url}/instances", json=item)
            assert (await call).status == 200

        async def listed():
            found = (await client.instances()).instances
            return [(item.name, item.state.value) for item in found]

        new = {"name": "e", "incarnation": "1", "address": "", "availability_zone": ""}
        await change({"register": new})
        assert await listed() == [("e", "live")]
        platform.fault.lag_s = 1_000.0
        await change({"leaving": "e"})
        assert await listed() == [("e", "live")]
        platform.fault.lag_s = 0.0
        assert await listed() == [("e", "leaving")]
        platform.fault.freeze_instances = True
        await change({"remove": "e"})
        assert await listed() == [("e", "leaving")]
        platform.fault.freeze_instances = False
        assert await listed() == []


LISTED = {
    "name": "i-2",
    "incarnation": "1",
    "address": "127.0.0.1:9",
    "availability_zone": "a",
    "labels": {"kind": "engine"},
    "state": "live",
}


@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_entry_of_the_instance_list_hides_no_other(name):
    """Guards against a list that counts as unavailable while one entry stands."""
    good = [LISTED | {"name": "i-1"}, LISTED | {"name": "i-3"}]
    known = decode_instances(orjson.dumps({"instances": [LISTED]})).instances[0]
    for field in (*LISTED, "labels.kind", "unknown", ""):
        value = ODD_VALUES[name]
        item = LISTED | {field: value} if field else value
        if field == "labels.kind":
            item = LISTED | {"labels": {"kind": value}}
        try:
            body = orjson.dumps({"instances": [good[0], item, good[1]]})
            orjson.loads(body)
        except orjson.JSONDecodeError:
            # The list as a whole is not JSON.
            continue
        listing = decode_instances(body, {"i-2": known})
        names = [instance.name for instance in listing.instances]
        assert names[0] == "i-1"
        assert names[-1] == "i-3"
        orjson.dumps(listing.instances)
        if listing.unreadable and field not in ("name", ""):
            assert listing.instances[1] == known


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_odd_address_in_the_instance_list_hides_no_other(address):
    body = orjson.dumps({"instances": [LISTED | {"address": address}, LISTED]})
    assert decode_instances(body).instances[-1].name == "i-2"


async def test_unreadable_entry_of_the_instance_list_is_logged_once(caplog):
    async with running() as (platform, client):
        await client.session.post(f"{client.url}/instances", json={"register": LISTED})
        assert len((await client.instances()).instances) == 1
        (registered,) = platform.registry.instances.values()
        odd = dataclasses.replace(registered, address="127.0.0.1:99999")
        platform.registry.register(0.0, odd)
        for _ in range(3):
            found = (await client.instances()).instances
            assert [instance.address for instance in found] == ["127.0.0.1:9"]
    assert [record.item for record in caplog.records] == ["i-2"]


async def test_waiting_watch_is_charged_as_one_read():
    async with running(reads_per_s=3.0) as (platform, client):
        watch = asyncio.ensure_future(client.watch(KEY, 0))
        async with asyncio.timeout(5):
            while not platform.watchers.get(KEY):
                await asyncio.sleep(0.001)
        assert platform.reads.allowed == 1
        await client.write(KEY, b"new", 0)
        assert (await watch).body == b"new"
        assert platform.reads.allowed == 1
