"""A burst on one or all kinds: how long a request waits for room at full servers."""

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
    from wisterialoom.core.serving.request_flow import RequestProfile

__all__ = ["wait_for_room"]

ROOM_SHARE = 0.5
"""Part of a caller's patience that a request waits for room at a server."""


def wait_for_room(
    now: float, profile: RequestProfile, pool: list[BackendView]
) -> Wait | GiveUpReason:
    """Let a request wait for a server that was full or failing.

    Args:
        now: Monotonic time.
        profile: What the request asks for.
        pool: Servers that hold it, each full or ejected.
    """
    again = min(max(view.full_until, view.ejection.until) for view in pool)
    again = max(again, now + LOOK_SOON_S)
    patience_s = ROOM_SHARE * (profile.first_output_deadline - profile.arrived)
    if now - profile.arrived > patience_s:
        return GiveUpReason.FULL
    if not profile.model and again > profile.arrived + patience_s:
        return GiveUpReason.FULL
    # Of model servers, another may get the model meanwhile.
    return Wait(min(again, now + LOOK_AGAIN_S, profile.answer_deadline))
