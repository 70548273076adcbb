"""Placement on demand with eviction of the least recently used: a baseline.

Whenever requests wait for a model, one more copy of it is loaded, wherever the
models that have to give way were used least recently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.planner import Planner

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Model
    from wisterialoom.core.engine_control.planner_input import PlanInput, ServerView

__all__ = ["LruPlanner"]

Held = dict[str, list[ModelKey]]


class LruPlanner(Planner):
    """Plans by recency alone.

    Attributes:
        used: Count of the plan at which each model was last asked for.
        rates: Demand at the last plan, to tell whether there was any since.
        plans: Count of plans.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.used: dict[str, int] = {}
        self.rates: dict[str, float] = {}
        self.plans = 0

    def place(self, given: PlanInput) -> dict[str, tuple[ModelKey, ...]]:
        """Return the models that each engine should hold; see `Planner`."""
        self._note_use(given)
        models = {ModelKey(x.name, x.version): x for x in given.document.models}
        held = {view.name: self._kept(view, models) for view in given.servers}
        allowance = given.allowance
        for key in sorted(models, key=lambda x: (-self.used.get(x.name, 0), x)):
            demand = given.demand.get(key.name)
            if demand is None or not demand.waiting or allowance <= 0:
                continue
            if not self._underway(key, given, held):
                allowance -= self._load(key, models, given, held)
        return {name: tuple(keys) for name, keys in held.items()}

    def _note_use(self, given: PlanInput) -> None:
        self.plans += 1
        for name, demand in given.demand.items():
            if demand.waiting or demand.fast > self.rates.get(name, 0.0):
                self.used[name] = self.plans
        self.rates = {name: item.fast for name, item in given.demand.items()}

    def _kept(self, view: ServerView, models: dict[ModelKey, Model]) -> list[ModelKey]:
        planned = (
            list(view.planned) if view.planned is not None else list(view.resident)
        )
        return [key for key in planned if key in models and key not in view.blocked]

    def _underway(self, key: ModelKey, given: PlanInput, held: Held) -> bool:
        views = given.servers
        return any(
            key in held[view.name] and key not in view.resident and view.serving
            for view in views
        )

    def _load(
        self,
        key: ModelKey,
        models: dict[ModelKey, Model],
        given: PlanInput,
        held: Held,
    ) -> int:
        """Place one copy; return the count of loads."""
        selector = Selector.parse(models[key].servers)
        options = []
        for view in given.servers:
            fits = models[key].memory_mb <= view.budget_mb
            if not view.usable or key in held[view.name] or key in view.blocked:
                continue
            if fits and selector.matches(view.labels):
                victims = self._victims(models[key], view, models, held[view.name])
                newest = max((self.used.get(x.name, 0) for x in victims), default=-1)
                options.append((newest, view.name, victims))
        if not options:
            return 0
        _, name, victims = min(options)
        held[name] = [x for x in held[name] if x not in victims] + [key]
        return 1

    def _victims(
        self,
        model: Model,
        view: ServerView,
        models: dict[ModelKey, Model],
        held: list[ModelKey],
    ) -> list[ModelKey]:
        free_mb = view.budget_mb - sum(models[key].memory_mb for key in held)
        victims = []
        for key in sorted(held, key=lambda x: (self.used.get(x.name, 0), x)):
            if free_mb >= model.memory_mb:
                break
            victims.append(key)
            free_mb += models[key].memory_mb
        return victims
