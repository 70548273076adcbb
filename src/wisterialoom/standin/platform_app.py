"""HTTP emulator of the platform: object API, instance list and weight store.

| request | response |
| --- | --- |
| `GET /objects/{key}` | 200 with `X-Version`, or 404 |
| `GET /objects/{key}?watch_after=N` | the same, once the version exceeds N |
| `PUT /objects/{key}` with `If-Match: "N"` | 200, or 412 with `X-Version` |
| `DELETE /objects/{key}` with `If-Match: "N"` | 200, or 412 with `X-Version` |
| `GET /objects?prefix=P` | the sorted keys |
| `GET /instances` | the instance list |
| `POST /instances` | `register`, `leaving` or `remove` one instance |
| `POST /weights` | begins a load of an engine; its duration in seconds |
| `POST /faults` | sets attributes of `PlatformFault` |
| `GET /records` | request counts |

Requests beyond the rate limits get 429. The limits and counts cover only the object
API and the instance list.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.core.object_store import (
    ABSENT,
    MAX_OBJECT_BYTES,
    ObjectTooLargeError,
    VersionConflictError,
)
from wisterialoom.object_api.client import VERSION_HEADER, WATCH_LIMIT_S
from wisterialoom.object_api.codec import encode_instances, instance_from_json
from wisterialoom.standin.fault_switch import abort, FaultSwitch, json_response
from wisterialoom.standin.instance_registry import InstanceRegistry
from wisterialoom.standin.object_store import ObjectStore
from wisterialoom.standin.rate import RateLimit
from wisterialoom.standin.weight_store import WeightStore

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler, Middleware

    from wisterialoom.core.object_store import StoredObject

__all__ = ["PlatformApp", "PlatformFault"]

READS_PER_S = 2_000.0
WRITES_PER_S = 400.0
UNCOUNTED_PATHS = frozenset({"/faults", "/records", "/weights"})


@dataclass
class PlatformFault(FaultSwitch):
    """Faults in force.

    Attributes:
        down: Whether every request gets 503 and has no effect.
        cut: Whether every connection is closed before the request has an effect.
        delay_s: Seconds until a request takes effect.
        lose_answers: Number of changes that take effect but whose connection is then
            closed without a response; -1 means always.
        lag_s: Delay in seconds until the instance list shows a change.
        freeze_instances: Whether the instance list stops changing.
    """

    down: bool = False
    cut: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lag_s: float = 0.0
    freeze_instances: bool = False


class PlatformApp:
    """HTTP application of the emulated platform.

    Attributes:
        store: The objects.
        registry: The instance list.
        fault: Faults in force.
        reads: Rate limit of reads; a watch counts as one read.
        writes: Rate limit of changes.
        weights: The weight store, which has its own limits.
        watchers: Futures of the requests that wait for a change, by object key.
        app: The aiohttp application.
    """

    def __init__(
        self,
        *,
        reads_per_s: float = READS_PER_S,
        writes_per_s: float = WRITES_PER_S,
        weights: WeightStore | None = None,
    ) -> None:
        self.store = ObjectStore()
        self.registry = InstanceRegistry()
        self.fault = PlatformFault()
        self.reads = RateLimit(reads_per_s)
        self.writes = RateLimit(writes_per_s)
        self.weights = weights or WeightStore()
        self.watchers: dict[str, set[asyncio.Future[None]]] = {}
        self.app = web.Application(
            middlewares=[self._middleware()], client_max_size=2 * MAX_OBJECT_BYTES
        )
        self.app.add_routes(
            [
                web.get("/objects", self.list_objects),
                web.get("/objects/{key:.+}", self.read_object),
                web.put("/objects/{key:.+}", self.write_object),
                web.delete("/objects/{key:.+}", self.delete_object),
                web.get("/instances", self.list_instances),
                web.post("/instances", self.change_instance),
                web.post("/weights", self.begin_load),
                web.post("/faults", self.fault.handle_post),
                web.get("/records", self.read_records),
            ]
        )

    def _middleware(self) -> Middleware:
        @web.middleware
        async def apply_limits_and_faults(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            if request.path in UNCOUNTED_PATHS:
                return await handler(request)
            return await self._apply_limits_and_faults(request, handler)

        return apply_limits_and_faults

    async def _apply_limits_and_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        rate = self.reads if request.method == "GET" else self.writes
        if not rate.try_acquire(now):
            return web.Response(status=429, headers={"Retry-After": "1"})
        if self.fault.cut:
            return abort(request)
        if self.fault.delay_s:
            await asyncio.sleep(self.fault.delay_s)
        if self.fault.down:
            return web.Response(status=503)
        response = await handler(request)
        changed = request.method != "GET" and response.status == 200
        if changed and self.fault.consume("lose_answers"):
            return abort(request)
        return response

    async def list_objects(self, request: web.Request) -> web.Response:
        """Respond with the keys that start with a prefix."""
        keys = self.store.list(request.query.get("prefix", ""))
        return json_response({"keys": keys})

    async def read_object(self, request: web.Request) -> web.Response:
        """Respond with an object, after waiting for a newer version if requested."""
        key = request.match_info["key"]
        after = request.query.get("watch_after")
        if after is not None and self.store.read(key).version <= int(after):
            await self._wait_for_change(key)
            if self.fault.down:
                return web.Response(status=503)
        stored = self.store.read(key)
        if request.headers.get("If-None-Match") == f'"{stored.version}"':
            return web.Response(status=304, headers=_version_headers(stored.version))
        return _object_response(stored)

    async def _wait_for_change(self, key: str) -> None:
        future = asyncio.get_running_loop().create_future()
        waiting = self.watchers.setdefault(key, set())
        waiting.add(future)
        try:
            await asyncio.wait_for(future, WATCH_LIMIT_S)
        except TimeoutError:
            pass
        finally:
            waiting.discard(future)

    def _wake_watchers(self, key: str) -> None:
        for future in self.watchers.pop(key, set()):
            if not future.done():
                future.set_result(None)

    async def write_object(self, request: web.Request) -> web.Response:
        """Write an object if it has the version given in `If-Match`."""
        key = request.match_info["key"]
        body = await request.read()
        try:
            stored = self.store.write(key, body, _expected_version(request))
        except VersionConflictError as error:
            return web.Response(status=412, headers=_version_headers(error.version))
        except ObjectTooLargeError as error:
            return web.Response(status=413, text=str(error))
        self._wake_watchers(key)
        return web.Response(headers=_version_headers(stored.version))

    async def delete_object(self, request: web.Request) -> web.Response:
        """Delete an object if it has the version given in `If-Match`."""
        key = request.match_info["key"]
        try:
            version = self.store.delete(key, _expected_version(request))
        except VersionConflictError as error:
            return web.Response(status=412, headers=_version_headers(error.version))
        self._wake_watchers(key)
        return web.Response(headers=_version_headers(version))

    async def list_instances(self, request: web.Request) -> web.Response:
        """Respond with the instance list."""
        self.registry.lag_s = self.fault.lag_s
        self.registry.frozen = self.fault.freeze_instances
        listing = self.registry.listing(asyncio.get_running_loop().time())
        return web.Response(
            body=encode_instances(listing), content_type="application/json"
        )

    async def change_instance(self, request: web.Request) -> web.Response:
        """Register an instance, mark it as leaving, or remove it."""
        now = asyncio.get_running_loop().time()
        match orjson.loads(await request.read()):
            case {"register": dict() as item}:
                self.registry.register(now, instance_from_json(item))
            case {"leaving": str() as name}:
                self.registry.mark_leaving(now, name)
            case {"remove": str() as name}:
                self.registry.remove(now, name)
            case _:
                return web.Response(status=400, text="send register, leaving or remove")
        return json_response({})

    async def begin_load(self, request: web.Request) -> web.Response:
        """Begin a load from the weight store; respond with its duration."""
        item = orjson.loads(await request.read())
        now = asyncio.get_running_loop().time()
        load_s = self.weights.begin(now, item["load_s"], adapter=item["adapter"])
        return json_response({"load_s": load_s})

    async def read_records(self, request: web.Request) -> web.Response:
        """Respond with request counts."""
        return json_response(
            {
                "reads": self.reads.allowed,
                "writes": self.writes.allowed,
                "refused": self.reads.refused + self.writes.refused,
                "watching": sum(len(items) for items in self.watchers.values()),
                "version": self.store.version,
                "loads": self.weights.loads,
                "adapter_loads": self.weights.adapter_loads,
            }
        )


def _version_headers(version: int) -> dict[str, str]:
    return {VERSION_HEADER: str(version)}


def _object_response(stored: StoredObject) -> web.Response:
    if stored.version == ABSENT:
        return web.Response(status=404)
    return web.Response(body=stored.body, headers=_version_headers(stored.version))


def _expected_version(request: web.Request) -> int:
    text = request.headers.get("If-Match", "").strip('"')
    if not text.isdigit():
        raise web.HTTPPreconditionRequired(text='send If-Match: "version"; 0 creates')
    return int(text)
