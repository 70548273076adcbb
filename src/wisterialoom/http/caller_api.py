"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import logging
import time
from contextlib import ExitStack
from typing import Any, TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.caller_memory import CallerMemory
from wisterialoom.core.jobs.job_endpoint import JobPolled
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import (
    CallerGone,
    Reason,
    Refusal,
    RequestArrived,
)
from wisterialoom.http.error_answer import bad_request_response, error_response
from wisterialoom.http.exchange import Exchange, JOB_PATH
from wisterialoom.http.request_parser import (
    BadRequestError,
    digest_api_key,
    parse_request,
    ReceivedRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.memory_budget import HeldBytes
    from wisterialoom.core.message import Event
    from wisterialoom.http.job_exchange import JobExchange

__all__ = ["CallerApi"]

logger = logging.getLogger(__name__)


class CallerApi:
    """Accepts requests, and waits until each has been answered.

    Attributes:
        deliver: Delivers an event to the core.
        next_id: Returns a new request id.
        list_models: Returns the names served at `/v1/models`, or a refusal, for the
            digest of an API key.
        memory: Holds bodies of requests, and answers.
        max_body_bytes: Largest body of a request.
        exchanges: Open exchanges by request id.
        bad_requests: Number of requests that could not be parsed.
        closing: Whether each connection is closed after its next answer.
        arrived_at: Monotonic time of the last request.
    """

    def __init__(
        self,
        deliver: Callable[[Event], None],
        next_id: Callable[[], str],
        list_models: Callable[[str], list[str] | Refusal],
        memory: CallerMemory | None = None,
    ) -> None:
        self.deliver = deliver
        self.next_id = next_id
        self.list_models = list_models
        self.memory = memory or CallerMemory()
        self.max_body_bytes = 0
        self.exchanges: dict[str, Exchange | JobExchange] = {}
        self.bad_requests = 0
        self.closing = False
        self.arrived_at = float("-inf")

    def make_app(self, max_body_bytes: int) -> web.Application:
        """Return the web application to serve.

        Args:
            max_body_bytes: Largest request body accepted from a caller.
        """
        self.max_body_bytes = max_body_bytes
        app = web.Application()
        app.on_response_prepare.append(self.close_after_answer)
        app.router.add_get("/v1/models", self.models)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app

    async def close_after_answer(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        """Tell a caller not to use its connection again, if this instance stops."""
        if self.closing:
            response.force_close()
            response.headers["Connection"] = "close"

    async def models(self, web_request: web.Request) -> web.Response:
        """List the models and adapters that the caller may name."""
        models_or_refusal = self.list_models(digest_api_key(web_request))
        if isinstance(models_or_refusal, Refusal):
            return error_response(models_or_refusal, self.next_id())
        items = [
            {"id": name, "object": "model", "created": 0, "owned_by": "deployment"}
            for name in models_or_refusal
        ]
        return _json({"object": "list", "data": items})

    async def serve(self, web_request: web.Request) -> web.StreamResponse:
        """Handle one request up to the end of its answer."""
        request_id = self.next_id()
        self.arrived_at = time.monotonic()
        with ExitStack() as resources:
            held = resources.enter_context(self.memory.open(self.arrived_at))
            body = await self.memory.read(web_request, held, self.max_body_bytes)
            if body is None:
                return self._refuse_body(held, request_id)
            try:
                received_request = parse_request(web_request, request_id, body)
            except BadRequestError as error:
                return self._bad_request(400, str(error), request_id)
            exchange = Exchange(web_request, received_request, self.memory, held)
            exchange.resources = resources.pop_all()
        return await self._answer(exchange)

    async def _answer(self, exchange: Exchange) -> web.StreamResponse:
        event = _to_event(exchange.received_request)
        self.exchanges[exchange.request_id] = exchange
        try:
            self.deliver(event)
            return await exchange.send(await exchange.answer)
        except asyncio.CancelledError:
            exchange.caller_gone = True
            if not exchange.settled:
                self.deliver(CallerGone(exchange.request_id))
            raise
        finally:
            # The core may still run what it has not settled.
            is_over = exchange.settled or isinstance(event, JobPolled)
            if is_over or not exchange.caller_gone:
                self._drop(exchange)

    def record_settled(self, request_id: str) -> None:
        """Note that the core is done with a request."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None:
            exchange.settled = True
            if exchange.caller_gone:
                self._drop(exchange)

    def _drop(self, exchange: Exchange | JobExchange) -> None:
        """Forget an exchange, and free what is held for it."""
        self.exchanges.pop(exchange.request_id, None)
        exchange.resources.close()

    def _refuse_body(self, held: HeldBytes, request_id: str) -> web.Response:
        """Refuse a request whose body was not read to its end."""
        if held in self.memory.budget.holders:
            message = (
                f"the body exceeds {self.max_body_bytes} bytes; send a smaller one"
            )
            response = self._bad_request(413, message, request_id)
        else:
            response = error_response(refuse(Reason.MEMORY), request_id)
        response.force_close()
        return response

    def _bad_request(self, status: int, message: str, request_id: str) -> web.Response:
        self.bad_requests += 1
        return bad_request_response(status, message, request_id)


def _to_event(received_request: ReceivedRequest) -> Event:
    request = received_request.request
    if request.method == "GET" and request.path.startswith(JOB_PATH):
        job_id = request.path.removeprefix(JOB_PATH)
        return JobPolled(request.request_id, request.api_key_sha256, job_id)
    body = received_request.body if request.respond_async else b""
    return RequestArrived(request, body)


def _json(item: Any) -> web.Response:
    return web.Response(body=orjson.dumps(item), content_type="application/json")
