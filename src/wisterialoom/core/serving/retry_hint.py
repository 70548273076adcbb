"""Retry hints (`Retry-After`) for refused requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import GiveUpReason

if TYPE_CHECKING:
    from wisterialoom.core.serving.forecast import PlacementForecast
    from wisterialoom.core.serving.request_flow import RequestProfile

__all__ = ["retry_after_s"]

NO_SERVER_RETRY_S = 1.0
"""Retry hint if a service has no server; half the time in which a server restarts."""

UNPLANNED_RETRY_S = 1.0
"""Retry hint for a model without a planned load; the time of a load from disk."""

REFUSED_RETRY_S = 0.3
"""Retry hint in seconds for a request that was refused for lack of capacity."""


def retry_after_s(
    now: float,
    profile: RequestProfile,
    reason: GiveUpReason,
    forecast: PlacementForecast,
) -> float:
    """Return the seconds until a refused request is likely to find capacity."""
    match reason:
        case GiveUpReason.NO_SERVER | GiveUpReason.NO_PATH:
            return NO_SERVER_RETRY_S
        case GiveUpReason.NO_MODEL:
            ready_at = forecast.ready_at.get(profile.model)
            if ready_at is None:
                return UNPLANNED_RETRY_S
            return max(REFUSED_RETRY_S, ready_at - now)
        case _:
            return REFUSED_RETRY_S
