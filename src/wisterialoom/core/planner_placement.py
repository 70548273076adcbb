"""Which engine should hold which models: a function of its input."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.demand import ModelDemand
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.selector import Selector

if TYPE_CHECKING:
    from wisterialoom.core.document import Model
    from wisterialoom.core.planner_input import PlanInput, ServerView

__all__ = ["place"]

HORIZON_S = 60.0
"""Demand over this time is what a resident model is worth, in seconds."""

HYSTERESIS = 1.25
"""A swap must gain this many times what it costs."""

PATIENCE_S = 10.0
"""After waiting this long, a model without a replica displaces another."""

LEAST_RESIDENCY_S = 40.0
"""A model is not displaced before it was resident this long, in seconds."""

AGE_WORTH = 10.0
"""Worth of each second that a model without a replica is waited for, in requests."""

SERVICE_S = 4.0
"""Time that one request keeps a slot busy, for counting replicas, in seconds."""

FILL = 0.8
"""Share of its slots up to which a replica is planned to be used."""


def place(given: PlanInput) -> dict[str, tuple[ModelKey, ...]]:
    """Return the models that each engine should hold, most wanted first.

    Args:
        given: Everything that the plan depends on.
    """
    return _Placement(given).work_out()


@dataclass(slots=True)
class _Slot:
    """An engine and what is placed on it so far."""

    view: ServerView
    models: dict[ModelKey, int] = field(default_factory=dict)

    @property
    def free_mb(self) -> int:
        return self.view.budget_mb - sum(self.models.values())


class _Placement:
    """One run of the placement."""

    def __init__(self, given: PlanInput) -> None:
        self.given = given
        self.allowance = given.allowance
        models = given.document.models
        self.models = {ModelKey(x.name, x.version): x for x in models}
        self.selectors = {x.name: Selector.parse(x.servers) for x in models}
        self.current = {x.name: ModelKey(x.name, x.version) for x in models}
        self.slots = {view.name: _Slot(view) for view in given.servers}
        self.weight = given.document.deployment.moves_weight
        self.holders: dict[ModelKey, set[str]] = {}

    def work_out(self) -> dict[str, tuple[ModelKey, ...]]:
        for slot in self.slots.values():
            self._keep(slot)
        self._drop_excess()
        self._provide_all()
        return {
            name: tuple(sorted(slot.models, key=self._urgency))
            for name, slot in self.slots.items()
        }

    # What is there already.

    def _keep(self, slot: _Slot) -> None:
        view = slot.view
        if not view.usable and not view.resident:
            return
        planned = [] if view.planned is None else list(view.planned)
        if not view.usable:
            planned = [key for key in planned if key in view.resident]
        kept = planned + sorted(view.resident, key=self._urgency)
        for key in kept:
            size = self._kept_size(key, slot)
            if key not in slot.models and 0 < size <= slot.free_mb:
                self._put(key, slot, size)

    def _kept_size(self, key: ModelKey, slot: _Slot) -> int:
        """Return the size of what may stay, or 0 if it has to go."""
        current = self.current.get(key.name)
        if current is None or key in slot.view.blocked:
            return 0
        model = self.models[current]
        if not self._allows(model, slot.view):
            return 0
        if key != current and not self._bridges(key, model, slot):
            return 0
        return model.memory_mb

    def _bridges(self, key: ModelKey, model: Model, slot: _Slot) -> bool:
        """Tell whether an old version is needed until the new one serves."""
        if key not in slot.view.resident or self._serves(self.current[key.name]):
            return False
        return self._wanted(model) > 0

    def _serves(self, key: ModelKey) -> bool:
        views = self.given.servers
        return any(view.serving and key in view.resident for view in views)

    def _allows(self, model: Model, view: ServerView) -> bool:
        if model.memory_mb > view.budget_mb:
            return False
        return self.selectors[model.name].matches(view.labels)

    def _drop_excess(self) -> None:
        """Give up loads that are not wanted any more and have not begun."""
        for key in list(self.holders):
            model = self.models.get(key)
            if model is None:
                continue
            excess = len(self._replicas(key)) - self._wanted(model)
            for name in sorted(self.holders[key], reverse=True):
                slot = self.slots[name]
                if excess > 0 and key not in slot.view.resident:
                    self._take(key, slot)
                    excess -= 1

    def _put(self, key: ModelKey, slot: _Slot, size: int) -> None:
        slot.models[key] = size
        self.holders.setdefault(key, set()).add(slot.view.name)

    def _take(self, key: ModelKey, slot: _Slot) -> None:
        del slot.models[key]
        self.holders[key].discard(slot.view.name)

    # What is wanted.

    def _demand(self, key: ModelKey) -> ModelDemand:
        return self.given.demand.get(key.name, ModelDemand())

    def _worth(self, key: ModelKey) -> float:
        demand = self._demand(key)
        return demand.rate * HORIZON_S + demand.waiting

    def _urgency(self, key: ModelKey) -> tuple[float, float, ModelKey]:
        return (-self._demand(key).waiting_s, -self._worth(key), key)

    def _wanted(self, model: Model) -> int:
        key = self.current[model.name]
        demand = self._demand(key)
        slots = max((view.slots for view in self.given.servers), default=1)
        busy = demand.rate * SERVICE_S / (slots * FILL)
        by_demand = 1 + int(busy) if demand.wanted else 0
        return max(model.min_replicas, by_demand)

    def _replicas(self, key: ModelKey) -> list[str]:
        """Return servers that hold a key or will; the out of reach are left out."""
        slots = self.slots
        return [x for x in self.holders.get(key, ()) if slots[x].view.serving]

    def _provide_all(self) -> None:
        """Provide missing copies, those of the greatest gain first."""
        missing = []
        for key, model in self.models.items():
            for held in range(len(self._replicas(key)), self._wanted(model)):
                missing.append((-self._gain(key, held), key))
        failed: set[ModelKey] = set()
        for _, key in sorted(missing):
            if self.allowance <= 0:
                return
            if key not in failed and not self._provide_one(key, self.models[key]):
                failed.add(key)

    def _gain(self, key: ModelKey, held: int) -> float:
        """Return what one more copy is worth beside those that are held."""
        if held < self.models[key].min_replicas:
            return math.inf
        aged = 0.0 if held else self._demand(key).waiting_s * AGE_WORTH
        return self._worth(key) / (held + 1) + aged

    def _provide_one(self, key: ModelKey, model: Model) -> bool:
        options = []
        for slot in self.slots.values():
            view = slot.view
            usable = view.usable and view.serving and key not in view.blocked
            if usable and key not in slot.models and self._allows(model, view):
                victims = self._victims(key, slot, model.memory_mb)
                if victims is not None:
                    options.append(
                        (self._order(key, slot, victims), view.name, victims)
                    )
        if not options:
            return False
        _, name, victims = min(options)
        if victims and not self._is_worth_it(key, victims):
            return False
        for victim in victims:
            self._take(victim, self.slots[name])
        self._put(key, self.slots[name], model.memory_mb)
        if key not in self.slots[name].view.resident:
            self.allowance -= 1
        return True

    def _order(
        self, key: ModelKey, slot: _Slot, victims: list[ModelKey]
    ) -> tuple[bool, float, int, int, float]:
        zone = slot.view.availability_zone
        held = [self.slots[name].view for name in self._replicas(key)]
        same_zone = sum(1 for view in held if view.availability_zone == zone)
        load = sum(self._share(x) for x in slot.models if x not in victims)
        # Memory that is freed there can be used only much later.
        late = bool(victims) and slot.view.settle_s > 0
        return (late, self._loss(victims), len(victims), same_zone, load)

    def _share(self, key: ModelKey) -> float:
        return self._worth(key) / max(1, len(self.holders.get(key, ())))

    # What has to give way.

    def _victims(
        self, key: ModelKey, slot: _Slot, size_mb: int
    ) -> list[ModelKey] | None:
        """Return what to displace, `None` if not enough may be displaced."""
        need = size_mb - slot.free_mb
        victims: list[ModelKey] = []
        candidates = [x for x in slot.models if self._may_go(x, slot)]
        for victim in sorted(candidates, key=lambda x: (self._loss([x]), x)):
            if need <= 0:
                break
            victims.append(victim)
            need -= slot.models[victim]
        if need > 0:
            return None
        return self._spare(victims, slot, -need)

    def _spare(
        self, victims: list[ModelKey], slot: _Slot, excess_mb: int
    ) -> list[ModelKey]:
        """Keep those that need not go after all, the dearest first."""
        kept = list(victims)
        for victim in reversed(victims):
            if slot.models[victim] <= excess_mb:
                excess_mb -= slot.models[victim]
                kept.remove(victim)
        return kept

    def _may_go(self, key: ModelKey, slot: _Slot) -> bool:
        model = self.models.get(key)
        if model is None:
            return True
        if len(self._replicas(key)) <= model.min_replicas:
            return False
        held_s = slot.view.resident.get(key)
        return held_s is not None and held_s >= LEAST_RESIDENCY_S

    def _loss(self, victims: list[ModelKey]) -> float:
        lost = 0.0
        for victim in victims:
            model = self.models.get(victim)
            replicas = len(self._replicas(victim))
            if model is not None and replicas <= self._wanted(model):
                lost += self._worth(victim) / max(1, replicas)
        return lost

    def _is_worth_it(self, key: ModelKey, victims: list[ModelKey]) -> bool:
        replicas = len(self._replicas(key))
        if not any(victim in self.models for victim in victims):
            return True
        if replicas == 0 and self._demand(key).waiting_s >= PATIENCE_S:
            return True
        if replicas < self.models[key].min_replicas:
            return True
        if replicas and not self._demand(key).waiting:
            return False
        gain = self._worth(key) / (replicas + 1)
        cost = self._loss(victims) + self.weight * (1 + len(victims))
        return gain > HYSTERESIS * cost
