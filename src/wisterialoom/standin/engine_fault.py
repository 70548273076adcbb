"""Settings and faults of a stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.standin.engine_batch import BatchSettings
from wisterialoom.standin.fault_switch import FaultSwitch

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["EngineFault", "EngineSettings"]


@dataclass(frozen=True)
class EngineSettings:
    """What an engine is.

    Attributes:
        name: Identifier of the backend server.
        incarnation: Changes when the engine starts anew.
        memory_mb: Accelerator memory in all.
        checks_fencing: Refuse orders below the highest fence seen.
        load_s: Seconds of a model load at full speed.
        adapter_load_s: The same for an adapter.
        load_s_by_name: Exceptions by the name of a model or adapter.
        batch: Speed and limits of the batch.
    """

    name: str = "engine"
    incarnation: str = "1"
    memory_mb: int = 80_000
    checks_fencing: bool = True
    load_s: float = 5.0
    adapter_load_s: float = 0.008
    load_s_by_name: Mapping[str, float] = field(default_factory=dict)
    batch: BatchSettings = field(default_factory=BatchSettings)


@dataclass
class EngineFault(FaultSwitch):
    """Faults in force; counts are used up one by one, and -1 stands for all.

    Attributes:
        frozen: Nothing is answered; what arrives goes on once this ends.
        leaving: New requests are refused, and every answer says so.
        state_lag_s: Age of the state that `GET /state` tells.
        cache_lag_s: Age of the newest cache event that is told.
        cache_gap_every: Every so manieth cache event is left out; 0 for none.
        lose_orders: Count of orders that are dropped without effect.
        delay_orders_s: Orders take effect so much later, connection or not.
        double_orders_s: Orders take effect once more so much later; 0 for not.
        drop_order_answers: Count of orders that take effect without an answer.
        drop_requests: Count of requests dropped before they run.
        cut_answers: Count of requests cut midway through their answer.
        late_answers_s: Answers begin so much later.
        swap_ids: Count of answers that carry another request's id.
    """

    frozen: bool = False
    leaving: bool = False
    state_lag_s: float = 0.0
    cache_lag_s: float = 0.5
    cache_gap_every: int = 17
    lose_orders: int = 0
    delay_orders_s: float = 0.0
    double_orders_s: float = 0.0
    drop_order_answers: int = 0
    drop_requests: int = 0
    cut_answers: int = 0
    late_answers_s: float = 0.0
    swap_ids: int = 0
