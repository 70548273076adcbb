"""A stand-in for a model engine behind HTTP.

| call | answer |
| --- | --- |
| `POST /v1/chat/completions`, `/v1/completions` | OpenAI form, streamed or whole |
| `POST /orders` | 200 with the state, or 409 with reason and state |
| `GET /state` | the state, which may lag |
| `GET /cache_events?after=N` | changes of the prefix cache, late and with gaps |
| `POST /faults` | set any of `EngineFault`'s attributes |
| `GET /records` | what ran, what ran twice, memory overcommitted |

An answer's text is a function of the request (`answer.answer_text`). A request
with `X-Resumable: 1` goes on when its connection breaks; the same request id with
`X-Resume-From: N` gets the stream from token N on.
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
UNFROZEN_PATHS = frozenset({"/faults", "/records"})


async def _full_speed(load_s: float, adapter: bool) -> float:
    del adapter
    return load_s


class EngineApp:
    """The engine's HTTP application.

    Attributes:
        settings: What the engine is.
        fault: Faults in force.
        memory: What it holds.
        batch: Its batch, queue and caches.
        orders: Carries out orders.
        completions: Answers completions.
        record: What ran.
        app: The application to serve.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        load_time: Callable[[float, bool], Awaitable[float]] = _full_speed,
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
            middlewares=[self._freezer()], client_max_size=MAX_BODY_BYTES
        )
        self.app.on_response_prepare.append(self._mark_leaving)
        self.app.on_cleanup.append(self._clean_up)
        self.app.add_routes(
            [
                web.post("/v1/chat/completions", self.completions.complete),
                web.post("/v1/completions", self.completions.complete),
                web.post("/orders", self.take_order),
                web.get("/state", self.tell_state),
                web.get("/cache_events", self.tell_cache_events),
                web.post("/faults", self.fault.answer),
                web.get("/records", self.tell_records),
            ]
        )

    def _freezer(self) -> Middleware:
        @web.middleware
        async def wait(request: web.Request, handler: Handler) -> web.StreamResponse:
            while self.fault.frozen and request.path not in UNFROZEN_PATHS:
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
        """Requests that are being answered."""
        return len(self.completions.generations)

    # Orders and state.

    async def take_order(self, request: web.Request) -> web.Response:
        """Carry out an order; answer when it is done."""
        order = decode_order(await request.read())
        if self.fault.take("lose_orders"):
            return abort(request)
        drop = self.fault.take("drop_order_answers")
        status, item = await asyncio.shield(self.orders.begin(order))
        if drop:
            return abort(request)
        return json_response(item, status)

    async def tell_state(self, request: web.Request) -> web.Response:
        """Answer with the state."""
        return json_response(state_to_json(self.orders.told_state()))

    async def tell_cache_events(self, request: web.Request) -> web.Response:
        """Answer with changes of the prefix cache."""
        after = int(request.query.get("after", "0"))
        until = asyncio.get_running_loop().time() - self.fault.cache_lag_s
        every = self.fault.cache_gap_every
        told = [
            {
                "serial": event.serial,
                "stored": event.stored,
                "model": event.model,
                "prefix_hash": event.prefix_hash,
            }
            for event in self.batch.cache.events
            if event.serial > after
            and event.at <= until
            and not (every and event.serial % every == 0)
        ]
        return json_response({"events": told})

    async def tell_records(self, request: web.Request) -> web.Response:
        """Answer with what ran and what went wrong."""
        item = self.record.to_json()
        item["violations"] = self.memory.violations
        item["moves"] = self.memory.moves
        return json_response(item)
