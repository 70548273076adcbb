"""The store is down for a moment; entries of servers lapse and come back."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin2"))

import aiohttp  # noqa: E402
from harness import (  # noqa: E402
    addresses,
    BROKEN,
    FRONT,
    HELD,
    Instance,
    logged,
    NOT_RUN,
    Record,
    run_case,
    trouble,
)

from tests.platform.fakes import (  # noqa: E402
    config,
    FakePlainServer,
    FakeStore,
    route,
)

INSTANCES = 6
OUTAGE_S = 5.0
"""Length of the outage: the length that the kinds of the bench give."""

LAPSE_S = 3.6
"""Three heartbeat intervals, after which the entry of a silent server is removed."""

HEARTBEAT_S = 1.2
"""Interval at which servers write to the store.

Each registers again at some moment of this interval after the outage; the pages allow
about two seconds.
"""

FIRST, ADDED = "first", "added"
SERVERS = {FIRST: 8, ADDED: 1}
"""Routes, each with the number of servers of its service."""

OUTAGES = 3
"""Outages at most; the case ends after the first one that breaks the rule."""

SETTLE_S = 8.0
"""Time after the return until requests are counted.

It covers `contactMs` twice, and the time in which servers register again.
"""

COUNTED_S = 8.0
PAUSE_S = 0.1
SHARE = 0.25
MIN_REQUESTS = 20


class Counts:
    """Requests on a route in the counted time."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.answers: dict[str, int] = {}


async def call(
    session: aiohttp.ClientSession, instance: Instance, path: str, number: int
) -> str:
    """Send one safe request and return what became of it."""
    headers = {
        "Host": "desk.example",
        "Attempt-Id": f"{path}-{number}",
        "Deadline-Ms": "2500",
    }
    url = f"http://{instance.ip}:{FRONT}/{path}/x"
    try:
        async with session.post(url, headers=headers, data=b"small") as got:
            body = await got.read()
            reason = "" if got.status == 200 else f" {body[:60].decode()}"
            return f"{got.status}{reason}"
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return type(error).__name__


async def call_all(
    instances: list[Instance], for_s: float, numbers: list[int]
) -> dict[str, Counts]:
    """Call both routes at all instances in turn for some time."""
    counts = {kind: Counts() for kind in SERVERS}
    timeout = aiohttp.ClientTimeout(total=4.0)
    until = time.monotonic() + for_s
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while time.monotonic() < until:
            for path, count in counts.items():
                numbers[0] += 1
                instance = instances[numbers[0] // len(SERVERS) % len(instances)]
                answer = await call(session, instance, path, numbers[0])
                count.sent += 1
                count.served += answer == "200"
                count.answers[answer] = count.answers.get(answer, 0) + 1
            await asyncio.sleep(PAUSE_S)
    return counts


def note(record: Record, when: str, counts: dict[str, Counts]) -> None:
    """Write down what became of requests."""
    for path, count in counts.items():
        record.note(
            f"{when}: route {path}: {count.served} of {count.sent} served; "
            f"{count.answers}"
        )


async def lapse(
    store: FakeStore, servers: list[FakePlainServer], record: Record
) -> None:
    """Take the store down, let entries lapse, and let servers register again."""
    record.note("the store is down")
    store.mode = "silent"
    async with store.changed:
        # Watches that wait are answered by nobody.
        store.changed.notify_all()
    await asyncio.sleep(LAPSE_S)
    for server in servers:
        await store.remove("servers", server.server_id)
    await asyncio.sleep(OUTAGE_S - LAPSE_S)
    store.mode = "ok"
    record.note("the store is back")

    async def come_back(server: FakePlainServer) -> None:
        after_s = random.uniform(0.0, HEARTBEAT_S)
        await asyncio.sleep(after_s)
        await store.put("servers", server.server_id, server.entry())
        record.note(f"{server.server_id} registers again after {after_s:.2f} s")

    await asyncio.gather(*(come_back(server) for server in servers))


async def start_site(store: FakeStore, record: Record) -> list[FakePlainServer]:
    """Start the servers, and write the first configuration and all entries."""
    servers = [
        FakePlainServer(f"i-{name}-{number}", service=f"{name}-app")
        for name, count in SERVERS.items()
        for number in range(count)
    ]
    for server in servers:
        await server.start()
        await store.put("servers", server.server_id, server.entry())
    await store.put("config", "main", document(1, FIRST))
    record.note("configuration 1 has one route")
    return servers


def document(version: int, *names: str) -> dict[str, Any]:
    """Return a configuration with some of the routes."""
    services = [
        {"name": f"{name}-app", "healthPath": "/health", "maxConnections": 100}
        for name in SERVERS
    ]
    routes = [route(name, "safe", f"{name}-app", maxAttempts=2) for name in names]
    limits = {"maxBodyBytes": 4_194_304, "idleTimeoutMs": 15_000}
    return config(version, routes=routes, services=services, limits=limits)


def is_broken(counts: dict[str, Counts]) -> bool:
    """Return whether requests on the added route are served too seldom."""
    first, added = counts[FIRST], counts[ADDED]
    if added.sent < MIN_REQUESTS or not first.sent:
        return False
    return added.served / added.sent < SHARE * first.served / first.sent


async def play(record: Record, folder: Path, instances: list[Instance]) -> int:
    """Play the case and return its result."""
    store = FakeStore(era=None)
    await store.start()
    servers = await start_site(store, record)
    for number, ip in enumerate(addresses(INSTANCES)):
        instances.append(Instance(f"front-{number}", ip, store.address, folder))
    await asyncio.gather(*(instance.start() for instance in instances))
    await asyncio.gather(*(instance.wait_until_ready() for instance in instances))
    await asyncio.sleep(3.0)
    await store.put("config", "main", document(2, FIRST, ADDED))
    record.note("configuration 2 adds a route")
    await asyncio.sleep(4.0)
    numbers = [0]
    before = await call_all(instances, 2.0, numbers)
    note(record, "before", before)
    if any(count.served < count.sent for count in before.values()):
        record.note("not all requests were served before the disruption")
        return NOT_RUN
    result = HELD
    for _ in range(OUTAGES):
        if trouble():
            await lapse(store, servers, record)
        await call_all(instances, SETTLE_S, numbers)
        counts = await call_all(instances, COUNTED_S, numbers)
        note(record, "in steady state", counts)
        listed = sorted(store.objects["servers"])
        record.note(f"the store lists, as ready: {listed}")
        if is_broken(counts):
            record.note("the added route is served less than a quarter as often")
            result = BROKEN
            break
    for line in logged(instances, ("store lost", "store regained", "dropped, not")):
        record.note(f"log: {line}")
    return result


if __name__ == "__main__":
    run_case(HERE, play)
