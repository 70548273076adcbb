"""Policies to compare, by name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.assembly import PlacementPolicy
from wisterialoom.core.requests.selection_policy import (
    PowerOfTwoChoices,
    RandomSelection,
)
from wisterialoom.core.window import AdaptiveWindow, FixedShare, ReportedShare

if TYPE_CHECKING:
    from wisterialoom.core.requests.selection_policy import SelectionPolicy
    from wisterialoom.core.window import WindowPolicy

__all__ = ["BASELINES", "OWN", "POLICIES", "WINDOWS", "Policy"]


@dataclass(frozen=True, slots=True)
class Policy:
    """One policy; each baseline differs from the default one in one respect.

    Attributes:
        name: Name in tables.
        window: How limits of in-flight requests are set; `None` for the default.
        choice: How a server is chosen; `None` for the default.
        placement: How models are placed on engines.
    """

    name: str
    window: WindowPolicy | None = None
    choice: SelectionPolicy | None = None
    placement: PlacementPolicy = PlacementPolicy.DEMAND


OWN = Policy("wisterialoom")
"""The policy that entry instances use by default."""

BASELINES = (
    Policy("random", choice=RandomSelection()),
    Policy("least-of-two", choice=PowerOfTwoChoices()),
    Policy("static", placement=PlacementPolicy.STATIC),
    Policy("lru", placement=PlacementPolicy.RECENCY),
)

WINDOWS = (
    Policy("fixed-share", window=FixedShare()),
    Policy("adaptive-window", window=AdaptiveWindow()),
    Policy("reported-share", window=ReportedShare()),
)

POLICIES = {policy.name: policy for policy in (OWN, *BASELINES, *WINDOWS)}
