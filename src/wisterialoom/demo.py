"""Demo: an entry instance and emulated backends in one process.

`run` sends sample requests, prints the answers and the counters, and fails unless
all of them are as expected.
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
WAIT_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05

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
class DemoDeployment:
    """Components of the demo.

    Attributes:
        app: The entry instance.
        engines: Emulated engines.
        service: The emulated service.
        urls: URLs by server.
    """

    app: App
    engines: list[EngineApp]
    service: ServiceApp
    urls: dict[str, str] = field(default_factory=dict)


@contextlib.asynccontextmanager
async def open_demo() -> AsyncIterator[DemoDeployment]:
    """Start emulators and an entry instance, and stop them afterwards."""
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
        yield DemoDeployment(app, engines, service, urls)


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
class SampleRequest:
    """A sample request and the expected answer.

    Attributes:
        title: Description of the request.
        method: HTTP method.
        path: URL path.
        body: JSON body, or `None`.
        status: Expected status.
        outcome: Expected outcome; empty for streams.
        headers: Headers besides the API key.
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
REGISTRATION_HEADERS = {"Idempotency-Key": "deposit-2026-117"}

SAMPLE_REQUESTS = (
    SampleRequest("draft a note", "POST", CHAT, _chat("drafting", "Draft the note.")),
    SampleRequest(
        "draft a note, streamed",
        "POST",
        CHAT,
        _chat("drafting", "Draft the second note.", stream=True),
        outcome="",
    ),
    SampleRequest(
        "draft with an adapter",
        "POST",
        CHAT,
        _chat("drafting-sofia", "Draft as Sofia does."),
    ),
    SampleRequest(
        "review a ledger", "POST", CHAT, _chat("review", "Review the ledger.")
    ),
    SampleRequest(
        "file a summary", "POST", CHAT, _chat("filing", "Summarize the filing.")
    ),
    SampleRequest(
        "register a deposit",
        "POST",
        "/registry/deposits",
        REGISTRATION,
        headers=REGISTRATION_HEADERS,
    ),
    SampleRequest(
        "register it again, same key",
        "POST",
        "/registry/deposits",
        REGISTRATION,
        headers=REGISTRATION_HEADERS,
    ),
    SampleRequest(
        "register without a key",
        "POST",
        "/registry/deposits",
        REGISTRATION,
        status=400,
        outcome="not_run",
    ),
    SampleRequest("look a deposit up", "GET", "/registry/deposits/117", None),
    SampleRequest(
        "ask for an unknown model",
        "POST",
        CHAT,
        _chat("nobody", "Hello."),
        status=404,
        outcome="not_run",
    ),
)


async def _wait_until_ready(deployment: DemoDeployment) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not (
            deployment.app.is_ready() and deployment.app.parts.path.router.views
        ):
            await asyncio.sleep(POLL_INTERVAL_S)


async def _perform(
    session: aiohttp.ClientSession, url: str, sample_request: SampleRequest
) -> bool:
    headers = {"Authorization": f"Bearer {DEMO_API_KEY}", "X-Deadline-Ms": "40000"}
    async with session.request(
        sample_request.method,
        url + sample_request.path,
        json=sample_request.body,
        headers=headers | sample_request.headers,
    ) as response:
        body = await response.read()
        outcome = response.headers.get("X-Outcome", "")
        passed = (
            response.status == sample_request.status
            and outcome == sample_request.outcome
        )
        if not sample_request.outcome:
            passed = passed and b"data: [DONE]" in body
        verdict = "ok  " if passed else "WRONG"
        text = body[:72].decode(errors="replace").replace("\n", " ")
        click.echo(
            f"{verdict} {sample_request.title:30} {response.status} {outcome:10} {text}"
        )
    return passed


async def _perform_job(session: aiohttp.ClientSession, url: str) -> bool:
    """Submit a review as a job, and fetch its answer from the job URL."""
    headers = {
        "Authorization": f"Bearer {DEMO_API_KEY}",
        "Prefer": "respond-async",
        "X-Priority": "deferred",
    }
    body = _chat("drafting", "Review the ledger by tomorrow.")
    async with session.post(url + CHAT, json=body, headers=headers) as response:
        address = response.headers.get("Location", "")
        accepted = response.status == 202
    verdict = "ok  " if accepted else "WRONG"
    click.echo(f"{verdict} {'leave a review for later':30} {response.status} {address}")
    outcome = ""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while accepted and outcome not in ("completed", "unknown"):
            await asyncio.sleep(POLL_INTERVAL_S)
            async with session.get(url + address, headers=headers) as response:
                outcome = response.headers.get("X-Outcome", "")
    verdict = "ok  " if outcome == "completed" else "WRONG"
    click.echo(f"{verdict} {'fetch its answer':30} {response.status} {outcome}")
    return outcome == "completed"


async def _show_counters(
    session: aiohttp.ClientSession, deployment: DemoDeployment
) -> None:
    async with session.get(deployment.urls["admin"] + "/metrics") as response:
        text = await response.text()
    click.echo("\ncounters:")
    for line in text.splitlines():
        if line.startswith(("wisterialoom_requests_total", "wisterialoom_refusals")):
            click.echo(f"  {line}")


def _check_records(deployment: DemoDeployment) -> bool:
    runs = [run for run in deployment.service.record.runs if run.run_once]
    violations = [x for engine in deployment.engines for x in engine.memory.violations]
    click.echo(f"\nthe registry ran {len(runs)} registration (1 is right)")
    click.echo(f"the engines saw {len(violations)} memory overcommitments (0 is right)")
    return len(runs) == 1 and not violations


async def _run_sample(deployment: DemoDeployment) -> bool:
    await _wait_until_ready(deployment)
    async with aiohttp.ClientSession() as session:
        results = [
            await _perform(session, deployment.urls["callers"], sample_request)
            for sample_request in SAMPLE_REQUESTS
        ]
        results.append(await _perform_job(session, deployment.urls["callers"]))
        await _show_counters(session, deployment)
    return all(results) and _check_records(deployment)


async def _run(*, serve: bool) -> bool:
    async with open_demo() as deployment:
        passed = await _run_sample(deployment)
        if serve:
            click.echo("\nserving; end with Ctrl-C")
            for name, url in deployment.urls.items():
                click.echo(f"  {name:10} {url}")
            click.echo(f"  API key    {DEMO_API_KEY}")
            await asyncio.Event().wait()
        return passed


def run(*, serve: bool = False) -> int:
    """Run the demo.

    Args:
        serve: Keep running afterwards, and print the URLs.

    Returns:
        Exit code: 0 only if all answers and records were as expected.
    """
    try:
        passed = uvloop.run(_run(serve=serve))
    except KeyboardInterrupt:
        return 0
    return 0 if passed else 1
