"""Rare models at once: how long a request waits for a model that no server holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import (
    GiveUpReason,
    LOOK_AGAIN_S,
    LOOK_SOON_S,
    Wait,
)

if TYPE_CHECKING:
    from wisterialoom.core.serving.backend import BackendView
    from wisterialoom.core.serving.forecast import PlacementForecast
    from wisterialoom.core.serving.request_flow import RequestFlow, RequestProfile
    from wisterialoom.core.serving.routing import EngineProfile

__all__ = ["MIN_RUN_S", "wait_for_model", "wait_for_same_server"]

MIN_RUN_S = 0.05
"""Least time that a backend server needs to begin an answer."""

UNPLANNED_SHARE = 0.5
"""Part of a caller's patience after which a model that no load is planned for is
refused, so that its next attempt comes when the model may be there."""

SPARE_S = 1.0
"""Time besides a load from a server's memory that such a request keeps in hand."""

MAX_ABSENT = 3
"""Refusals for lack of the model after which a request asks no more; a load that was
expected to be over ends within two such pauses."""


def wait_for_model(
    now: float,
    profile: RequestProfile,
    engine: EngineProfile,
    forecast: PlacementForecast,
    candidates: list[BackendView],
) -> Wait | GiveUpReason:
    """Let a request wait for its model or adapter, or refuse it at once.

    A request waits only while it can still begin before its caller leaves. One that
    cannot is told when the model will be there.

    Args:
        now: Monotonic time.
        profile: What the request asks for.
        engine: Engine of its service.
        forecast: Loads in progress.
        candidates: Servers that it may still be sent to.
    """
    ready_at = forecast.ready_at.get(profile.model)
    resident = any(
        profile.model in view.models and profile.model not in view.unloading
        for view in candidates
    )
    # A copy that is being loaded besides others tells nothing: an adapter takes
    # some hundredths of a second, and so does an order that is in progress.
    if ready_at is not None and not resident:
        if ready_at + MIN_RUN_S > profile.first_output_deadline:
            return GiveUpReason.NO_MODEL
    elif now - profile.arrived > _unplanned_wait_s(profile, engine):
        return GiveUpReason.NO_MODEL
    return Wait(min(profile.answer_deadline, now + LOOK_AGAIN_S))


def wait_for_same_server(
    now: float, flow: RequestFlow, candidates: list[BackendView]
) -> Wait | GiveUpReason:
    """Let a request that has no other server left ask the same one again.

    A server whose load ends later than expected lacks the model for a moment.
    """
    profile = flow.profile
    listed = any(
        view.is_resident(profile.model, profile.adapter) for view in candidates
    )
    if not listed or flow.absent >= MAX_ABSENT:
        return GiveUpReason.ATTEMPTS
    again = min(
        view.skipped_until(profile.model, profile.adapter) for view in candidates
    )
    return Wait(min(profile.answer_deadline, max(again, now + LOOK_SOON_S)))


def _unplanned_wait_s(profile: RequestProfile, engine: EngineProfile) -> float:
    """Return how long a request waits for a model whose load is not yet planned."""
    model = engine.models[profile.model]
    patience_s = profile.first_output_deadline - profile.arrived
    return max(UNPLANNED_SHARE * patience_s, patience_s - model.warm_load_s - SPARE_S)
