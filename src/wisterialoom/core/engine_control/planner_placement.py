"""Computes which engine should hold which models, as a pure function."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.engine_plans import EnginePlans
from wisterialoom.core.engine_control.model_values import ModelValues

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Model
    from wisterialoom.core.engine_control.engine_plans import EnginePlan
    from wisterialoom.core.engine_control.planner_input import EngineSnapshot, PlanInput

__all__ = ["place"]

HYSTERESIS = 1.25
"""A swap must gain more than this many times what it costs."""

REQUIRED_AFTER_S = 10.0
"""Waiting time from which a model without a replica is required, in seconds.

A required model may displace others even if they are more valuable.
"""

MAX_SWAP_ATTEMPTS = 4
"""Models for which one plan tries to displace others, at most."""


def place(plan_input: PlanInput) -> dict[str, tuple[ModelKey, ...]]:
    """Return the models that each engine should hold, highest priority first.

    Args:
        plan_input: Input of the plan.
    """
    return _Placement(plan_input).run()


class _Placement:
    """One run of the placement.

    Planned and resident models stay where they are if possible. Missing replicas
    are then placed in free memory, and after that in place of less valuable models.

    Attributes:
        plan_input: Input of the plan.
        allowance: Loads that may still start.
        models: Declared models by key.
        current: Key of the declared version, by name of the model.
        selectors: Selector of the servers that may hold a model, by its name.
        engines: Engines and the models placed on them so far.
        values: Values of the models and their replicas.
        usable: Engines that may be given models.
        move_weight: What each load or unload must gain, in requests.
        serving: Keys that are resident on some reachable engine.
    """

    def __init__(self, plan_input: PlanInput) -> None:
        self.plan_input = plan_input
        self.allowance = plan_input.allowance
        models = plan_input.document.models
        self.models = {ModelKey(x.name, x.version): x for x in models}
        self.current = {key.name: key for key in self.models}
        self.selectors = {x.name: Selector.parse(x.servers) for x in models}
        self.engines = EnginePlans(plan_input.servers)
        self.values = ModelValues(plan_input, self.engines, self.models)
        self.usable = [
            engine
            for engine in self.engines.by_name.values()
            if engine.view.usable and engine.view.serving
        ]
        self.move_weight = plan_input.document.deployment.moves_weight
        self.serving = {
            key for view in plan_input.servers if view.serving for key in view.resident
        }

    def run(self) -> dict[str, tuple[ModelKey, ...]]:
        engines = self.engines.by_name.values()
        for engine in engines:
            self._keep(engine)
        self._drop_excess()
        missing = [key for key in self.models if self.values.missing(key) > 0]
        for key in sorted(missing, key=self.values.urgency):
            self._fill(key)
        self._swap()
        return {
            engine.view.name: tuple(sorted(engine.models, key=self.values.urgency))
            for engine in engines
        }

    # Models that are already planned or resident.

    def _keep(self, engine: EnginePlan) -> None:
        view = engine.view
        planned = list(view.planned or ())
        if not view.usable:
            planned = [key for key in planned if key in view.resident]
        for key in planned + sorted(view.resident, key=self.values.urgency):
            if key in engine.models:
                continue
            size = self._kept_size(key, view)
            if 0 < size <= engine.free_mb:
                self.engines.add(key, engine, size)

    def _kept_size(self, key: ModelKey, view: EngineSnapshot) -> int:
        """Return the size of a model that may stay, or 0 if it has to leave."""
        current = self.current.get(key.name)
        if current is None or key in view.blocked:
            return 0
        model = self.models[current]
        if not self._may_host(model, view):
            return 0
        if key != current and not self._covers_upgrade(key, current, view):
            return 0
        return model.memory_mb

    def _covers_upgrade(
        self, key: ModelKey, current: ModelKey, view: EngineSnapshot
    ) -> bool:
        """Return whether an old version must stay until the new one serves."""
        if key not in view.resident or current in self.serving:
            return False
        return self.values.target_replicas[current] > 0

    def _may_host(self, model: Model, view: EngineSnapshot) -> bool:
        if model.memory_mb > view.model_budget_mb:
            return False
        return self.selectors[model.name].matches(view.labels)

    def _drop_excess(self) -> None:
        """Remove surplus replicas that are planned but not resident yet."""
        for key in self.models:
            excess = -self.values.missing(key)
            if excess <= 0:
                continue
            for name in sorted(self.engines.engines_with.get(key, ()), reverse=True):
                engine = self.engines.by_name[name]
                if excess > 0 and key not in engine.view.resident:
                    self.engines.remove(key, engine)
                    excess -= 1

    # Missing replicas that fit into free memory.

    def _candidate_engines(
        self, key: ModelKey, min_free_mb: int = 0
    ) -> list[EnginePlan]:
        """Return the engines with enough free memory that may be given a model."""
        model = self.models[key]
        return [
            engine
            for engine in self.usable
            if engine.free_mb >= min_free_mb
            and key not in engine.models
            and key not in engine.view.blocked
            and self._may_host(model, engine.view)
        ]

    def _fill(self, key: ModelKey) -> None:
        """Place replicas where no other model has to be displaced."""
        size = self.models[key].memory_mb
        while self.values.missing(key) > 0 and self.allowance > 0:
            candidates = self._candidate_engines(key, size)
            if not candidates:
                return
            best = min(candidates, key=lambda engine: self._spread_order(key, engine))
            self._add(key, best)

    def _spread_order(
        self, key: ModelKey, engine: EnginePlan
    ) -> tuple[int, float, str]:
        zone = engine.view.availability_zone
        load = sum(self.values.share(held) for held in engine.models)
        return (self.engines.count_in_zone(key, zone), load, engine.view.name)

    def _add(self, key: ModelKey, engine: EnginePlan) -> None:
        self.engines.add(key, engine, self.models[key].memory_mb)
        if key not in engine.view.resident:
            self.allowance -= 1

    # Missing replicas that displace other models.

    def _swap(self) -> None:
        missing = [key for key in self.models if self.values.missing(key) > 0]
        for key in sorted(missing, key=self._swap_order)[:MAX_SWAP_ATTEMPTS]:
            if self.allowance <= 0:
                return
            self._swap_in(key)

    def _swap_order(self, key: ModelKey) -> tuple[bool, float, float, ModelKey]:
        is_required = self._is_required(key)
        waiting_s = self.values.waiting_s(key) if is_required else 0.0
        return (not is_required, -waiting_s, -self.values.gain(key), key)

    def _is_required(self, key: ModelKey) -> bool:
        reachable_replicas = self.engines.replica_count(key)
        if reachable_replicas < self.models[key].min_replicas:
            return True
        return (
            reachable_replicas == 0 and self.values.waiting_s(key) >= REQUIRED_AFTER_S
        )

    def _swap_in(self, key: ModelKey) -> None:
        size = self.models[key].memory_mb
        options = []
        for engine in self._candidate_engines(key):
            victims = self._victims(engine, size, for_required=self._is_required(key))
            if victims is not None:
                loss = sum(self.values.loss(victim) for victim in victims)
                order = (loss, len(victims), *self._spread_order(key, engine))
                options.append((order, victims))
        if not options:
            return
        order, victims = min(options)
        if not self._is_swap_worthwhile(key, victims, loss=order[0]):
            return
        engine = self.engines.by_name[order[-1]]
        for victim in victims:
            self.engines.remove(victim, engine)
        self._add(key, engine)

    def _victims(
        self, engine: EnginePlan, size_mb: int, *, for_required: bool
    ) -> list[ModelKey] | None:
        """Return the models to displace; `None` if too little memory would be freed."""
        need = size_mb - engine.free_mb
        evictable = [
            key
            for key in engine.models
            if self.values.may_evict(key, engine, for_required=for_required)
        ]
        if sum(engine.models[key] for key in evictable) < need:
            return None
        victims: list[ModelKey] = []
        for victim in sorted(evictable, key=lambda key: (self.values.loss(key), key)):
            if need <= 0:
                break
            victims.append(victim)
            need -= engine.models[victim]
        return _without_unneeded(victims, engine, -need)

    def _is_swap_worthwhile(
        self, key: ModelKey, victims: list[ModelKey], loss: float
    ) -> bool:
        only_undeclared = not any(victim in self.models for victim in victims)
        if only_undeclared or self._is_required(key):
            return True
        cost = loss + self.move_weight * (1 + len(victims))
        return self.values.gain(key) > HYSTERESIS * cost


def _without_unneeded(
    victims: list[ModelKey], engine: EnginePlan, excess_mb: int
) -> list[ModelKey]:
    """Drop the victims that need not be displaced, the most valuable ones first."""
    needed = list(victims)
    for victim in reversed(victims):
        if engine.models[victim] <= excess_mb:
            excess_mb -= engine.models[victim]
            needed.remove(victim)
    return needed
