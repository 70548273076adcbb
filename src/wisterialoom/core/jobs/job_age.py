"""Ageing: work that may wait becomes more urgent the longer it has waited."""

from __future__ import annotations

__all__ = ["TOP_PRIORITY", "aged_priority"]

TOP_PRIORITY = 0
"""Priority that nothing goes before."""

TOP_AT_SHARE = 0.5
"""Share of the longest wait after which a job is as urgent as any."""


def aged_priority(priority: int, age_s: float, max_wait_s: float) -> float:
    """Return the priority of work that has waited; lower goes first.

    It falls linearly, so that the older of two jobs stays ahead, and reaches
    `TOP_PRIORITY` early enough to leave time for the run.

    Args:
        priority: Of the traffic class.
        age_s: Time since the work was accepted.
        max_wait_s: Time within which it has to be served.
    """
    share = min(1.0, age_s / max(TOP_AT_SHARE * max_wait_s, 1e-9))
    return TOP_PRIORITY + (priority - TOP_PRIORITY) * (1.0 - share)
