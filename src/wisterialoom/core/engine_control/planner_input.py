"""Input of a plan."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.engine import ModelKey
    from wisterialoom.core.engine_control.demand import ModelDemand

__all__ = ["PlanInput", "EngineSnapshot"]


@dataclass(frozen=True, slots=True)
class EngineSnapshot:
    """Snapshot of one engine for a plan.

    Attributes:
        name: Identifier of the backend server.
        availability_zone: Name of the availability zone.
        labels: Labels that selectors apply to.
        model_budget_mb: Accelerator memory for models, in MB.
        adapter_budget_mb: Accelerator memory for adapters, in MB.
        slots: Requests that it serves at once at full speed.
        resident: Models and adapters that it holds, and for how long, in seconds.
        planned: Models of the last plan; `None` if there is none.
        usable: Whether it may be given models.
        serving: Whether its models count as reachable.
        blocked: Models that it recently failed to load.
        memory_hold_s: For how long the memory of an unloaded model may stay counted, in
            seconds.
    """

    name: str
    availability_zone: str
    labels: dict[str, str]
    model_budget_mb: int
    adapter_budget_mb: int
    slots: int = 8
    resident: dict[ModelKey, float] = field(default_factory=dict)
    planned: tuple[ModelKey, ...] | None = None
    usable: bool = True
    serving: bool = True
    blocked: frozenset[ModelKey] = frozenset()
    memory_hold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlanInput:
    """Everything that a plan depends on.

    Attributes:
        document: The configuration in force.
        servers: Engines, sorted by name.
        demand: Demand by name of model or adapter. In the input of
            `place`, the demand for a base model includes that for its adapters.
        allowance: Loads that may start now.
    """

    document: Document
    servers: tuple[EngineSnapshot, ...]
    demand: dict[str, ModelDemand]
    allowance: int
