"""Loads models on servers: requested models, further copies, and models in advance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.placement.order import Action

if TYPE_CHECKING:
    from wisterialoom.core.placement._planning_context import PlanningContext
    from wisterialoom.core.placement.server_state import ServerState

__all__ = ["ModelPlacer"]

RESERVATION_S = 12.0
"""Maximum time that freed memory is reserved for the model that it was freed for."""

LAST_COPY_COST = 0.02
"""Cost of unloading the last copy of a model without requests, in waiting requests.

Between two servers without other costs, it selects the one that keeps more models
resident.
"""


@dataclass(frozen=True, slots=True)
class _Candidate:
    """A server for a model, the models to unload there first, and the total cost."""

    state: ServerState
    victims: tuple[str, ...]
    cost: float


class ModelPlacer:
    """Orders models to be loaded and unloaded in one planning round.

    Attributes:
        context: State of the planning round.
    """

    def __init__(self, context: PlanningContext) -> None:
        self.context = context

    def place_reserved(self) -> None:
        """Load the models that memory is reserved for, or free more memory."""
        for state in self.context.states:
            reserved = self.context.planner.reserved.get(state.server_id)
            if reserved is None or not self.context.may_order(state):
                continue
            model = reserved[0]
            profile = self.context.engine.models.get(model)
            if profile is None or model in state.models:
                del self.context.planner.reserved[state.server_id]
                self.context.cancel_retirement(state)
            elif self.context.free_mb(state) >= profile.weights_mb:
                if self.start_load(state, model):
                    del self.context.planner.reserved[state.server_id]
            else:
                self.evict_one(state, model)

    def evict_one(self, state: ServerState, model: str) -> None:
        """Unload the cheapest model of a server that needs memory for another."""
        candidate = self.candidate(state, model)
        if candidate is not None and candidate.victims:
            self.evict(state, candidate.victims[0])

    def evict(self, state: ServerState, victim: str) -> None:
        """Unload a model, or mark it as retiring while it still runs requests.

        An unload waits for running requests, and the server accepts no other order
        until then. A copy with running requests therefore only stops getting new ones.
        """
        if self.context.running_on(state, victim):
            state.retiring |= {victim}
        else:
            state.retiring -= {victim}
            self.context.add(state, Action.UNLOAD, victim, "")

    def start_load(self, state: ServerState, model: str) -> bool:
        """Load a model that fits, if the weight store's rate limit allows it."""
        warm = self.context.planner.is_warm(state, model)
        if not warm and not self.context.planner.rate_limiter.ready(self.context.now):
            return False
        self.context.add(state, Action.LOAD, model, "")
        return True

    def place_waiting(self) -> None:
        """Load models that requests wait for and that are not resident anywhere."""
        for state in self.context.states:
            if any(
                self.context.has_waiting_requests(model) for model in state.retiring
            ):
                last_copies = [
                    m for m in state.retiring if not self.context.copies.get(m)
                ]
                if last_copies:
                    self.context.planner.reserved.pop(state.server_id, None)
                    self.context.cancel_retirement(state)
        missing: dict[str, int] = {}
        for resource, count in self.context.waiting.items():
            model = resource.partition("/")[0]
            if model in self.context.engine.models and not self.context.copies.get(
                model
            ):
                missing[model] = missing.get(model, 0) + count
        for model in sorted(missing, key=lambda name: -missing[name]):
            few = missing[model] < self.context.weights.min_waiting_for_cold_load
            warm_only = few and (
                self.has_many_cold_loads() or self.warm_server_free_soon(model)
            )
            self.place(model, self.best_candidate(model, warm_only=warm_only))

    def place_at_versions(self) -> None:
        """Load models that streams wait for at the version that began them.

        Copies at servers of other versions are of no use to these streams.
        """
        reserved = self.context.planner.reserved
        for model, version in sorted(
            self.context.demand.wanted_versions(self.context.now)
        ):
            states = [
                state
                for state in self.context.states
                if version and state.software_version == version
            ]
            is_coming = any(
                model in self.context.kept_models(state) | {state.loading}
                or reserved.get(state.server_id, ("", 0.0))[0] == model
                for state in states
            )
            if model in self.context.engine.models and not is_coming:
                self.place(model, self.best_candidate(model, states=states))

    def warm_server_free_soon(self, model: str) -> bool:
        """Return whether a server with a warm copy takes orders again soon."""
        return any(
            self.context.planner.is_warm(state, model)
            and state.done_at - self.context.now < self.context.weights.max_warm_wait_s
            for state in self.context.states
            if not self.context.may_order(state)
        )

    def has_many_cold_loads(self) -> bool:
        """Return whether many servers are loading from the weight store."""
        cold = sum(bool(s.loading) and not s.is_local_load for s in self.context.states)
        return cold >= self.context.weights.many_cold_loads_share * len(
            self.context.states
        )

    def prefetch_models(self) -> None:
        """While the servers are idle, load a model that is not resident or warm on any.

        Later loads of the model then take less than a second and do not count against
        the weight store's rate limit.
        """
        utilizations = [
            self.context.utilization(state) for state in self.context.states
        ]
        if self.context.waiting or not utilizations:
            return
        if (
            sum(utilizations)
            > self.context.weights.idle_utilization * len(utilizations)
            or self.has_many_cold_loads()
        ):
            return
        warm_models: set[str] = {
            model for model, _ in self.context.planner.reserved.values()
        }
        for state in self.context.states:
            warm_models |= state.in_memory | state.on_disk | set(state.models)
            warm_models.add(state.loading)
        for model in self.context.engine.models:
            if model not in warm_models:
                self.place(model, self.best_candidate(model))
                return

    def best_candidate(
        self,
        model: str,
        *,
        warm_only: bool = False,
        states: list[ServerState] | None = None,
    ) -> _Candidate | None:
        """Return the cheapest candidate for loading a model, if there is one.

        Args:
            model: Name of the model.
            warm_only: Consider only servers with a warm copy of the model.
            states: Servers to consider; all if that is `None`.
        """
        candidates = [
            candidate
            for state in (self.context.states if states is None else states)
            if self.context.may_order(state)
            and model not in state.models
            and (not warm_only or self.context.planner.is_warm(state, model))
            and state.server_id not in self.context.planner.reserved
            and (candidate := self.candidate(state, model)) is not None
        ]
        return min(candidates, key=lambda candidate: candidate.cost, default=None)

    def candidate(self, state: ServerState, model: str) -> _Candidate | None:
        """Return a server as a candidate for a model; `None` if it cannot fit there."""
        needed_mb = self.context.engine.models[model].weights_mb - self.context.free_mb(
            state
        )
        cost = self.context.weights.load_time * self.context.planner.load_duration_s(
            state, model
        )
        if not self.context.planner.is_warm(state, model):
            cost += self.context.weights.cold
        cost += self.context.weights.utilization * self.context.utilization(state)
        cost += self.context.weights.adapters * self.context.adapter_request_rate(state)
        victims: list[str] = []
        priced = [(0.0, name) for name in state.retiring & state.models.keys()]
        priced += [
            (price, name)
            for name in self.context.kept_models(state)
            if (price := self.eviction_cost(state, name)) is not None
        ]
        for price, name in sorted(priced):
            if needed_mb <= 0:
                break
            profile = self.context.engine.models.get(name)
            needed_mb -= (
                profile.weights_mb if profile else self.context.largest_model_mb()
            )
            cost += price
            victims.append(name)
        if needed_mb > 0:
            return None
        return _Candidate(state, tuple(victims), cost)

    def eviction_cost(self, state: ServerState, model: str) -> float | None:
        """Return the cost of unloading a copy, or `None` if it must stay."""
        copies = self.context.copies.get(model, 0)
        needed = self.context.desired_copies.get(model, 0)
        busy = self.context.running_on(state, model)
        age = self.context.now - state.loaded_at.get(model, float("-inf"))
        if age < self.context.weights.min_copy_age_s:
            return None
        if copies > max(1, needed):
            return self.context.weights.surplus + busy * self.context.weights.running
        if needed > 1 or busy or self.context.has_waiting_requests(model):
            return None
        rate = self.context.rates.get(model, 0.0)
        return rate * self.context.weights.reload_s + LAST_COPY_COST

    def place(self, model: str, candidate: _Candidate | None) -> None:
        """Begin to load a model on a candidate server, unloading others if needed."""
        if candidate is None:
            return
        state = candidate.state
        if candidate.victims:
            until = self.context.now + RESERVATION_S
            self.context.planner.reserved[state.server_id] = (model, until)
            self.evict(state, candidate.victims[0])
        elif not self.start_load(state, model):
            return
        self.context.copies[model] = self.context.copies.get(model, 0) + 1
        for victim in candidate.victims:
            self.context.copies[victim] = max(0, self.context.copies.get(victim, 0) - 1)

    def add_copies(self, *, saturated_only: bool = False) -> None:
        """Add copies of models that have fewer than desired.

        Args:
            saturated_only: Consider only models with less than half of their desired
                copies.
        """
        below_desired = [
            model
            for model, needed in self.context.desired_copies.items()
            if 0
            < self.context.copies.get(model, 0) * (2 if saturated_only else 1)
            < needed
        ]
        loads = self.context.planner.loads
        for model in sorted(
            below_desired, key=lambda name: -loads[name] / self.context.copies[name]
        ):
            while self.context.copies[model] < self.context.desired_copies[model]:
                before = self.context.copies[model]
                self.place(model, self.best_candidate(model))
                if self.context.copies[model] == before:
                    break
