"""Placement on demand with LRU eviction, a baseline for the planner.

Whenever requests wait for a model, one more replica of it is loaded, on the engine
where the models that it displaces were used least recently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.planner import Planner

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Model
    from wisterialoom.core.engine_control.planner_input import EngineSnapshot, PlanInput

__all__ = ["LruPlanner"]

Held = dict[str, list[ModelKey]]
"""Models that each engine should hold, by name of the engine."""


class LruPlanner(Planner):
    """Plans by recency of use alone.

    Attributes:
        last_used: Number of the plan at which each model was last in demand.
        rates: Fast averages of the rates at the last plan. A higher rate means that
            the model was requested since.
        plans: Count of plans.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.last_used: dict[str, int] = {}
        self.rates: dict[str, float] = {}
        self.plans = 0

    def place(self, plan_input: PlanInput) -> dict[str, tuple[ModelKey, ...]]:
        """Return the models that each engine should hold; see `Planner`."""
        self._update_last_used(plan_input)
        models = {ModelKey(x.name, x.version): x for x in plan_input.document.models}
        held = {
            view.name: self._kept_models(view, models) for view in plan_input.servers
        }
        allowance = plan_input.allowance
        for key in sorted(models, key=lambda x: (-self.last_used.get(x.name, 0), x)):
            demand = plan_input.demand.get(key.name)
            if demand is None or not demand.waiting or allowance <= 0:
                continue
            if not self._is_loading(key, plan_input, held):
                allowance -= self._load(key, models, plan_input, held)
        return {name: tuple(keys) for name, keys in held.items()}

    def _update_last_used(self, plan_input: PlanInput) -> None:
        self.plans += 1
        for name, demand in plan_input.demand.items():
            if demand.waiting or demand.fast > self.rates.get(name, 0.0):
                self.last_used[name] = self.plans
        self.rates = {name: item.fast for name, item in plan_input.demand.items()}

    def _kept_models(
        self, view: EngineSnapshot, models: dict[ModelKey, Model]
    ) -> list[ModelKey]:
        planned = (
            list(view.planned) if view.planned is not None else list(view.resident)
        )
        return [key for key in planned if key in models and key not in view.blocked]

    def _is_loading(self, key: ModelKey, plan_input: PlanInput, held: Held) -> bool:
        views = plan_input.servers
        return any(
            key in held[view.name] and key not in view.resident and view.serving
            for view in views
        )

    def _load(
        self,
        key: ModelKey,
        models: dict[ModelKey, Model],
        plan_input: PlanInput,
        held: Held,
    ) -> int:
        """Place one replica if possible; return the count of loads, 0 or 1."""
        selector = Selector.parse(models[key].servers)
        options = []
        for view in plan_input.servers:
            fits = models[key].memory_mb <= view.model_budget_mb
            if not view.usable or key in held[view.name] or key in view.blocked:
                continue
            if fits and selector.matches(view.labels):
                victims = self._victims(models[key], view, models, held[view.name])
                newest = max(
                    (self.last_used.get(x.name, 0) for x in victims), default=-1
                )
                options.append((newest, view.name, victims))
        if not options:
            return 0
        _, name, victims = min(options)
        held[name] = [x for x in held[name] if x not in victims] + [key]
        return 1

    def _victims(
        self,
        model: Model,
        view: EngineSnapshot,
        models: dict[ModelKey, Model],
        held: list[ModelKey],
    ) -> list[ModelKey]:
        free_mb = view.model_budget_mb - sum(models[key].memory_mb for key in held)
        victims = []
        for key in sorted(held, key=lambda x: (self.last_used.get(x.name, 0), x)):
            if free_mb >= model.memory_mb:
                break
            victims.append(key)
            free_mb += models[key].memory_mb
        return victims
