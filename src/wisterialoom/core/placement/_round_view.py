"""What one planning round knows of servers and demand, and the orders it gathers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisterialoom.core.placement.order import Action, Order

if TYPE_CHECKING:
    from wisterialoom.core.placement.fleet_demand import FleetDemand
    from wisterialoom.core.placement.planner import PlacementPlanner
    from wisterialoom.core.placement.server_state import ServerState

__all__ = ["RoundView"]


class RoundView:
    """One look at all servers; gathers the orders of this moment.

    Attributes:
        copies: Copies of each model that take requests, loads in progress included.
        wanted: Copies that each model should have.
        orders: Orders of this round, at most one for each server.
    """

    def __init__(
        self,
        planner: PlacementPlanner,
        now: float,
        states: list[ServerState],
        demand: FleetDemand,
    ) -> None:
        self.planner = planner
        self.engine = planner.engine
        self.weights = planner.weights
        self.now = now
        self.states = states
        self.orders: list[Order] = []
        self.ordered: set[str] = set()
        self.demand = demand
        self.waiting = demand.waiting(now)
        self.rates = demand.model_rates(now)
        self.running = demand.running(now)
        self.copies: dict[str, int] = {}
        for state in states:
            for model in self.held(state) | {state.loading}:
                self.copies[model] = self.copies.get(model, 0) + 1
        self.adapter_rates: dict[str, float] = {}
        for wanted in demand.rates:
            model, _, adapter = wanted.partition("/")
            if adapter:
                rate = demand.rate(now, wanted)
                self.adapter_rates[model] = self.adapter_rates.get(model, 0.0) + rate
        self._drop_reservations()
        self._follow_loads()
        self.wanted = self._wanted_copies()

    def _follow_loads(self) -> None:
        planner = self.planner
        sink = math.exp((planner.decided_at - self.now) / self.weights.calm_s)
        planner.decided_at = self.now
        current: dict[str, float] = {}
        for counts in (self.waiting, *self.running.values()):
            for wanted, count in counts.items():
                model = wanted.partition("/")[0]
                current[model] = current.get(model, 0.0) + count
        for model in planner.loads.keys() | current.keys():
            load = max(current.get(model, 0.0), planner.loads.get(model, 0.0) * sink)
            planner.loads[model] = load

    def _wanted_copies(self) -> dict[str, int]:
        per_copy = max(1.0, self.weights.target_fill * self.engine.slots)
        wanted: dict[str, int] = {}
        for model, load in self.planner.loads.items():
            if model not in self.engine.models:
                continue
            copies = math.ceil(load / per_copy)
            if self.rates.get(model, 0.0) >= self.weights.twice_rate:
                copies = max(2, copies)
            wanted[model] = min(copies, len(self.states))
        return self._fit_places(wanted)

    def _fit_places(self, wanted: dict[str, int]) -> dict[str, int]:
        """Cut down the copies of busy models to their part of all places."""
        sizes = [profile.weights_mb for profile in self.engine.models.values()]
        mean_mb = sum(sizes) / max(1, len(sizes))
        places = len(self.states) * int(self.engine.weights_mb // max(1.0, mean_mb))
        hot = {model: copies for model, copies in wanted.items() if copies > 1}
        limit = self.weights.hot_share * places
        while sum(hot.values()) > max(limit, len(hot)):
            # The model with the least load for each copy gives one back.
            loads = self.planner.loads
            model = min(hot, key=lambda name: loads[name] / hot[name])
            hot[model] -= 1
            if hot[model] <= 1:
                del hot[model]
                wanted[model] = 1
        return {**wanted, **hot}

    def _drop_reservations(self) -> None:
        ids = {state.server_id for state in self.states}
        reserved = self.planner.reserved
        for server_id, (_, until) in list(reserved.items()):
            if self.now >= until or server_id not in ids:
                del reserved[server_id]
        for model, _ in reserved.values():
            self.copies[model] = self.copies.get(model, 0) + 1
        for state in self.states:
            if state.retiring and state.server_id not in reserved:
                self.keep(state)

    def keep(self, state: ServerState) -> None:
        """Let a server's retiring copies take requests again."""
        for model in state.retiring & state.models.keys():
            self.copies[model] = self.copies.get(model, 0) + 1
        state.retiring = frozenset()

    def held(self, state: ServerState) -> set[str]:
        """Return the models that a server holds and keeps."""
        return set(state.models) - {state.unloading} - state.retiring

    def free_mb(self, state: ServerState) -> float:
        """Return the memory for weights that is free, all adapter places filled."""
        used = 0.0
        for name in set(state.models) | ({state.loading} - {""}):
            profile = self.engine.models.get(name)
            # A model that is not declared any more is taken for the largest.
            used += profile.weights_mb if profile else self.largest_mb()
        return self.engine.weights_mb - used - self.adapters_mb()

    def largest_mb(self) -> float:
        """Return the size of the largest model."""
        return max(profile.weights_mb for profile in self.engine.models.values())

    def adapters_mb(self) -> float:
        """Return the memory of all adapter places, filled with the largest."""
        sizes = [profile.adapter_mb for profile in self.engine.models.values()]
        return self.engine.adapter_slots * max(sizes, default=0.0)

    def fill(self, state: ServerState) -> float:
        """Return the requests at a server in shares of its slots."""
        counts = self.running.get(state.server_id, {})
        return sum(counts.values()) / max(1, self.engine.slots)

    def adapter_share(self, state: ServerState) -> float:
        """Return the adapter requests a second that fall on a server's models.

        While a model is loaded, its server takes no order about adapters.
        """
        return sum(
            self.adapter_rates.get(model, 0.0) / max(1, self.copies.get(model, 1))
            for model in self.held(state)
        )

    def running_on(self, state: ServerState, model: str) -> int:
        """Return the requests for a model, adapters included, at a server."""
        counts = self.running.get(state.server_id, {})
        return sum(
            count
            for wanted, count in counts.items()
            if wanted.partition("/")[0] == model
        )

    def may_order(self, state: ServerState) -> bool:
        """Tell whether a server can take an order in this round."""
        return state.server_id not in self.ordered and state.may_order(self.now)

    def add(self, state: ServerState, action: Action, model: str, adapter: str) -> None:
        """Add an order to a server."""
        from_store = (
            action is Action.LOAD
            and not adapter
            and not self.planner.is_warm(state, model)
        )
        if from_store:
            self.planner.rate_limiter.spend()
        self.ordered.add(state.server_id)
        order = Order(state.server_id, action, model, adapter, state.count, from_store)
        self.orders.append(order)

    def is_waited_for(self, model: str) -> bool:
        """Tell whether requests wait for a model or one of its adapters."""
        return any(wanted.partition("/")[0] == model for wanted in self.waiting)
