"""A service whose workers are replaced one after the other, and callers of it."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any, TYPE_CHECKING

from review.standin3.http import call
from review.standin3.site import BROKEN, HELD, NOT_RUN, PlainWorker

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from review.standin3.http import Request
    from review.standin3.site import Instance, Record
    from review.standin3.store import Store

__all__ = ["Fleet", "judge_leaving", "start_site"]

DRAIN_S = 2.0
"""`drainMs` of the settings: bound of the rule, and time for which workers serve on."""

LINGER_S = 1.5
"""Time for which a leaving worker serves beyond that."""

WORKERS = 8
RELEASE_GAP_S = 1.0
"""Time between two workers of a release."""

HEARTBEAT_S = 1.2
COLD_S = 20.0
"""Time for which a worker is slow after its start, which its entry counts down."""

REMOVED_AFTER_S = 0.1
"""Time between the entry of a new worker and the end of the entry of the old one."""

CALL_PAUSE_S = 0.04
CALLERS = 5
CALM_S = 5.0
HOST = "desk.example"

CONFIG: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": "deposit",
            "host": HOST,
            "pathPrefix": "/deposit/",
            "kind": "unsafe",
            "timeoutMs": 1000,
            "targetLatencyMs": 145,
            "priority": 2,
            "service": "registry",
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "registry", "healthPath": "/health", "maxConnections": 96}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


@dataclass
class Departure:
    """A worker that has left.

    Attributes:
        at: Time at which the store acknowledged that its entry is gone.
    """

    at: float


class Fleet:
    """The workers of the service, which are replaced one after the other."""

    def __init__(self, record: Record, store: Store, ip: str) -> None:
        self.record, self.store, self.ip = record, store, ip
        self.workers: list[PlainWorker] = []
        self.departures: dict[str, Departure] = {}
        self.sent: dict[str, tuple[str, float]] = {}
        self.late: list[str] = []
        self.has_beats = False
        self.beats: set[asyncio.Task[None]] = set()
        self.count = 0

    async def add(self) -> PlainWorker:
        """Start a worker and write its entry."""
        self.count += 1
        worker = PlainWorker(f"i-{self.count}", "registry")
        answer = worker.server.handle

        async def handle(request: Request) -> Any:
            self.judge(worker.worker_id, request.headers.get("attempt-id", ""))
            return await answer(request)

        worker.server.handle = handle
        await worker.server.start(self.ip)
        worker.started_at = time.monotonic()
        await self.store.put("servers", worker.worker_id, self.entry(worker))
        self.workers.append(worker)
        if self.has_beats:
            self.beats.add(asyncio.create_task(self.beat(worker)))
        return worker

    def entry(self, worker: PlainWorker) -> dict[str, Any]:
        """Return the entry of a worker, with the rest of the time that it is cold."""
        cold_s = max(0.0, worker.started_at + COLD_S - time.monotonic())
        return {**worker.entry(), "coldRemainingMs": int(1e3 * cold_s)}

    async def beat(self, worker: PlainWorker) -> None:
        """Write the entry of a worker every heartbeat until it leaves."""
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while worker in self.workers:
            await self.store.put("servers", worker.worker_id, self.entry(worker))
            await asyncio.sleep(HEARTBEAT_S)

    def judge(self, worker_id: str, attempt: str) -> None:
        """Record a request that was sent too long after its worker had left."""
        left = self.departures.get(worker_id)
        instance, sent_at = self.sent.get(attempt, ("", 0.0))
        if left is None or sent_at <= left.at + DRAIN_S:
            return
        self.late.append(attempt)
        now = time.monotonic()
        self.record.write(
            f"{attempt} sent to {instance} {1e3 * (sent_at - left.at):.0f} ms after "
            f"the entry of {worker_id} had gone, reaches it "
            f"{1e3 * (now - left.at):.0f} ms after"
        )

    async def replace_oldest(self) -> None:
        """Start a new worker; the oldest one leaves without reporting it before."""
        await self.add()
        await asyncio.sleep(REMOVED_AFTER_S)
        old = self.workers.pop(0)
        await self.store.remove("servers", old.worker_id)
        self.departures[old.worker_id] = Departure(time.monotonic())
        self.record.write(f"the entry of {old.worker_id} is gone")
        loop = asyncio.get_running_loop()
        loop.call_later(DRAIN_S + LINGER_S, old.server.stop)

    async def release(self) -> None:
        """Replace one worker after the other until canceled."""
        while True:
            began_at = time.monotonic()
            await self.replace_oldest()
            passed_s = time.monotonic() - began_at
            await asyncio.sleep(max(0.0, RELEASE_GAP_S - passed_s))


async def send_requests(
    fleet: Fleet, instance: Instance, counts: dict[str, int]
) -> None:
    """Send requests to one instance, one after the other."""
    number = 0
    while True:
        number += 1
        attempt = f"{instance.name}-{id(asyncio.current_task())}-{number}"
        fleet.sent[attempt] = (instance.name, time.monotonic())
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "1000"}
        headers["Connection"] = "close"
        try:
            found = await call(
                instance.front, "POST", "/deposit/1", headers, b"x" * 600
            )
            outcome = str(found.status)
        except (OSError, EOFError, TimeoutError):
            outcome = "no answer"
        counts[outcome] = counts.get(outcome, 0) + 1
        await asyncio.sleep(CALL_PAUSE_S)


async def start_site(
    record: Record, store: Store, instances: list[Instance], *, beats: bool
) -> Fleet:
    """Start the workers and the instances, and wait until all is calm.

    Args:
        record: Record of the case.
        store: The store.
        instances: The instances.
        beats: Whether entries change at each heartbeat while a worker is cold.
    """
    fleet = Fleet(record, store, store.server.address.partition(":")[0])
    fleet.has_beats = beats
    await store.put("config", "main", CONFIG)
    for _ in range(WORKERS):
        await fleet.add()
    for instance in instances:
        instance.launch(first_start=True)
    for instance in instances:
        await instance.wait_ready()
    await asyncio.sleep(CALM_S)
    return fleet


async def judge_leaving(
    fleet: Fleet, judged: list[Instance], disturb: Callable[[], Awaitable[None]]
) -> int:
    """Replace workers under load while a disruption runs; return the exit code.

    Args:
        fleet: The workers.
        judged: Instances to which requests are sent, all of them in touch.
        disturb: Runs the disruption in rounds; may end once a request was late.
    """
    record = fleet.record
    counts: dict[str, int] = {}
    record.write(f"judged: requests to {', '.join(i.name for i in judged)}")
    callers = [
        asyncio.create_task(send_requests(fleet, instance, counts))
        for instance in judged
        for _ in range(CALLERS)
    ]
    release = asyncio.create_task(fleet.release())
    await disturb()
    release.cancel()
    await asyncio.sleep(DRAIN_S + LINGER_S)
    for task in (*callers, *fleet.beats):
        task.cancel()
    for worker in fleet.workers:
        worker.server.stop()
    record.write(f"answers: {counts}")
    record.write(f"requests that reached a worker too late: {len(fleet.late)}")
    if not counts.get("200"):
        return NOT_RUN
    return BROKEN if fleet.late else HELD
