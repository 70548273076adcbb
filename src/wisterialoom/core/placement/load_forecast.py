"""Forecasts when models that are being loaded, or are about to be, can serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisterialoom.core.placement.planner import PlacementPlanner
    from wisterialoom.core.placement.server_state import ServerState

__all__ = ["forecast_loads"]

UNLOAD_DURATION_S = 0.3
"""Expected time until an unload has freed the memory for a waiting model."""


def forecast_loads(
    now: float,
    states: Mapping[str, ServerState],
    planners: Iterable[PlacementPlanner],
) -> dict[str, float]:
    """Return the seconds until each model that is being loaded can serve.

    If several servers load a model, the first one that will be ready counts.

    Args:
        now: Monotonic time.
        states: State of each model server by id.
        planners: Planners of all services, with the memory reserved for models.
    """
    ready: dict[str, float] = {}

    def record(model: str, left_s: float) -> None:
        ready[model] = min(left_s, ready.get(model, left_s))

    for state in states.values():
        if state.loading:
            record(state.loading, max(0.0, state.done_at - now))
    for planner in planners:
        for server_id, (model, _) in planner.reserved.items():
            reserved_at = states.get(server_id)
            if reserved_at is not None and model in planner.engine.models:
                load_s = planner.load_duration_s(reserved_at, model)
                record(model, load_s + UNLOAD_DURATION_S)
    return ready
