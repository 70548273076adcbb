"""Load reports and plan of one engine, as kept by the planner."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.planner_input import EngineSnapshot
from wisterialoom.core.engine_control.server_health import ServerHealth

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import ServerGroup
    from wisterialoom.core.fleet.peer import PlanEntry, ServerLoad
    from wisterialoom.core.notice import BackendServer

__all__ = ["EngineRecord"]

LOAD_GRACE_S = 30.0
"""Time allowed for a planned load beyond the load itself, in seconds."""

LOAD_FACTOR = 3.0
"""A load may take this many times its duration at full speed."""

BLOCK_S = 60.0
"""Time until a model that did not load in time is tried again, in seconds."""


@dataclass(slots=True)
class EngineRecord:
    """Reports, plan and failures of one engine.

    Attributes:
        load: Newest load report; `None` before the first.
        health: Whether the engine may be given models.
        resident_since: When each resident key was first reported as such.
        plan: Newest plan; `None` before the first.
        pending_since: When each planned model that is not resident was planned.
        blocked_until: When a model that failed to load may be tried again.
    """

    load: ServerLoad | None = None
    health: ServerHealth = field(default_factory=ServerHealth)
    resident_since: dict[ModelKey, float] = field(default_factory=dict)
    plan: PlanEntry | None = None
    pending_since: dict[ModelKey, float] = field(default_factory=dict)
    blocked_until: dict[ModelKey, float] = field(default_factory=dict)

    def report(self, now: float, load: ServerLoad) -> None:
        """Record a load report, unless a newer one is already recorded."""
        if self.load is not None and load.serial <= self.load.serial:
            return
        self.load = load
        self.health.report(now, load.incarnation, answers=not load.unreachable)
        held = {ModelKey.parse(x) for x in (*load.resident, *load.draining)}
        for key in [x for x in self.resident_since if x not in held]:
            del self.resident_since[key]
        for key in held:
            self.resident_since.setdefault(key, now)

    def update_pending(
        self, now: float, load_s: dict[ModelKey, float], memory_hold_s: float
    ) -> None:
        """Block models that were planned too long ago and are still not resident.

        Args:
            now: Monotonic time in seconds.
            load_s: Duration of each model's load at full speed, in seconds.
            memory_hold_s: Further time for which the memory of an unloaded model may
                stay counted, in seconds.
        """
        planned = self.planned or ()
        missing = [key for key in planned if key not in self.resident_since]
        for key in [x for x in self.pending_since if x not in missing]:
            del self.pending_since[key]
        for key in missing:
            since = self.pending_since.setdefault(key, now)
            limit_s = LOAD_GRACE_S + memory_hold_s + LOAD_FACTOR * load_s.get(key, 0.0)
            if now - since > limit_s:
                self.blocked_until[key] = now + BLOCK_S
        for key in [x for x, until in self.blocked_until.items() if now >= until]:
            del self.blocked_until[key]

    @property
    def planned(self) -> tuple[ModelKey, ...] | None:
        """Models of the newest plan; `None` before the first."""
        if self.plan is None:
            return None
        return tuple(ModelKey.parse(text) for text in self.plan.models)

    def view(
        self, now: float, server: BackendServer, group: ServerGroup
    ) -> EngineSnapshot:
        """Return a snapshot of the engine for a plan."""
        leaving = self.load is not None and self.load.leaving
        excluded = server.leaving or server.drained or leaving
        return EngineSnapshot(
            name=server.name,
            availability_zone=server.availability_zone,
            labels=server.labels,
            model_budget_mb=group.memory_mb - group.adapter_pool_mb,
            adapter_budget_mb=group.adapter_pool_mb,
            slots=group.slots,
            resident={key: now - at for key, at in self.resident_since.items()},
            planned=self.planned,
            usable=not excluded and self.health.is_usable(now),
            serving=not excluded and self.health.is_serving(now),
            blocked=frozenset(self.blocked_until),
            memory_hold_s=0.0 if group.checks_fencing else group.order_lifetime_s,
        )
