"""Tests of membership over real links on loopback."""

from __future__ import annotations

import asyncio
import random

from wisterialoom.core.fleet.membership import Membership
from wisterialoom.core.fleet.peer import SendPeer, ServerLoad
from wisterialoom.core.message import Tick, TICK_INTERVAL_S
from wisterialoom.core.notice import LoadReported, MembersChanged
from wisterialoom.peer.link import PeerLinks

KEYS = (b"shared",)
LIMIT_S = 20.0


class Process:
    """A membership part with peer links and periodic ticks."""

    def __init__(self, name):
        self.name = name
        self.names = ()
        self.loads = {}
        self.links = PeerLinks(name, self.handle, keys=KEYS)

    async def start(self, seeds):
        address = await self.links.start("127.0.0.1:0")
        rng = random.Random(self.name)
        self.part = Membership(
            self.name, address, "a", seeds=seeds, rng=rng, incarnation=1
        )
        self.ticks = asyncio.create_task(self.tick())
        return address

    async def tick(self):
        while True:
            self.handle(Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def stop(self):
        self.ticks.cancel()
        await self.links.stop()

    def handle(self, event):
        now = asyncio.get_running_loop().time()
        for output in self.part.handle(now, event):
            match output:
                case SendPeer():
                    self.links.send(output)
                case MembersChanged(members=members):
                    self.names = tuple(member.name for member in members)
                case LoadReported(load=load):
                    self.loads[load.server] = load


async def until(condition):
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


async def test_members_join_exchange_loads_and_detect_a_failure():
    processes = [Process(f"entry-{number}") for number in range(3)]
    seed = await processes[0].start(())
    for process in processes[1:]:
        await process.start((seed,))
    try:
        names = tuple(process.name for process in processes)
        await until(lambda: all(process.names == names for process in processes))
        many = tuple(f"deposit-cover-{number}@7" for number in range(200))
        small = ServerLoad("writer-1", 1, 3, 0, resident=("drafting@7",))
        large = ServerLoad("writer-2", 1, 3, 0, resident=many)
        for load in (small, large):
            processes[1].handle(LoadReported(load, own=True))
        expected = {"writer-1": small, "writer-2": large}
        await until(lambda: processes[0].loads == processes[2].loads == expected)
        await processes[1].stop()
        rest = (names[0], names[2])
        await until(lambda: processes[0].names == processes[2].names == rest)
        for process in processes:
            assert process.links.counters.dropped_unauthentic == 0
            assert process.links.counters.dropped_malformed == 0
    finally:
        for process in processes:
            await process.stop()
