"""The servers, the demand and the collected orders of one planning round."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisterialoom.core.placement.order import Action, Order

if TYPE_CHECKING:
    from wisterialoom.core.placement.fleet_demand import FleetDemand
    from wisterialoom.core.placement.planner import PlacementPlanner
    from wisterialoom.core.placement.server_state import ServerState

__all__ = ["PlanningContext"]


class PlanningContext:
    """A snapshot of all servers and of the demand, and the orders of this round.

    Attributes:
        ordered: Ids of the servers that have an order in this round.
        waiting: Waiting requests, by model and adapter.
        rates: Requests per second by model, including its adapters.
        running: Requests in progress, by server, then model and adapter.
        adapter_rates: Requests per second for a model's adapters, by model.
        copies: Copies of each model that take requests, including loads in progress.
        desired_copies: Copies that each model should have.
        orders: Orders of this round, at most one per server.
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
            for model in self.kept_models(state) | {state.loading}:
                self.copies[model] = self.copies.get(model, 0) + 1
        self.adapter_rates: dict[str, float] = {}
        for resource in demand.rates:
            model, _, adapter = resource.partition("/")
            if adapter:
                rate = demand.rate(now, resource)
                self.adapter_rates[model] = self.adapter_rates.get(model, 0.0) + rate
        self._expire_reservations()
        self._update_loads()
        self.desired_copies = self._compute_desired_copies()

    def _update_loads(self) -> None:
        planner = self.planner
        decay = math.exp((planner.decided_at - self.now) / self.weights.load_decay_s)
        planner.decided_at = self.now
        current: dict[str, float] = {}
        for counts in (self.waiting, *self.running.values()):
            for resource, count in counts.items():
                model = resource.partition("/")[0]
                current[model] = current.get(model, 0.0) + count
        for model in planner.loads.keys() | current.keys():
            load = max(current.get(model, 0.0), planner.loads.get(model, 0.0) * decay)
            planner.loads[model] = load

    def _compute_desired_copies(self) -> dict[str, int]:
        per_copy = max(1.0, self.weights.target_utilization * self.engine.slots)
        desired: dict[str, int] = {}
        for model, load in self.planner.loads.items():
            if model not in self.engine.models:
                continue
            copies = math.ceil(load / per_copy)
            if self.rates.get(model, 0.0) >= self.weights.two_copies_rate:
                copies = max(2, copies)
            desired[model] = min(copies, len(self.states))
        return self._limit_hot_copies(desired)

    def _limit_hot_copies(self, desired: dict[str, int]) -> dict[str, int]:
        """Limit models with several copies to `hot_share` of the capacity."""
        sizes = [profile.weights_mb for profile in self.engine.models.values()]
        mean_mb = sum(sizes) / max(1, len(sizes))
        model_capacity = len(self.states) * int(
            self.engine.weights_mb // max(1.0, mean_mb)
        )
        hot = {model: copies for model, copies in desired.items() if copies > 1}
        limit = self.weights.hot_share * model_capacity
        while sum(hot.values()) > max(limit, len(hot)):
            # Take one copy from the model with the lowest load per copy.
            loads = self.planner.loads
            model = min(hot, key=lambda name: loads[name] / hot[name])
            hot[model] -= 1
            if hot[model] <= 1:
                del hot[model]
                desired[model] = 1
        return {**desired, **hot}

    def _expire_reservations(self) -> None:
        ids = {state.server_id for state in self.states}
        reserved = self.planner.reserved
        for server_id, (_, until) in list(reserved.items()):
            if self.now >= until or server_id not in ids:
                del reserved[server_id]
        for model, _ in reserved.values():
            self.copies[model] = self.copies.get(model, 0) + 1
        for state in self.states:
            if state.retiring and state.server_id not in reserved:
                self.cancel_retirement(state)

    def cancel_retirement(self, state: ServerState) -> None:
        """Let a server's retiring copies take new requests again."""
        for model in state.retiring & state.models.keys():
            self.copies[model] = self.copies.get(model, 0) + 1
        state.retiring = frozenset()

    def kept_models(self, state: ServerState) -> set[str]:
        """Return the resident models that are neither being unloaded nor retiring."""
        return set(state.models) - {state.unloading} - state.retiring

    def free_mb(self, state: ServerState) -> float:
        """Return the memory that is left for weights if all adapter slots are used."""
        used = 0.0
        for name in set(state.models) | ({state.loading} - {""}):
            profile = self.engine.models.get(name)
            # The size of a model that is no longer declared is unknown, so assume the
            # size of the largest.
            used += profile.weights_mb if profile else self.largest_model_mb()
        return self.engine.weights_mb - used - self.adapters_mb()

    def largest_model_mb(self) -> float:
        """Return the size of the largest model."""
        return max(profile.weights_mb for profile in self.engine.models.values())

    def adapters_mb(self) -> float:
        """Return the memory that all adapter slots need for the largest adapters."""
        sizes = [profile.adapter_mb for profile in self.engine.models.values()]
        return self.engine.adapter_slots * max(sizes, default=0.0)

    def utilization(self, state: ServerState) -> float:
        """Return the requests at a server as a fraction of its slots."""
        counts = self.running.get(state.server_id, {})
        return sum(counts.values()) / max(1, self.engine.slots)

    def adapter_request_rate(self, state: ServerState) -> float:
        """Return the adapter requests per second for the models of a server.

        While a server loads a model it accepts no orders about adapters, so loading on
        a server with many adapter requests delays these requests.
        """
        return sum(
            self.adapter_rates.get(model, 0.0) / max(1, self.copies.get(model, 1))
            for model in self.kept_models(state)
        )

    def running_on(self, state: ServerState, model: str) -> int:
        """Return the running requests for a model and its adapters at a server."""
        counts = self.running.get(state.server_id, {})
        return sum(
            count
            for resource, count in counts.items()
            if resource.partition("/")[0] == model
        )

    def may_order(self, state: ServerState) -> bool:
        """Return whether a server can take an order in this round."""
        return state.server_id not in self.ordered and state.may_order(self.now)

    def add(self, state: ServerState, action: Action, model: str, adapter: str) -> None:
        """Add an order to this round."""
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

    def has_waiting_requests(self, model: str) -> bool:
        """Return whether requests wait for a model or one of its adapters."""
        return any(resource.partition("/")[0] == model for resource in self.waiting)
