"""What servers say about themselves in their answers is followed at once."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.platform.fakes import FakeModelServer, FakePlainServer
from tests.platform.test_app import harness, wait_until

LEAVING = {"Server-Leaving": "1"}


async def test_server_that_says_in_an_answer_that_it_leaves_gets_no_more_requests():
    """The store does not list it as draining yet, or cannot be reached."""
    first, second = FakePlainServer("i-1"), FakePlainServer("i-2")
    first.notices = second.notices = LEAVING
    async with harness(first, second) as site:
        status, headers, _ = await site.call("/deposit/", Attempt_Id="b0")
        assert status == 200
        assert "Server-Leaving" not in headers
        left, other = (first, second) if first.runs else (second, first)
        other.notices = {}
        for number in range(1, 11):
            status, _, _ = await site.call("/deposit/", Attempt_Id=f"b{number}")
            assert status == 200
        assert len(left.runs) == 1
        assert len(other.runs) == 10


async def test_server_is_known_to_leave_while_its_stream_goes_on():
    first = FakeModelServer("i-1", models={"m1": []}, step_s=0.2, notices=LEAVING)
    second = FakeModelServer("i-2", models={"m1": []})
    async with harness(first, second) as site:
        site.app.dispatcher.views["i-2"].notices.hold_off(time.monotonic(), 0.3)
        stream = asyncio.create_task(site.call("/draft/", Model="m1", Attempt_Id="s1"))
        await wait_until(lambda: first.running)
        await wait_until(lambda: site.app.dispatcher.views["i-1"].notices.leaving)
        assert not stream.done()
        assert (await site.call("/draft/", Model="m1", Attempt_Id="s2"))[0] == 200
        assert (await stream)[0] == 200
        assert (first.runs, second.runs) == (["s1"], ["s2"])


async def test_refusal_of_another_server_at_the_address_says_nothing_about_the_old():
    server = FakeModelServer("i-1", models={"m1": []})
    async with harness(server) as site:
        server.server_id, server.notices = "i-9", LEAVING
        await site.call("/draft/", Model="m1")
        assert not site.app.dispatcher.views["i-1"].notices.leaving


async def test_server_that_starts_again_under_its_id_is_no_longer_leaving():
    server = FakePlainServer("i-1", notices=LEAVING)
    async with harness(server) as site:
        await site.call("/deposit/")
        assert site.app.dispatcher.views["i-1"].notices.leaving
        await site.store.remove("servers", "i-1")
        await wait_until(lambda: "i-1" not in site.app.dispatcher.views)
        await site.store.put("servers", "i-1", server.entry())
        await wait_until(lambda: "i-1" in site.app.dispatcher.views)
        assert site.app.dispatcher.views["i-1"].notices.leaving
        await site.store.put("servers", "i-1", server.entry() | {"born": 2})
        await wait_until(lambda: not site.app.dispatcher.views["i-1"].notices.leaving)


async def test_caller_cannot_make_a_server_look_as_if_it_leaves():
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        await site.call("/deposit/", Server_Leaving="1")
        assert "Server-Leaving" not in server.seen[0]


@pytest.mark.parametrize("not_run", [True, False])
async def test_server_gets_nothing_before_the_time_that_its_refusal_names(
    not_run: bool,
):
    server = FakePlainServer("i-1", notices={"Retry-After": "1.0"}, status=503)
    server.refuse_all = not_run
    async with harness(server) as site:
        calls = [asyncio.create_task(site.call("/deposit/", Attempt_Id="b0"))]
        await wait_until(lambda: server.seen)
        await asyncio.sleep(0.05)
        server.refuse_all, server.status, server.notices = False, 200, {}
        for number in range(1, 5):
            call = site.call("/deposit/", Attempt_Id=f"b{number}")
            calls.append(asyncio.create_task(call))
        await asyncio.sleep(0.9)
        assert len(server.seen) == 1
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        assert statuses == [200 if not_run else 503, 200, 200, 200, 200]
        # Timed at the server: the rest begins at the instance only later.
        assert server.seen_at[1] - server.seen_at[0] >= 1.0
        assert server.seen_at[-1] - server.seen_at[0] < 1.5


async def test_request_is_refused_at_once_if_no_server_wants_one_in_time():
    server = FakePlainServer("i-1", notices={"Retry-After": "30"}, refuse_all=True)
    async with harness(server) as site:
        await site.call("/deposit/")
        began = time.monotonic()
        status, headers, _ = await site.call("/deposit/")
        assert time.monotonic() - began < 0.1
        assert status == 503
        assert 25.0 < float(headers["Retry-After"]) <= 30.0


async def test_request_goes_to_a_server_that_has_not_refused():
    first = FakePlainServer("i-1", notices={"Retry-After": "5"}, refuse_all=True)
    second = FakePlainServer("i-2")
    async with harness(first, second) as site:
        for number in range(12):
            status, _, _ = await site.call("/look/", Attempt_Id=f"b{number}")
            assert status == 200
        assert len(first.seen) == 1


async def test_refused_caller_may_come_back_as_soon_as_another_server_wants_it():
    """The route allows one server for each request."""
    first = FakePlainServer("i-1", notices={"Retry-After": "5"}, refuse_all=True)
    second = FakePlainServer("i-2")
    async with harness(first, second) as site:
        answers = []
        for number in range(12):
            answers.append(await site.call("/deposit/", Attempt_Id=f"b{number}"))
        refused = [headers for status, headers, _ in answers if status == 503]
        assert len(refused) == len(first.seen) == 1
        assert float(refused[0]["Retry-After"]) < 1.0


@pytest.mark.parametrize("text", ["soon", "-3", "nan", "inf", "", "Wed, 21 Oct 2026"])
async def test_retry_after_that_is_no_time_in_seconds_is_ignored(text: str):
    server = FakePlainServer("i-1", notices={"Retry-After": text}, refuse_all=True)
    async with harness(server) as site:
        await site.call("/deposit/")
        server.refuse_all = False
        await asyncio.sleep(0.2)
        assert (await site.call("/deposit/"))[0] == 200


async def test_holder_reads_no_report_and_gives_no_order_while_a_server_wants_nothing():
    server = FakeModelServer("i-1")
    async with harness(server) as site:
        await wait_until(lambda: site.app.placement_controller.holds_lease)
        await wait_until(lambda: server.reports)
        site.app.dispatcher.views["i-1"].notices.hold_off(time.monotonic(), 1.0)
        await asyncio.sleep(0.1)
        before = (server.reports, len(server.orders))
        call = asyncio.create_task(site.call("/draft/", Model="m1"))
        await asyncio.sleep(0.6)
        assert (server.reports, len(server.orders)) == before
        assert (await call)[0] == 200
