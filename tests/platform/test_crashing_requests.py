"""Requests that crash each server that begins to answer them."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import orjson

from tests.platform.crashing_servers import CrashingServers
from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import Harness, harness, wait_until
from tests.platform.test_lost_paths import CuttableApp, site_of
from wisterialoom.core.quarantine import Quarantine
from wisterialoom.core.request_trait import part_traits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aiohttp import web

    from wisterialoom.platform.app import PlatformApp

SERVERS = 6
SUBJECTS = 24
"""Parts that sound and deadly requests share, besides the first one."""
DEADLY_PART = "dead"

CONTACT_S = 3.0
"""Time within which what one instance learns reaches all of them."""

CRASHES_ALLOWED = 5
REPEATED_CRASHES = 3
ARRIVALS_ALLOWED = 3
"""Deadly requests that may reach servers later than `CONTACT_S` after those crashes."""

SERVED_SHARE = 0.9
"""Part of the sound requests that must be served beside deadly ones."""

INTERVAL_S = 0.025
DEADLY_SHARE = 0.1


def has_deadly_part(request: web.Request) -> bool:
    parts = request.headers.get("Prompt-Prefix", "").split(",")
    return any(part.split(":")[0] == DEADLY_PART for part in parts[:-1])


@dataclass
class Callers:
    """Send requests to instances drawn at random, and count what becomes of them.

    Attributes:
        apps: The instances.
        session: Session of all callers.
        sound: Status of each sound request, in the order of their ends.
        deadly: Status, headers and body of each answer to a deadly request.
        same_path: Path of a deadly request that comes again and again; empty if
            the deadly ones are those with a part of a prompt.
    """

    apps: list[CuttableApp]
    session: aiohttp.ClientSession
    sound: list[int] = field(default_factory=list)
    deadly: list[tuple[int, dict[str, str], bytes]] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    number: int = 0
    same_path: str = ""

    def prompt(self, *, deadly: bool) -> str:
        """Return the parts of a prompt; the deadly one stands at any place but last."""
        parts = ["first", f"subject{self.rng.randrange(SUBJECTS)}"]
        if deadly:
            parts.insert(self.rng.randint(1, 2), DEADLY_PART)
        parts.append(f"own{self.number}")
        return ",".join(f"{part}:10" for part in parts)

    def request(self, *, deadly: bool) -> dict[str, str]:
        """Return the path, the method and the headers of a request."""
        if self.same_path:
            path = self.same_path if deadly else f"/look/{self.number}"
            return {"path": path, "method": "GET"}
        return {
            "path": "/draft/",
            "Model": "m1",
            "Prompt_Prefix": self.prompt(deadly=deadly),
        }

    async def call(self, *, deadly: bool) -> None:
        self.number += 1
        request = self.request(deadly=deadly)
        site = Harness(None, self.rng.choice(self.apps), self.session)  # type: ignore[arg-type]
        try:
            status, headers, body = await site.call(
                **request, Attempt_Id=f"c{self.number}"
            )
        except aiohttp.ClientPayloadError:
            status, headers, body = 0, {}, b""
        if deadly:
            self.deadly.append((status, headers, body))
        else:
            self.sound.append(status)

    async def send(self, for_s: float, *, deadly_share: float) -> None:
        """Send requests at a steady rate, and wait for their ends."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                deadly = self.rng.random() < deadly_share
                group.create_task(self.call(deadly=deadly))
                await asyncio.sleep(INTERVAL_S)


@asynccontextmanager
async def crashing_site(
    is_deadly: Callable[[web.Request], bool], *models: str
) -> AsyncIterator[tuple[CrashingServers, list[CuttableApp], Callers]]:
    """Run instances before servers that crash on certain requests."""
    pool = CrashingServers(is_deadly, {model: [] for model in models})
    servers = [pool.make_server() for _ in range(SERVERS)]
    async with site_of(*servers, store=pool.store) as apps:
        async with aiohttp.ClientSession() as session:
            yield pool, apps, Callers(apps, session)
        await pool.stop()


async def test_requests_with_one_part_in_their_prompts_crash_one_server_after_another():
    """25 servers crashed, and sound requests were refused until the end of the day."""
    loop = asyncio.get_running_loop()
    async with crashing_site(has_deadly_part, "m1") as (pool, _, callers):
        await callers.send(1.0, deadly_share=0.0)
        assert set(callers.sound) == {200}
        await callers.send(2 * CONTACT_S + 0.7, deadly_share=DEADLY_SHARE)
        times = [at for at, _ in pool.crashes]
        assert len(times) >= 1
        last_at = times[min(len(times), CRASHES_ALLOWED) - 1]
        late = [at for at, _ in pool.arrived if at > last_at + CONTACT_S]
        assert len(late) <= ARRIVALS_ALLOWED
        assert loop.time() >= last_at + 2 * CONTACT_S
        callers.sound.clear()
        await callers.send(2.0, deadly_share=DEADLY_SHARE)
        assert callers.sound.count(200) >= SERVED_SHARE * len(callers.sound)


async def test_request_that_comes_again_crashes_one_server_after_another():
    """It was sent 8 times more after three servers had ended under it."""
    loop = asyncio.get_running_loop()
    async with crashing_site(lambda request: request.path == "/look/deadly") as (
        pool,
        _,
        callers,
    ):
        callers.same_path = "/look/deadly"
        await callers.send(0.5, deadly_share=0.0)
        assert set(callers.sound) == {200}
        await callers.send(CONTACT_S + 4.0, deadly_share=DEADLY_SHARE)
        times = [at for at, _ in pool.crashes]
        assert len(times) >= 1
        last_at = times[min(len(times), REPEATED_CRASHES) - 1]
        late = [at for at, _ in pool.arrived if at > last_at + CONTACT_S]
        assert len(late) <= ARRIVALS_ALLOWED
        assert loop.time() >= last_at + CONTACT_S
        callers.sound.clear()
        callers.deadly.clear()
        await callers.send(1.0, deadly_share=DEADLY_SHARE)
        assert callers.sound.count(200) >= SERVED_SHARE * len(callers.sound)
        assert {status for status, _, _ in callers.deadly} == {400}


def hold(app: PlatformApp, part: str) -> None:
    """Hold requests with a part of a prompt back."""
    watch = app.dispatcher.crash_watch
    (trait,) = part_traits((part, "own"))
    watch.quarantine.hold(time.monotonic(), trait, was_answered=False)
    watch.wake()


async def test_held_request_is_answered_at_once_and_not_asked_to_come_back():
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        hold(site.app, DEADLY_PART)
        for path in ("/look/", "/deposit/"):
            status, headers, body = await site.call(
                path, Prompt_Prefix=f"first:1,{DEADLY_PART}:1,own:1"
            )
            assert status == 400
            assert "Retry-After" not in headers
            answer = orjson.loads(body)
            assert answer["not_run"] is True
            assert "ask the operators" in answer["error"]
            # The last part belongs to the request alone.
            status, _, _ = await site.call(
                path, Prompt_Prefix=f"first:1,{DEADLY_PART}:1"
            )
            assert status == 200
        assert len(server.runs) == 2


async def test_held_request_that_a_server_has_not_answered_is_aborted():
    """Each of them may be about to crash its server."""
    server = FakePlainServer("i-1", hang=True)
    async with harness(server) as site:
        calls = {
            path: asyncio.create_task(
                site.call(path, Prompt_Prefix=f"{part}:1,own:1", Attempt_Id=path)
            )
            for path, part in (("/look/", DEADLY_PART), ("/deposit/", DEADLY_PART))
        }
        sound = asyncio.create_task(site.call("/look/", Prompt_Prefix="first:1,own:1"))
        await wait_until(lambda: len(server.runs) == 3)
        hold(site.app, DEADLY_PART)
        status, _, body = await calls["/look/"]
        assert (status, orjson.loads(body)["not_run"]) == (400, False)
        # One that may have run once must not seem to be safe to send again.
        assert (await calls["/deposit/"])[0] == 502
        assert not sound.done()
        sound.cancel()


async def test_instance_that_starts_later_hears_of_holds():
    server = FakePlainServer("i-1")
    async with site_of(server) as apps:
        hold(apps[0], DEADLY_PART)
        await wait_until(
            lambda: all(
                app.dispatcher.crash_watch.quarantine.held_count for app in apps
            )
        )
        for app in apps[1:]:
            app.dispatcher.crash_watch.quarantine = Quarantine()
        await wait_until(
            lambda: all(
                app.dispatcher.crash_watch.quarantine.held_count for app in apps
            ),
            CONTACT_S,
        )
