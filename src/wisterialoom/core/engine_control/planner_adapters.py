"""Which adapters an engine should hold beside its models."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.demand import ModelDemand

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Adapter
    from wisterialoom.core.engine_control.planner_input import PlanInput, ServerView

__all__ = ["place_adapters", "with_adapter_demand"]

RESIDENT_BONUS = 1.5
"""An adapter that is resident counts this many times its demand."""


def place_adapters(
    given: PlanInput, view: ServerView, models: tuple[ModelKey, ...]
) -> tuple[ModelKey, ...]:
    """Return the adapters for one engine, most wanted first.

    Args:
        given: Everything that the plan depends on.
        view: The engine.
        models: Models planned there.
    """
    bases = {key.name for key in models}
    chosen: list[ModelKey] = []
    free_mb = view.pool_mb
    candidates = [x for x in given.document.adapters if x.model in bases]
    for adapter in sorted(candidates, key=lambda x: (-_score(x, given, view), x.name)):
        key = ModelKey(adapter.name, adapter.version)
        wanted = key in view.resident or _demand(adapter, given).wanted
        if wanted and adapter.memory_mb <= free_mb:
            free_mb -= adapter.memory_mb
            chosen.append(key)
    return tuple(chosen)


def with_adapter_demand(given: PlanInput) -> dict[str, ModelDemand]:
    """Return the demand with each adapter's added to that of its model."""
    demand = dict(given.demand)
    for adapter in given.document.adapters:
        own = given.demand.get(adapter.name)
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


def _demand(adapter: Adapter, given: PlanInput) -> ModelDemand:
    return given.demand.get(adapter.name, ModelDemand())


def _score(adapter: Adapter, given: PlanInput, view: ServerView) -> float:
    demand = _demand(adapter, given)
    bonus = RESIDENT_BONUS if _key(adapter) in view.resident else 1.0
    return demand.fast * bonus + demand.waiting


def _key(adapter: Adapter) -> ModelKey:
    return ModelKey(adapter.name, adapter.version)
