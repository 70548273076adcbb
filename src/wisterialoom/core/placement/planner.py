"""Decides which model server loads and unloads what.

Load patterns that it answers: rare models asked for at once (each is brought in where
that displaces least), demand that moves to other models (copies follow the rates
within seconds), servers that vanish (what only they held is brought in elsewhere).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.placement._round_view import RoundView
from wisterialoom.core.placement.adapter_placing import AdapterPlacing
from wisterialoom.core.placement.load_pacer import LoadRateLimiter
from wisterialoom.core.placement.model_placing import ModelPlacing
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
    """Plans for the model servers of one service.

    Attributes:
        engine: What each server has, and the models declared.
        rate_limiter: Keeps loads under the weight store's rate.
        weights: Weights of the choices.
        reserved: Model that a server's freed memory is kept for, with its expiry.
        loads: Requests in progress and waiting by model, which sink slowly.
        decided_at: Monotonic time of the last decision.
    """

    engine: EngineProfile
    rate_limiter: LoadRateLimiter
    weights: PlannerWeights = field(default_factory=PlannerWeights)
    reserved: dict[str, tuple[str, float]] = field(default_factory=dict)
    loads: dict[str, float] = field(default_factory=dict)
    decided_at: float = 0.0

    @classmethod
    def from_engine(cls, engine: EngineProfile) -> PlacementPlanner:
        """Build a planner for a service's engine."""
        return cls(engine, LoadRateLimiter(engine.loads_per_s))

    def decide(
        self, now: float, states: Iterable[ServerState], demand: FleetDemand
    ) -> list[Order]:
        """Return the orders to send now, at most one for each server.

        Args:
            now: Monotonic time in seconds.
            states: Servers that are not leaving.
            demand: What all instances ask for.
        """
        view = RoundView(self, now, list(states), demand)
        adapters, models = AdapterPlacing(view), ModelPlacing(view)
        adapters.place_adapters()
        models.place_reserved()
        models.spread(saturated_only=True)
        models.place_waiting()
        models.spread()
        adapters.prefetch_adapters()
        models.prefetch_models()
        return view.orders

    def load_duration_s(self, state: ServerState, model: str) -> float:
        """Return the expected duration of a load."""
        profile = self.engine.models[model]
        if model in state.in_memory:
            return profile.warm_load_s
        if model in state.on_disk:
            return profile.disk_load_s
        return profile.load_s

    def is_warm(self, state: ServerState, model: str) -> bool:
        """Tell whether a load needs no access to the weight store."""
        return model in state.in_memory or model in state.on_disk
