"""Decides which servers load and unload which models and adapters.

The planner handles these load patterns:

- Concurrent requests for rare models: each model is loaded on the server where
  unloading others costs least.
- Demand that shifts to other models: the number of copies follows within seconds.
- Servers that fail: models that were resident only there are loaded elsewhere.
- Streams that are taken up after a crash: their model is loaded at a server of the
  software version that began them, whatever other versions have.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.placement._planning_context import PlanningContext
from wisterialoom.core.placement.adapter_placer import AdapterPlacer
from wisterialoom.core.placement.load_rate_limiter import LoadRateLimiter
from wisterialoom.core.placement.model_placer import ModelPlacer
from wisterialoom.core.placement.weights import PlannerWeights

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.placement.fleet_demand import FleetDemand
    from wisterialoom.core.placement.order import Order
    from wisterialoom.core.placement.server_state import ServerState
    from wisterialoom.core.serving.routing import EngineProfile

__all__ = ["PlacementPlanner"]


@dataclass
class PlacementPlanner:
    """Plans model placement on the servers of one service.

    Attributes:
        engine: Capacity of each server, and the declared models.
        rate_limiter: Limits the rate of loads from the weight store.
        weights: Weights of the planner's costs.
        reserved: For each server with reserved memory, the model that it is reserved
            for and the time at which the reservation expires.
        loads: Waiting and running requests by model; peaks decay slowly.
        decided_at: Monotonic time of the last planning round.
    """

    engine: EngineProfile
    rate_limiter: LoadRateLimiter
    weights: PlannerWeights = field(default_factory=PlannerWeights)
    reserved: dict[str, tuple[str, float]] = field(default_factory=dict)
    loads: dict[str, float] = field(default_factory=dict)
    decided_at: float = 0.0

    @classmethod
    def from_engine(cls, engine: EngineProfile) -> PlacementPlanner:
        """Build a planner from a service's engine profile."""
        return cls(engine, LoadRateLimiter(engine.loads_per_s))

    def decide(
        self, now: float, states: Iterable[ServerState], demand: FleetDemand
    ) -> list[Order]:
        """Return the orders to send now, at most one per server.

        Args:
            now: Monotonic time in seconds.
            states: Servers that are not draining.
            demand: Demand of all instances.
        """
        context = PlanningContext(self, now, list(states), demand)
        adapters, models = AdapterPlacer(context), ModelPlacer(context)
        adapters.place_adapters()
        models.place_reserved()
        models.add_copies(saturated_only=True)
        models.place_at_versions()
        models.place_waiting()
        models.add_copies()
        adapters.prefetch_adapters()
        models.prefetch_models()
        return context.orders

    def load_duration_s(self, state: ServerState, model: str) -> float:
        """Return the expected duration of a load in seconds."""
        profile = self.engine.models[model]
        if model in state.in_memory:
            return profile.warm_load_s
        if model in state.on_disk:
            return profile.disk_load_s
        return profile.load_s

    def is_warm(self, state: ServerState, model: str) -> bool:
        """Return whether a load of a model needs no access to the weight store."""
        return model in state.in_memory or model in state.on_disk
