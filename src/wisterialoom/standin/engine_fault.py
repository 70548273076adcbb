"""Settings and injected faults of an emulated engine."""

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
    """Fixed properties of an engine.

    Attributes:
        name: Identifier of the backend server.
        incarnation: Identifier of this start of the engine; changes with each restart.
        memory_mb: Total accelerator memory in MB.
        checks_fencing: Whether orders below the highest fence seen are refused.
        load_s: Duration of a model load at full speed, in seconds.
        adapter_load_s: Duration of an adapter load at full speed, in seconds.
        load_s_by_name: Load durations that differ, by name of the model or adapter.
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
    """Faults in force.

    Each occurrence of a counted fault decrements its count; -1 means always.

    Attributes:
        frozen: Whether all requests but those to `/faults` and `/records` are held
            back until the fault ends.
        leaving: Whether new requests are refused and every response announces that
            the engine is leaving.
        state_lag_s: Age in seconds of the state that `GET /state` reports.
        cache_lag_s: Minimum age in seconds of the cache events that are reported.
        cache_gap_every: Every n-th cache event is omitted; 0 omits none.
        lose_orders: Count of orders that are dropped without effect.
        delay_orders_s: Seconds until an order takes effect, even if its connection
            was closed meanwhile.
        double_orders_s: Seconds until an order takes effect a second time; 0 disables
            this.
        drop_order_answers: Count of orders that take effect without a response.
        drop_requests: Count of requests that are dropped before they run.
        cut_answers: Count of responses that are cut off midway.
        late_answers_s: Seconds by which responses are delayed.
        swap_ids: Count of responses that carry a wrong request id.
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
