"""A service whose servers all ended is used again as soon as others come."""

from __future__ import annotations

import asyncio

from tests.platform.fakes import FakePlainServer
from tests.platform.test_app import harness, wait_until

SERVED_AGAIN_S = 1.0
"""Time within which servers that are listed get requests."""


async def test_servers_listed_after_all_others_ended_are_used():
    """Registrations were refused for 84 s, until all instances were killed."""
    first, second = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(first, second) as site:
        for server in (first, second):
            await server.stop()
        lost_services = site.app.dispatcher.ways.paths.lost_services
        while not lost_services():
            assert (await site.call("/deposit/"))[0] in (502, 503)
            await asyncio.sleep(0.02)
        await wait_until(lambda: lost_services() == {"registry"})
        for server in (first, second):
            await site.store.remove("servers", server.server_id)
        third = FakePlainServer("i-3")
        await third.start()
        await site.store.put("servers", "i-3", third.entry())
        try:
            await wait_until(lambda: "i-3" in site.app.dispatcher.views)
            await wait_until(lambda: not lost_services(), SERVED_AGAIN_S)
            assert (await site.call("/deposit/"))[0] == 200
        finally:
            await third.stop()
