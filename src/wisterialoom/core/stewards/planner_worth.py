"""What models are worth, and what it would lose to displace them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.stewards.demand import ModelDemand

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Model
    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.stewards.planner_input import PlanInput
    from wisterialoom.core.stewards.planner_slots import EnginePlan, EnginePlans

__all__ = ["ModelValues"]

VALUE_HORIZON_S = 60.0
"""Demand over this time is what a resident model is worth, in seconds."""

MIN_RESIDENCY_S = 15.0
"""A model is not displaced before it was resident this long, in seconds."""

MIN_SWAP_RESIDENCY_S = 80.0
"""The same for one that is displaced only because another is worth more."""

SERVICE_S = 2.0
"""Time that one request keeps a slot busy, for counting replicas, in seconds."""

TARGET_UTILIZATION = 0.8
"""Share of its slots up to which a replica is planned to be used."""

NO_DEMAND = ModelDemand()


class ModelValues:
    """Values of one plan; demand does not change while it is worked out.

    Attributes:
        models: Declared models by key.
        values: Requests that each name is expected to get, and that wait.
        target_replicas: Replicas wanted of each declared model.
    """

    def __init__(
        self, plan_input: PlanInput, engines: EnginePlans, models: dict[ModelKey, Model]
    ) -> None:
        self.plan_input = plan_input
        self.engines = engines
        self.models = models
        self.values = {
            name: demand.rate * VALUE_HORIZON_S + demand.waiting
            for name, demand in plan_input.demand.items()
        }
        slots_per_engine = max((view.slots for view in plan_input.servers), default=1)
        self.target_replicas = {
            key: self._target_replicas(x, slots_per_engine) for key, x in models.items()
        }

    def _target_replicas(self, model: Model, slots_per_engine: int) -> int:
        demand = self.plan_input.demand.get(model.name, NO_DEMAND)
        busy = demand.rate * SERVICE_S / (slots_per_engine * TARGET_UTILIZATION)
        by_demand = 1 + int(busy) if demand.is_positive else 0
        return max(model.min_replicas, by_demand)

    def total(self, key: ModelKey) -> float:
        """Return what a model is worth over the whole deployment."""
        return self.values.get(key.name, 0.0)

    def waiting_s(self, key: ModelKey) -> float:
        """Return for how long requests have been waiting for a model."""
        return self.plan_input.demand.get(key.name, NO_DEMAND).waiting_s

    def urgency(self, key: ModelKey) -> tuple[float, float, ModelKey]:
        """Return a sort key, most wanted first."""
        return (-self.waiting_s(key), -self.total(key), key)

    def gain(self, key: ModelKey) -> float:
        """Return what one more replica of a model is worth."""
        return self.total(key) / (self.engines.replica_count(key) + 1)

    def missing(self, key: ModelKey) -> int:
        """Return how many replicas of a declared model are missing."""
        return self.target_replicas[key] - self.engines.replica_count(key)

    def share(self, key: ModelKey) -> float:
        """Return the demand that one replica carries."""
        return self.total(key) / max(1, self.engines.replica_count(key))

    def loss(self, key: ModelKey) -> float:
        """Return what is lost with one replica; 0 if it is one too many."""
        if key not in self.models or self.missing(key) < 0:
            return 0.0
        return self.share(key)

    def may_evict(
        self, key: ModelKey, engine: EnginePlan, *, for_required: bool
    ) -> bool:
        """Tell whether a model may be displaced from an engine.

        Args:
            key: The model.
            engine: The engine.
            for_required: What takes its place has to be resident somewhere.
        """
        model = self.models.get(key)
        if model is None:
            return True
        if self.engines.replica_count(key) <= model.min_replicas:
            return False
        resident_s = engine.view.resident.get(key)
        min_s = MIN_RESIDENCY_S if for_required else MIN_SWAP_RESIDENCY_S
        return resident_s is not None and resident_s >= min_s
