"""Forecast of when models and adapters that are being loaded become resident."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PlacementForecast"]


@dataclass
class PlacementForecast:
    """Expected completion of the loads in progress.

    Attributes:
        ready_at: Monotonic time at which each loading model or adapter is expected
            to be resident.
        holder_seen_at: Monotonic time of the last update from the placement lease
            holder.
    """

    ready_at: dict[str, float] = field(default_factory=dict)
    holder_seen_at: float = float("-inf")
