"""Simulates the sending of orders to engines, with injected faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.engine import (
    Order,
    OrderDone,
    OrderLost,
    OrderRefused,
    ReadState,
    SendOrder,
    StateRead,
    StateUnavailable,
)
from wisterialoom.lab.fault import OrderFault
from wisterialoom.lab.weight_store import load_seconds

if TYPE_CHECKING:
    import random

    from wisterialoom.core.message import Event
    from wisterialoom.lab.schedule import Schedule
    from wisterialoom.lab.weight_store import SimulatedWeightStore
    from wisterialoom.standin.engine_memory import EngineMemory

__all__ = ["FakeEngine", "OrderPort"]

Reply: TypeAlias = Callable[["Event"], None]


@dataclass
class FakeEngine:
    """An engine's memory with its load times and faults.

    Attributes:
        memory: Models and adapters in the engine's accelerator memory.
        load_s: Seconds that a model load takes.
        adapter_load_s: Seconds that an adapter load takes.
        fault: Faults of orders sent to the engine.
        down: The engine does not answer.
        running: Number of requests in its batch, reported in its state.
        waiting: Number of requests in its queue, reported in its state.
    """

    memory: EngineMemory
    load_s: float = 5.0
    adapter_load_s: float = 0.008
    fault: OrderFault = field(default_factory=OrderFault)
    down: bool = False
    running: int = 0
    waiting: int = 0


class OrderPort:
    """Delivers orders and state reads to the engines.

    Attributes:
        engines: Engines by server name.
        weight_store: Slows down concurrent loads; `None` leaves them at full speed.
    """

    def __init__(self, schedule: Schedule, rng: random.Random) -> None:
        self.schedule = schedule
        self.rng = rng
        self.engines: dict[str, FakeEngine] = {}
        self.weight_store: SimulatedWeightStore | None = None

    def read(self, caller: str, command: ReadState, reply: Reply) -> None:
        """Read an engine's state; reply with `StateRead` or `StateUnavailable`."""
        engine = self.engines.get(command.server)
        delay = engine.fault.delay_s if engine else 0.0
        if engine is None or engine.down or caller in engine.fault.cut_off:
            event: Event = StateUnavailable(command.server)
            self.schedule.after(delay, lambda: reply(event))
            return

        def answer() -> None:
            state = engine.memory.state(engine.running, engine.waiting)
            event = StateRead(command.server, state)
            self.schedule.after(delay, lambda: reply(event))

        self.schedule.after(delay, answer)

    def send(self, caller: str, command: SendOrder, reply: Reply) -> None:
        """Send an order, subject to the engine's faults; reply exactly once."""
        server, order = command.server, command.order
        engine = self.engines.get(server)
        if engine is None or engine.down or caller in engine.fault.cut_off:
            self.schedule.after(0.01, lambda: reply(OrderLost(server, order.order_id)))
            return
        exchange = _OrderExchange(self, engine, server, order, reply)
        exchange.start(self.rng)


class _OrderExchange:
    """One order in transit; its sender gets one answer, or `OrderLost` without one."""

    def __init__(
        self,
        port: OrderPort,
        engine: FakeEngine,
        server: str,
        order: Order,
        reply: Reply,
    ) -> None:
        self.port = port
        self.engine = engine
        self.server = server
        self.order = order
        self.reply = reply
        self.answered = False
        self.answer_lost = False

    def start(self, rng: random.Random) -> None:
        fault = self.engine.fault
        self.answer_lost = rng.random() < fault.lose_answer
        delay = fault.delay_s
        if rng.random() < fault.late:
            delay = fault.timeout_s + rng.random() * fault.late_s
        if rng.random() >= fault.lose_order:
            self.port.schedule.after(delay, self._deliver)
        if rng.random() < fault.double:
            copy_delay_s = fault.delay_s + rng.random() * fault.late_s
            self.port.schedule.after(copy_delay_s, self._deliver)
        self.port.schedule.after(fault.timeout_s, self._time_out)

    def _deliver(self) -> None:
        if self.engine.down:
            return
        memory = self.engine.memory
        incarnation = memory.incarnation
        already_loading = self.order.order_id in memory.loading
        refusal = memory.begin(self.order)
        if refusal is not None:
            state = memory.state()
            order_id = self.order.order_id
            self._answer(OrderRefused(self.server, order_id, refusal, state))
            return
        # Neither a second copy of an order nor an order for a model or adapter that
        # is already loading starts a load.
        starts_load = self.order.order_id in memory.loading and not already_loading
        duration = self._duration(starts_load=starts_load)
        self.port.schedule.after(
            duration, lambda: self._finish(incarnation, starts_load=starts_load)
        )

    def _duration(self, *, starts_load: bool) -> float:
        engine, action = self.engine, self.order.action
        if starts_load and self.port.weight_store is not None:
            return self.port.weight_store.duration(engine, action)
        return load_seconds(engine, action)

    def _finish(self, incarnation: str, *, starts_load: bool) -> None:
        if self.engine.memory.incarnation != incarnation or self.engine.down:
            return
        if starts_load:
            self.engine.memory.finish(self.order.order_id)
        state = self.engine.memory.state(self.engine.running, self.engine.waiting)
        self._answer(OrderDone(self.server, self.order.order_id, state))

    def _answer(self, event: Event) -> None:
        if self.answered or self.answer_lost:
            return
        self.answered = True
        delay = self.engine.fault.delay_s
        self.port.schedule.after(delay, lambda: self.reply(event))

    def _time_out(self) -> None:
        if self.answered:
            return
        self.answered = True
        self.reply(OrderLost(self.server, self.order.order_id))
