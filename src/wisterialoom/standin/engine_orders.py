"""Orders of a stand-in engine on the real clock."""

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
    """Carries out orders, late or twice if the faults say so.

    Attributes:
        settings: What the engine is.
        memory: What it holds.
        batch: For the load that its state tells.
        fault: Faults in force.
        load_time: Returns the seconds of a load; asks the weight store.
        loading: Ends of the loads in progress.
        history: Earlier states, for a state that lags.
        tasks: Orders in progress, which outlive their connections.
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
        """Start an order; the task returns status and JSON of the answer."""
        if self.fault.double_orders_s:
            self._spawn(self._carry_out(order, self.fault.double_orders_s))
        return self._spawn(self._carry_out(order, self.fault.delay_orders_s))

    def _spawn(self, call: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancel the orders in progress."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _carry_out(
        self, order: Order, delay_s: float
    ) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(delay_s)
        known = order.order_id in self.memory.loading
        refusal = self.memory.begin(order)
        if refusal is not None:
            return 409, {"reason": refusal.value, "state": state_to_json(self.state())}
        self.remember()
        await self._load(order, fresh=not known)
        self.remember()
        return 200, {"state": state_to_json(self.state())}

    async def _load(self, order: Order, *, fresh: bool) -> None:
        match order.action:
            case LoadModel(model=key):
                seconds, adapter = self.settings.load_s, False
            case LoadAdapter(adapter=key):
                seconds, adapter = self.settings.adapter_load_s, True
            case _:
                return
        if not fresh or order.order_id not in self.memory.loading:
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
        """Return the state as it is."""
        state = self.memory.state(len(self.batch.runs), len(self.batch.waiting))
        return replace(state, leaving=self.fault.leaving, kv_free=self.batch.kv_free)

    def remember(self) -> None:
        """Keep the state for later, if the state that is told lags."""
        if self.fault.state_lag_s:
            now = asyncio.get_running_loop().time()
            self.history.append((now, self.state()))

    def told_state(self) -> EngineState:
        """Return the state as told, which may lag."""
        self.remember()
        if not self.fault.state_lag_s:
            return self.state()
        since = asyncio.get_running_loop().time() - self.fault.state_lag_s
        while len(self.history) > 1 and self.history[1][0] <= since:
            del self.history[0]
        return self.history[0][1]
