"""An attempt on its way to a backend server and back, on the virtual clock."""

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

__all__ = ["Exchange", "Reply", "ServingServer"]

Reply: TypeAlias = Callable[["Event"], None]


@dataclass
class ServingServer:
    """One backend server.

    Attributes:
        name: Identifier of the backend server.
        batch: Batch of an engine; `None` for a plain service.
        run_s: Time of one run of a plain service.
        fault: Faults in force.
        down: It accepts no connection; engines go by their `FakeEngine.down`.
        live: Attempts in progress, by job id.
        wake_at: Moment of the next scheduled look at the batch.
    """

    name: str
    batch: EngineBatch | None = None
    run_s: float = 0.01
    fault: ServingFault = field(default_factory=ServingFault)
    down: bool = False
    live: dict[str, Exchange] = field(default_factory=dict)
    wake_at: float | None = None


@dataclass
class Exchange:
    """One attempt, which ends once towards its sender.

    Attributes:
        schedule: The virtual clock.
        command: The dispatch.
        reply: Takes the attempt's events.
        record: How it went.
        server: Where it goes.
        keys: What it keeps resident while it runs.
        run: Its run; `None` until it starts.
        open: The sender has not heard of its end.
        closed: Called when the sender hears of its end.
    """

    schedule: Schedule
    command: Dispatch
    reply: Reply
    record: AttemptRecord
    server: ServingServer
    keys: tuple[ModelKey, ...] = ()
    run: Run | None = None
    open: bool = True
    closed: Callable[[], object] = lambda: None

    @property
    def attempt(self) -> Attempt:
        """The attempt."""
        return self.command.attempt

    @property
    def request(self) -> Request:
        """The request as it came."""
        return self.command.classified.request

    @property
    def job_id(self) -> str:
        """Name of its job in the batch."""
        return f"{self.attempt.request_id}#{self.attempt.number}"

    def reply_first_byte(self) -> None:
        """Tell the sender that the answer begins, after the way back."""

        def tell() -> None:
            if self.open:
                self.reply(AttemptFirstByte(self.attempt))

        self.schedule.after(self.server.fault.delay_s, tell)

    def report(self, result: AttemptResult, delay: float | None = None) -> None:
        """Tell the sender how the attempt ended, unless it has heard of an end.

        Args:
            result: How it ended.
            delay: Seconds until the sender hears it; `None` for the way back.
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
        whole = event.result is AttemptResult.COMPLETED
        if whole and not self.request.stream:
            self.reply(AttemptFirstByte(self.attempt))
        self.open = False
        self.record.result = event.result
        self.record.ended = self.schedule.now
        self.closed()
        self.reply(event)

    def _answer(self, result: AttemptResult) -> StoredAnswer | None:
        kept = not self.command.classified.idempotent
        if not kept or result is not AttemptResult.COMPLETED:
            return None
        body = f"answer of {self.attempt.request_id}".encode()
        return StoredAnswer(200, "text/plain", body)
