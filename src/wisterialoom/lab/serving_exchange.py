"""Simulated exchange of one attempt between its sender and a backend server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    StoredAnswer,
)
from wisterialoom.lab.serving_fault import ServingFault

if TYPE_CHECKING:
    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.message import Event
    from wisterialoom.core.requests.request import Attempt, Dispatch, Request
    from wisterialoom.lab.attempt_record import AttemptRecord
    from wisterialoom.lab.schedule import Schedule
    from wisterialoom.standin.engine_batch import EngineBatch
    from wisterialoom.standin.run_record import Run

__all__ = ["Exchange", "Reply", "SimulatedServer"]

Reply: TypeAlias = Callable[["Event"], None]


@dataclass
class SimulatedServer:
    """One simulated backend server.

    Attributes:
        name: Identifier of the backend server.
        batch: Batch of an engine; `None` for a service that runs no models.
        run_s: Duration in seconds of one run at a service that runs no models.
        fault: Injected faults.
        down: Whether the server accepts no connections. An engine is also down if its
            `FakeEngine.down` is set.
        active: Attempts in progress, by job id.
        wake_at: Virtual time of the next scheduled processing of the batch.
    """

    name: str
    batch: EngineBatch | None = None
    run_s: float = 0.01
    fault: ServingFault = field(default_factory=ServingFault)
    down: bool = False
    active: dict[str, Exchange] = field(default_factory=dict)
    wake_at: float | None = None


@dataclass
class Exchange:
    """One attempt, whose end is reported to its sender exactly once.

    Attributes:
        schedule: Schedule of the virtual clock.
        command: The dispatch command.
        reply: Receives the attempt's events.
        record: Record of the attempt.
        server: Server that the attempt is sent to.
        keys: Models and adapters that must stay resident while the attempt runs.
        run: Run of the request on the server; `None` until it starts.
        open: Whether the sender has not been notified of the end.
        on_closed: Called when the sender is notified of the end.
    """

    schedule: Schedule
    command: Dispatch
    reply: Reply
    record: AttemptRecord
    server: SimulatedServer
    keys: tuple[ModelKey, ...] = ()
    run: Run | None = None
    open: bool = True
    on_closed: Callable[[], object] = lambda: None

    @property
    def attempt(self) -> Attempt:
        """The dispatched attempt."""
        return self.command.attempt

    @property
    def request(self) -> Request:
        """The request as received from its caller."""
        return self.command.classified.request

    @property
    def job_id(self) -> str:
        """Id of the attempt's job in the engine's batch."""
        return f"{self.attempt.request_id}#{self.attempt.number}"

    def reply_first_byte(self) -> None:
        """Notify the sender that the answer begins, after the network delay."""

        def deliver() -> None:
            if self.open:
                self.reply(AttemptFirstByte(self.attempt))

        self.schedule.after(self.server.fault.delay_s, deliver)

    def report(self, result: AttemptResult, delay: float | None = None) -> None:
        """Notify the sender how the attempt ended, unless it was already notified.

        Args:
            result: How the attempt ended.
            delay: Seconds until the sender is notified; `None` for the network delay.
        """
        event = AttemptEnded(
            attempt=self.attempt,
            result=result,
            answer=self._answer(result),
            tokens=self.record.tokens,
            leaving=self.server.fault.leaving,
        )
        delay = self.server.fault.delay_s if delay is None else delay
        self.schedule.after(delay, lambda: self._end(event))

    def _end(self, event: AttemptEnded) -> None:
        if not self.open:
            return
        completed = event.result is AttemptResult.COMPLETED
        if completed and not self.request.stream:
            self.reply(AttemptFirstByte(self.attempt))
        self.open = False
        self.record.result = event.result
        self.record.ended = self.schedule.now
        self.on_closed()
        self.reply(event)

    def _answer(self, result: AttemptResult) -> StoredAnswer | None:
        needs_answer = not self.command.classified.idempotent
        if not needs_answer or result is not AttemptResult.COMPLETED:
            return None
        body = f"answer of {self.attempt.request_id}".encode()
        return StoredAnswer(200, "text/plain", body)
