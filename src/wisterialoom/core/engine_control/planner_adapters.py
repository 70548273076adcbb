"""Plans which adapters an engine should hold along with its models."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.demand import ModelDemand

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Adapter
    from wisterialoom.core.engine_control.planner_input import EngineSnapshot, PlanInput

__all__ = ["place_adapters", "with_adapter_demand"]

RESIDENT_FACTOR = 1.5
"""Factor on the rate of a resident adapter, so that adapters are swapped less."""


def place_adapters(
    plan_input: PlanInput, view: EngineSnapshot, models: tuple[ModelKey, ...]
) -> tuple[ModelKey, ...]:
    """Return the adapters for one engine, highest priority first.

    Args:
        plan_input: Input of the plan.
        view: The engine.
        models: Models planned for that engine.
    """
    bases = {key.name for key in models}
    chosen: list[ModelKey] = []
    free_mb = view.adapter_budget_mb
    candidates = [x for x in plan_input.document.adapters if x.model in bases]
    for adapter in sorted(
        candidates, key=lambda x: (-_score(x, plan_input, view), x.name)
    ):
        key = ModelKey(adapter.name, adapter.version)
        eligible = key in view.resident or _demand(adapter, plan_input).is_positive
        if eligible and adapter.memory_mb <= free_mb:
            free_mb -= adapter.memory_mb
            chosen.append(key)
    return tuple(chosen)


def with_adapter_demand(plan_input: PlanInput) -> dict[str, ModelDemand]:
    """Return the demand, each adapter's being added to that for its base model too."""
    demand = dict(plan_input.demand)
    for adapter in plan_input.document.adapters:
        own = plan_input.demand.get(adapter.name)
        if own is None:
            continue
        base = demand.get(adapter.model, ModelDemand())
        demand[adapter.model] = ModelDemand(
            base.fast + own.fast,
            base.slow + own.slow,
            base.waiting + own.waiting,
            max(base.waiting_s, own.waiting_s),
        )
    return demand


def _demand(adapter: Adapter, plan_input: PlanInput) -> ModelDemand:
    return plan_input.demand.get(adapter.name, ModelDemand())


def _score(adapter: Adapter, plan_input: PlanInput, view: EngineSnapshot) -> float:
    demand = _demand(adapter, plan_input)
    factor = RESIDENT_FACTOR if _key(adapter) in view.resident else 1.0
    return demand.fast * factor + demand.waiting


def _key(adapter: Adapter) -> ModelKey:
    return ModelKey(adapter.name, adapter.version)
