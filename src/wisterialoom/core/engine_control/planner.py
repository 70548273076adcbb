"""The part that plans which engine holds what; it keeps nothing durable."""

from __future__ import annotations

from dataclasses import replace
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.controller_assignment import assignment_key
from wisterialoom.core.engine_control.demand import DemandAverages, planner_of
from wisterialoom.core.engine_control.planner_adapters import (
    place_adapters,
    with_adapter_demand,
)
from wisterialoom.core.engine_control.planner_input import PlanInput
from wisterialoom.core.engine_control.planner_pace import LoadPace
from wisterialoom.core.engine_control.planner_placement import place
from wisterialoom.core.engine_control.planner_view import EngineRecord
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
"""Least time between two plans, in seconds."""

SERVERS_A_SECOND = 125
"""With more servers, plans are made less often, to bound the processor time."""

SETTLE_S = 3.0
"""A new planner listens for this long before its first plan, in seconds."""

RESEND_INTERVAL_S = 5.0
"""Unchanged plans are sent again after this long, in seconds."""


class Planner:
    """Plans while this instance ranks first for planning.

    Every instance follows the load reports, so that a new planner starts from
    what is resident. The plan is a function of its input.

    Attributes:
        name: Name of this entry instance.
        members: Members by name.
        records: What is known of each engine.
        averages: Demand over the deployment.
        plans_since: Since when this instance plans; `None` if it does not.
        serial: Count of plans.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
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
        self.pace = LoadPace()
        self.plans_since: float | None = None
        self.plan_due = 0.0
        self.resend_due = 0.0
        self.serial = 0

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event; see `Part`."""
        match event:
            case Tick() if now >= self.plan_due:
                wait_s = len(self.servers) / SERVERS_A_SECOND
                self.plan_due = now + max(PLAN_INTERVAL_S, wait_s)
                return self._plan(now)
            case ConfigChanged(generation=generation, document=document):
                self.generation = generation
                self.document = document
            case MembersChanged(members=members):
                self._take_members(now, members)
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
                self.averages.take(now, sender, report.rates, report.waiting)
        return []

    def _take_members(self, now: float, members: tuple[Member, ...]) -> None:
        self.members = {member.name: member for member in members}
        planner = planner_of(members)
        if planner is None or planner.name != self.name:
            self.plans_since = None
            for record in self.records.values():
                record.plan = None
                record.pending_since.clear()
        elif self.plans_since is None:
            self.plans_since = now

    # Planning.

    def _plan(self, now: float) -> list[Output]:
        if self.document is None or self.plans_since is None:
            return []
        demand = self.averages.average(now)
        if now - self.plans_since < SETTLE_S:
            return []
        self._follow_loads(now)
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
        given = PlanInput(
            document=self.document,
            servers=views,
            demand=demand,
            allowance=self.pace.allowance(now, limits, pending),
        )
        return self._publish(now, self._entries(given))

    def _follow_loads(self, now: float) -> None:
        assert self.document is not None
        load_s = {ModelKey(x.name, x.version): x.load_s for x in self.document.models}
        groups = {group.name: group for group in self.document.server_groups}
        for name, record in self.records.items():
            server = self.servers.get(name)
            group = groups.get(server.group) if server is not None else None
            record.follow(now, load_s, _extra_s(group))

    def _entries(self, given: PlanInput) -> list[PlanEntry]:
        given = replace(given, demand=with_adapter_demand(given))
        placed = self.place(given)
        entries = []
        for view in given.servers:
            models = placed[view.name]
            adapters = place_adapters(given, view, models)
            entries.append(
                PlanEntry(view.name, tuple(map(str, models)), tuple(map(str, adapters)))
            )
        return entries

    def place(self, given: PlanInput) -> dict[str, tuple[ModelKey, ...]]:
        """Return the models that each engine should hold, most wanted first."""
        return place(given)

    def _publish(self, now: float, entries: list[PlanEntry]) -> list[Output]:
        everything = now >= self.resend_due
        if everything:
            self.resend_due = now + RESEND_INTERVAL_S
        changed = [x for x in entries if self.records[x.server].plan != x]
        for entry in changed:
            self._spend(entry)
            self.records[entry.server].plan = entry
        return self._send(entries if everything else changed)

    def _spend(self, entry: PlanEntry) -> None:
        record = self.records[entry.server]
        known = {*(record.planned or ()), *record.resident_since}
        new = [x for x in entry.models if ModelKey.parse(x) not in known]
        self.pace.spend(len(new))

    def _send(self, entries: list[PlanEntry]) -> list[Output]:
        self.serial += 1
        by_steward: dict[str, list[PlanEntry]] = {}
        for entry in entries:
            by_steward.setdefault(self._steward_of(entry.server), []).append(entry)
        outputs: list[Output] = []
        for name, some in sorted(by_steward.items()):
            if name == self.name:
                outputs += [PlanComputed(x.server, x.models, x.adapters) for x in some]
            elif name in self.members:
                message = PlanMessage(self.generation, self.serial, tuple(some))
                outputs.append(SendPeer(name, self.members[name].address, message))
        return outputs

    def _steward_of(self, server: str) -> str:
        load = self.records[server].load
        if load is not None and load.steward in self.members:
            return load.steward
        ranked = rank(assignment_key(server), self.members)
        return ranked[0] if ranked else ""


def _extra_s(group: ServerGroup | None) -> float:
    """Return for how long an unloaded model's memory may stay counted."""
    if group is None or group.checks_fencing:
        return 0.0
    return group.order_lifetime_s
