"""Loads adapters on servers that have their model, on demand and in advance."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from wisterialoom.core.placement.order import Action

if TYPE_CHECKING:
    from wisterialoom.core.placement._planning_context import PlanningContext
    from wisterialoom.core.placement.server_state import ServerState

__all__ = ["AdapterPlacer"]

MIN_ADAPTER_AGE_S = 0.5
"""Minimum age at which an adapter may be unloaded.

The requests that the adapter was loaded for need up to this time to reach the server.
"""


class AdapterPlacer:
    """Orders adapters to be loaded and unloaded in one planning round.

    Attributes:
        context: State of the planning round.
    """

    def __init__(self, context: PlanningContext) -> None:
        self.context = context

    def place_adapters(self) -> None:
        """Load adapters that requests wait for, those with most requests first."""
        for resource, _ in sorted(
            self.context.waiting.items(), key=lambda item: -item[1]
        ):
            model, _, adapter = resource.partition("/")
            if not adapter or model not in self.context.engine.models:
                continue
            if any(
                adapter in state.models.get(model, ()) for state in self.context.states
            ):
                continue
            holders = [
                state
                for state in self.context.states
                if model in self.context.kept_models(state)
                and self.context.may_order(state)
            ]
            if holders:
                best = min(
                    holders, key=lambda state: self.adapter_rank(state, resource)
                )
                self.place_adapter(best, model, adapter)

    def prefetch_adapters(self) -> None:
        """Load adapters into free adapter slots before they are requested.

        Only models with enough adapter requests are considered. The most recently
        requested adapters come first, and an adapter that is already resident on any
        server is not loaded on another.
        """
        rates = self.context.adapter_rates
        for model in sorted(rates, key=lambda name: -rates[name]):
            profile = self.context.engine.models.get(model)
            if profile is None or rates[model] < self.context.weights.prefetch_rate:
                continue
            held: set[str] = set()
            for state in self.context.states:
                held |= state.models.get(model, frozenset())
            names = [f"a{number}" for number in range(1, profile.adapters + 1)]
            missing = [name for name in names if name not in held]
            last = self.context.demand.last_arrival
            missing.sort(key=lambda name: -last.get(f"{model}/{name}", 0.0))
            for state in sorted(self.context.states, key=self.context.utilization):
                if missing and self.may_prefetch(state, model):
                    self.context.add(state, Action.LOAD, model, missing.pop(0))

    def may_prefetch(self, state: ServerState, model: str) -> bool:
        """Return whether a server has a free slot for an adapter of a model."""
        if model not in self.context.kept_models(state) or not self.context.may_order(
            state
        ):
            return False
        count = sum(len(adapters) for adapters in state.models.values())
        return count < self.context.engine.adapter_slots

    def adapter_rank(self, state: ServerState, resource: str) -> tuple[float, int]:
        """Return the sort key of a server for one more adapter; lower is better."""
        count = sum(len(adapters) for adapters in state.models.values())
        full_penalty = 0.3 if count >= self.context.engine.adapter_slots else 0.0
        draw = zlib.crc32(f"{resource}{state.server_id}".encode())
        return (round(self.context.utilization(state) + full_penalty, 1), draw)

    def place_adapter(self, state: ServerState, model: str, adapter: str) -> None:
        """Load an adapter, or unload an idle one if no adapter slot is free."""
        held = [
            (name, loaded)
            for name, adapters in state.models.items()
            for loaded in adapters
        ]
        if len(held) < self.context.engine.adapter_slots:
            self.context.add(state, Action.LOAD, model, adapter)
            return
        in_use = self.context.running.get(state.server_id, {})
        idle = [
            (
                self.context.demand.last_arrival.get(f"{name}/{loaded}", 0.0),
                name,
                loaded,
            )
            for name, loaded in held
            if not in_use.get(f"{name}/{loaded}")
            and not self.context.waiting.get(f"{name}/{loaded}")
            and self.context.now - state.loaded_at.get(f"{name}/{loaded}", 0.0)
            > MIN_ADAPTER_AGE_S
        ]
        if idle:
            _, name, loaded = min(idle)
            self.context.add(state, Action.UNLOAD, name, loaded)

    def age_s(self, state: ServerState, resource: str) -> float:
        """Return the time since an adapter was loaded."""
        return self.context.now - state.loaded_at.get(resource, 0.0)
