"""Engines and what a plan has placed on them so far."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.engine_control.planner_input import ServerView

__all__ = ["Slot", "Slots"]


@dataclass(slots=True)
class Slot:
    """One engine.

    Attributes:
        view: The engine as the planner sees it.
        free_mb: Accelerator memory that is left, in MB.
        models: Size in MB of each model placed there.
    """

    view: ServerView
    free_mb: int
    models: dict[ModelKey, int] = field(default_factory=dict)


class Slots:
    """Every engine, with counts that make each question a look-up.

    Attributes:
        by_name: Engines by name.
        holders: Names of the engines that a model is placed on.
        replicas: Count of those that are within reach.
    """

    def __init__(self, views: Iterable[ServerView]) -> None:
        self.by_name = {view.name: Slot(view, view.budget_mb) for view in views}
        self.holders: dict[ModelKey, set[str]] = {}
        self.replicas: dict[ModelKey, int] = {}

    def put(self, key: ModelKey, slot: Slot, size_mb: int) -> None:
        """Place a model on an engine."""
        slot.models[key] = size_mb
        slot.free_mb -= size_mb
        self.holders.setdefault(key, set()).add(slot.view.name)
        if slot.view.serving:
            self.replicas[key] = self.replicas.get(key, 0) + 1

    def take(self, key: ModelKey, slot: Slot) -> None:
        """Take a model off an engine."""
        slot.free_mb += slot.models.pop(key)
        self.holders[key].discard(slot.view.name)
        if slot.view.serving:
            self.replicas[key] -= 1

    def count(self, key: ModelKey) -> int:
        """Return how many engines within reach hold a model or will."""
        return self.replicas.get(key, 0)

    def in_zone(self, key: ModelKey, zone: str) -> int:
        """Return how many engines of one availability zone hold a model."""
        held = (self.by_name[name].view for name in self.holders.get(key, ()))
        return sum(1 for view in held if view.availability_zone == zone)
