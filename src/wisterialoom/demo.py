"""The embedded default: an entry instance and stand-ins in one process.

`run` sends a sample of requests, prints what each caller got and what the
counters say, and fails unless all of it was right.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from dataclasses import dataclass, field
from typing import Any, TYPE_CHECKING

import aiohttp
import click
import uvloop

from wisterialoom.app import App
from wisterialoom.core.fleet.instance_list import ListedInstance
from wisterialoom.object_api.client import PlatformClient
from wisterialoom.settings import Instance, Listen, Platform, Settings
from wisterialoom.standin.engine_app import EngineApp
from wisterialoom.standin.engine_batch import BatchSettings
from wisterialoom.standin.engine_fault import EngineSettings
from wisterialoom.standin.platform_access import PlatformAccess
from wisterialoom.standin.platform_app import PlatformApp
from wisterialoom.standin.server import StandinServer
from wisterialoom.standin.service_app import ServiceApp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["DEMO_API_KEY", "run"]

DEMO_API_KEY = "demo-key"
CONFIG_KEY = "config/document"
READY_LIMIT_S = 30.0
POLL_S = 0.05

DOCUMENT = f"""
[deployment]
name = "demo"

[[availability_zones]]
name = "az-1"

[[models]]
name = "drafting"
version = "1"
memory_mb = 16000
load_s = 0.3
servers = "role=drafting"

[[models]]
name = "review"
version = "1"
memory_mb = 16000
load_s = 0.3
servers = "role=drafting"

[[models]]
name = "filing"
version = "1"
memory_mb = 16000
load_s = 0.3
servers = "role=filing"

[[adapters]]
name = "drafting-sofia"
model = "drafting"
version = "1"
memory_mb = 100

[[server_groups]]
name = "engines"
selector = "kind=engine"
memory_mb = 24000
adapter_pool_mb = 4000
slots = 8

[[server_groups]]
name = "registry"
selector = "kind=service"
kind = "service"
slots = 16

[[traffic_classes]]
name = "urgent"
priority = 0
first_token_s = 1.4

[[traffic_classes]]
name = "deferred"
priority = 5
may_wait = true
max_wait_s = 600.0

[[callers]]
name = "demo"
api_key_sha256 = "{hashlib.sha256(DEMO_API_KEY.encode()).hexdigest()}"
traffic_class = "urgent"
classes = ["urgent", "deferred"]

[[traffic]]
name = "registrations"
path = "/registry/*"
methods = ["POST"]
servers = "kind=service"
idempotent = false

[[traffic]]
name = "lookups"
path = "/registry/*"
servers = "kind=service"
"""


@dataclass
class Stage:
    """What the demo runs.

    Attributes:
        app: The entry instance.
        engines: Stand-in engines.
        service: The stand-in service.
        urls: Addresses by what listens there.
    """

    app: App
    engines: list[EngineApp]
    service: ServiceApp
    urls: dict[str, str] = field(default_factory=dict)


@contextlib.asynccontextmanager
async def open_stage() -> AsyncIterator[Stage]:
    """Start stand-ins and an entry instance, and stop them afterwards."""
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(StandinServer(PlatformApp().app))
        access = PlatformAccess(platform.url)
        engines = []
        for name, role in (("engine-1", "drafting"), ("engine-2", "filing")):
            engine = EngineApp(_engine_settings(name), access.load_time)
            server = await stack.enter_async_context(StandinServer(engine.app))
            labels = {"kind": "engine", "role": role}
            await access.register(_listed(name, server.address, labels))
            engines.append(engine)
        service = ServiceApp("registry-1")
        server = await stack.enter_async_context(StandinServer(service.app))
        labels = {"kind": "service"}
        await access.register(_listed("registry-1", server.address, labels))
        async with aiohttp.ClientSession() as session:
            client = PlatformClient(session, platform.url, 2.0)
            await client.write(CONFIG_KEY, DOCUMENT.encode(), 0)
        app = App.from_settings(_entry_settings(platform.url))
        await app.start()
        stack.push_async_callback(app.stop)
        urls = {"platform": platform.url}
        urls |= {name: f"http://{at}" for name, at in app.addresses().items()}
        yield Stage(app, engines, service, urls)


def _engine_settings(name: str) -> EngineSettings:
    batch = BatchSettings(
        slots=8, max_batch=32, kv_tokens=200_000, first_token_s=0.02, token_gap_s=0.005
    )
    return EngineSettings(name=name, memory_mb=24_000, load_s=0.3, batch=batch)


def _entry_settings(platform_url: str) -> Settings:
    return Settings(
        instance=Instance("entry-1", "az-1"),
        platform=Platform(platform_url),
        listen=Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
    )


def _listed(name: str, address: str, labels: dict[str, str]) -> ListedInstance:
    return ListedInstance(
        name=name,
        incarnation="1",
        address=address,
        availability_zone="az-1",
        labels=labels,
    )


@dataclass(frozen=True, slots=True)
class Check:
    """One request of the sample, and what it should bring.

    Attributes:
        title: What the caller does.
        method: HTTP method.
        path: Path.
        body: JSON body, or `None`.
        status: Expected status.
        outcome: Expected outcome; empty for streams.
        headers: Headers beside the API key.
    """

    title: str
    method: str
    path: str
    body: dict[str, Any] | None
    status: int = 200
    outcome: str = "completed"
    headers: dict[str, str] = field(default_factory=dict)


def _chat(model: str, text: str, *, stream: bool = False) -> dict[str, Any]:
    return {
        "model": model,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": 12,
        "stream": stream,
    }


CHAT = "/v1/chat/completions"
REGISTRATION = {"deposit": "2026/117"}
ONCE = {"Idempotency-Key": "deposit-2026-117"}

CHECKS = (
    Check("draft a note", "POST", CHAT, _chat("drafting", "Draft the note.")),
    Check(
        "draft a note, streamed",
        "POST",
        CHAT,
        _chat("drafting", "Draft the second note.", stream=True),
        outcome="",
    ),
    Check(
        "draft with an adapter",
        "POST",
        CHAT,
        _chat("drafting-sofia", "Draft as Sofia does."),
    ),
    Check("review a ledger", "POST", CHAT, _chat("review", "Review the ledger.")),
    Check("file a summary", "POST", CHAT, _chat("filing", "Summarize the filing.")),
    Check(
        "register a deposit",
        "POST",
        "/registry/deposits",
        REGISTRATION,
        headers=ONCE,
    ),
    Check(
        "register it again, same key",
        "POST",
        "/registry/deposits",
        REGISTRATION,
        headers=ONCE,
    ),
    Check(
        "register without a key",
        "POST",
        "/registry/deposits",
        REGISTRATION,
        status=400,
        outcome="not_run",
    ),
    Check("look a deposit up", "GET", "/registry/deposits/117", None),
    Check(
        "ask for an unknown model",
        "POST",
        CHAT,
        _chat("nobody", "Hello."),
        status=404,
        outcome="not_run",
    ),
)


async def _wait_until_ready(stage: Stage) -> None:
    async with asyncio.timeout(READY_LIMIT_S):
        while not (stage.app.is_ready() and stage.app.parts.path.router.views):
            await asyncio.sleep(POLL_S)


async def _perform(session: aiohttp.ClientSession, url: str, check: Check) -> bool:
    headers = {"Authorization": f"Bearer {DEMO_API_KEY}", "X-Deadline-Ms": "40000"}
    async with session.request(
        check.method, url + check.path, json=check.body, headers=headers | check.headers
    ) as response:
        body = await response.read()
        outcome = response.headers.get("X-Outcome", "")
        right = response.status == check.status and outcome == check.outcome
        if not check.outcome:
            right = right and b"data: [DONE]" in body
        mark = "ok  " if right else "WRONG"
        shown = body[:72].decode(errors="replace").replace("\n", " ")
        click.echo(f"{mark} {check.title:30} {response.status} {outcome:10} {shown}")
    return right


async def _perform_job(session: aiohttp.ClientSession, url: str) -> bool:
    """Leave a review for later and fetch its answer by its address."""
    headers = {
        "Authorization": f"Bearer {DEMO_API_KEY}",
        "Prefer": "respond-async",
        "X-Priority": "deferred",
    }
    body = _chat("drafting", "Review the ledger by tomorrow.")
    async with session.post(url + CHAT, json=body, headers=headers) as response:
        address = response.headers.get("Location", "")
        accepted = response.status == 202
    mark = "ok  " if accepted else "WRONG"
    click.echo(f"{mark} {'leave a review for later':30} {response.status} {address}")
    outcome = ""
    async with asyncio.timeout(READY_LIMIT_S):
        while accepted and outcome not in ("completed", "unknown"):
            await asyncio.sleep(POLL_S)
            async with session.get(url + address, headers=headers) as response:
                outcome = response.headers.get("X-Outcome", "")
    mark = "ok  " if outcome == "completed" else "WRONG"
    click.echo(f"{mark} {'fetch its answer':30} {response.status} {outcome}")
    return outcome == "completed"


async def _show_counters(session: aiohttp.ClientSession, stage: Stage) -> None:
    async with session.get(stage.urls["admin"] + "/metrics") as response:
        text = await response.text()
    click.echo("\ncounters:")
    for line in text.splitlines():
        if line.startswith(("wisterialoom_requests_total", "wisterialoom_refusals")):
            click.echo(f"  {line}")


def _records_are_right(stage: Stage) -> bool:
    runs = [run for run in stage.service.record.runs if run.run_once]
    violations = [x for engine in stage.engines for x in engine.memory.violations]
    click.echo(f"\nthe registry ran {len(runs)} registration (1 is right)")
    click.echo(f"the engines saw {len(violations)} memory overcommitments (0 is right)")
    return len(runs) == 1 and not violations


async def _sample(stage: Stage) -> bool:
    await _wait_until_ready(stage)
    async with aiohttp.ClientSession() as session:
        results = [
            await _perform(session, stage.urls["callers"], check) for check in CHECKS
        ]
        results.append(await _perform_job(session, stage.urls["callers"]))
        await _show_counters(session, stage)
    return all(results) and _records_are_right(stage)


async def _run(*, serve: bool) -> bool:
    async with open_stage() as stage:
        right = await _sample(stage)
        if serve:
            click.echo("\nserving; end with Ctrl-C")
            for name, url in stage.urls.items():
                click.echo(f"  {name:10} {url}")
            click.echo(f"  API key    {DEMO_API_KEY}")
            await asyncio.Event().wait()
        return right


def run(*, serve: bool = False) -> int:
    """Run the demo.

    Args:
        serve: Stay up afterwards and print the addresses.

    Returns:
        Exit code: 0 only if everything was right.
    """
    try:
        right = uvloop.run(_run(serve=serve))
    except KeyboardInterrupt:
        return 0
    return 0 if right else 1
