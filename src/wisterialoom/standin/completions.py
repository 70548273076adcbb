"""Completions of a stand-in engine, streamed or whole."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from aiohttp import web

from wisterialoom.http.intake import BadRequestError, read_request
from wisterialoom.standin.answer import Answer, STREAM_END
from wisterialoom.standin.batch_clock import BatchClock
from wisterialoom.standin.engine_batch import Job, JobTooLargeError
from wisterialoom.standin.fault_switch import abort, json_response
from wisterialoom.standin.generation import Generation
from wisterialoom.standin.run_record import REQUEST_ID_HEADER, RunRecord

if TYPE_CHECKING:
    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.requests.request import Request
    from wisterialoom.standin.engine_orders import EngineOrders
    from wisterialoom.standin.run_record import Run

__all__ = ["Completions"]


class Completions:
    """Answers completions from what is resident.

    Attributes:
        orders: Holds the memory, the batch and the faults.
        record: What ran.
        generations: Requests that are being answered, by job id.
    """

    def __init__(self, orders: EngineOrders) -> None:
        self.orders = orders
        self.memory = orders.memory
        self.batch = orders.batch
        self.fault = orders.fault
        self.clock = BatchClock(orders.batch)
        self.record = RunRecord()
        self.generations: dict[str, Generation] = {}
        self.serials = itertools.count()

    async def stop(self) -> None:
        """Stop every answer in progress."""
        for generation in tuple(self.generations.values()):
            await generation.stop()

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
        return self.record.begin(now, target, request.headers, body)

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
