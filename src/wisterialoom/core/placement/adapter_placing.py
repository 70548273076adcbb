"""Brings adapters to servers that hold their model: on demand, and ahead of it."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from wisterialoom.core.placement.order import Action

if TYPE_CHECKING:
    from wisterialoom.core.placement._round_view import RoundView
    from wisterialoom.core.placement.server_state import ServerState

__all__ = ["AdapterPlacing"]

ADAPTER_IDLE_S = 0.5
"""Age below which an adapter does not make way; its first requests still come."""


class AdapterPlacing:
    """Orders about adapters in one planning round.

    Attributes:
        view: What the round knows.
    """

    def __init__(self, view: RoundView) -> None:
        self.view = view

    def place_adapters(self) -> None:
        """Bring in adapters that requests wait for."""
        for resource, _ in sorted(self.view.waiting.items(), key=lambda item: -item[1]):
            model, _, adapter = resource.partition("/")
            if not adapter or model not in self.view.engine.models:
                continue
            if any(
                adapter in state.models.get(model, ()) for state in self.view.states
            ):
                continue
            holders = [
                state
                for state in self.view.states
                if model in self.view.held(state) and self.view.may_order(state)
            ]
            if holders:
                best = min(
                    holders, key=lambda state: self.adapter_rank(state, resource)
                )
                self.place_adapter(best, model, adapter)

    def prefetch_adapters(self) -> None:
        """Bring adapters of models that are asked for by adapter to free places.

        Adapters that were asked for go first; one that any server holds is not
        brought to another.
        """
        rates = self.view.adapter_rates
        for model in sorted(rates, key=lambda name: -rates[name]):
            profile = self.view.engine.models.get(model)
            if profile is None or rates[model] < self.view.weights.prefetch_rate:
                continue
            held: set[str] = set()
            for state in self.view.states:
                held |= state.models.get(model, frozenset())
            names = [f"a{number}" for number in range(1, profile.adapters + 1)]
            missing = [name for name in names if name not in held]
            last = self.view.demand.last_arrival
            missing.sort(key=lambda name: -last.get(f"{model}/{name}", 0.0))
            for state in sorted(self.view.states, key=self.view.fill):
                if missing and self.may_prefetch(state, model):
                    self.view.add(state, Action.LOAD, model, missing.pop(0))

    def may_prefetch(self, state: ServerState, model: str) -> bool:
        """Tell whether a server has a free place for an adapter of a model."""
        if model not in self.view.held(state) or not self.view.may_order(state):
            return False
        count = sum(len(adapters) for adapters in state.models.values())
        return count < self.view.engine.adapter_slots

    def adapter_rank(self, state: ServerState, resource: str) -> tuple[float, int]:
        """Return how badly a server suits one more adapter."""
        count = sum(len(adapters) for adapters in state.models.values())
        full = 0.3 if count >= self.view.engine.adapter_slots else 0.0
        draw = zlib.crc32(f"{resource}{state.server_id}".encode())
        return (round(self.view.fill(state) + full, 1), draw)

    def place_adapter(self, state: ServerState, model: str, adapter: str) -> None:
        """Load an adapter, or first let one go that is not in use."""
        held = [
            (name, other) for name, others in state.models.items() for other in others
        ]
        if len(held) < self.view.engine.adapter_slots:
            self.view.add(state, Action.LOAD, model, adapter)
            return
        in_use = self.view.running.get(state.server_id, {})
        idle = [
            (self.view.demand.last_arrival.get(f"{name}/{other}", 0.0), name, other)
            for name, other in held
            if not in_use.get(f"{name}/{other}")
            and not self.view.waiting.get(f"{name}/{other}")
            and self.view.now - state.loaded_at.get(f"{name}/{other}", 0.0)
            > ADAPTER_IDLE_S
        ]
        if idle:
            _, name, other = min(idle)
            self.view.add(state, Action.UNLOAD, name, other)

    def age_s(self, state: ServerState, resource: str) -> float:
        """Return the time since an adapter was loaded."""
        return self.view.now - state.loaded_at.get(resource, 0.0)
