"""A server that has asked an instance for rest gets nothing from it."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import pytest

from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import harness, wait_until
from tests.platform.test_lost_paths import lost_site
from wisterialoom.retry_after import read_retry_after

REST_S = 1.5
BACKOFF_S = 0.2
"""Longer than a server that only refuses is left alone."""


def resting_server(**changes: object) -> FakePlainServer:
    notices = {"Retry-After": str(REST_S)}
    return FakePlainServer("i-1", notices=notices, refuse_all=True, **changes)  # type: ignore[arg-type]


def arrivals_in_rest(server: FakePlainServer) -> int:
    """Count the requests between the first refusal and the end of its rest."""
    begin = server.refused_at[0]
    return sum(begin < at < begin + REST_S for at in server.seen_at)


async def test_rest_is_forgotten_when_the_entry_of_the_server_lapses_and_returns():
    server = resting_server()
    async with harness(server) as site:
        assert (await site.call("/look/"))[0] == 503
        await site.store.remove("servers", "i-1")
        await wait_until(lambda: "i-1" not in site.app.dispatcher.views)
        await site.store.put("servers", "i-1", server.entry())
        await wait_until(lambda: "i-1" in site.app.dispatcher.views)
        for number in range(4):
            await site.call("/look/", Attempt_Id=f"b{number}", Deadline_Ms="300")
            await asyncio.sleep(BACKOFF_S)
        assert arrivals_in_rest(server) == 0


async def test_rest_is_lost_that_is_asked_for_while_the_entry_has_lapsed():
    server = resting_server(refuse_after_s=0.3)
    async with harness(server) as site:
        call = asyncio.create_task(site.call("/look/"))
        await wait_until(lambda: server.seen)
        await site.store.remove("servers", "i-1")
        await wait_until(lambda: "i-1" not in site.app.dispatcher.views)
        assert (await call)[0] == 503
        await site.store.put("servers", "i-1", server.entry())
        await wait_until(lambda: "i-1" in site.app.dispatcher.views)
        for number in range(3):
            await site.call("/look/", Attempt_Id=f"b{number}", Deadline_Ms="300")
        assert arrivals_in_rest(server) == 0


async def test_server_that_starts_again_is_owed_no_rest():
    server = resting_server()
    async with harness(server) as site:
        assert (await site.call("/look/"))[0] == 503
        server.refuse_all = False
        await site.store.put("servers", "i-1", server.entry() | {"born": 2})
        await wait_until(
            lambda: site.app.dispatcher.views["i-1"].server.started_ms == 2
        )
        assert (await site.call("/look/"))[0] == 200


async def test_requests_of_another_instance_are_passed_on_to_a_resting_server():
    server = resting_server()
    async with lost_site(server, count=2) as (apps, site):
        async with aiohttp.ClientSession() as session:
            url = f"http://{apps[1].settings.front}/look/"
            sent = {"Host": "desk.example", "Attempt-Id": "own", "Deadline-Ms": "300"}
            async with session.get(url, headers=sent) as response:
                assert response.status == 503
        for number in range(4):
            status, headers, _ = await site.call(
                "/look/", Attempt_Id=f"b{number}", Deadline_Ms="300"
            )
            assert status == 503
            assert 0.5 < float(headers["Retry-After"]) <= REST_S
            await asyncio.sleep(BACKOFF_S)
        assert arrivals_in_rest(server) == 0


async def test_refusal_of_a_request_whose_caller_has_left_is_not_read():
    server = resting_server(refuse_after_s=0.05)
    async with harness(server) as site:
        call = asyncio.create_task(site.call("/look/"))
        await wait_until(lambda: server.seen)
        call.cancel()
        await wait_until(lambda: server.refused_at)
        await asyncio.sleep(0.05)
        for number in range(4):
            await site.call("/look/", Attempt_Id=f"b{number}", Deadline_Ms="300")
            await asyncio.sleep(BACKOFF_S)
        assert arrivals_in_rest(server) == 0


async def test_all_waiting_requests_fall_on_a_server_whose_rest_ends():
    server = FakePlainServer("i-1", notices={"Retry-After": "0.5"}, refuse_all=True)
    async with harness(server) as site:
        calls = [
            asyncio.create_task(site.call("/look/", Attempt_Id=f"b{number}"))
            for number in range(30)
        ]
        await wait_until(lambda: server.refused_at)
        await asyncio.sleep(0.1)
        first = len(server.seen)
        later = [
            asyncio.create_task(site.call("/look/", Attempt_Id=f"c{number}"))
            for number in range(30)
        ]
        await wait_until(lambda: len(server.seen) > first)
        await asyncio.sleep(0.1)
        assert len(server.seen) - first <= 2
        server.refuse_all = False
        served = await asyncio.gather(*calls, *later)
        assert sum(status == 200 for status, _, _ in served) >= len(later)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        ("2.9999999999999996", 3.0),
        ("0.30000000000000004", 0.3),
        ("0", 0.0),
        ("0.0", 0.0),
        (" 1.5 ", 1.5),
        ("100000", 100000.0),
        ("9" * 400, 0.0),
        ("1e3", 0.0),
        ("-1", 0.0),
        ("1.2.3", 0.0),
        ("soon", 0.0),
        ("\u0663", 0.0),
    ],
)
def test_time_with_many_digits_is_taken_for_none(text, seconds):
    assert read_retry_after(text) == pytest.approx(seconds)


async def test_shorter_rest_does_not_shorten_a_longer_one():
    server = resting_server()
    async with harness(server) as site:
        calls = [
            asyncio.create_task(site.call("/look/", Attempt_Id=f"b{number}"))
            for number in range(2)
        ]
        await wait_until(lambda: server.refused_at)
        site.app.dispatcher.views["i-1"].notices.hold_off(time.monotonic(), 0.1)
        server.notices = {}
        await asyncio.gather(*calls)
        await asyncio.sleep(BACKOFF_S)
        await site.call("/look/", Attempt_Id="later", Deadline_Ms="300")
        assert arrivals_in_rest(server) <= 1
