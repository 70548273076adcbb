"""Completion endpoints of an emulated engine, streamed or not."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from aiohttp import web

from wisterialoom.http.request_parser import BadRequestError, parse_request
from wisterialoom.standin.answer import Answer, STREAM_END
from wisterialoom.standin.batch_runner import BatchRunner
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
    """Serves completions with the resident models and adapters.

    Attributes:
        orders: Order handler; also gives access to memory, batch and faults.
        memory: Accelerator memory of the engine.
        batch: Batch of the engine.
        fault: Faults in force.
        batch_runner: Advances the batch on the clock of the event loop.
        record: Record of the requests that ran.
        generations: Responses in progress, by job id.
        serials: Numbers that make job ids unique when a request id is reused.
    """

    def __init__(self, orders: EngineOrders) -> None:
        self.orders = orders
        self.memory = orders.memory
        self.batch = orders.batch
        self.fault = orders.fault
        self.batch_runner = BatchRunner(orders.batch)
        self.record = RunRecord()
        self.generations: dict[str, Generation] = {}
        self.serials = itertools.count()

    async def stop(self) -> None:
        """Stop every response in progress."""
        for generation in tuple(self.generations.values()):
            await generation.stop()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Handle a completion request, streamed or not."""
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if "X-Resume-From" in request.headers:
            return await self._resume(request, request_id)
        try:
            incoming = parse_request(request, request_id, await request.read())
        except BadRequestError as error:
            return _error_response(400, "bad_request", str(error))
        if self.fault.leaving:
            return _error_response(503, "leaving", "the engine is leaving: use another")
        keys = self.memory.find(incoming.request.model)
        if not keys:
            message = f"{incoming.request.model} is not resident: load it first"
            return _error_response(409, "not_resident", message)
        if self.fault.consume("drop_requests"):
            return abort(request)
        try:
            generation = self._start_generation(
                request, incoming.request, incoming.body, keys
            )
        except JobTooLargeError as error:
            return _error_response(400, "too_large", str(error))
        return await self._respond(request, generation, stream=incoming.request.stream)

    def _start_generation(
        self,
        request: web.Request,
        parsed_request: Request,
        body: bytes,
        keys: tuple[ModelKey, ...],
    ) -> Generation:
        answer = Answer(
            parsed_request.request_id,
            body,
            parsed_request.model,
            chat=request.path.endswith("/chat/completions"),
            prompt_tokens=parsed_request.prompt_tokens,
            output_tokens=parsed_request.max_tokens,
        )
        job = Job(
            job_id=f"{parsed_request.request_id}#{next(self.serials)}",
            model=parsed_request.model,
            prompt_tokens=parsed_request.prompt_tokens,
            output_tokens=parsed_request.max_tokens,
            priority=_priority(request),
            prefix_hashes=parsed_request.prefix_hashes,
        )
        self.batch.check(job)
        run = self._record_run(request, body)
        generation = Generation(self.batch_runner, job, answer)
        self.generations[job.job_id] = generation
        self.memory.begin_request(keys)
        self.orders.record_state()
        generation.start(lambda: self._end_generation(generation, keys, run))
        return generation

    def _record_run(self, request: web.Request, body: bytes) -> Run:
        now = asyncio.get_running_loop().time()
        target = f"{request.method} {request.path_qs}"
        return self.record.begin(now, target, request.headers, body)

    def _end_generation(
        self, generation: Generation, keys: tuple[ModelKey, ...], run: Run
    ) -> None:
        run.ended = "done" if generation.is_complete else "cancelled"
        self.memory.end_request(keys)
        self.generations.pop(generation.job.job_id, None)
        self.orders.record_state()

    async def _resume(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        for generation in self.generations.values():
            if generation.answer.request_id == request_id:
                after = int(request.headers["X-Resume-From"])
                return await self._send_stream(request, generation, after)
        return _error_response(
            409, "not_in_progress", f"{request_id} is not in progress"
        )

    async def _respond(
        self, request: web.Request, generation: Generation, *, stream: bool
    ) -> web.StreamResponse:
        try:
            await asyncio.sleep(self.fault.late_answers_s)
            if stream:
                return await self._send_stream(request, generation, 0)
            return await self._send_complete(request, generation)
        finally:
            if "X-Resumable" not in request.headers:
                await generation.stop()

    async def _send_complete(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        await generation.wait_for(len(generation.answer.tokens))
        if self.fault.consume("cut_answers"):
            return abort(request)
        headers = self._response_headers(generation)
        return json_response(generation.answer.to_json(), headers=headers)

    async def _send_stream(
        self, request: web.Request, generation: Generation, sent: int
    ) -> web.StreamResponse:
        tokens = len(generation.answer.tokens)
        cut_at = tokens // 2 if self.fault.consume("cut_answers") else tokens + 1
        response = web.StreamResponse(headers=self._response_headers(generation))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        while sent < tokens:
            count = await generation.wait_for(sent + 1)
            for index in range(sent, count):
                if index >= cut_at:
                    abort(request)
                    return response
                await response.write(generation.answer.token_event(index))
            sent = count
        await response.write(generation.answer.usage_event())
        await response.write(STREAM_END)
        await response.write_eof()
        return response

    def _response_headers(self, generation: Generation) -> dict[str, str]:
        request_id = generation.answer.request_id
        if self.fault.consume("swap_ids"):
            request_id = f"not-{request_id}"
        return {REQUEST_ID_HEADER: request_id}


def _priority(request: web.Request) -> int:
    text = request.headers.get("X-Priority", "0")
    return int(text) if text.lstrip("-").isdigit() else 0


def _error_response(status: int, kind: str, message: str) -> web.Response:
    """Return an error response that says that the request was not started."""
    return json_response(
        {"error": {"type": kind, "message": message}},
        status,
        headers={"X-Not-Started": "1"},
    )
