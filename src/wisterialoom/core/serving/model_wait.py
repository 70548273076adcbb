"""How long a request waits for a model that is not resident on any server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import (
    GiveUpReason,
    MAX_RECHECK_S,
    MIN_RECHECK_S,
    MIN_RUN_S,
    Wait,
)

if TYPE_CHECKING:
    from wisterialoom.core.serving.backend import BackendView
    from wisterialoom.core.serving.forecast import PlacementForecast
    from wisterialoom.core.serving.request_flow import RequestFlow, RequestProfile
    from wisterialoom.core.serving.routing import EngineProfile

__all__ = ["MIN_RUN_S", "wait_for_model", "wait_for_same_server"]

UNPLANNED_SHARE = 0.5
"""Fraction of the time until the first output is due after which a request for a model
without a planned load is refused at the earliest. The caller's next attempt then
arrives when the model may be resident."""

RETRY_RESERVE_S = 1.0
"""Time in seconds that a request for a model without a planned load keeps in reserve
for a retry, in addition to the duration of a load from a server's memory."""

MAX_ABSENT_REFUSALS = 3
"""Refusals for a missing model after which a request is no longer retried at the same
server. A load that takes longer than expected is complete within two retry pauses."""


def wait_for_model(
    now: float,
    profile: RequestProfile,
    engine: EngineProfile,
    forecast: PlacementForecast,
    candidates: list[BackendView],
    until: float | None = None,
) -> Wait | GiveUpReason:
    """Decide whether a request waits for its model or adapter to be loaded.

    A request waits only while it can still begin before its caller gives up. Otherwise
    it is refused, with a hint when the model is expected to be resident.

    Args:
        now: Monotonic time.
        profile: The request.
        engine: Engine profile of its service.
        forecast: Forecast of the loads in progress.
        candidates: Servers that the request may still be sent to.
        until: Monotonic time up to which a stream that has begun waits; `None` for
            other requests, which try again rather than wait for long.

    Returns:
        How long to wait, or the reason for refusing the request.
    """
    if until is not None:
        # The forecast does not say at which software version a model is loaded.
        if now > until - MIN_RUN_S:
            return GiveUpReason.NO_MODEL
        return Wait(min(until, now + MAX_RECHECK_S))
    ready_at = forecast.ready_at.get(profile.model)
    resident = any(
        profile.model in view.models and profile.model not in view.unloading
        for view in candidates
    )
    # If the model is already resident somewhere, the load of a further copy says
    # nothing about this request. What is missing then is an adapter, or the end of an
    # order in progress, and either takes only some hundredths of a second.
    if ready_at is not None and not resident:
        if ready_at + MIN_RUN_S > profile.first_output_deadline:
            return GiveUpReason.NO_MODEL
    elif now - profile.arrived > _unplanned_wait_s(profile, engine):
        return GiveUpReason.NO_MODEL
    return Wait(min(profile.answer_deadline, now + MAX_RECHECK_S))


def wait_for_same_server(
    now: float, flow: RequestFlow, candidates: list[BackendView]
) -> Wait | GiveUpReason:
    """Decide whether a request whose attempts are used up retries the same servers.

    A server whose load ends later than expected lacks the model only briefly.

    Returns:
        How long to wait, or the reason for refusing the request.
    """
    profile = flow.profile
    listed = any(
        view.is_resident(profile.model, profile.adapter) for view in candidates
    )
    if not listed or flow.absent_refusals >= MAX_ABSENT_REFUSALS:
        return GiveUpReason.ATTEMPTS
    retry_at = min(
        view.skipped_until(profile.model, profile.adapter) for view in candidates
    )
    return Wait(min(profile.answer_deadline, max(retry_at, now + MIN_RECHECK_S)))


def _unplanned_wait_s(profile: RequestProfile, engine: EngineProfile) -> float:
    """Return the maximum wait for a model whose load is not yet planned."""
    model = engine.models[profile.model]
    output_wait_s = profile.first_output_deadline - profile.arrived
    return max(
        UNPLANNED_SHARE * output_wait_s,
        output_wait_s - model.warm_load_s - RETRY_RESERVE_S,
    )
