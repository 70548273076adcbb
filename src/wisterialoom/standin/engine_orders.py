"""Execution of orders by an emulated engine, on the clock of the event loop."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any, TYPE_CHECKING

from wisterialoom.core.engine import LoadAdapter, LoadModel, ModelKey
from wisterialoom.engine.codec import state_to_json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from wisterialoom.core.engine import EngineState, Order
    from wisterialoom.standin.engine_batch import EngineBatch
    from wisterialoom.standin.engine_fault import EngineFault, EngineSettings
    from wisterialoom.standin.engine_memory import EngineMemory

__all__ = ["EngineOrders"]


class EngineOrders:
    """Executes orders, delayed or twice if such faults are in force.

    Attributes:
        settings: Fixed properties of the engine.
        memory: Accelerator memory of the engine.
        batch: Batch of the engine; the reported load is taken from it.
        fault: Faults in force.
        load_time: Returns the duration of a load in seconds. Takes the duration at full
            speed, and whether an adapter is loaded.
        loading: Event that is set when a load ends, by model or adapter.
        history: Earlier states with the time of each, kept to report a stale state.
        tasks: Orders in progress, which continue when their connections close.
    """

    def __init__(
        self,
        settings: EngineSettings,
        memory: EngineMemory,
        batch: EngineBatch,
        fault: EngineFault,
        load_time: Callable[[float, bool], Awaitable[float]],
    ) -> None:
        self.settings = settings
        self.memory = memory
        self.batch = batch
        self.fault = fault
        self.load_time = load_time
        self.loading: dict[ModelKey, asyncio.Event] = {}
        self.history: list[tuple[float, EngineState]] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    def begin(self, order: Order) -> asyncio.Task[tuple[int, dict[str, Any]]]:
        """Start an order; the task returns the status and JSON of the response."""
        if self.fault.double_orders_s:
            self._spawn(self._execute(order, self.fault.double_orders_s))
        return self._spawn(self._execute(order, self.fault.delay_orders_s))

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancel the orders in progress."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _execute(
        self, order: Order, delay_s: float
    ) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(delay_s)
        already_loading = order.order_id in self.memory.loading
        refusal = self.memory.begin(order)
        if refusal is not None:
            return 409, {"reason": refusal.value, "state": state_to_json(self.state())}
        self.record_state()
        await self._load(order, is_new=not already_loading)
        self.record_state()
        return 200, {"state": state_to_json(self.state())}

    async def _load(self, order: Order, *, is_new: bool) -> None:
        match order.action:
            case LoadModel(model=key):
                seconds, adapter = self.settings.load_s, False
            case LoadAdapter(adapter=key):
                seconds, adapter = self.settings.adapter_load_s, True
            case _:
                return
        if not is_new or order.order_id not in self.memory.loading:
            if key in self.loading:
                await self.loading[key].wait()
            return
        ended = self.loading[key] = asyncio.Event()
        seconds = self.settings.load_s_by_name.get(key.name, seconds)
        await asyncio.sleep(await self.load_time(seconds, adapter))
        self.memory.finish(order.order_id)
        del self.loading[key]
        ended.set()

    def state(self) -> EngineState:
        """Return the current state."""
        state = self.memory.state(len(self.batch.runs), len(self.batch.waiting))
        return replace(state, leaving=self.fault.leaving, kv_free=self.batch.kv_free)

    def record_state(self) -> None:
        """Add the current state to the history if the reported state is delayed."""
        if self.fault.state_lag_s:
            now = asyncio.get_running_loop().time()
            self.history.append((now, self.state()))

    def reported_state(self) -> EngineState:
        """Return the state to report, which is `state_lag_s` old if that is set."""
        self.record_state()
        if not self.fault.state_lag_s:
            return self.state()
        cutoff = asyncio.get_running_loop().time() - self.fault.state_lag_s
        while len(self.history) > 1 and self.history[1][0] <= cutoff:
            del self.history[0]
        return self.history[0][1]
