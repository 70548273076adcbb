"""What a plan depends on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.engine_control.demand import ModelDemand

__all__ = ["PlanInput", "ServerView"]


@dataclass(frozen=True, slots=True)
class ServerView:
    """One engine as the planner sees it.

    Attributes:
        name: Identifier of the backend server.
        availability_zone: Name of the availability zone.
        labels: Labels that selectors apply to.
        budget_mb: Accelerator memory for models.
        pool_mb: Accelerator memory for adapters.
        slots: Requests that it serves at once at full speed.
        resident: What it holds, and for how long, in seconds.
        planned: Models of the last plan; `None` if there is none.
        usable: It may be given models.
        serving: What it holds counts as reachable.
        blocked: Models that it failed to load lately.
        settle_s: For how long an unloaded model's memory may stay counted.
    """

    name: str
    availability_zone: str
    labels: dict[str, str]
    budget_mb: int
    pool_mb: int
    slots: int = 8
    resident: dict[ModelKey, float] = field(default_factory=dict)
    planned: tuple[ModelKey, ...] | None = None
    usable: bool = True
    serving: bool = True
    blocked: frozenset[ModelKey] = frozenset()
    settle_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlanInput:
    """Everything that a plan is worked out from.

    Attributes:
        document: The configuration in force.
        servers: Engines, sorted by name.
        demand: Demand by name of model or adapter; what waits for an adapter
            also waits for its model.
        allowance: Loads that may begin now.
    """

    document: Document
    servers: tuple[ServerView, ...]
    demand: dict[str, ModelDemand]
    allowance: int
