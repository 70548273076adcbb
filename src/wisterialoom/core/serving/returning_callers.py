"""Callers that were refused: when each is told to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import GiveUpReason

if TYPE_CHECKING:
    from wisterialoom.core.serving.forecast import PlacementForecast
    from wisterialoom.core.serving.request_flow import RequestProfile

__all__ = ["retry_after_s"]

NO_SERVER_RETRY_S = 1.0
"""When to come back if a service has no server; half of a server's return time."""

UNPLANNED_RETRY_S = 1.0
"""When to come back for a model that no load is planned for; a load from disk."""

REFUSED_RETRY_S = 0.3
"""When to come back after a refusal for lack of room, in seconds."""


def retry_after_s(
    now: float,
    profile: RequestProfile,
    reason: GiveUpReason,
    forecast: PlacementForecast,
) -> float:
    """Return when a place is likely for a request that is refused now."""
    match reason:
        case GiveUpReason.NO_SERVER:
            return NO_SERVER_RETRY_S
        case GiveUpReason.NO_MODEL:
            ready_at = forecast.ready_at.get(profile.model)
            if ready_at is None:
                return UNPLANNED_RETRY_S
            return max(REFUSED_RETRY_S, ready_at - now)
        case _:
            return REFUSED_RETRY_S
