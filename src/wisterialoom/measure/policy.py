"""Policies to compare, by name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.assembly import Placement
from wisterialoom.core.requests.choice import LeastOfTwo, RandomChoice
from wisterialoom.core.window import AdaptiveWindow, FixedShare, ReportedShare

if TYPE_CHECKING:
    from wisterialoom.core.requests.choice import Choice
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
    choice: Choice | None = None
    placement: Placement = Placement.DEMAND


OWN = Policy("wisterialoom")

BASELINES = (
    Policy("random", choice=RandomChoice()),
    Policy("least-of-two", choice=LeastOfTwo()),
    Policy("static", placement=Placement.STATIC),
    Policy("lru", placement=Placement.RECENCY),
)

WINDOWS = (
    Policy("fixed-share", window=FixedShare()),
    Policy("adaptive-window", window=AdaptiveWindow()),
    Policy("reported-share", window=ReportedShare()),
)

POLICIES = {policy.name: policy for policy in (OWN, *BASELINES, *WINDOWS)}
