"""Which engine should hold which models: a function of its input."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.planner_slots import Slots
from wisterialoom.core.engine_control.planner_worth import Worth

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Model
    from wisterialoom.core.engine_control.planner_input import PlanInput, ServerView
    from wisterialoom.core.engine_control.planner_slots import Slot

__all__ = ["place"]

HYSTERESIS = 1.25
"""A swap must gain this many times what it costs."""

PATIENCE_S = 10.0
"""After waiting this long, a model without a replica displaces another."""

SWAP_TRIES = 4
"""Models for which a plan looks for something to displace."""


def place(given: PlanInput) -> dict[str, tuple[ModelKey, ...]]:
    """Return the models that each engine should hold, most wanted first.

    Args:
        given: Everything that the plan depends on.
    """
    return _Placement(given).work_out()


class _Placement:
    """One run of the placement."""

    def __init__(self, given: PlanInput) -> None:
        self.given = given
        self.allowance = given.allowance
        models = given.document.models
        self.models = {ModelKey(x.name, x.version): x for x in models}
        self.current = {key.name: key for key in self.models}
        self.selectors = {x.name: Selector.parse(x.servers) for x in models}
        self.slots = Slots(given.servers)
        self.worth = Worth(given, self.slots, self.models)
        self.usable = [
            slot
            for slot in self.slots.by_name.values()
            if slot.view.usable and slot.view.serving
        ]
        self.weight = given.document.deployment.moves_weight
        self.serving = {
            key for view in given.servers if view.serving for key in view.resident
        }

    def work_out(self) -> dict[str, tuple[ModelKey, ...]]:
        slots = self.slots.by_name.values()
        for slot in slots:
            self._keep(slot)
        self._drop_excess()
        missing = [key for key in self.models if self.worth.missing(key) > 0]
        for key in sorted(missing, key=self.worth.urgency):
            self._fill(key)
        self._swap()
        return {
            slot.view.name: tuple(sorted(slot.models, key=self.worth.urgency))
            for slot in slots
        }

    # What is there already.

    def _keep(self, slot: Slot) -> None:
        view = slot.view
        planned = list(view.planned or ())
        if not view.usable:
            planned = [key for key in planned if key in view.resident]
        for key in planned + sorted(view.resident, key=self.worth.urgency):
            if key in slot.models:
                continue
            size = self._kept_size(key, view)
            if 0 < size <= slot.free_mb:
                self.slots.put(key, slot, size)

    def _kept_size(self, key: ModelKey, view: ServerView) -> int:
        """Return the size of what may stay, or 0 if it has to go."""
        current = self.current.get(key.name)
        if current is None or key in view.blocked:
            return 0
        model = self.models[current]
        if not self._allows(model, view):
            return 0
        if key != current and not self._bridges(key, current, view):
            return 0
        return model.memory_mb

    def _bridges(self, key: ModelKey, current: ModelKey, view: ServerView) -> bool:
        """Tell whether an old version is needed until the new one serves."""
        if key not in view.resident or current in self.serving:
            return False
        return self.worth.wanted[current] > 0

    def _allows(self, model: Model, view: ServerView) -> bool:
        if model.memory_mb > view.budget_mb:
            return False
        return self.selectors[model.name].matches(view.labels)

    def _drop_excess(self) -> None:
        """Give up loads that are not wanted any more and have not begun."""
        for key in self.models:
            excess = -self.worth.missing(key)
            if excess <= 0:
                continue
            for name in sorted(self.slots.holders.get(key, ()), reverse=True):
                slot = self.slots.by_name[name]
                if excess > 0 and key not in slot.view.resident:
                    self.slots.take(key, slot)
                    excess -= 1

    # What is missing.

    def _open_slots(self, key: ModelKey, room_mb: int = 0) -> list[Slot]:
        """Return the engines with some room that a model may be added to."""
        model = self.models[key]
        return [
            slot
            for slot in self.usable
            if slot.free_mb >= room_mb
            and key not in slot.models
            and key not in slot.view.blocked
            and self._allows(model, slot.view)
        ]

    def _fill(self, key: ModelKey) -> None:
        """Place replicas where nothing has to give way."""
        size = self.models[key].memory_mb
        while self.worth.missing(key) > 0 and self.allowance > 0:
            roomy = self._open_slots(key, size)
            if not roomy:
                return
            best = min(roomy, key=lambda slot: self._spread(key, slot))
            self._add(key, best)

    def _spread(self, key: ModelKey, slot: Slot) -> tuple[int, float, str]:
        zone = slot.view.availability_zone
        load = sum(self.worth.share(held) for held in slot.models)
        return (self.slots.in_zone(key, zone), load, slot.view.name)

    def _add(self, key: ModelKey, slot: Slot) -> None:
        self.slots.put(key, slot, self.models[key].memory_mb)
        if key not in slot.view.resident:
            self.allowance -= 1

    # What has to give way.

    def _swap(self) -> None:
        missing = [key for key in self.models if self.worth.missing(key) > 0]
        for key in sorted(missing, key=self._swap_order)[:SWAP_TRIES]:
            if self.allowance <= 0:
                return
            self._swap_in(key)

    def _swap_order(self, key: ModelKey) -> tuple[bool, float, float, ModelKey]:
        must = self._must_have(key)
        waited = self.worth.waiting_s(key) if must else 0.0
        return (not must, -waited, -self.worth.gain(key), key)

    def _must_have(self, key: ModelKey) -> bool:
        replicas = self.slots.count(key)
        if replicas < self.models[key].min_replicas:
            return True
        return replicas == 0 and self.worth.waiting_s(key) >= PATIENCE_S

    def _swap_in(self, key: ModelKey) -> None:
        size = self.models[key].memory_mb
        options = []
        for slot in self._open_slots(key):
            victims = self._victims(slot, size, for_must=self._must_have(key))
            if victims is not None:
                loss = sum(self.worth.loss(victim) for victim in victims)
                order = (loss, len(victims), *self._spread(key, slot))
                options.append((order, victims))
        if not options:
            return
        order, victims = min(options)
        if not self._is_worth_it(key, victims, loss=order[0]):
            return
        slot = self.slots.by_name[order[-1]]
        for victim in victims:
            self.slots.take(victim, slot)
        self._add(key, slot)

    def _victims(
        self, slot: Slot, size_mb: int, *, for_must: bool
    ) -> list[ModelKey] | None:
        """Return what to displace, `None` if not enough may be displaced."""
        need = size_mb - slot.free_mb
        movable = [
            key
            for key in slot.models
            if self.worth.may_go(key, slot, for_must=for_must)
        ]
        if sum(slot.models[key] for key in movable) < need:
            return None
        victims: list[ModelKey] = []
        for victim in sorted(movable, key=lambda key: (self.worth.loss(key), key)):
            if need <= 0:
                break
            victims.append(victim)
            need -= slot.models[victim]
        return _without_spare(victims, slot, -need)

    def _is_worth_it(self, key: ModelKey, victims: list[ModelKey], loss: float) -> bool:
        replaces_only_old = not any(victim in self.models for victim in victims)
        if replaces_only_old or self._must_have(key):
            return True
        cost = loss + self.weight * (1 + len(victims))
        return self.worth.gain(key) > HYSTERESIS * cost


def _without_spare(
    victims: list[ModelKey], slot: Slot, excess_mb: int
) -> list[ModelKey]:
    """Return the victims without those that need not go, the dearest first."""
    needed = list(victims)
    for victim in reversed(victims):
        if slot.models[victim] <= excess_mb:
            excess_mb -= slot.models[victim]
            needed.remove(victim)
    return needed
