"""Streams hold events of servers of one software version only."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import aiohttp
import pytest

from tests.platform.fakes import FakeModelServer, FakeStore
from tests.platform.test_app import wait_until
from tests.platform.test_lost_paths import CuttableApp, site_of

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STREAMS = 16
EVENTS = 100
STEP_S = 0.02


class VersionedServer(FakeModelServer):
    """A model server whose events name the version of its software."""

    def event(self, number: int) -> bytes:
        return b"id: %d\ndata: %s\n\n" % (number, self.version.encode())


def server(name: str, version: str, **changes: int) -> VersionedServer:
    values = {"slots": 64, "events": EVENTS, "step_s": STEP_S} | changes
    return VersionedServer(name, version=version, models={"m1": []}, **values)  # type: ignore[arg-type]


def two_versions() -> list[VersionedServer]:
    return [
        server(f"i-{version}-{number}", version)
        for version in ("v1", "v1.1")
        for number in (1, 2)
    ]


@dataclass
class Stream:
    """What a caller got of one stream, over all its tries.

    Attributes:
        name: Id of the caller's first try.
        versions: Version of each event.
        status: Status of the last try.
        body: Body of the last try, if it was no stream.
        headers: Headers of the last try.
        is_complete: Whether the last try ended as complete.
        tries: Number of tries.
    """

    name: str
    versions: list[str] = field(default_factory=list)
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    is_complete: bool = False
    tries: int = 0
    response: aiohttp.ClientResponse | None = None

    async def begin(self, app: CuttableApp, session: aiohttp.ClientSession) -> None:
        """Send the request, with what the caller has if it is not the first try."""
        headers = {
            "Host": "desk.example",
            "Attempt-Id": self.name if not self.tries else f"{self.name}-{self.tries}",
            "Deadline-Ms": "9000",
            "Model": "m1",
        }
        if self.versions:
            headers["Last-Event-Id"] = str(len(self.versions))
            headers["Resumes"] = self.name
        self.tries += 1
        url = f"http://{app.settings.front}/draft/"
        self.response = await session.post(url, headers=headers, data=b"")
        self.status = self.response.status
        self.headers = dict(self.response.headers)

    async def read(self, count: int = 2 * EVENTS) -> None:
        """Read until the stream has some more events, or ends."""
        assert self.response is not None
        if self.status != 200:
            self.body = await self.response.read()
            return
        until = len(self.versions) + count
        try:
            while len(self.versions) < until:
                line = await self.response.content.readline()
                if not line:
                    self.is_complete = True
                    return
                if line.startswith(b"data: "):
                    self.versions.append(line[6:].strip().decode())
        except (aiohttp.ClientError, OSError):
            pass

    def drop(self) -> None:
        """Close the connection, as if it had broken."""
        if self.response is not None:
            self.response.close()

    async def take_up(self, app: CuttableApp, session: aiohttp.ClientSession) -> None:
        await self.begin(app, session)
        await self.read()


def assert_not_joined(streams: list[Stream]) -> None:
    joined = [stream for stream in streams if len(set(stream.versions)) > 1]
    assert not joined


async def begin_streams(
    apps: list[CuttableApp], session: aiohttp.ClientSession
) -> list[Stream]:
    """Begin streams at all instances in turn, and read some events of each."""
    streams = [Stream(f"stream{number}") for number in range(STREAMS)]
    for number, stream in enumerate(streams):
        await stream.begin(apps[number % len(apps)], session)
    await asyncio.gather(*(stream.read(5) for stream in streams))
    assert all(stream.status == 200 for stream in streams)
    return streams


async def start_again(apps: list[CuttableApp]) -> list[CuttableApp]:
    """End all instances at once, and start them again."""
    await asyncio.gather(*(app.on_stop() for app in apps))
    again = [CuttableApp(replace(app.settings, first_start=False)) for app in apps]
    await asyncio.gather(*(app.on_start() for app in again))
    await wait_until(lambda: all(app.catalog.is_loaded for app in again))
    return again


@asynccontextmanager
async def callers() -> AsyncIterator[aiohttp.ClientSession]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


async def test_broken_stream_is_continued_within_its_answer_at_another_version():
    """Its text was joined from two versions, with nothing in the answer to show it."""
    breaking = server("i-1", "v1", break_after=3)
    async with site_of(breaking, server("i-2", "v1.1"), count=1) as (app,):
        async with callers() as session:
            streams = [Stream(f"s{number}") for number in range(STREAMS)]
            for stream in streams:
                await stream.take_up(app, session)
        assert_not_joined(streams)
        begun_at_v1 = [stream for stream in streams if stream.versions[0] == "v1"]
        assert begun_at_v1
        assert not any(stream.is_complete for stream in begun_at_v1)


async def test_broken_stream_goes_on_within_its_answer_at_its_version():
    breaking = server("i-1", "v1", break_after=3)
    others = [server("i-2", "v1.1"), server("i-3", "v1")]
    async with site_of(breaking, *others, count=1) as (app,):
        async with callers() as session:
            streams = [Stream(f"s{number}") for number in range(STREAMS)]
            await asyncio.gather(*(stream.take_up(app, session) for stream in streams))
        assert breaking.runs
        assert_not_joined(streams)
        assert all(stream.is_complete for stream in streams)
        assert all(len(stream.versions) == EVENTS for stream in streams)


async def test_stream_taken_up_at_another_instance_is_joined_from_two_versions():
    """The first instance alone knew which version had begun it."""
    async with site_of(*two_versions()) as apps:
        async with callers() as session:
            streams = await begin_streams(apps, session)
            assert {stream.versions[0] for stream in streams} == {"v1", "v1.1"}
            for number, stream in enumerate(streams):
                stream.drop()
                app = apps[(number + 1) % len(apps)]
                await stream.begin(app, session)
            await asyncio.gather(*(stream.read() for stream in streams))
        assert_not_joined(streams)
        assert all(stream.is_complete for stream in streams)


async def test_streams_are_joined_from_two_versions_after_all_instances_ended():
    """Nobody is left who served the streams before."""
    async with site_of(*two_versions()) as apps:
        async with callers() as session:
            streams = await begin_streams(apps, session)
            await asyncio.sleep(0.8)
            for stream in streams:
                stream.drop()
            apps[:] = await start_again(apps)
            await asyncio.gather(
                *(
                    stream.take_up(apps[number % len(apps)], session)
                    for number, stream in enumerate(streams)
                )
            )
        assert_not_joined(streams)
        going_on = [stream for stream in streams if stream.is_complete]
        assert 2 * len(going_on) >= len(streams)


async def test_stream_goes_on_at_another_version_once_its_own_has_left():
    """Instances that have just started see one version only, and it was not the one."""
    store = FakeStore()
    old, new = server("i-1", "v1"), server("i-2", "v1.1")
    async with site_of(old, store=store) as apps:
        async with callers() as session:
            streams = await begin_streams(apps, session)
            await new.start()
            await store.put("servers", new.server_id, new.entry())
            await wait_until(
                lambda: all(new.server_id in app.dispatcher.views for app in apps)
            )
            await store.remove("servers", old.server_id)
            await asyncio.sleep(0.8)
            for stream in streams:
                stream.drop()
            apps[:] = await start_again(apps)
            await asyncio.gather(
                *(stream.take_up(apps[0], session) for stream in streams)
            )
        assert_not_joined(streams)
        assert {stream.status for stream in streams} == {503}
        # To try the same again is in vain, to start afresh is not.
        assert all("Retry-After" not in stream.headers for stream in streams)
        assert all(b'"start_again":true' in stream.body for stream in streams)
        await new.stop()


@pytest.mark.parametrize("all_end", [False, True])
async def test_stream_of_the_only_version_goes_on_anywhere(all_end):
    async with site_of(server("i-1", "v1"), server("i-2", "v1")) as apps:
        async with callers() as session:
            streams = await begin_streams(apps, session)
            for stream in streams:
                stream.drop()
            if all_end:
                apps[:] = await start_again(apps)
            await asyncio.gather(
                *(
                    stream.take_up(apps[(number + 1) % len(apps)], session)
                    for number, stream in enumerate(streams)
                )
            )
        assert all(stream.is_complete for stream in streams)
