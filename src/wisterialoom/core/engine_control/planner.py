"""Part of the core that plans which engine holds which models."""

from __future__ import annotations

from dataclasses import replace
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.controller_assignment import assignment_key
from wisterialoom.core.engine_control.demand import DemandAverages, planner_of
from wisterialoom.core.engine_control.engine_record import EngineRecord
from wisterialoom.core.engine_control.load_rate_limiter import LoadRateLimiter
from wisterialoom.core.engine_control.planner_adapters import (
    place_adapters,
    with_adapter_demand,
)
from wisterialoom.core.engine_control.planner_input import PlanInput
from wisterialoom.core.engine_control.planner_placement import place
from wisterialoom.core.fleet.peer import (
    DemandReport,
    PeerReceived,
    PlanEntry,
    PlanMessage,
    SendPeer,
)
from wisterialoom.core.fleet.rendezvous import rank
from wisterialoom.core.message import Event, Tick
from wisterialoom.core.notice import (
    BackendServer,
    ConfigChanged,
    DemandMeasured,
    LoadReported,
    Member,
    MembersChanged,
    PlanComputed,
    ServersChanged,
)

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document, ServerGroup
    from wisterialoom.core.message import Output

__all__ = ["Planner"]

PLAN_INTERVAL_S = 1.0
"""Shortest time between two plans, in seconds."""

SERVERS_PER_S = 125
"""Servers per second of plan interval.

With more servers, plans are made less often, which bounds the processor time.
"""

INITIAL_WAIT_S = 3.0
"""A new planner collects reports for this long before its first plan, in seconds."""

RESEND_INTERVAL_S = 5.0
"""Interval at which unchanged plans are sent again, in seconds."""


class Planner:
    """Plans while this instance ranks first for planning.

    The planner keeps no durable state. Every instance follows the load reports, so
    that a new planner starts from what is resident.

    Attributes:
        name: Name of this entry instance.
        document: Configuration in force; `None` before the first.
        generation: Generation of the configuration in force.
        members: Members by name.
        servers: Engines by name.
        records: Load reports and plan of each engine, by name.
        averages: Demand over the deployment.
        load_limiter: Limits how many loads may start.
        planning_since: Since when this instance plans; `None` if it does not.
        plan_due: When the next plan is due.
        resend_due: When all plans are sent again, changed or not.
        serial: Count of plans sent.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        ConfigChanged,
        MembersChanged,
        ServersChanged,
        LoadReported,
        DemandMeasured,
        PeerReceived,
        Tick,
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.document: Document | None = None
        self.generation = 0
        self.members: dict[str, Member] = {}
        self.servers: dict[str, BackendServer] = {}
        self.records: dict[str, EngineRecord] = {}
        self.averages = DemandAverages()
        self.load_limiter = LoadRateLimiter()
        self.planning_since: float | None = None
        self.plan_due = 0.0
        self.resend_due = 0.0
        self.serial = 0

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event; see `Part`."""
        match event:
            case Tick() if now >= self.plan_due:
                wait_s = len(self.servers) / SERVERS_PER_S
                self.plan_due = now + max(PLAN_INTERVAL_S, wait_s)
                return self._plan(now)
            case ConfigChanged(generation=generation, document=document):
                self.generation = generation
                self.document = document
            case MembersChanged(members=members):
                self._set_members(now, members)
            case ServersChanged(servers=servers):
                self.servers = {x.name: x for x in servers if x.kind == "engine"}
                for name in [x for x in self.records if x not in self.servers]:
                    del self.records[name]
            case LoadReported(load=load):
                record = self.records.setdefault(load.server, EngineRecord())
                record.report(now, load)
            case DemandMeasured(rates=rates, waiting=waiting):
                self.averages.replace(now, self.name, rates, waiting)
            case PeerReceived(sender=sender, message=DemandReport() as report):
                self.averages.merge(now, sender, report.rates, report.waiting)
        return []

    def _set_members(self, now: float, members: tuple[Member, ...]) -> None:
        self.members = {member.name: member for member in members}
        planner = planner_of(members)
        if planner is None or planner.name != self.name:
            self.planning_since = None
            for record in self.records.values():
                record.plan = None
                record.pending_since.clear()
        elif self.planning_since is None:
            self.planning_since = now

    # Planning.

    def _plan(self, now: float) -> list[Output]:
        if self.document is None or self.planning_since is None:
            return []
        demand = self.averages.average(now)
        if now - self.planning_since < INITIAL_WAIT_S:
            return []
        self._update_pending(now)
        limits = self.document.deployment.store
        pending = sum(len(x.pending_since) for x in self.records.values())
        groups = {group.name: group for group in self.document.server_groups}
        views = tuple(
            self.records.setdefault(name, EngineRecord()).view(
                now, server, groups[server.group]
            )
            for name, server in sorted(self.servers.items())
            if server.group in groups
        )
        plan_input = PlanInput(
            document=self.document,
            servers=views,
            demand=demand,
            allowance=self.load_limiter.allowance(now, limits, pending),
        )
        return self._publish(now, self._entries(plan_input))

    def _update_pending(self, now: float) -> None:
        assert self.document is not None
        load_s = {ModelKey(x.name, x.version): x.load_s for x in self.document.models}
        groups = {group.name: group for group in self.document.server_groups}
        for name, record in self.records.items():
            server = self.servers.get(name)
            group = groups.get(server.group) if server is not None else None
            record.update_pending(now, load_s, _memory_hold_s(group))

    def _entries(self, plan_input: PlanInput) -> list[PlanEntry]:
        plan_input = replace(plan_input, demand=with_adapter_demand(plan_input))
        placed = self.place(plan_input)
        entries = []
        for view in plan_input.servers:
            models = placed[view.name]
            adapters = place_adapters(plan_input, view, models)
            entries.append(
                PlanEntry(view.name, tuple(map(str, models)), tuple(map(str, adapters)))
            )
        return entries

    def place(self, plan_input: PlanInput) -> dict[str, tuple[ModelKey, ...]]:
        """Return the models that each engine should hold, highest priority first."""
        return place(plan_input)

    def _publish(self, now: float, entries: list[PlanEntry]) -> list[Output]:
        resend_all = now >= self.resend_due
        if resend_all:
            self.resend_due = now + RESEND_INTERVAL_S
        changed = [x for x in entries if self.records[x.server].plan != x]
        for entry in changed:
            self._spend(entry)
            self.records[entry.server].plan = entry
        return self._send(entries if resend_all else changed)

    def _spend(self, entry: PlanEntry) -> None:
        record = self.records[entry.server]
        known = {*(record.planned or ()), *record.resident_since}
        new = [x for x in entry.models if ModelKey.parse(x) not in known]
        self.load_limiter.spend(len(new))

    def _send(self, entries: list[PlanEntry]) -> list[Output]:
        self.serial += 1
        by_controller: dict[str, list[PlanEntry]] = {}
        for entry in entries:
            by_controller.setdefault(self._controller_of(entry.server), []).append(
                entry
            )
        outputs: list[Output] = []
        for name, group_entries in sorted(by_controller.items()):
            if name == self.name:
                outputs += [
                    PlanComputed(x.server, x.models, x.adapters) for x in group_entries
                ]
            elif name in self.members:
                message = PlanMessage(
                    self.generation, self.serial, tuple(group_entries)
                )
                outputs.append(SendPeer(name, self.members[name].address, message))
        return outputs

    def _controller_of(self, server: str) -> str:
        load = self.records[server].load
        if load is not None and load.steward in self.members:
            return load.steward
        ranked = rank(assignment_key(server), self.members)
        return ranked[0] if ranked else ""


def _memory_hold_s(group: ServerGroup | None) -> float:
    """Return for how long the memory of an unloaded model may stay counted."""
    if group is None or group.checks_fencing:
        return 0.0
    return group.order_lifetime_s
