"""Simulated backend servers that serve dispatched requests on the virtual clock.

An attempt takes a small number of scheduled calls, regardless of the answer's length.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.requests.request import AttemptResult
from wisterialoom.lab.attempt_record import AttemptRecord
from wisterialoom.lab.serving_exchange import Exchange, SimulatedServer
from wisterialoom.standin.engine_batch import (
    BatchSettings,
    EngineBatch,
    FirstToken,
    Job,
    JobTooLargeError,
)
from wisterialoom.standin.run_record import Run, RunRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wisterialoom.core.requests.request import (
        Attempt,
        CancelAttempt,
        Dispatch,
        Request,
    )
    from wisterialoom.lab.order_port import FakeEngine, OrderPort
    from wisterialoom.lab.schedule import Schedule
    from wisterialoom.lab.serving_exchange import Reply

__all__ = ["Serving", "SimulatedServer"]

REFUSED_CONNECTION_S = 0.01
"""Time until a refused connection is reported to the sender, in seconds."""


class Serving:
    """Simulates backend servers that serve attempts; implements `ServingPort`.

    Attributes:
        orders: Order port, which has the engines and their memory.
        servers: Backend servers by name.
        record: Every run on any server, and non-idempotent requests that ran twice.
        attempts: Records of all attempts, in the order of their dispatch.
        exchanges: Attempts whose sender has not been notified of their end.
        output_tokens: Returns the number of tokens in a request's answer.
    """

    def __init__(
        self,
        schedule: Schedule,
        rng: random.Random,
        orders: OrderPort,
        output_tokens: Callable[[Request], int] | None = None,
    ) -> None:
        self.schedule = schedule
        self.rng = rng
        self.orders = orders
        self.servers: dict[str, SimulatedServer] = {}
        self.record = RunRecord()
        self.attempts: list[AttemptRecord] = []
        self.exchanges: dict[Attempt, Exchange] = {}
        self.output_tokens = output_tokens or (lambda request: request.max_tokens)

    @property
    def runs(self) -> list[Run]:
        """Every run on any server."""
        return self.record.runs

    def add_engine(
        self, name: str, settings: BatchSettings | None = None
    ) -> SimulatedServer:
        """Add an engine that is registered with the order port."""
        batch = EngineBatch(settings or BatchSettings(), at=self.schedule.now)
        server = self.servers[name] = SimulatedServer(name, batch)
        return server

    def add_service(self, name: str, run_s: float = 0.01) -> SimulatedServer:
        """Add a service that runs no models."""
        server = self.servers[name] = SimulatedServer(name, run_s=run_s)
        return server

    def kill(self, name: str) -> None:
        """Stop a server abruptly; the attempts in progress there are lost."""
        server = self.servers[name]
        engine = self.orders.engines.get(name)
        server.down = True
        if engine is not None:
            engine.down = True
        for exchange in tuple(server.active.values()):
            self._remove(exchange)
            exchange.report(AttemptResult.LOST)

    def revive(self, name: str, incarnation: str) -> None:
        """Restart a killed server; an engine restarts with empty memory."""
        server = self.servers[name]
        server.down = False
        engine = self.orders.engines.get(name)
        if engine is not None:
            engine.down = False
            engine.memory.restart(incarnation)
        if server.batch is not None:
            server.batch = EngineBatch(server.batch.settings, at=self.schedule.now)

    # Implementation of `ServingPort`.

    def dispatch(self, caller: str, command: Dispatch, reply: Reply) -> None:
        """Serve one attempt; report its first byte and its end through `reply`."""
        attempt = command.attempt
        server = self.servers.get(attempt.server)
        record = AttemptRecord(
            attempt.request_id,
            attempt.number,
            attempt.server,
            command.classified,
            self.schedule.now,
        )
        self.attempts.append(record)
        if server is None:
            server = SimulatedServer(attempt.server, down=True)
        exchange = Exchange(self.schedule, command, reply, record, server)
        self.exchanges[attempt] = exchange
        exchange.on_closed = lambda: self.exchanges.pop(attempt)
        if self._is_down(server) or caller in server.fault.cut_off:
            delay = REFUSED_CONNECTION_S
            exchange.report(AttemptResult.NOT_SENT, delay=delay)
            return
        self.schedule.after(server.fault.delay_s, lambda: self._receive(exchange))

    def cancel(self, caller: str, command: CancelAttempt) -> None:
        """Cancel one attempt, at once for the sender and with a delay at the server."""
        exchange = self.exchanges.get(command.attempt)
        if exchange is None or not exchange.open:
            return
        exchange.report(AttemptResult.LOST, delay=0.0)
        delay = exchange.server.fault.delay_s
        self.schedule.after(delay, lambda: self._receive_cancel(exchange))

    def _receive_cancel(self, exchange: Exchange) -> None:
        # A service without models completes a run although it was canceled.
        if exchange.server.batch is not None:
            self._remove(exchange)

    def _is_down(self, server: SimulatedServer) -> bool:
        engine = self.orders.engines.get(server.name)
        return server.down or (engine is not None and engine.down)

    # Processing on the server.

    def _receive(self, exchange: Exchange) -> None:
        server = exchange.server
        if self._is_down(server) or self._occurs(server.fault.cut_before):
            exchange.report(AttemptResult.LOST)
            return
        if server.fault.leaving:
            exchange.report(AttemptResult.NOT_STARTED)
            return
        if server.batch is None:
            self._start(exchange)
            self.schedule.after(server.run_s, lambda: self._end(exchange))
            return
        self._enqueue(exchange, server.batch)

    def _enqueue(self, exchange: Exchange, batch: EngineBatch) -> None:
        server = exchange.server
        engine = self.orders.engines[server.name]
        exchange.keys = engine.memory.find(exchange.request.model)
        if not exchange.keys:
            exchange.report(AttemptResult.NOT_STARTED)
            return
        try:
            batch.add_job(self.schedule.now, self._job(exchange))
        except JobTooLargeError:
            exchange.report(AttemptResult.SERVER_ERROR)
            return
        engine.memory.begin_request(exchange.keys)
        self._start(exchange)
        self._advance_batch(server)

    def _job(self, exchange: Exchange) -> Job:
        request = exchange.request
        return Job(
            job_id=exchange.job_id,
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            output_tokens=max(1, self.output_tokens(request)),
            priority=exchange.command.classified.priority,
            prefix_hashes=request.prefix_hashes,
        )

    def _start(self, exchange: Exchange) -> None:
        classified, request = exchange.command.classified, exchange.request
        key = request.idempotency_key
        operation = f"{classified.caller}/{key}" if key else request.request_id
        exchange.run = Run(
            request_id=request.request_id,
            operation=operation,
            digest=request.body_sha256,
            run_once=not classified.idempotent,
            at=self.schedule.now,
            server=exchange.server.name,
        )
        self.record.add(exchange.run)
        exchange.server.active[exchange.job_id] = exchange

    def _advance_batch(self, server: SimulatedServer) -> None:
        """Process the events of a batch up to now, and schedule the next call."""
        batch = server.batch
        if batch is None:
            return
        for event in batch.advance(self.schedule.now):
            exchange = server.active.get(event.job_id)
            if exchange is None:
                continue
            if isinstance(event, FirstToken):
                self._first_token(exchange, event.at)
            else:
                self._last_token(exchange, event.at)
        self._publish_load(server, batch)
        at = batch.next_event_at()
        if at is not None and (server.wake_at is None or at < server.wake_at):
            server.wake_at = at
            self.schedule.at(at, lambda: self._wake_batch(server, at))

    def _wake_batch(self, server: SimulatedServer, at: float) -> None:
        if server.wake_at == at:
            server.wake_at = None
            self._advance_batch(server)

    def _publish_load(self, server: SimulatedServer, batch: EngineBatch) -> None:
        engine = self.orders.engines[server.name]
        engine.running = len(batch.runs)
        engine.waiting = len(batch.waiting)

    def _first_token(self, exchange: Exchange, at: float) -> None:
        fault = exchange.server.fault
        exchange.record.first = at
        exchange.record.tokens = 1
        if exchange.request.stream:
            exchange.reply_first_byte()
        if self._occurs(fault.cut_midway):
            remaining_tokens = max(1, self.output_tokens(exchange.request)) - 1
            batch = exchange.server.batch
            delay = (
                self.rng.random() * remaining_tokens * (batch.step_s if batch else 0.0)
            )
            self.schedule.after(delay, lambda: self._cut(exchange))

    def _cut(self, exchange: Exchange) -> None:
        if exchange.job_id in exchange.server.active:
            self._remove(exchange)
            exchange.report(AttemptResult.LOST)

    def _last_token(self, exchange: Exchange, at: float) -> None:
        record = exchange.record
        record.tokens = max(1, self.output_tokens(exchange.request))
        if record.tokens > 1 and record.first is not None:
            record.token_gap_s = (at - record.first) / (record.tokens - 1)
        self._end(exchange)

    def _end(self, exchange: Exchange) -> None:
        """End a run that completed on the server; its answer may still be lost."""
        if exchange.job_id not in exchange.server.active:
            return
        fault = exchange.server.fault
        self._release(exchange, "done")
        delay = fault.delay_s
        if self._occurs(fault.late):
            delay += self.rng.random() * fault.late_s
        if self._occurs(fault.cut_after):
            exchange.report(AttemptResult.LOST, delay=delay)
        elif self._occurs(fault.error):
            exchange.report(AttemptResult.SERVER_ERROR, delay=delay)
        else:
            exchange.report(AttemptResult.COMPLETED, delay=delay)

    def _remove(self, exchange: Exchange) -> None:
        """Remove an attempt from the server before it completes."""
        if exchange.job_id not in exchange.server.active:
            return
        batch = exchange.server.batch
        if batch is not None:
            tokens = batch.remove_job(self.schedule.now, exchange.job_id)
            exchange.record.tokens = max(exchange.record.tokens, tokens)
        self._release(exchange, "cancelled")
        self._advance_batch(exchange.server)

    def _release(self, exchange: Exchange, ended: str) -> None:
        server = exchange.server
        del server.active[exchange.job_id]
        if exchange.run is not None:
            exchange.run.ended = ended
        engine: FakeEngine | None = self.orders.engines.get(server.name)
        if engine is not None:
            engine.memory.end_request(exchange.keys)

    def _occurs(self, probability: float) -> bool:
        return probability > 0.0 and self.rng.random() < probability
