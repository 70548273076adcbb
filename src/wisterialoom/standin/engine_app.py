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
import itertools
from typing import TYPE_CHECKING

from aiohttp import web

from wisterialoom.engine.codec import decode_order, state_to_json
from wisterialoom.http.intake import BadRequestError, read_request
from wisterialoom.standin.answer import Answer, STREAM_END
from wisterialoom.standin.batch_clock import BatchClock
from wisterialoom.standin.engine_batch import EngineBatch, Job, JobTooLargeError
from wisterialoom.standin.engine_fault import EngineFault, EngineSettings
from wisterialoom.standin.engine_memory import EngineMemory
from wisterialoom.standin.engine_orders import EngineOrders
from wisterialoom.standin.fault_switch import abort, json_response
from wisterialoom.standin.generation import Generation
from wisterialoom.standin.run_record import REQUEST_ID_HEADER, RunRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.typedefs import Handler, Middleware

    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.request import Request
    from wisterialoom.standin.run_record import Run

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
        records: What ran.
        generations: Requests that are being answered, by request id.
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
        self.clock = BatchClock(self.batch)
        self.orders = EngineOrders(
            self.settings, self.memory, self.batch, self.fault, load_time
        )
        self.records = RunRecord()
        self.generations: dict[str, Generation] = {}
        self.serials = itertools.count()
        self.app = web.Application(
            middlewares=[self._freezer()], client_max_size=MAX_BODY_BYTES
        )
        self.app.on_response_prepare.append(self._mark_leaving)
        self.app.on_cleanup.append(self._clean_up)
        self.app.add_routes(
            [
                web.post("/v1/chat/completions", self.complete),
                web.post("/v1/completions", self.complete),
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
        for generation in tuple(self.generations.values()):
            await generation.stop()
        await self.orders.stop()

    @property
    def in_progress(self) -> int:
        """Requests that are being answered."""
        return len(self.generations)

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
        item = self.records.to_json()
        item["violations"] = self.memory.violations
        item["moves"] = self.memory.moves
        return json_response(item)

    # Completions.

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer a completion, streamed or whole."""
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if "X-Resume-From" in request.headers:
            return await self._resume(request, request_id)
        try:
            intake = await read_request(request, request_id)
        except BadRequestError as error:
            return _refusal(400, "bad_request", str(error))
        if self.fault.leaving:
            return _refusal(503, "leaving", "the engine is leaving: use another")
        keys = self.memory.find(intake.request.model)
        if not keys:
            message = f"{intake.request.model} is not resident: load it first"
            return _refusal(409, "not_resident", message)
        if self.fault.take("drop_requests"):
            return abort(request)
        try:
            generation = self._begin(request, intake.request, intake.body, keys)
        except JobTooLargeError as error:
            return _refusal(400, "too_large", str(error))
        return await self._answer(request, generation, stream=intake.request.stream)

    def _begin(
        self,
        request: web.Request,
        known: Request,
        body: bytes,
        keys: tuple[ModelKey, ...],
    ) -> Generation:
        answer = Answer(
            known.request_id,
            body,
            known.model,
            chat=request.path.endswith("/chat/completions"),
            prompt_tokens=known.prompt_tokens,
            output_tokens=known.max_tokens,
        )
        job = Job(
            job_id=f"{known.request_id}#{next(self.serials)}",
            model=known.model,
            prompt_tokens=known.prompt_tokens,
            output_tokens=known.max_tokens,
            priority=_priority(request),
            prefix_hashes=known.prefix_hashes,
        )
        self.batch.check(job)
        run = self._record_run(request, body)
        generation = Generation(self.clock, job, answer)
        self.generations[job.job_id] = generation
        self.memory.hold(keys)
        self.orders.remember()
        generation.start(lambda: self._end(generation, keys, run))
        return generation

    def _record_run(self, request: web.Request, body: bytes) -> Run:
        now = asyncio.get_running_loop().time()
        target = f"{request.method} {request.path_qs}"
        return self.records.begin(now, target, request.headers, body)

    def _end(
        self, generation: Generation, keys: tuple[ModelKey, ...], run: Run
    ) -> None:
        run.ended = "done" if generation.whole else "cancelled"
        self.memory.release(keys)
        self.generations.pop(generation.job.job_id, None)
        self.orders.remember()

    async def _resume(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        for generation in self.generations.values():
            if generation.answer.request_id == request_id:
                after = int(request.headers["X-Resume-From"])
                return await self._stream(request, generation, after)
        return _refusal(409, "not_in_progress", f"{request_id} is not in progress")

    async def _answer(
        self, request: web.Request, generation: Generation, *, stream: bool
    ) -> web.StreamResponse:
        try:
            await asyncio.sleep(self.fault.late_answers_s)
            if stream:
                return await self._stream(request, generation, 0)
            return await self._whole(request, generation)
        finally:
            if "X-Resumable" not in request.headers:
                await generation.stop()

    async def _whole(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        await generation.wait_for(len(generation.answer.tokens))
        if self.fault.take("cut_answers"):
            return abort(request)
        headers = self._answer_headers(generation)
        return json_response(generation.answer.whole(), headers=headers)

    async def _stream(
        self, request: web.Request, generation: Generation, told: int
    ) -> web.StreamResponse:
        tokens = len(generation.answer.tokens)
        cut_at = tokens // 2 if self.fault.take("cut_answers") else tokens + 1
        response = web.StreamResponse(headers=self._answer_headers(generation))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        while told < tokens:
            count = await generation.wait_for(told + 1)
            for index in range(told, count):
                if index >= cut_at:
                    abort(request)
                    return response
                await response.write(generation.answer.chunk(index))
            told = count
        await response.write(generation.answer.usage_chunk())
        await response.write(STREAM_END)
        await response.write_eof()
        return response

    def _answer_headers(self, generation: Generation) -> dict[str, str]:
        request_id = generation.answer.request_id
        if self.fault.take("swap_ids"):
            request_id = f"not-{request_id}"
        return {REQUEST_ID_HEADER: request_id}


def _priority(request: web.Request) -> int:
    text = request.headers.get("X-Priority", "0")
    return int(text) if text.lstrip("-").isdigit() else 0


def _refusal(status: int, kind: str, message: str) -> web.Response:
    """Refuse a request that was not started."""
    return json_response(
        {"error": {"type": kind, "message": message}},
        status,
        headers={"X-Not-Started": "1"},
    )
