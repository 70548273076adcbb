"""Priority aging: deferred requests become more urgent the longer they wait."""

from __future__ import annotations

__all__ = ["HIGHEST_PRIORITY", "aged_priority"]

HIGHEST_PRIORITY = 0
"""The most urgent priority; greater numbers are less urgent."""

HIGHEST_AT_SHARE = 0.5
"""Share of the maximum wait after which a job has the highest priority."""


def aged_priority(priority: int, age_s: float, max_wait_s: float) -> float:
    """Return the priority of a request that has waited; lower is more urgent.

    The value falls linearly, so that the older of two jobs stays ahead, and reaches
    `HIGHEST_PRIORITY` early enough to leave time for the run.

    Args:
        priority: Priority of the traffic class.
        age_s: Time since the request was accepted.
        max_wait_s: Time within which the request has to be served.
    """
    share = min(1.0, age_s / max(HIGHEST_AT_SHARE * max_wait_s, 1e-9))
    return HIGHEST_PRIORITY + (priority - HIGHEST_PRIORITY) * (1.0 - share)
