"""Policies that are measured against each other, by name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.assembly import PlacementPolicy
from wisterialoom.core.requests.choice import PowerOfTwoChoices, RandomChoice
from wisterialoom.core.window import AdaptiveWindow, FixedShare, ReportedShare

if TYPE_CHECKING:
    from wisterialoom.core.requests.choice import Choice
    from wisterialoom.core.window import WindowPolicy

__all__ = ["BASELINES", "OWN", "POLICIES", "WINDOWS", "Policy"]


@dataclass(frozen=True, slots=True)
class Policy:
    """One policy; each baseline differs from the own one in one respect.

    Attributes:
        name: Name in tables.
        window: How in-flight limits are found; `None` for the default.
        choice: How a server is chosen; `None` for the default.
        placement: What decides which models are resident where.
    """

    name: str
    window: WindowPolicy | None = None
    choice: Choice | None = None
    placement: PlacementPolicy = PlacementPolicy.DEMAND


OWN = Policy("wisterialoom")

BASELINES = (
    Policy("random", choice=RandomChoice()),
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
