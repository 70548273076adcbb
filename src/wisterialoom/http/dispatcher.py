"""Carries out the core's commands towards callers and backend servers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, TypeAlias

from aiohttp import ClientSession, DummyCookieJar, TCPConnector

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
from wisterialoom.http.exchange import Exchange
from wisterialoom.http.job_exchange import JobExchange
from wisterialoom.http.relay import Relay

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from wisterialoom.core.message import Event
    from wisterialoom.core.requests.request import Attempt
    from wisterialoom.http.front import Front
    from wisterialoom.metrics import Metrics

__all__ = ["CallerCommand", "Dispatcher"]

CallerCommand: TypeAlias = (
    Dispatch | CancelAttempt | Refuse | ReplayAnswer | ReportJob | AttachBody
)

logger = logging.getLogger(__name__)


class Dispatcher:
    """Runs each attempt as a task of its own.

    Attributes:
        front: Holds the open exchanges.
        address_of: Returns a backend server's `IP:port`, or `None` if unknown.
        deliver: Takes events for the core.
        metrics: Counts and times.
        attempts: Tasks of attempts in progress.
        tasks: Every task in progress.
        pooled: Session for idempotent requests.
        single: Session that opens a connection for each request.
    """

    def __init__(
        self,
        front: Front,
        address_of: Callable[[str], str | None],
        deliver: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        self.front = front
        self.address_of = address_of
        self.deliver = deliver
        self.metrics = metrics
        self.attempts: dict[Attempt, asyncio.Task[None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.pooled: ClientSession | None = None
        self.single: ClientSession | None = None

    async def start(self) -> None:
        """Open the sessions."""
        self.pooled = _open_session(TCPConnector(limit=0, keepalive_timeout=30.0))
        self.single = _open_session(TCPConnector(limit=0, force_close=True))

    async def stop(self) -> None:
        """Cancel what is left and close the sessions."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for session in (self.pooled, self.single):
            if session is not None:
                await session.close()

    def carry_out(self, command: CallerCommand) -> None:
        """Start one command."""
        match command:
            case Dispatch():
                task = self._spawn(self._attempt(command))
                self.attempts[command.attempt] = task
            case CancelAttempt(attempt=attempt):
                running = self.attempts.get(attempt)
                if running is not None:
                    running.cancel()
            case AttachBody(request_id=request_id):
                self.front.exchanges[request_id] = JobExchange(command)
            case _:
                self._answer(command)

    def _answer(self, command: Refuse | ReplayAnswer | ReportJob) -> None:
        exchange = self.front.exchanges.get(command.request_id)
        if not isinstance(exchange, Exchange):
            return
        match command:
            case Refuse(refusal=refusal):
                self._spawn(exchange.refuse(refusal))
            case ReplayAnswer(answer=answer):
                exchange.replay(answer)
            case ReportJob(job_id=job_id, state=state, accepted=accepted):
                exchange.tell_job(job_id, state, accepted=accepted)

    def _spawn(self, call: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("a task failed; please report this", exc_info=task.exception())

    async def _attempt(self, command: Dispatch) -> None:
        ended = AttemptEnded(command.attempt, AttemptResult.LOST)
        try:
            ended = await self._relay(command)
        except asyncio.CancelledError:
            ended = AttemptEnded(command.attempt, self._cancelled(command))
        finally:
            self.attempts.pop(command.attempt, None)
            self.deliver(ended)

    def _cancelled(self, command: Dispatch) -> AttemptResult:
        exchange = self.front.exchanges.get(command.attempt.request_id)
        if isinstance(exchange, Exchange) and exchange.gone:
            return AttemptResult.CALLER_GONE
        return AttemptResult.LOST

    async def _relay(self, command: Dispatch) -> AttemptEnded:
        attempt = command.attempt
        exchange = self.front.exchanges.get(attempt.request_id)
        address = self.address_of(attempt.server)
        session = self.pooled if command.classified.idempotent else self.single
        if exchange is None or address is None or session is None:
            return AttemptEnded(attempt, AttemptResult.NOT_SENT)
        relay = Relay(command, exchange, address, self.deliver)
        ended = await relay.run(session)
        self.metrics.attempt(command.classified.traffic_class, relay.times)
        if relay.mismatched:
            self.metrics.dropped.inc({"reason": "other_request_id"})
            logger.error(
                "an answer carried another request's id and was dropped; "
                "check the backend server",
                extra={"server": attempt.server, "request_id": attempt.request_id},
            )
        return ended


def _open_session(connector: TCPConnector) -> ClientSession:
    return ClientSession(
        connector=connector, cookie_jar=DummyCookieJar(), auto_decompress=False
    )
