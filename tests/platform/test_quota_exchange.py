"""Instances over real sockets keep the quotas of teams together."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, TYPE_CHECKING

import aiohttp
import pytest

from tests.platform.fakes import addresses, config, FakePlainServer, FakeStore
from tests.platform.test_app import Harness, harness, wait_until
from tests.platform.test_relay import make_app
from wisterialoom.core.teams.allowance_message import (
    AllowanceGrant,
    AllowanceReply,
    AllowanceRequest,
    TeamRequest,
)
from wisterialoom.platform.app import PlatformApp
from wisterialoom.platform.hint_codec import decode_hint, encode_hint
from wisterialoom.platform.hints import (
    AllowanceGranted,
    AllowanceWanted,
    Hint,
    HintError,
)
from wisterialoom.platform.settings import Bounds, PlatformSettings, SettingsError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEY = "asnmgkcuyj8pjbvk9m68"
AUTHORIZATION = f"Bearer {KEY}"

RATE_PER_S = 20.0
BURST = 10.0
SLACK = 10.0
WINDOW_S = 8.0
BOUNDS = Bounds(fenced=True, lease_s=1.0, grace_s=3.0, quota_slack=SLACK)
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + SLACK


def team(**changes: Any) -> dict[str, Any]:
    base = {
        "name": "hule930",
        "apiKeys": [KEY],
        "priority": 1,
        "unit": "requests",
        "plainTokens": 200,
        "ratePerS": RATE_PER_S,
        "burst": BURST,
    }
    return base | changes


class SwiftServer(FakePlainServer):
    """A plain server that records when each request arrives."""

    def __init__(self, server_id: str) -> None:
        super().__init__(server_id)
        self.times: list[float] = []

    def record_run(self, request_id: str) -> None:
        super().record_run(request_id)
        self.times.append(time.monotonic())

    def most_in_window(self) -> int:
        return max(
            (
                sum(0 <= at - start < WINDOW_S for at in self.times)
                for start in self.times
            ),
            default=0,
        )


@asynccontextmanager
async def quota_fleet(
    server: FakePlainServer, count: int = 3
) -> AsyncIterator[tuple[FakeStore, list[PlatformApp]]]:
    await server.start()
    store = FakeStore()
    await store.start()
    await store.put("config", "main", config(tenants=[team()]))
    await store.put("servers", server.server_id, server.entry())
    apps = [
        make_app(await store.open_door(), number, ip, PlatformApp)
        for number, ip in enumerate(addresses()[:count])
    ]
    for app in apps:
        app.settings = replace(app.settings, bounds=BOUNDS)
        await app.on_start()
    try:
        await wait_until(lambda: all(app.catalog.is_loaded for app in apps))
        await wait_until(lambda: all(len(app.peers.members) == count for app in apps))
        yield store, apps
    finally:
        for app in apps:
            await app.on_stop()
        await store.stop()
        await server.stop()


async def call_often(
    site: Harness, per_s: float, for_s: float
) -> list[tuple[int, str, float]]:
    """Return status, `Retry-After` and duration of requests at a steady rate."""
    results = []

    async def call(number: int) -> None:
        began = time.monotonic()
        status, headers, _ = await site.call(
            "/deposit/",
            Attempt_Id=f"{site.app.settings.instance}-{number}",
            Authorization=AUTHORIZATION,
        )
        took_s = time.monotonic() - began
        results.append((status, headers.get("Retry-After", ""), took_s))

    calls = []
    for number in range(int(per_s * for_s)):
        calls.append(asyncio.create_task(call(number)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*calls)
    return results


async def call_all(
    apps: list[PlatformApp], per_s: float, for_s: float
) -> list[tuple[int, str, float]]:
    async with aiohttp.ClientSession() as session:
        results = await asyncio.gather(
            *(
                call_often(Harness(None, app, session), per_s / len(apps), for_s)  # type: ignore[arg-type]
                for app in apps
            )
        )
    return [result for part in results for result in part]


async def test_team_gets_its_quota_and_no_more_from_all_instances_together():
    server = SwiftServer("i-1")
    async with quota_fleet(server) as (_, apps):
        results = await call_all(apps, 3 * RATE_PER_S, 9.0)
        assert server.most_in_window() <= ALLOWED
        assert len(server.times) > 0.8 * RATE_PER_S * 9.0
        refused = [result for result in results if result[0] != 200]
        assert {status for status, _, _ in refused} == {429}
        assert all(float(retry_after) >= 0.05 for _, retry_after, _ in refused)
        assert max(took_s for _, _, took_s in refused) < 1.0
        # What was refused has not run.
        assert len(server.runs) == len(results) - len(refused)
        counts = [app.quota_exchange.refusals for app in apps]
        assert sum(sum(count.values()) for count in counts) == len(refused)


async def test_team_gets_its_quota_at_one_instance_that_is_not_the_holder():
    server = SwiftServer("i-1")
    async with quota_fleet(server) as (_, apps):
        await wait_until(lambda: any(x.placement_controller.holds_lease for x in apps))
        others = [app for app in apps if not app.placement_controller.holds_lease]
        await wait_until(lambda: others[0].fleet.holder_address)
        await call_all(others[:1], RATE_PER_S / 2, 1.5)
        results = await call_all(others[:1], RATE_PER_S / 1.8, 5.0)
        assert [status for status, _, _ in results] == [200] * len(results)
        assert others[0].quota_exchange.messages["wanted"] > 0


async def test_team_goes_on_after_the_holder_has_ended():
    server = SwiftServer("i-1")
    async with quota_fleet(server) as (_, apps):
        await wait_until(lambda: any(x.placement_controller.holds_lease for x in apps))
        holder = next(x for x in apps if x.placement_controller.holds_lease)
        others = [app for app in apps if app is not holder]
        await call_all(others, RATE_PER_S / 2, 1.0)
        await holder.on_stop()
        holder.runners.clear()
        await call_all(others, RATE_PER_S / 2, 5.0)
        results = await call_all(others, RATE_PER_S / 2, 2.0)
        assert [status for status, _, _ in results] == [200] * len(results)
        assert server.most_in_window() <= ALLOWED
        apps.remove(holder)


async def test_team_goes_on_while_the_store_does_not_answer():
    """The lease ends after a second, but the instances still hear its last holder."""
    server = SwiftServer("i-1")
    async with quota_fleet(server) as (store, apps):
        await wait_until(lambda: any(x.placement_controller.holds_lease for x in apps))
        others = [app for app in apps if not app.placement_controller.holds_lease]
        await call_all(others[:1], RATE_PER_S / 2, 1.0)
        store.mode = "down"
        await asyncio.sleep(2.0)
        results = await call_all(others[:1], RATE_PER_S / 1.8, 3.0)
        store.mode = "ok"
        assert [status for status, _, _ in results] == [200] * len(results)


def amounts(site: Harness) -> float:
    """Return what the one instance, which is the holder, may still use."""
    exchange = site.app.quota_exchange
    assert exchange.ledger is not None
    return exchange.ledger.granted


@asynccontextmanager
async def token_site(*servers: FakePlainServer) -> AsyncIterator[Harness]:
    async with harness(*servers, bounds=BOUNDS) as site:
        tenants = [team(unit="token_rate", ratePerS=1000, burst=4000)]
        await site.store.put("config", "main", config(2, tenants=tenants))
        exchange = site.app.quota_exchange
        await wait_until(lambda: "hule930" in exchange.allowance.stocks)
        await wait_until(lambda: exchange.ledger is not None)
        await asyncio.sleep(0.7)
        yield site


@pytest.mark.parametrize(
    ("counts", "cost"),
    [("300,200", 500), ("300", 200), ("x,y", 200), ("-5,9", 200), ("0,0", 200)],
)
async def test_cost_is_that_of_the_stated_tokens_or_of_a_plain_request(
    counts: str, cost: int
):
    async with token_site(FakePlainServer("i-1")) as site:
        status, _, _ = await site.call(
            "/deposit/", Authorization=AUTHORIZATION, Token_Count=counts
        )
        assert status == 200
        assert amounts(site) == cost


async def test_request_that_is_sent_to_two_servers_is_charged_once():
    first = FakePlainServer("i-1", refuse_all=True)
    second = FakePlainServer("i-2", refuse_all=True)
    async with token_site(first, second) as site:
        headers = {"Authorization": AUTHORIZATION, "Token_Count": "300,200"}
        await site.call("/look/", "GET", Deadline_Ms="800", **headers)
        assert first.refused_at
        assert second.refused_at
        assert amounts(site) == 500
        # Nobody ran it, so the team has its allowance back.
        stock = site.app.quota_exchange.allowance.stocks["hule930"]
        assert stock.returned == 500


async def test_team_without_credit_is_told_when_it_has_some():
    async with token_site(FakePlainServer("i-1")) as site:
        headers = {"Authorization": AUTHORIZATION, "Token_Count": "2000,1000"}
        statuses = []
        for number in range(4):
            status, got, _ = await site.call(
                "/deposit/", Attempt_Id=f"b{number}", **headers
            )
            statuses.append(status)
        assert statuses[-1] == 429
        wait_s = float(got["Retry-After"])
        assert 0.5 < wait_s <= 8.0


async def test_request_without_a_quota_is_not_charged():
    async with harness(FakePlainServer("i-1")) as site:
        assert (await site.call("/deposit/"))[0] == 200
        assert not site.app.quota_exchange.allowance.stocks
        assert site.app.quota_exchange.ledger is None


REQUEST = AllowanceRequest(
    1_796_000_000_123,
    1_796_000_000_100,
    {
        "hule930": TeamRequest(1500.0, 500.0, 200.0, 100.0, 7.0, 3.0),
        "t2": TeamRequest(need=500.0, first=500.0),
        "t3": TeamRequest(),
    },
)
REPLY = AllowanceReply(
    7, 1_796_000_000_123, {"hule930": AllowanceGrant(700.0, 0.3)}, {"t2": 1.25}
)


@pytest.mark.parametrize(
    "hint", [AllowanceWanted("front-1", REQUEST), AllowanceGranted("front-2", REPLY)]
)
def test_messages_are_decoded_as_they_were_encoded(hint: Hint):
    assert decode_hint(encode_hint(hint)) == hint


@pytest.mark.parametrize(
    "data",
    [
        b'["qw","a",[1,0,{"t":[-5]}]]',
        b'["qw","a",[1,0,{"t":[true]}]]',
        b'["qw","a",[1,0,{"t":[1,2,3,4,5,6,7]}]]',
        b'["qw","a",[1.5,0,{}]]',
        b'["qw","a",{}]',
        b'["qg","a",[1,1,{"t":[1e999,1]},{}]]',
        b'["qg","a",[1,1,{"t":[1]},{}]]',
        b'["qg","a",[1,1,{},[]]]',
    ],
)
def test_message_with_other_fields_is_refused(data: bytes):
    """Allowance would otherwise be granted without bound, or the task would end."""
    with pytest.raises(HintError):
        decode_hint(data)


def make_table(**bounds: Any) -> dict[str, Any]:
    return {
        "nodeName": "n",
        "ip": "127.0.0.1",
        "zone": "z",
        "internalPorts": [1, 2],
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "platform": {"address": "127.0.0.1:3"},
        "bounds": bounds,
    }


def test_settings_name_what_is_allowed_above_the_quotas():
    table = make_table(quotaWindowS=4, quotaOvershoot=0, quotaSlack=500)
    bound = PlatformSettings.from_table(table).bounds.quota
    assert (bound.window_s, bound.overshoot, bound.slack) == (4.0, 0.0, 500.0)
    bound = PlatformSettings.from_table(make_table()).bounds.quota
    assert (bound.window_s, bound.overshoot, bound.slack) == (8.0, 0.1, 17_000.0)
    for name, value in (("quotaWindowS", 0), ("quotaSlack", -1)):
        with pytest.raises(SettingsError):
            PlatformSettings.from_table(make_table(**{name: value}))
