"""HTTP emulator of a model engine.

| request | response |
| --- | --- |
| `POST /v1/chat/completions`, `/v1/completions` | OpenAI format, streamed or not |
| `POST /orders` | 200 with the state, or 409 with reason and state |
| `GET /state` | the state, possibly stale |
| `GET /cache_events?after=N` | prefix cache changes, delayed and with gaps |
| `POST /faults` | sets attributes of `EngineFault` |
| `GET /records` | requests that ran, repeated runs, memory overcommitments |

The generated text depends only on the request (see `answer.answer_text`). A request
with `X-Resumable: 1` continues to run when its connection breaks. A later request
with the same request id and `X-Resume-From: N` receives the stream from token N on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from wisterialoom.engine.codec import decode_order, state_to_json
from wisterialoom.standin.completions import Completions
from wisterialoom.standin.engine_batch import EngineBatch
from wisterialoom.standin.engine_fault import EngineFault, EngineSettings
from wisterialoom.standin.engine_memory import EngineMemory
from wisterialoom.standin.engine_orders import EngineOrders
from wisterialoom.standin.fault_switch import abort, json_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.typedefs import Handler, Middleware


__all__ = ["EngineApp"]

MAX_BODY_BYTES = 16_000_000
FROZEN_POLL_S = 0.01
PATHS_SERVED_WHILE_FROZEN = frozenset({"/faults", "/records"})


async def _full_speed_load_time(load_s: float, adapter: bool) -> float:
    del adapter
    return load_s


class EngineApp:
    """HTTP application of an emulated engine.

    Attributes:
        settings: Fixed properties of the engine.
        fault: Faults in force.
        memory: Accelerator memory with the resident models and adapters.
        batch: Batch, queue and prefix cache.
        orders: Executes orders.
        completions: Serves completions.
        record: Record of the requests that ran.
        app: The aiohttp application.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        load_time: Callable[[float, bool], Awaitable[float]] = _full_speed_load_time,
    ) -> None:
        self.settings = settings or EngineSettings()
        self.fault = EngineFault()
        self.memory = EngineMemory(
            self.settings.memory_mb,
            checks_fencing=self.settings.checks_fencing,
            incarnation=self.settings.incarnation,
        )
        self.batch = EngineBatch(self.settings.batch)
        self.orders = EngineOrders(
            self.settings, self.memory, self.batch, self.fault, load_time
        )
        self.completions = Completions(self.orders)
        self.record = self.completions.record
        self.app = web.Application(
            middlewares=[self._freeze_middleware()], client_max_size=MAX_BODY_BYTES
        )
        self.app.on_response_prepare.append(self._mark_leaving)
        self.app.on_cleanup.append(self._clean_up)
        self.app.add_routes(
            [
                web.post("/v1/chat/completions", self.completions.complete),
                web.post("/v1/completions", self.completions.complete),
                web.post("/orders", self.handle_order),
                web.get("/state", self.read_state),
                web.get("/cache_events", self.read_cache_events),
                web.post("/faults", self.fault.handle_post),
                web.get("/records", self.read_records),
            ]
        )

    def _freeze_middleware(self) -> Middleware:
        @web.middleware
        async def wait(request: web.Request, handler: Handler) -> web.StreamResponse:
            while self.fault.frozen and request.path not in PATHS_SERVED_WHILE_FROZEN:
                await asyncio.sleep(FROZEN_POLL_S)
            return await handler(request)

        return wait

    async def _mark_leaving(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.fault.leaving:
            response.headers["X-Leaving"] = "1"

    async def _clean_up(self, app: web.Application) -> None:
        await self.completions.stop()
        await self.orders.stop()

    @property
    def in_progress(self) -> int:
        """Number of responses in progress."""
        return len(self.completions.generations)

    # Orders and state.

    async def handle_order(self, request: web.Request) -> web.Response:
        """Execute an order; respond once it has completed."""
        order = decode_order(await request.read())
        if self.fault.consume("lose_orders"):
            return abort(request)
        drop = self.fault.consume("drop_order_answers")
        status, item = await asyncio.shield(self.orders.begin(order))
        if drop:
            return abort(request)
        return json_response(item, status)

    async def read_state(self, request: web.Request) -> web.Response:
        """Respond with the reported state of the engine."""
        return json_response(state_to_json(self.orders.reported_state()))

    async def read_cache_events(self, request: web.Request) -> web.Response:
        """Respond with the changes of the prefix cache."""
        after = int(request.query.get("after", "0"))
        newest_at = asyncio.get_running_loop().time() - self.fault.cache_lag_s
        gap_every = self.fault.cache_gap_every
        reported = [
            {
                "serial": event.serial,
                "stored": event.stored,
                "model": event.model,
                "prefix_hash": event.prefix_hash,
            }
            for event in self.batch.cache.events
            if event.serial > after
            and event.at <= newest_at
            and not (gap_every and event.serial % gap_every == 0)
        ]
        return json_response({"events": reported})

    async def read_records(self, request: web.Request) -> web.Response:
        """Respond with the requests that ran and the violations found."""
        item = self.record.to_json()
        item["violations"] = self.memory.violations
        item["moves"] = self.memory.moves
        return json_response(item)
