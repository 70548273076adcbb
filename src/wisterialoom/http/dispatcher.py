"""Executes the core's commands towards callers and backend servers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.client_session import open_session
from wisterialoom.core.jobs.job_endpoint import ReportJob
from wisterialoom.core.notice_job import AttachBody
from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    Dispatch,
    Refuse,
    ReplayAnswer,
)
from wisterialoom.http.error_answer import REQUEST_ID_HEADER
from wisterialoom.http.exchange import Exchange
from wisterialoom.http.job_exchange import JobExchange
from wisterialoom.http.relay import Relay
from wisterialoom.server_connection import ServerConnector

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from aiohttp import ClientSession

    from wisterialoom.core.message import Event
    from wisterialoom.core.requests.request import Attempt
    from wisterialoom.http.caller_api import CallerApi
    from wisterialoom.metrics import Metrics

__all__ = ["CallerCommand", "Dispatcher"]

CallerCommand: TypeAlias = (
    Dispatch | CancelAttempt | Refuse | ReplayAnswer | ReportJob | AttachBody
)

logger = logging.getLogger(__name__)


class Dispatcher:
    """Runs each attempt in a separate task, and answers callers.

    Attributes:
        caller_api: Server that holds the open exchanges.
        address_of: Returns the `IP:port` of a backend server, or `None` if unknown.
        deliver: Delivers an event to the core.
        metrics: Metrics of this instance.
        attempts: Tasks of attempts in progress.
        tasks: All tasks in progress.
        pooled_session: Session for idempotent requests.
        single_use_session: Session that opens a connection for each request, for
            requests that are not idempotent.
    """

    def __init__(
        self,
        caller_api: CallerApi,
        address_of: Callable[[str], str | None],
        deliver: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self.caller_api = caller_api
        self.address_of = address_of
        self.deliver = deliver
        self.metrics = metrics
        self.attempts: dict[Attempt, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.pooled_session: ClientSession | None = None
        self.single_use_session: ClientSession | None = None

    async def start(self) -> None:
        """Open the client sessions."""
        self.pooled_session = open_session(
            ServerConnector(
                limit=0, keepalive_timeout=30.0, echo_header=REQUEST_ID_HEADER
            )
        )
        self.single_use_session = open_session(
            ServerConnector(limit=0, force_close=True, echo_header=REQUEST_ID_HEADER)
        )

    async def stop(self) -> None:
        """Cancel the remaining tasks and close the client sessions."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in (self.pooled_session, self.single_use_session):
            if session is not None:
                await session.close()

    def execute(self, command: CallerCommand) -> None:
        """Start executing a command."""
        match command:
            case Dispatch():
                task = self._spawn(self._run_attempt(command))
                self.attempts[command.attempt] = task
            case CancelAttempt(attempt=attempt):
                running = self.attempts.get(attempt)
                if running is not None:
                    running.cancel()
            case AttachBody(request_id=request_id):
                self.caller_api.exchanges[request_id] = JobExchange(command)
            case _:
                self._answer_caller(command)

    def _answer_caller(self, command: Refuse | ReplayAnswer | ReportJob) -> None:
        exchange = self.caller_api.exchanges.get(command.request_id)
        if not isinstance(exchange, Exchange):
            return
        match command:
            case Refuse(refusal=refusal):
                self._spawn(exchange.refuse(refusal))
            case ReplayAnswer(answer=answer):
                exchange.replay(answer)
            case ReportJob(job_id=job_id, state=state, accepted=accepted):
                exchange.report_job(job_id, state, accepted=accepted)

    def _spawn(self, call: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "internal error: an attempt or refusal raised an exception; "
                "report this as a bug",
                exc_info=task.exception(),
            )

    async def _run_attempt(self, command: Dispatch) -> None:
        ended = AttemptEnded(command.attempt, AttemptResult.LOST)
        try:
            ended = await self._relay(command)
        except asyncio.CancelledError:
            ended = AttemptEnded(command.attempt, self._result_of_cancellation(command))
        finally:
            self.attempts.pop(command.attempt, None)
            self.deliver(ended)

    def _result_of_cancellation(self, command: Dispatch) -> AttemptResult:
        exchange = self.caller_api.exchanges.get(command.attempt.request_id)
        if isinstance(exchange, Exchange) and exchange.caller_gone:
            return AttemptResult.CALLER_GONE
        return AttemptResult.LOST

    async def _relay(self, command: Dispatch) -> AttemptEnded:
        attempt = command.attempt
        exchange = self.caller_api.exchanges.get(attempt.request_id)
        address = self.address_of(attempt.server)
        session = (
            self.pooled_session
            if command.classified.idempotent
            else self.single_use_session
        )
        if exchange is None or address is None or session is None:
            return AttemptEnded(attempt, AttemptResult.NOT_SENT)
        relay = Relay(command, exchange, address, self.deliver)
        ended = await relay.run(session)
        self.metrics.record_attempt(command.classified.traffic_class, relay.times)
        if relay.error:
            logger.info(
                "attempt lost",
                extra={
                    "server": attempt.server,
                    "request_id": attempt.request_id,
                    "error": relay.error,
                },
            )
        if relay.mismatched:
            self.metrics.dropped.inc({"reason": "other_request_id"})
            logger.error(
                "dropped an answer with the id of another request; "
                "check the backend server",
                extra={"server": attempt.server, "request_id": attempt.request_id},
            )
        return ended
