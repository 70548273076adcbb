"""Values of models and of their replicas, in requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.engine_control.demand import ModelDemand

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Model
    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.engine_control.engine_plans import EnginePlan, EnginePlans
    from wisterialoom.core.engine_control.planner_input import PlanInput

__all__ = ["ModelValues"]

VALUE_HORIZON_S = 60.0
"""Period over which expected requests count for a model's value, in seconds."""

MIN_RESIDENCY_S = 15.0
"""Residency before a model may be displaced by a required one, in seconds."""

MIN_SWAP_RESIDENCY_S = 80.0
"""Residency before a model may be displaced by a more valuable one, in seconds."""

REQUEST_DURATION_S = 2.0
"""Assumed time that a request occupies a slot, for replica counts, in seconds."""

TARGET_UTILIZATION = 0.8
"""Share of the slots of a replica that is planned to be in use."""

NO_DEMAND = ModelDemand()


class ModelValues:
    """Values of the models for one plan, for which the demand is fixed.

    Attributes:
        plan_input: Input of the plan.
        engines: Engines and the models placed on them so far.
        models: Declared models by key.
        values: Expected and waiting requests by name of the model.
        target_replicas: Desired count of replicas of each declared model.
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
        busy = (
            demand.rate * REQUEST_DURATION_S / (slots_per_engine * TARGET_UTILIZATION)
        )
        by_demand = 1 + int(busy) if demand.is_positive else 0
        return max(model.min_replicas, by_demand)

    def total(self, key: ModelKey) -> float:
        """Return the value of a model over the whole deployment."""
        return self.values.get(key.name, 0.0)

    def waiting_s(self, key: ModelKey) -> float:
        """Return for how long requests have been waiting for a model."""
        return self.plan_input.demand.get(key.name, NO_DEMAND).waiting_s

    def urgency(self, key: ModelKey) -> tuple[float, float, ModelKey]:
        """Return a sort key that puts the most urgent model first."""
        return (-self.waiting_s(key), -self.total(key), key)

    def gain(self, key: ModelKey) -> float:
        """Return the value of one more replica of a model."""
        return self.total(key) / (self.engines.replica_count(key) + 1)

    def missing(self, key: ModelKey) -> int:
        """Return how many replicas of a declared model are missing."""
        return self.target_replicas[key] - self.engines.replica_count(key)

    def share(self, key: ModelKey) -> float:
        """Return the share of a model's value that falls to one replica."""
        return self.total(key) / max(1, self.engines.replica_count(key))

    def loss(self, key: ModelKey) -> float:
        """Return the value lost with one replica; 0 for a surplus or undeclared one."""
        if key not in self.models or self.missing(key) < 0:
            return 0.0
        return self.share(key)

    def may_evict(
        self, key: ModelKey, engine: EnginePlan, *, for_required: bool
    ) -> bool:
        """Return whether a model may be displaced from an engine.

        Args:
            key: The model.
            engine: The engine.
            for_required: Whether the model that takes its place is required.
        """
        model = self.models.get(key)
        if model is None:
            return True
        if self.engines.replica_count(key) <= model.min_replicas:
            return False
        resident_s = engine.view.resident.get(key)
        min_s = MIN_RESIDENCY_S if for_required else MIN_SWAP_RESIDENCY_S
        return resident_s is not None and resident_s >= min_s
