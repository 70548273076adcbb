"""How long a request waits for capacity when every server that could run it is full.

The load that this answers: servers of one software version crash, and all callers of
the broken streams take them up within a second at the few servers of that version,
while new streams may begin at any server.
"""

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
    from wisterialoom.core.serving.request_flow import RequestProfile

__all__ = ["wait_for_capacity", "wait_for_share"]

CAPACITY_WAIT_SHARE = 0.5
"""Maximum wait for capacity, as a fraction of the time until first output is due."""


def wait_for_capacity(
    now: float,
    profile: RequestProfile,
    pool: list[BackendView],
    *,
    can_move: bool,
    ahead: int,
    until: float | None = None,
) -> Wait | GiveUpReason:
    """Decide whether a request waits for a server that is full or ejected.

    Args:
        now: Monotonic time.
        profile: The request.
        pool: Servers that have its model resident; each is full or ejected.
        can_move: Whether another server could load the model.
        ahead: Requests that wait for the same model already.
        until: Monotonic time up to which a stream that has begun waits; `None` for
            other requests, which try again rather than wait for long.

    Returns:
        How long to wait, or the reason for refusing the request.
    """
    retry_at = max(now + MIN_RECHECK_S, min(view.free_at(now) for view in pool))
    if until is not None:
        if retry_at > until - MIN_RUN_S:
            return GiveUpReason.FULL
        return Wait(min(retry_at, now + MAX_RECHECK_S))
    turns_per_s = sum(view.limit.rate(now) for view in pool)
    late_at = retry_at + ahead / turns_per_s
    max_wait_s = CAPACITY_WAIT_SHARE * (profile.first_output_deadline - profile.arrived)
    if now - profile.arrived > max_wait_s:
        return GiveUpReason.FULL
    if not can_move and late_at > profile.arrived + max_wait_s:
        return GiveUpReason.FULL
    # At a service that runs models, the model may become resident on another server
    # in the meantime, so the request keeps waiting.
    return Wait(min(retry_at, now + MAX_RECHECK_S, profile.answer_deadline))


def wait_for_share(now: float, profile: RequestProfile) -> Wait | GiveUpReason:
    """Decide whether a request waits until its team has used less than its share.

    It waits no longer than for capacity. Shares change slowly, so it does not look
    again at each freed slot.
    """
    max_wait_s = CAPACITY_WAIT_SHARE * (profile.first_output_deadline - profile.arrived)
    if now - profile.arrived > max_wait_s:
        return GiveUpReason.FULL
    return Wait(min(now + MAX_RECHECK_S, profile.answer_deadline))
