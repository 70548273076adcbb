"""Weights and thresholds of the placement planner."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PlannerWeights"]


@dataclass(frozen=True, slots=True)
class PlannerWeights:
    """Weights and thresholds of the placement planner.

    All costs are in waiting requests.

    Attributes:
        target_utilization: Requests per copy of a model, as a fraction of a server's
            slots, above which a further copy is desired.
        two_copies_rate: Requests per second from which a model gets two copies or more.
        hot_share: Fraction of the total model capacity that models with several copies
            may take.
        load_decay_s: Time constant in seconds with which the load of a model, and thus
            its desired copies, decays.
        min_copy_age_s: Age in seconds below which a copy is not unloaded.
        reload_s: Cost of unloading the last copy of a model, per request per second for
            that model.
        surplus: Cost of unloading a copy beyond the desired ones.
        running: Cost of unloading a copy, per running request.
        load_time: Cost per second of load time.
        utilization: Cost of loading on a server whose slots are all taken.
        adapters: Cost of loading on a server, per adapter request per second for its
            models.
        prefetch_rate: Adapter requests per second from which a model's adapters are
            loaded before they are requested.
        min_waiting_for_cold_load: Waiting requests from which a model is loaded from
            the weight store although many servers already do so, or although a server
            with a warm copy is free soon.
        many_cold_loads_share: Fraction of the servers that counts as many when they
            load from the weight store.
        max_warm_wait_s: Maximum wait for a server with a warm copy, in seconds.
        cold: Cost of a load from the weight store, whose rate limit all servers share.
        idle_utilization: Mean utilization of the servers up to which models that are
            not resident or warm anywhere are loaded in advance.
    """

    target_utilization: float = 0.35
    two_copies_rate: float = 2.0
    hot_share: float = 0.67
    load_decay_s: float = 4.0
    min_copy_age_s: float = 1.0
    reload_s: float = 1.5
    surplus: float = 0.05
    running: float = 0.15
    load_time: float = 1.0
    utilization: float = 0.5
    adapters: float = 0.5
    prefetch_rate: float = 0.3
    min_waiting_for_cold_load: int = 3
    many_cold_loads_share: float = 0.5
    max_warm_wait_s: float = 1.0
    cold: float = 1.0
    idle_utilization: float = 0.05
