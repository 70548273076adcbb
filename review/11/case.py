"""The last tenant is taken out of the configuration: do its keys still work?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any, TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.standin3.http import call  # noqa: E402
from review.standin3.site import BROKEN, HELD, NOT_RUN, PlainWorker, run_case  # noqa: E402

if TYPE_CHECKING:
    from review.standin3.site import Instance, Record
    from review.standin3.store import Store

REVOKE_S = 5.0
"""`revokeMs` of the settings, after which a key that was taken away must not work."""

MARGIN_S = 1.0
HOST = "desk.example"
TENANT_A = {"name": "tenant-a", "apiKeys": ["key-of-a"], "priority": 1}
TENANT_B = {"name": "tenant-b", "apiKeys": ["key-of-b"], "priority": 1}
NEVER_HELD = "key-of-nobody"


def config(version: int, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with one route that isn't public."""
    return {
        "version": version,
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
                "public": False,
            }
        ],
        "services": [
            {"name": "registry", "healthPath": "/health", "maxConnections": 96}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


class Desk:
    """Sends requests with a key, and looks at what a worker ran."""

    def __init__(
        self, record: Record, worker: PlainWorker, instances: list[Instance]
    ) -> None:
        self.record, self.worker, self.instances = record, worker, instances
        self.count = 0

    async def ask(self, instance: Instance, key: str) -> bool:
        """Send one request; return whether the worker ran it."""
        self.count += 1
        attempt = f"attempt-{self.count}"
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": "1000",
            "Connection": "close",
            "Authorization": f"Bearer {key}",
        }
        answer = await call(instance.front, "POST", "/deposit/1", headers, b"x" * 600)
        ran = self.worker.runs.get(attempt)
        self.record.write(
            f"{instance.name} {attempt} key {key}: answered {answer.status}, "
            + ("not run" if ran is None else "run, with " + seen_headers(ran))
        )
        return ran is not None

    async def count_runs(self, keys: list[str], times: int = 3) -> int:
        """Return how many requests with keys that are not held were run."""
        runs = 0
        for _ in range(times):
            for instance in self.instances:
                for key in keys:
                    runs += await self.ask(instance, key)
        return runs


def seen_headers(headers: dict[str, str]) -> str:
    """Return what a worker was told of the caller."""
    return ", ".join(
        f"{name}: {headers.get(name, '(none)')}" for name in ("tenant", "authorization")
    )


async def case(
    record: Record, store: Store, instances: list[Instance], trouble: bool
) -> int:
    """Take one tenant out, then, as the disruption, the last one too."""
    worker = PlainWorker("i-1", "registry")
    await worker.server.start(store.server.address.partition(":")[0])
    await store.put("config", "main", config(1, [TENANT_A, TENANT_B]))
    await store.put("servers", worker.worker_id, worker.entry())
    for instance in instances:
        instance.launch(first_start=True)
    for instance in instances:
        await instance.wait_ready()
    desk = Desk(record, worker, instances)
    record.write("version 1 has tenant-a and tenant-b")
    if not await desk.count_runs(["key-of-a", "key-of-b"], 1):
        record.write("requests with valid keys are not served")
        return NOT_RUN
    if await desk.count_runs([NEVER_HELD], 1):
        record.write("a key that nobody held works before any change")
        return NOT_RUN
    await store.put("config", "main", config(2, [TENANT_B]))
    record.write("version 2 acknowledged: tenant-a is taken out, tenant-b stays")
    refused = ["key-of-a", NEVER_HELD]
    if trouble:
        await asyncio.sleep(1.0)
        await store.put("config", "main", config(3, []))
        record.write("version 3 acknowledged: tenant-b, the last one, is taken out")
        refused = ["key-of-a", "key-of-b", NEVER_HELD]
    await asyncio.sleep(REVOKE_S + MARGIN_S)
    record.write("revokeMs has passed")
    runs = await desk.count_runs(refused)
    record.write(f"requests run with a key that no tenant holds now: {runs}")
    worker.server.stop()
    return BROKEN if runs else HELD


if __name__ == "__main__":
    sys.exit(
        run_case(
            FOLDER,
            case,
            instances=2,
            contracts='["base", "drain", "config", "retry", "tenants", "platform"]',
            bounds="revokeStrict = true\nrevokeMs = 5000",
        )
    )
