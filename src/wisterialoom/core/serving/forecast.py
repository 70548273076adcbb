"""What an instance knows of loads in progress."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PlacementForecast"]


@dataclass
class PlacementForecast:
    """What is known of loads in progress.

    Attributes:
        ready_at: Monotonic time at which a wanted model or adapter will be ready.
        holder_seen_at: Monotonic time at which the placement leader was last heard.
    """

    ready_at: dict[str, float] = field(default_factory=dict)
    holder_seen_at: float = float("-inf")
