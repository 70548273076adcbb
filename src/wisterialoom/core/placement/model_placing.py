"""Brings models to servers: those waited for, further copies, and those not at hand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.placement.order import Action

if TYPE_CHECKING:
    from wisterialoom.core.placement._round_view import RoundView
    from wisterialoom.core.placement.server_state import ServerState

__all__ = ["ModelPlacing"]

RESERVATION_S = 12.0
"""Longest time that freed memory is kept for the model it was freed for."""

LAST_COPY_COST = 0.02
"""Cost of unloading the last copy of a model that nothing asks for, in requests that
wait; of two spots that cost nothing else, the one that keeps more models wins."""


@dataclass(frozen=True, slots=True)
class _Spot:
    """A place for a model: a server, and what must leave it first."""

    state: ServerState
    victims: tuple[str, ...]
    cost: float


class ModelPlacing:
    """Orders about models in one planning round.

    Attributes:
        view: What the round knows.
    """

    def __init__(self, view: RoundView) -> None:
        self.view = view

    def place_reserved(self) -> None:
        """Load the models that memory was freed for."""
        for state in self.view.states:
            reserved = self.view.planner.reserved.get(state.server_id)
            if reserved is None or not self.view.may_order(state):
                continue
            model = reserved[0]
            profile = self.view.engine.models.get(model)
            if profile is None or model in state.models:
                del self.view.planner.reserved[state.server_id]
                self.view.keep(state)
            elif self.view.free_mb(state) >= profile.weights_mb:
                if self.start_load(state, model):
                    del self.view.planner.reserved[state.server_id]
            else:
                self.displace_one(state, model)

    def displace_one(self, state: ServerState, model: str) -> None:
        """Unload the cheapest model of a server that another one needs room on."""
        spot = self.spot(state, model)
        if spot is not None and spot.victims:
            self.displace(state, spot.victims[0])

    def displace(self, state: ServerState, victim: str) -> None:
        """Unload a model, or let its requests end first.

        An unload waits for them and takes no other order meanwhile, so a copy that
        runs requests only gets no new ones for now.
        """
        if self.view.running_on(state, victim):
            state.retiring |= {victim}
        else:
            state.retiring -= {victim}
            self.view.add(state, Action.UNLOAD, victim, "")

    def start_load(self, state: ServerState, model: str) -> bool:
        """Load a model that fits, if the weight store's rate allows it."""
        at_hand = self.view.planner.is_warm(state, model)
        if not at_hand and not self.view.planner.rate_limiter.ready(self.view.now):
            return False
        self.view.add(state, Action.LOAD, model, "")
        return True

    def place_waiting(self) -> None:
        """Bring in models that requests wait for and no server holds."""
        for state in self.view.states:
            if any(self.view.is_waited_for(model) for model in state.retiring):
                alone = [m for m in state.retiring if not self.view.copies.get(m)]
                if alone:
                    self.view.planner.reserved.pop(state.server_id, None)
                    self.view.keep(state)
        missing: dict[str, int] = {}
        for wanted, count in self.view.waiting.items():
            model = wanted.partition("/")[0]
            if model in self.view.engine.models and not self.view.copies.get(model):
                missing[model] = missing.get(model, 0) + count
        for model in sorted(missing, key=lambda name: -missing[name]):
            few = missing[model] < self.view.weights.few_waiting
            warm_only = few and (self.many_cold() or self.soon_at_hand(model))
            self.place(model, self.best_spot(model, warm_only=warm_only))

    def soon_at_hand(self, model: str) -> bool:
        """Tell whether a server that has a model at hand takes orders again soon."""
        return any(
            self.view.planner.is_warm(state, model)
            and state.done_at - self.view.now < self.view.weights.home_wait_s
            for state in self.view.states
            if not self.view.may_order(state)
        )

    def many_cold(self) -> bool:
        """Tell whether many servers are loading from the weight store."""
        cold = sum(bool(s.loading) and not s.is_local_load for s in self.view.states)
        return cold >= self.view.weights.cold_share * len(self.view.states)

    def prefetch_models(self) -> None:
        """While servers idle, bring in models that no server has at hand.

        A later load then takes less than a second, and none of the weight store's
        rate.
        """
        fills = [self.view.fill(state) for state in self.view.states]
        if self.view.waiting or not fills:
            return
        if sum(fills) > self.view.weights.idle_fill * len(fills) or self.many_cold():
            return
        at_hand: set[str] = {model for model, _ in self.view.planner.reserved.values()}
        for state in self.view.states:
            at_hand |= state.in_memory | state.on_disk | set(state.models)
            at_hand.add(state.loading)
        for model in self.view.engine.models:
            if model not in at_hand:
                self.place(model, self.best_spot(model))
                return

    def best_spot(self, model: str, *, warm_only: bool = False) -> _Spot | None:
        """Return the place for a model that costs least.

        Args:
            model: The model.
            warm_only: Only servers that have it at hand.
        """
        spots = [
            spot
            for state in self.view.states
            if self.view.may_order(state)
            and model not in state.models
            and (not warm_only or self.view.planner.is_warm(state, model))
            and state.server_id not in self.view.planner.reserved
            and (spot := self.spot(state, model)) is not None
        ]
        return min(spots, key=lambda spot: spot.cost, default=None)

    def spot(self, state: ServerState, model: str) -> _Spot | None:
        """Return what a place for a model on a server costs, if there is one."""
        need = self.view.engine.models[model].weights_mb - self.view.free_mb(state)
        cost = self.view.weights.load_time * self.view.planner.load_duration_s(
            state, model
        )
        if not self.view.planner.is_warm(state, model):
            cost += self.view.weights.cold
        cost += self.view.weights.fill * self.view.fill(state)
        cost += self.view.weights.adapters * self.view.adapter_share(state)
        victims: list[str] = []
        priced = [(0.0, name) for name in state.retiring & state.models.keys()]
        priced += [
            (price, name)
            for name in self.view.held(state)
            if (price := self.victim_cost(state, name)) is not None
        ]
        for price, name in sorted(priced):
            if need <= 0:
                break
            profile = self.view.engine.models.get(name)
            need -= profile.weights_mb if profile else self.view.largest_mb()
            cost += price
            victims.append(name)
        if need > 0:
            return None
        return _Spot(state, tuple(victims), cost)

    def victim_cost(self, state: ServerState, model: str) -> float | None:
        """Return what a copy's loss costs, or `None` if it must stay."""
        copies = self.view.copies.get(model, 0)
        needed = self.view.wanted.get(model, 0)
        busy = self.view.running_on(state, model)
        age = self.view.now - state.loaded_at.get(model, float("-inf"))
        if age < self.view.weights.young_s:
            return None
        if copies > max(1, needed):
            return self.view.weights.surplus + busy * self.view.weights.running
        if needed > 1 or busy or self.view.is_waited_for(model):
            return None
        rate = self.view.rates.get(model, 0.0)
        return rate * self.view.weights.reload_s + LAST_COPY_COST

    def place(self, model: str, spot: _Spot | None) -> None:
        """Start to bring a model to a place."""
        if spot is None:
            return
        state = spot.state
        if spot.victims:
            until = self.view.now + RESERVATION_S
            self.view.planner.reserved[state.server_id] = (model, until)
            self.displace(state, spot.victims[0])
        elif not self.start_load(state, model):
            return
        self.view.copies[model] = self.view.copies.get(model, 0) + 1
        for victim in spot.victims:
            self.view.copies[victim] = max(0, self.view.copies.get(victim, 0) - 1)

    def spread(self, *, saturated_only: bool = False) -> None:
        """Add copies of models that have fewer than they need.

        Args:
            saturated_only: Only for models whose copies have twice their load.
        """
        short = [
            model
            for model, needed in self.view.wanted.items()
            if 0
            < self.view.copies.get(model, 0) * (2 if saturated_only else 1)
            < needed
        ]
        loads = self.view.planner.loads
        for model in sorted(
            short, key=lambda name: -loads[name] / self.view.copies[name]
        ):
            while self.view.copies[model] < self.view.wanted[model]:
                before = self.view.copies[model]
                self.place(model, self.best_spot(model))
                if self.view.copies[model] == before:
                    break
