"""Engines with the models that a plan has placed on them so far."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.engine_control.planner_input import EngineSnapshot

__all__ = ["EnginePlan", "EnginePlans"]


@dataclass(slots=True)
class EnginePlan:
    """One engine and the models placed on it.

    Attributes:
        view: Snapshot of the engine.
        free_mb: Accelerator memory that is left for models, in MB.
        models: Size in MB of each model placed on the engine.
    """

    view: EngineSnapshot
    free_mb: int
    models: dict[ModelKey, int] = field(default_factory=dict)


class EnginePlans:
    """All engines, with indexes by model.

    Attributes:
        by_name: Engines by name.
        engines_with: Names of the engines that each model is placed on.
        reachable_replicas: Count of the reachable engines among `engines_with`, by
            model.
    """

    def __init__(self, views: Iterable[EngineSnapshot]) -> None:
        self.by_name = {
            view.name: EnginePlan(view, view.model_budget_mb) for view in views
        }
        self.engines_with: dict[ModelKey, set[str]] = {}
        self.reachable_replicas: dict[ModelKey, int] = {}

    def add(self, key: ModelKey, engine: EnginePlan, size_mb: int) -> None:
        """Place a model on an engine."""
        engine.models[key] = size_mb
        engine.free_mb -= size_mb
        self.engines_with.setdefault(key, set()).add(engine.view.name)
        if engine.view.serving:
            self.reachable_replicas[key] = self.reachable_replicas.get(key, 0) + 1

    def remove(self, key: ModelKey, engine: EnginePlan) -> None:
        """Remove a model from an engine."""
        engine.free_mb += engine.models.pop(key)
        self.engines_with[key].discard(engine.view.name)
        if engine.view.serving:
            self.reachable_replicas[key] -= 1

    def replica_count(self, key: ModelKey) -> int:
        """Return how many reachable engines hold a model or will do so."""
        return self.reachable_replicas.get(key, 0)

    def count_in_zone(self, key: ModelKey, zone: str) -> int:
        """Return on how many engines of an availability zone a model is placed."""
        held = (self.by_name[name].view for name in self.engines_with.get(key, ()))
        return sum(1 for view in held if view.availability_zone == zone)
