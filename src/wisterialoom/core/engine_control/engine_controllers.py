"""Part of the core that controls engines: takes leases and carries out plans."""

from __future__ import annotations

from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.engine import (
    OrderDone,
    OrderLost,
    OrderNotSent,
    OrderRefused,
    StateRead,
    StateUnavailable,
)
from wisterialoom.core.engine_control.controller_assignment import ControllerAssignment
from wisterialoom.core.engine_control.demand import planner_of
from wisterialoom.core.engine_control.engine_controller import EngineController
from wisterialoom.core.engine_control.lease import Holder
from wisterialoom.core.engine_control.order_choice import Target
from wisterialoom.core.engine_control.presence import Presence
from wisterialoom.core.fleet.instance_list import InstanceListRead
from wisterialoom.core.fleet.peer import (
    ConfirmLetGo,
    LetGo,
    PeerReceived,
    PlanEntry,
    PlanMessage,
    SendPeer,
)
from wisterialoom.core.message import Event, Tick
from wisterialoom.core.notice import (
    BackendServer,
    ConfigChanged,
    DrainRequested,
    MembersChanged,
    PartDrained,
    PlanComputed,
    ServersChanged,
)
from wisterialoom.core.object_store import ObjectEvent, OperationIds

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document, ServerGroup
    from wisterialoom.core.fleet.peer import PeerMessage
    from wisterialoom.core.message import Output

__all__ = ["EngineControllers"]

PART = "stewards"
"""Name of this part, in operation ids and in `PartDrained`."""

RELEASE_QUERY_INTERVAL_S = 1.0
"""Time between two `LetGo` requests to a former holder, in seconds."""


class EngineControllers:
    """Controllers of the engines that this instance is a candidate for.

    Attributes:
        me: Identity of this process.
        ids: Identifiers of operations on the object API.
        assignment: Which instances are candidates for which server.
        presence: Detects whether a former lease holder has ended.
        document: Configuration in force; `None` before the first.
        servers: Engines by name.
        controllers: Controllers by name of the engine.
        plans: Newest plan by server, also of servers that other instances control.
        planner: Name of the member whose plans are followed.
        release_query_due: When to ask former holders again to release.
        drain_until: While stopping, when to exit even if leases are still held, for
            example because the object API is down; `None` otherwise.
        drained: The end of the drain was reported.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        ConfigChanged,
        ServersChanged,
        MembersChanged,
        InstanceListRead,
        PlanComputed,
        PeerReceived,
        ObjectEvent,
        OrderDone,
        OrderRefused,
        OrderLost,
        OrderNotSent,
        StateRead,
        StateUnavailable,
        DrainRequested,
        Tick,
    )

    def __init__(self, name: str, boot_id: str) -> None:
        """Build the controllers of one process.

        Args:
            name: Name of this entry instance.
            boot_id: Identity of the process, unique among those of this name.
        """
        self.me = Holder(name, boot_id)
        self.ids = OperationIds(PART)
        self.assignment = ControllerAssignment()
        self.presence = Presence(name)
        self.document: Document | None = None
        self.servers: dict[str, BackendServer] = {}
        self.controllers: dict[str, EngineController] = {}
        self.plans: dict[str, PlanEntry] = {}
        self.planner = ""
        self.release_query_due = 0.0
        self.drain_until: float | None = None
        self.drained = False

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event; see `Part`."""
        match event:
            case Tick():
                return self._tick(now)
            case ObjectEvent(op=op):
                return self._handle_object(now, op, event)
            case PeerReceived(sender=sender, message=message):
                return self._handle_peer(now, sender, message)
            case PlanComputed(server=server, models=models, adapters=adapters):
                self._apply_plan(now, PlanEntry(server, models, adapters))
            case DrainRequested():
                self._begin_drain(now)
            case (
                ConfigChanged()
                | ServersChanged()
                | MembersChanged()
                | InstanceListRead()
            ):
                self._handle_environment(now, event)
            case _:
                controller = self.controllers.get(getattr(event, "server", ""))
                return controller.handle(now, event) if controller else []
        return []

    def _handle_object(self, now: float, op: str, event: Event) -> list[Output]:
        if not self.ids.owns(op):
            return []
        for controller in self.controllers.values():
            if controller.lease.op == op:
                return controller.handle(now, event)
        return []

    # Configuration, servers and members.

    def _handle_environment(self, now: float, event: Event) -> None:
        match event:
            case ConfigChanged(document=document):
                self.document = document
            case ServersChanged(servers=servers):
                self.servers = {x.name: x for x in servers if x.kind == "engine"}
                self.assignment.set_servers(self.servers)
            case MembersChanged(members=members):
                self.presence.set_members(members)
                planner = planner_of(members)
                self.planner = planner.name if planner is not None else ""
                self.assignment.set_members(member.name for member in members)
            case InstanceListRead(listing=listing):
                names = frozenset(item.name for item in listing.instances)
                self.presence.listed = names
        self._update_controllers(now)

    def _update_controllers(self, now: float) -> None:
        if self.document is None:
            return
        groups = {group.name: group for group in self.document.server_groups}
        for name, server in self.servers.items():
            group = groups.get(server.group)
            if group is None:
                continue
            self._update_controller(now, name, server, group)
        for name in self.controllers.keys() - self.servers.keys():
            self.controllers[name].stopping = True

    def _update_controller(
        self, now: float, name: str, server: BackendServer, group: ServerGroup
    ) -> None:
        assert self.document is not None
        lease_s = self.document.deployment.lease_s
        controller = self.controllers.get(name)
        if controller is None:
            if self.assignment.rank_of(name, self.me.name) is None:
                return
            controller = EngineController.from_group(
                server, group, self.me, self.ids, lease_s
            )
            self.controllers[name] = controller
        controller.server = server
        controller.group = group
        controller.stopping = self.drain_until is not None
        controller.lease.lease_s = lease_s
        controller.is_listed = self.presence.is_self_listed
        self._set_target(now, name)

    # Plans.

    def _apply_plan(self, now: float, plan: PlanEntry) -> None:
        self.plans[plan.server] = plan
        self._set_target(now, plan.server)

    def _set_target(self, now: float, server: str) -> None:
        controller, plan = self.controllers.get(server), self.plans.get(server)
        if controller is None or plan is None or self.document is None:
            return
        target = Target.from_plan(self.document, plan.models, plan.adapters)
        controller.set_target(now, target)

    # Peers.

    def _handle_peer(
        self, now: float, sender: str, message: PeerMessage
    ) -> list[Output]:
        match message:
            case PlanMessage(entries=entries) if sender == self.planner:
                for plan in entries:
                    self._apply_plan(now, plan)
            case LetGo(server=server, epoch=epoch):
                return self._handle_release_query(now, sender, server, epoch)
            case ConfirmLetGo(server=server, epoch=epoch):
                controller = self.controllers.get(server)
                if controller is not None:
                    controller.journal.close_holder(sender, epoch, now)
        return []

    def _handle_release_query(
        self, now: float, sender: str, server: str, epoch: int
    ) -> list[Output]:
        controller = self.controllers.get(server)
        if controller is not None:
            controller.bar_epochs(now, epoch)
            if controller.journal.has_open(epoch):
                return []
        return self._send(sender, ConfirmLetGo(server, epoch))

    def _query_former_holders(self, now: float) -> list[Output]:
        if now < self.release_query_due:
            return []
        self.release_query_due = now + RELEASE_QUERY_INTERVAL_S
        outputs: list[Output] = []
        for name, controller in self.controllers.items():
            if not controller.lease.holding:
                continue
            for holder, epoch in controller.journal.open_holders().items():
                if self.presence.is_gone(holder.name, now):
                    controller.journal.close_holder(holder.name, epoch, now)
                else:
                    outputs += self._send(holder.name, LetGo(name, epoch))
        return outputs

    def _send(self, name: str, message: PeerMessage) -> list[Output]:
        member = self.presence.members.get(name)
        return [SendPeer(name, member.address, message)] if member else []

    # Time.

    def _tick(self, now: float) -> list[Output]:
        outputs = self._query_former_holders(now)
        for name, controller in self.controllers.items():
            rank = self.assignment.rank_of(name, self.me.name)
            outputs += controller.tick(now, rank)
        for name in self.controllers.keys() - self.servers.keys():
            if self.controllers[name].is_done:
                del self.controllers[name]
        return outputs + self._finish_drain(now)

    def _begin_drain(self, now: float) -> None:
        if self.drain_until is not None:
            return
        longest = [controller.lease.lease_s for controller in self.controllers.values()]
        self.drain_until = now + 2 * max(longest, default=0.0)
        for controller in self.controllers.values():
            controller.stopping = True

    def _finish_drain(self, now: float) -> list[Output]:
        if self.drain_until is None or self.drained:
            return []
        held = any(controller.lease.holding for controller in self.controllers.values())
        if held and now < self.drain_until:
            return []
        self.drained = True
        return [PartDrained(PART)]
