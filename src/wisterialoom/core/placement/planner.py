"""Decides which model server loads and unloads what.

Load patterns that it answers: rare models asked for at once (each is brought in where
that displaces least), demand that moves to other models (copies follow the rates
within seconds), servers that vanish (what only they held is brought in elsewhere).
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.placement.load_pacer import LoadPacer
from wisterialoom.core.placement.order import Action, Order

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.placement.fleet_demand import FleetDemand
    from wisterialoom.core.placement.server_state import ServerState
    from wisterialoom.core.serving.routing import EngineProfile

__all__ = ["PlacementPlanner", "PlannerWeights"]

RESERVATION_S = 12.0
"""Longest time that freed memory is kept for the model it was freed for."""

ADAPTER_IDLE_S = 0.5
"""Age below which an adapter does not make way; its first requests still come."""


@dataclass(frozen=True, slots=True)
class PlannerWeights:
    """Weights of the planner.

    Attributes:
        target_fill: Requests for a model at each of its copies, in shares of a
            server's slots, that a copy more is wanted above.
        twice_rate: Requests a second from which a model gets two copies.
        hot_share: Part of all places that models with several copies may take.
        calm_s: Time constant in which a model's wanted copies shrink, in seconds.
        young_s: Age below which a copy is not displaced, in seconds.
        reload_s: Cost of a request for a model without a copy, in seconds.
        surplus: Cost of a copy beyond those wanted.
        running: Cost of displacing a copy, for each request that it runs.
        load_time: Cost of a second of load time.
        fill: Cost of a server that is full.
        adapters: Cost of an adapter request a second on a server's models.
        prefetch_rate: Adapter requests a second from which a model's adapters are
            brought in before they are asked for.
        few_waiting: Requests below which a model without a copy waits while many
            servers load from the weight store.
        cold_share: Part of the servers that is many.
        home_wait_s: Longest wait for a server that has a model at hand, in seconds.
        cold: Cost of a load from the weight store, whose rate all share.
        idle_fill: Mean fill of the servers below which models that no server has at
            hand are brought in.
    """

    target_fill: float = 0.35
    twice_rate: float = 2.0
    hot_share: float = 0.67
    calm_s: float = 4.0
    young_s: float = 1.0
    reload_s: float = 1.5
    surplus: float = 0.05
    running: float = 0.15
    load_time: float = 1.0
    fill: float = 0.5
    adapters: float = 0.5
    prefetch_rate: float = 0.3
    few_waiting: int = 3
    cold_share: float = 0.5
    home_wait_s: float = 1.0
    cold: float = 1.0
    idle_fill: float = 0.05


@dataclass(frozen=True, slots=True)
class _Spot:
    """A place for a model: a server, and what must leave it first."""

    state: ServerState
    victims: tuple[str, ...]
    cost: float


@dataclass
class PlacementPlanner:
    """Plans for the model servers of one service.

    Attributes:
        engine: What each server has, and the models declared.
        pacer: Keeps loads under the weight store's rate.
        weights: Weights of the choices.
        reserved: Model that a server's freed memory is kept for, with its expiry.
        loads: Requests in progress and waiting by model, which sink slowly.
        decided_at: Monotonic time of the last decision.
    """

    engine: EngineProfile
    pacer: LoadPacer
    weights: PlannerWeights = field(default_factory=PlannerWeights)
    reserved: dict[str, tuple[str, float]] = field(default_factory=dict)
    loads: dict[str, float] = field(default_factory=dict)
    decided_at: float = 0.0

    @classmethod
    def from_engine(cls, engine: EngineProfile) -> PlacementPlanner:
        """Build a planner for a service's engine."""
        return cls(engine, LoadPacer(engine.loads_per_s))

    def decide(
        self, now: float, states: Iterable[ServerState], demand: FleetDemand
    ) -> list[Order]:
        """Return the orders to send now, at most one for each server.

        Args:
            now: Monotonic time in seconds.
            states: Servers that are not leaving.
            demand: What all instances ask for.
        """
        round_ = _Round(self, now, list(states), demand)
        round_.place_adapters()
        round_.place_reserved()
        round_.spread(crowded_only=True)
        round_.place_waiting()
        round_.spread()
        round_.prefetch_adapters()
        round_.prefetch_models()
        return round_.orders

    def takes_s(self, state: ServerState, model: str) -> float:
        """Return the expected duration of a load."""
        profile = self.engine.models[model]
        if model in state.in_memory:
            return profile.warm_load_s
        if model in state.on_disk:
            return profile.disk_load_s
        return profile.load_s

    def at_hand(self, state: ServerState, model: str) -> bool:
        """Tell whether a load needs no access to the weight store."""
        return model in state.in_memory or model in state.on_disk


class _Round:
    """One look at all servers; gathers the orders of this moment."""

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

    # What servers have.

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

    # Orders.

    def add(self, state: ServerState, action: Action, model: str, adapter: str) -> None:
        """Add an order to a server."""
        from_store = (
            action is Action.LOAD
            and not adapter
            and not self.planner.at_hand(state, model)
        )
        if from_store:
            self.planner.pacer.spend()
        self.ordered.add(state.server_id)
        order = Order(state.server_id, action, model, adapter, state.count, from_store)
        self.orders.append(order)

    def place_adapters(self) -> None:
        """Bring in adapters that requests wait for."""
        for wanted, _ in sorted(self.waiting.items(), key=lambda item: -item[1]):
            model, _, adapter = wanted.partition("/")
            if not adapter or model not in self.engine.models:
                continue
            if any(adapter in state.models.get(model, ()) for state in self.states):
                continue
            holders = [
                state
                for state in self.states
                if model in self.held(state) and self.may_order(state)
            ]
            if holders:
                best = min(holders, key=lambda state: self.adapter_rank(state, wanted))
                self.place_adapter(best, model, adapter)

    def prefetch_adapters(self) -> None:
        """Bring adapters of models that are asked for by adapter to free places.

        Adapters that were asked for go first; one that any server holds is not
        brought to another.
        """
        rates = self.adapter_rates
        for model in sorted(rates, key=lambda name: -rates[name]):
            profile = self.engine.models.get(model)
            if profile is None or rates[model] < self.weights.prefetch_rate:
                continue
            held: set[str] = set()
            for state in self.states:
                held |= state.models.get(model, frozenset())
            names = [f"a{number}" for number in range(1, profile.adapters + 1)]
            missing = [name for name in names if name not in held]
            last = self.demand.last_arrival
            missing.sort(key=lambda name: -last.get(f"{model}/{name}", 0.0))
            for state in sorted(self.states, key=self.fill):
                if missing and self.may_prefetch(state, model):
                    self.add(state, Action.LOAD, model, missing.pop(0))

    def may_prefetch(self, state: ServerState, model: str) -> bool:
        """Tell whether a server has a free place for an adapter of a model."""
        if model not in self.held(state) or not self.may_order(state):
            return False
        count = sum(len(adapters) for adapters in state.models.values())
        return count < self.engine.adapter_slots

    def adapter_rank(self, state: ServerState, wanted: str) -> tuple[float, int]:
        """Return how badly a server suits one more adapter."""
        count = sum(len(adapters) for adapters in state.models.values())
        full = 0.3 if count >= self.engine.adapter_slots else 0.0
        draw = zlib.crc32(f"{wanted}{state.server_id}".encode())
        return (round(self.fill(state) + full, 1), draw)

    def place_adapter(self, state: ServerState, model: str, adapter: str) -> None:
        """Load an adapter, or first let one go that is not in use."""
        held = [
            (name, other) for name, others in state.models.items() for other in others
        ]
        if len(held) < self.engine.adapter_slots:
            self.add(state, Action.LOAD, model, adapter)
            return
        in_use = self.running.get(state.server_id, {})
        idle = [
            (self.demand.last_arrival.get(f"{name}/{other}", 0.0), name, other)
            for name, other in held
            if not in_use.get(f"{name}/{other}")
            and not self.waiting.get(f"{name}/{other}")
            and self.now - state.loaded_at.get(f"{name}/{other}", 0.0) > ADAPTER_IDLE_S
        ]
        if idle:
            _, name, other = min(idle)
            self.add(state, Action.UNLOAD, name, other)

    def place_reserved(self) -> None:
        """Load the models that memory was freed for."""
        for state in self.states:
            reserved = self.planner.reserved.get(state.server_id)
            if reserved is None or not self.may_order(state):
                continue
            model = reserved[0]
            profile = self.engine.models.get(model)
            if profile is None or model in state.models:
                del self.planner.reserved[state.server_id]
                self.keep(state)
            elif self.free_mb(state) >= profile.weights_mb:
                if self.start_load(state, model):
                    del self.planner.reserved[state.server_id]
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
        if self.running_on(state, victim):
            state.retiring |= {victim}
        else:
            state.retiring -= {victim}
            self.add(state, Action.UNLOAD, victim, "")

    def start_load(self, state: ServerState, model: str) -> bool:
        """Load a model that fits, if the weight store's rate allows it."""
        at_hand = self.planner.at_hand(state, model)
        if not at_hand and not self.planner.pacer.ready(self.now):
            return False
        self.add(state, Action.LOAD, model, "")
        return True

    def place_waiting(self) -> None:
        """Bring in models that requests wait for and no server holds."""
        for state in self.states:
            if any(self.is_waited_for(model) for model in state.retiring):
                alone = [m for m in state.retiring if not self.copies.get(m)]
                if alone:
                    self.planner.reserved.pop(state.server_id, None)
                    self.keep(state)
        missing: dict[str, int] = {}
        for wanted, count in self.waiting.items():
            model = wanted.partition("/")[0]
            if model in self.engine.models and not self.copies.get(model):
                missing[model] = missing.get(model, 0) + count
        for model in sorted(missing, key=lambda name: -missing[name]):
            few = missing[model] < self.weights.few_waiting
            warm_only = few and (self.many_cold() or self.soon_at_hand(model))
            self.place(model, self.best_spot(model, warm_only=warm_only))

    def soon_at_hand(self, model: str) -> bool:
        """Tell whether a server that has a model at hand takes orders again soon."""
        return any(
            self.planner.at_hand(state, model)
            and state.done_at - self.now < self.weights.home_wait_s
            for state in self.states
            if not self.may_order(state)
        )

    def many_cold(self) -> bool:
        """Tell whether many servers are loading from the weight store."""
        cold = sum(bool(s.loading) and not s.short_load for s in self.states)
        return cold >= self.weights.cold_share * len(self.states)

    def prefetch_models(self) -> None:
        """While servers idle, bring in models that no server has at hand.

        A later load then takes less than a second, and none of the weight store's
        rate.
        """
        fills = [self.fill(state) for state in self.states]
        if self.waiting or not fills:
            return
        if sum(fills) > self.weights.idle_fill * len(fills) or self.many_cold():
            return
        at_hand: set[str] = {model for model, _ in self.planner.reserved.values()}
        for state in self.states:
            at_hand |= state.in_memory | state.on_disk | set(state.models)
            at_hand.add(state.loading)
        for model in self.engine.models:
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
            for state in self.states
            if self.may_order(state)
            and model not in state.models
            and (not warm_only or self.planner.at_hand(state, model))
            and state.server_id not in self.planner.reserved
            and (spot := self.spot(state, model)) is not None
        ]
        return min(spots, key=lambda spot: spot.cost, default=None)

    def spot(self, state: ServerState, model: str) -> _Spot | None:
        """Return what a place for a model on a server costs, if there is one."""
        need = self.engine.models[model].weights_mb - self.free_mb(state)
        cost = self.weights.load_time * self.planner.takes_s(state, model)
        if not self.planner.at_hand(state, model):
            cost += self.weights.cold
        cost += self.weights.fill * self.fill(state)
        cost += self.weights.adapters * self.adapter_share(state)
        victims: list[str] = []
        priced = [(0.0, name) for name in state.retiring & state.models.keys()]
        priced += [
            (price, name)
            for name in self.held(state)
            if (price := self.victim_cost(state, name)) is not None
        ]
        for price, name in sorted(priced):
            if need <= 0:
                break
            profile = self.engine.models.get(name)
            need -= profile.weights_mb if profile else self.largest_mb()
            cost += price
            victims.append(name)
        if need > 0:
            return None
        return _Spot(state, tuple(victims), cost)

    def victim_cost(self, state: ServerState, model: str) -> float | None:
        """Return what a copy's loss costs, or `None` if it must stay."""
        copies = self.copies.get(model, 0)
        needed = self.wanted.get(model, 0)
        busy = self.running_on(state, model)
        age = self.now - state.loaded_at.get(model, float("-inf"))
        if age < self.weights.young_s:
            return None
        if copies > max(1, needed):
            return self.weights.surplus + busy * self.weights.running
        if needed > 1 or busy or self.is_waited_for(model):
            return None
        return self.rates.get(model, 0.0) * self.weights.reload_s + 0.02

    def is_waited_for(self, model: str) -> bool:
        """Tell whether requests wait for a model or one of its adapters."""
        return any(wanted.partition("/")[0] == model for wanted in self.waiting)

    def place(self, model: str, spot: _Spot | None) -> None:
        """Start to bring a model to a place."""
        if spot is None:
            return
        state = spot.state
        if spot.victims:
            until = self.now + RESERVATION_S
            self.planner.reserved[state.server_id] = (model, until)
            self.displace(state, spot.victims[0])
        elif not self.start_load(state, model):
            return
        self.copies[model] = self.copies.get(model, 0) + 1
        for victim in spot.victims:
            self.copies[victim] = max(0, self.copies.get(victim, 0) - 1)

    def spread(self, *, crowded_only: bool = False) -> None:
        """Add copies of models that have fewer than they need.

        Args:
            crowded_only: Only for models whose copies have twice their load.
        """
        short = [
            model
            for model, needed in self.wanted.items()
            if 0 < self.copies.get(model, 0) * (2 if crowded_only else 1) < needed
        ]
        loads = self.planner.loads
        for model in sorted(short, key=lambda name: -loads[name] / self.copies[name]):
            while self.copies[model] < self.wanted[model]:
                before = self.copies[model]
                self.place(model, self.best_spot(model))
                if self.copies[model] == before:
                    break
