"""What models are worth, and what it would lose to displace them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.engine_control.demand import ModelDemand

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Model
    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.engine_control.planner_input import PlanInput
    from wisterialoom.core.engine_control.planner_slots import Slot, Slots

__all__ = ["Worth"]

HORIZON_S = 60.0
"""Demand over this time is what a resident model is worth, in seconds."""

LEAST_RESIDENCY_S = 15.0
"""A model is not displaced before it was resident this long, in seconds."""

LASTING_RESIDENCY_S = 80.0
"""The same for one that is displaced only because another is worth more."""

SERVICE_S = 2.0
"""Time that one request keeps a slot busy, for counting replicas, in seconds."""

FILL = 0.8
"""Share of its slots up to which a replica is planned to be used."""

NO_DEMAND = ModelDemand()


class Worth:
    """Values of one plan; demand does not change while it is worked out.

    Attributes:
        models: Declared models by key.
        worth: Requests that each name is expected to get, and that wait.
        wanted: Replicas wanted of each declared model.
    """

    def __init__(
        self, given: PlanInput, slots: Slots, models: dict[ModelKey, Model]
    ) -> None:
        self.given = given
        self.slots = slots
        self.models = models
        self.worth = {
            name: demand.rate * HORIZON_S + demand.waiting
            for name, demand in given.demand.items()
        }
        width = max((view.slots for view in given.servers), default=1)
        self.wanted = {key: self._wanted(x, width) for key, x in models.items()}

    def _wanted(self, model: Model, width: int) -> int:
        demand = self.given.demand.get(model.name, NO_DEMAND)
        busy = demand.rate * SERVICE_S / (width * FILL)
        by_demand = 1 + int(busy) if demand.wanted else 0
        return max(model.min_replicas, by_demand)

    def of(self, key: ModelKey) -> float:
        """Return what a model is worth over the whole deployment."""
        return self.worth.get(key.name, 0.0)

    def waiting_s(self, key: ModelKey) -> float:
        """Return for how long requests have been waiting for a model."""
        return self.given.demand.get(key.name, NO_DEMAND).waiting_s

    def urgency(self, key: ModelKey) -> tuple[float, float, ModelKey]:
        """Return a sort key, most wanted first."""
        return (-self.waiting_s(key), -self.of(key), key)

    def gain(self, key: ModelKey) -> float:
        """Return what one more replica of a model is worth."""
        return self.of(key) / (self.slots.count(key) + 1)

    def missing(self, key: ModelKey) -> int:
        """Return how many replicas of a declared model are missing."""
        return self.wanted[key] - self.slots.count(key)

    def share(self, key: ModelKey) -> float:
        """Return the demand that one replica carries."""
        return self.of(key) / max(1, self.slots.count(key))

    def loss(self, key: ModelKey) -> float:
        """Return what is lost with one replica; 0 if it is one too many."""
        if key not in self.models or self.missing(key) < 0:
            return 0.0
        return self.share(key)

    def may_go(self, key: ModelKey, slot: Slot, *, for_must: bool) -> bool:
        """Tell whether a model may be displaced from an engine.

        Args:
            key: The model.
            slot: The engine.
            for_must: What takes its place has to be resident somewhere.
        """
        model = self.models.get(key)
        if model is None:
            return True
        if self.slots.count(key) <= model.min_replicas:
            return False
        held_s = slot.view.resident.get(key)
        least_s = LEAST_RESIDENCY_S if for_must else LASTING_RESIDENCY_S
        return held_s is not None and held_s >= least_s
