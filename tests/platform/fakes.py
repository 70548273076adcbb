"""Fakes of the platform's services: its store, a model server and a plain server."""

from __future__ import annotations

import asyncio
import copy
import itertools
import os
import time
from dataclasses import dataclass, field
from typing import Any, TYPE_CHECKING

import orjson
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping


MAX_PAGE_BYTES = 1_000_000
"""Size of a page of a list, unless a single object is larger."""


@dataclass(frozen=True)
class StoreCopy:
    """Contents of a store at one moment.

    Attributes:
        revision: Revision of the last change.
        objects: Objects by kind and name.
        outside_writes: Number of writes of the operator and of servers until then.
    """

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    outside_writes: int


class FakeStore:
    """Object store with one revision counter, conditional writes and watches.

    Attributes:
        era: Value of `Store-Era` in all answers, or `None` if there is none.
        outside_writes: Kind, name and contents of what the operator and servers wrote;
            `None` instead of contents for what they removed.
        revision: Revision of the last change.
        objects: Objects by kind and name.
        history: Revision, kind, object and removal flag of each change.
        oldest: Oldest revision that a watch can start from.
        mode: `ok`, `down` (answers 503), `silent` (never answers), `late` (answers
            after `late_s`), `past` (lists and watches as of `past_revision`), `cut`
            (closes connections), or `lose` (makes writes but does not answer them).
        late_s: Delay of answers in the mode `late`.
        past_revision: Revision that lists and watches show in the mode `past`.
        door_modes: Mode for the calls to one address, which `open_door` returned.
        list_delay_s: Time that each list call takes.
        before_page: Called before each page of a list with the name that it follows.
        calls: Number of calls by method and kind.
        watching: Watches that wait.
    """

    def __init__(self, era: str | None = "1") -> None:
        self.era = era
        self.outside_writes: list[tuple[str, str, Any]] = []
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.oldest = 0
        self.changed = asyncio.Condition()
        self.mode = "ok"
        self.late_s = 0.0
        self.past_revision = 0
        self.door_modes: dict[str, str] = {}
        self.door_runners: list[web.AppRunner] = []
        self.list_delay_s = 0.0
        self.before_page: Callable[[str], Awaitable[None]] | None = None
        self.calls: dict[str, int] = {}
        self.watching: list[web.Request] = []
        self.address = ""
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        self.runner, self.address = await serve(self.make_app())

    async def open_door(self) -> str:
        """Serve the store at one more address, and return it."""
        runner, address = await serve(self.make_app())
        self.door_runners.append(runner)
        return address

    def make_app(self) -> web.Application:
        app = web.Application()
        app.on_response_prepare.append(self.add_era)
        app.router.add_route("*", "/v1/objects/{kind}", self.on_kind)
        app.router.add_route("*", "/v1/objects/{kind}/{name}", self.on_object)
        return app

    async def stop(self) -> None:
        assert self.runner is not None
        for runner in (self.runner, *self.door_runners):
            await runner.cleanup()

    def mode_for(self, request: web.Request) -> str:
        """Return the mode for the address that a call was made to."""
        assert request.transport is not None
        host, port = request.transport.get_extra_info("sockname")[:2]
        return self.door_modes.get(f"{host}:{port}", self.mode)

    async def add_era(self, _: web.Request, response: web.StreamResponse) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = self.era

    def copy(self) -> StoreCopy:
        """Return a copy to restore from."""
        return StoreCopy(
            self.revision, copy.deepcopy(self.objects), len(self.outside_writes)
        )

    async def restore(self, from_copy: StoreCopy) -> list[tuple[str, str, Any]]:
        """Go back to a copy, of which revisions are assigned again.

        Returns:
            What the operator and servers wrote since then.
        """
        async with self.changed:
            self.era = str(int(self.era or "0") + 1)
            self.revision = from_copy.revision
            self.objects = copy.deepcopy(from_copy.objects)
            self.history.clear()
            self.oldest = self.revision
            lost = self.outside_writes[from_copy.outside_writes :]
            del self.outside_writes[from_copy.outside_writes :]
            self.changed.notify_all()
        return lost

    async def write_again(self, lost: list[tuple[str, str, Any]]) -> None:
        """Write what the operator and servers had written, as they do themselves."""
        for kind, name, spec in lost:
            if spec is not None:
                await self.put(kind, name, spec)
            else:
                await self.remove(kind, name)

    async def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object, as the operator or a server does."""
        self.outside_writes.append((kind, name, spec))
        return await self.change(kind, name, spec)

    async def change(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        async with self.changed:
            self.revision += 1
            old = self.objects.setdefault(kind, {}).get(name)
            created = old["metadata"]["createRevision"] if old else self.revision
            meta: dict[str, Any] = {
                "name": name,
                "revision": self.revision,
                "createRevision": created,
                "finalizers": [],
                "deleting": False,
            }
            item = {"metadata": meta, "spec": spec, "status": None}
            self.objects[kind][name] = item
            self.history.append((self.revision, kind, item, False))
            self.changed.notify_all()
            return item

    async def remove(self, kind: str, name: str) -> None:
        self.outside_writes.append((kind, name, None))
        async with self.changed:
            item = self.objects.get(kind, {}).pop(name, None)
            if item is None:
                return
            self.revision += 1
            self.history.append((self.revision, kind, item, True))
            self.changed.notify_all()

    async def forget_history(self) -> None:
        async with self.changed:
            self.oldest = self.revision + 1
            self.history.clear()
            self.revision += 1
            self.changed.notify_all()

    async def cut_watches(self) -> None:
        """Close the connections of all watches that wait."""
        while self.watching:
            transport = self.watching.pop().transport
            assert transport is not None
            transport.close()

    async def fail_by_mode(self, request: web.Request) -> web.Response | None:
        mode = self.mode_for(request)
        if mode == "down":
            return web.Response(status=503)
        if mode == "late":
            await asyncio.sleep(self.late_s)
        if mode == "cut":
            assert request.transport is not None
            request.transport.close()
        if mode in ("cut", "silent"):
            await asyncio.sleep(3600)
        return None

    async def on_kind(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info["kind"]
        watch = request.query.get("watch")
        name = f"{request.method} {kind}" + ("?watch" if watch else "")
        self.calls[name] = self.calls.get(name, 0) + 1
        failure = await self.fail_by_mode(request)
        if failure is not None:
            return failure
        if request.method == "POST":
            body = orjson.loads(await request.read())
            object_name = body["metadata"]["name"]
            current = self.objects.get(kind, {}).get(object_name)
            if current is not None:
                return answer(current, 409)
            return await self.write(kind, object_name, body["spec"], request)
        if watch is not None:
            wait_s = int(request.query.get("waitMs", "0")) / 1e3
            return await self.watch(kind, int(watch), wait_s, request)
        if self.before_page is not None:
            await self.before_page(request.query.get("after", ""))
        if self.mode_for(request) == "past":
            return answer({"items": [], "truncated": False, "at": self.past_revision})
        items = [
            item
            for name, item in sorted(self.objects.get(kind, {}).items())
            if name > request.query.get("after", "")
        ]
        await asyncio.sleep(self.list_delay_s)
        page = items[:50]
        while len(page) > 1 and len(orjson.dumps(page)) > MAX_PAGE_BYTES:
            page = page[: len(page) // 2]
        truncated = len(items) > len(page)
        return answer({"items": page, "truncated": truncated, "at": self.revision})

    async def watch(
        self, kind: str, since: int, wait_s: float, request: web.Request
    ) -> web.Response:
        def events() -> list[dict[str, Any]]:
            return [
                {"removed": removed, "object": item}
                for revision, of_kind, item, removed in self.history
                if revision > since and of_kind == kind
            ]

        async with self.changed:
            try:
                if wait_s:
                    self.watching.append(request)
                async with asyncio.timeout(wait_s):
                    while not events() and self.oldest <= since <= self.revision:
                        await self.changed.wait()
            except TimeoutError:
                pass
            finally:
                self.watching[:] = [x for x in self.watching if x is not request]
        failure = await self.fail_by_mode(request)
        if failure is not None:
            return failure
        if self.mode_for(request) == "past":
            return answer({"events": [], "at": self.past_revision})
        if since < self.oldest or since > self.revision:
            return web.Response(status=410)
        return answer({"events": events(), "at": self.revision})

    async def on_object(self, request: web.Request) -> web.StreamResponse:
        kind, name = request.match_info["kind"], request.match_info["name"]
        key = f"{request.method} {kind}"
        self.calls[key] = self.calls.get(key, 0) + 1
        failure = await self.fail_by_mode(request)
        if failure is not None:
            return failure
        current = self.objects.get(kind, {}).get(name)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return web.Response(status=200)
        if current is None:
            return web.Response(status=404)
        if request.method == "GET":
            return answer(current)
        body = orjson.loads(await request.read())
        expected = body["metadata"].get("revision")
        if expected is not None and expected != current["metadata"]["revision"]:
            return answer(current, 409)
        return await self.write(kind, name, body["spec"], request)

    async def write(
        self, kind: str, name: str, spec: Any, request: web.Request
    ) -> web.StreamResponse:
        item = await self.change(kind, name, spec)
        if self.mode == "lose":
            assert request.transport is not None
            request.transport.close()
            await asyncio.sleep(3600)
        return answer(item)


@dataclass
class FakeModelServer:
    """Model server with orders, reports and streams of numbered events.

    Attributes:
        events: Number of events in each stream.
        step_s: Time between events.
        load_s: Time that loading a model takes.
        break_after: Number of events after which streams are cut, if set.
        pause_after: Number of events after which streams stall, if set.
        refuse_all: Whether each request is answered as not executed.
        notices: Headers that the server adds to all its answers.
        runs: Ids of the requests whose execution started.
        seen: Headers of the received requests.
        orders: Bodies of the received orders.
        reports: Number of reports that were read.
        running: Number of streams in progress.
        version: Version of the software; events name it.
    """

    server_id: str
    service: str = "scribe"
    version: str = "v1"
    zone: str = "zone-a"
    slots: int = 8
    events: int = 5
    step_s: float = 0.005
    load_s: float = 0.05
    break_after: int | None = None
    pause_after: int | None = None
    status: int = 200
    refuse_all: bool = False
    notices: dict[str, str] = field(default_factory=dict)
    models: dict[str, list[str]] = field(default_factory=dict)
    sequence: int = 0
    fence: int = 0
    busy: bool = False
    runs: list[str] = field(default_factory=list)
    seen: list[Mapping[str, str]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    reports: int = 0
    address: str = ""
    running: int = 0

    async def start(self) -> None:
        app = web.Application()
        app.router.add_post("/v1/order", self.on_order)
        app.router.add_get("/v1/report", self.on_report)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        self.runner, self.address = await serve(app)

    async def stop(self) -> None:
        await self.runner.cleanup()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "models": self.model_list(),
            "sequence": self.sequence,
            "born": 1,
        }

    def event(self, number: int) -> bytes:
        return b"id: %d\ndata: %d\n\n" % (number, number)

    def record_run(self, request_id: str) -> None:
        self.runs.append(request_id)

    def model_list(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": adapters}
            for name, adapters in self.models.items()
        ]

    async def on_report(self, request: web.Request) -> web.Response:
        if request.headers["Expect-Instance"] != self.server_id:
            return web.Response(status=421, headers={"Instance-Id": self.server_id})
        self.reports += 1
        response = answer(
            {
                "stage": "colocated",
                "models": self.model_list(),
                "busy": self.busy,
                "sequence": self.sequence,
                "waiting": 0,
                "running": self.running,
                "born": 1,
            }
        )
        response.headers.update(self.notices)
        return response

    async def on_order(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        self.orders.append(body)
        if self.fence > body["fence"]:
            return web.Response(status=412)
        self.fence = body["fence"]
        if self.busy or body.get("expected", self.sequence) != self.sequence:
            return web.Response(status=409)
        self.sequence += 1
        model, adapter = body["model"], body.get("adapter")
        load = body["operation"] == "model_load"
        if adapter:
            adapters = self.models[model]
            adapters.append(adapter) if load else adapters.remove(adapter)
            return web.Response(status=202 if load else 200)
        if not load:
            self.models.pop(model, None)
            return web.Response(status=202)
        self.busy = True
        asyncio.get_running_loop().call_later(self.load_s, self.finish_load, model)
        return web.Response(status=202)

    def finish_load(self, model: str) -> None:
        self.busy = False
        self.models[model] = []

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        headers = request.headers
        self.seen.append(headers)
        request_id = headers["Attempt-Id"]
        common = {
            "Attempt-Id": request_id,
            "Server-Load": f"{self.running},0,8",
            **self.notices,
        }
        if headers["Expect-Instance"] != self.server_id:
            return web.Response(status=421, headers={"Instance-Id": self.server_id})
        model, _, adapter = headers["Model"].partition("/")
        if model not in self.models or (adapter and adapter not in self.models[model]):
            return web.Response(status=421, headers=common)
        if self.refuse_all:
            common["Not-Executed"] = "1"
            return web.Response(status=503, headers=common)
        self.record_run(request_id)
        if self.status != 200:
            return web.Response(status=self.status, headers=common)
        response = web.StreamResponse(
            headers={
                **common,
                "Response-Stamp": f"{self.server_id}.{request_id}",
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        first = int(headers.get("Last-Event-Id", "0")) + 1
        self.running += 1
        try:
            for number in range(first, self.events + 1):
                if self.break_after is not None and number > self.break_after:
                    await response.write(b"id: %d\nda" % number)
                    assert request.transport is not None
                    request.transport.close()
                    return response
                if self.pause_after is not None and number > self.pause_after:
                    await asyncio.sleep(3600)
                await response.write(self.event(number))
                await asyncio.sleep(self.step_s)
        finally:
            self.running -= 1
        return response


@dataclass
class FakePlainServer:
    """Plain server without models.

    Attributes:
        status: Status of the answers.
        refuse_all: Whether each request is answered as not executed.
        refuse_after_s: Time after which a refusal is sent.
        refused_at: Monotonic time of each refusal.
        hang: Whether requests are read but never answered.
        break_at: Number of bytes after which a longer answer is cut, if set.
        notices: Headers that the server adds to all its answers.
        runs: Ids of the requests whose execution started.
        seen: Headers of the received requests.
        seen_at: Monotonic time of the arrival of each request.
        bodies: Received request bodies.
    """

    server_id: str
    service: str = "registry"
    zone: str = "zone-a"
    status: int = 200
    refuse_all: bool = False
    refuse_after_s: float = 0.0
    refused_at: list[float] = field(default_factory=list)
    seen_at: list[float] = field(default_factory=list)
    notices: dict[str, str] = field(default_factory=dict)
    hang: bool = False
    break_at: int | None = None
    runs: list[str] = field(default_factory=list)
    seen: list[Mapping[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    address: str = ""

    async def start(self) -> None:
        app = web.Application(client_max_size=8_000_000)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        self.runner, self.address = await serve(app)

    async def stop(self) -> None:
        await self.runner.cleanup()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }

    def record_run(self, request_id: str) -> None:
        self.runs.append(request_id)

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        headers = request.headers
        self.seen.append(headers)
        self.seen_at.append(time.monotonic())
        common = {"Attempt-Id": headers["Attempt-Id"], **self.notices}
        if self.refuse_all:
            await asyncio.sleep(self.refuse_after_s)
            self.refused_at.append(time.monotonic())
            return web.Response(status=503, headers={**common, "Not-Executed": "1"})
        self.record_run(headers["Attempt-Id"])
        self.bodies.append(await request.read())
        if self.hang:
            await asyncio.sleep(3600)
        if self.break_at is not None:
            long = web.StreamResponse(headers=common)
            long.content_length = 2 * self.break_at
            await long.prepare(request)
            await long.write(b"x" * self.break_at)
            assert request.transport is not None
            request.transport.close()
            return long
        return web.Response(
            status=self.status,
            headers={**common, "Response-Stamp": f"stamp.{self.server_id}"},
            body=f"{request.method} {request.raw_path}".encode(),
        )


def answer(item: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=orjson.dumps(item), content_type="application/json"
    )


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    """Serve on an ephemeral port of a loopback address of this process alone.

    An instance of another process may still call the port of a server that has ended,
    which the system then gives to the next one.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        shutdown_timeout=0.1,
        max_field_size=65_536,
        max_line_size=65_536,
        max_headers=16_384,
        auto_decompress=False,
    )
    await runner.setup()
    host = f"{own_block()}.255"
    site = web.TCPSite(runner, host, 0)
    await site.start()
    port = runner.addresses[0][1]
    return runner, f"{host}:{port}"


def own_block() -> str:
    """Return the first three numbers of the loopback addresses of this process."""
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{pid // 250 % 250}"


FRONT_PORT, READY_PORT, METRICS_PORT, PEER_PORT = 20001, 20002, 20003, 20004
"""Ports outside the ephemeral range for an instance with an address of its own."""

BLOCK_NUMBERS = itertools.count()
BLOCK_SIZE = 8
"""Number of addresses in a block."""


def addresses() -> list[str]:
    """Return loopback addresses that no other test and no other process uses.

    All instances use the same datagram port, so each needs its own address. A port that
    is free on one address may be in use on another.
    """
    start = 1 + next(BLOCK_NUMBERS) % 30 * BLOCK_SIZE
    block = own_block()
    return [f"{block}.{start + number}" for number in range(BLOCK_SIZE)]


def config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with streaming, unsafe and safe routes."""
    model = {
        "weightsMb": 70000.0,
        "loadTimeS": 0.05,
        "adapters": 4,
        "adapterMb": 50.0,
        "warmS": 0.05,
        "diskS": 0.05,
    }
    spec = {
        "version": version,
        "routes": [
            route("draft", "streaming", "scribe", resumable=True, maxAttempts=2),
            route("once", "streaming", "scribe", resumable=False, maxAttempts=1),
            route("deposit", "unsafe", "registry", maxAttempts=1),
            route("look", "safe", "registry", maxAttempts=2),
        ],
        "services": [
            {
                "name": "scribe",
                "healthPath": "/health",
                "maxConnections": 100,
                "engine": {
                    "slots": 8,
                    "kvCapacity": 10000,
                    "models": [{"name": f"m{index}", **model} for index in range(5)],
                    "weightsMb": 220000.0,
                    "adapterSlots": 2,
                    "loadsPerS": 50.0,
                },
            },
            {"name": "registry", "healthPath": "/health", "maxConnections": 100},
        ],
        "limits": {"maxBodyBytes": 4194304, "idleTimeoutMs": 15000},
    }
    return {**spec, **changes}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "desk.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 300,
        "priority": 0,
        "service": service,
        **more,
    }
