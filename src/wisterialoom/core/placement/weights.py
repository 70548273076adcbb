"""Weights of the planner of model placement."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PlannerWeights"]


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
