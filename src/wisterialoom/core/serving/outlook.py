"""Forecast of when models and adapters in loading become resident."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PlacementOutlook"]


@dataclass
class PlacementOutlook:
    """Expected completion of the loads in progress.

    Attributes:
        ready_at: Monotonic time at which each loading model or adapter is expected
            to be resident.
        steward_seen: Monotonic time of the last update from the placement lease
            holder.
    """

    ready_at: dict[str, float] = field(default_factory=dict)
    steward_seen: float = float("-inf")
