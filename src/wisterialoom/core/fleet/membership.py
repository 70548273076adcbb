"""Membership of the entry instances, and the updates that its messages carry."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.fleet.instance_list import InstanceListRead
from wisterialoom.core.fleet.membership_heartbeat import (
    HeartbeatWriter,
    UNSOLICITED_SERIAL,
)
from wisterialoom.core.fleet.membership_join import JoinSchedule
from wisterialoom.core.fleet.membership_probe import PROBE_INTERVAL_S, ProbeSchedule
from wisterialoom.core.fleet.membership_table import MemberTable
from wisterialoom.core.fleet.peer import (
    Heartbeat,
    HeartbeatAck,
    IndirectPing,
    LoadPull,
    MemberStatus,
    MemberUpdate,
    PeerMessage,
    PeerReceived,
    SendPeer,
    ServerLoad,
    StateSync,
)
from wisterialoom.core.message import Event, Output, Tick
from wisterialoom.core.notice import (
    ConfigChanged,
    ConfigFreshness,
    DrainRequested,
    LoadReported,
    MembersChanged,
    PartDrained,
    ServerLeavingSeen,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

__all__ = ["Membership"]

PART = "membership"

PAUSE_S = 1.0
"""Time without any event from which a pause of this process itself is inferred."""

SUSPICION_PERIODS = 4.0
"""Probe intervals that a suspicion lasts, per factor of ten in the fleet's size."""

INDIRECT_PROBERS = 3
"""Number of members that are asked to probe a member that does not answer."""

SUSPECT_PROBES = 2
"""Number of suspected members per probe that are notified of the suspicion."""

DISPUTED_PROBES = 4
"""Number of members per probe that are notified that they were reported dead."""

URGENT_FANOUT = 2
"""Number of members that receive urgent updates with each tick."""

LEAVE_S = 2.0
"""Time for the update about leaving to spread before the part counts as drained."""

EXPIRE_INTERVAL_S = 0.5
"""Time between two checks for expired suspicions and members to forget."""


class Membership:
    """Probes members in turn and spreads updates about members and backend servers.

    Attributes:
        own: Entry of this instance as it describes itself.
        table: Status of the other members as seen by this instance.
        loads: Load and resident models of the backend servers.
        leaving: Backend servers that were seen leaving.
        writer: Packs the updates into heartbeats.
        probes: Selects the members to probe, and tracks probes under way.
        joins: Decides when to exchange member tables, and with which members.
        conflicts: Number of times that another process used this instance's name.
        loads_synced: Whether a full `StateSync` was received since the start.
        leaving_at: Time at which this instance began to leave, in seconds.
        drained: Whether the update about leaving has had its time to spread.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        Tick,
        PeerReceived,
        InstanceListRead,
        ConfigChanged,
        ConfigFreshness,
        LoadReported,
        ServerLeavingSeen,
        DrainRequested,
    )

    def __init__(
        self,
        name: str,
        address: str,
        availability_zone: str,
        *,
        seeds: Iterable[str],
        rng: random.Random,
        incarnation: int,
    ) -> None:
        """Initialize the part.

        Args:
            name: Name of this instance, unique among the running instances.
            address: `IP:port` at which peers reach this instance.
            availability_zone: Availability zone of this instance.
            seeds: Addresses to join through, in addition to the instance list.
            rng: Source of random choices.
            incarnation: Number above those of earlier processes of this name, if
                possible (such as the start time). With a lower one, this instance
                first has to refute the report that the earlier process is dead.
        """
        self.own = MemberUpdate(
            name, address, availability_zone, incarnation, MemberStatus.ALIVE
        )
        self.rng = rng
        self.table = MemberTable(self.own)
        self.writer = HeartbeatWriter(self.table)
        self.loads = self.writer.loads
        self.leaving = self.writer.leaving
        self.probes = ProbeSchedule(rng)
        self.joins = JoinSchedule(address, seeds, rng)
        self.conflicts = 0
        self.loads_synced = False
        self.leaving_at: float | None = None
        self.drained = False
        self.last_event: float | None = None
        self.expire_at = 0.0
        self.announced_version = 0
        self.announced: MembersChanged | None = None
        self.outputs: list[Output] = []

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event and return the resulting commands and notices."""
        self.outputs = []
        self._detect_pause(now)
        match event:
            case Tick():
                self._tick(now)
            case PeerReceived(sender=sender, message=message):
                self._receive(now, sender, message)
            case InstanceListRead(listing=listing):
                self.joins.record_listing(listing)
            case ConfigChanged(generation=generation):
                self.writer.raise_generation(generation)
            case ConfigFreshness():
                self.writer.record_freshness(now, event)
            case LoadReported(load=load, own=True):
                self.loads.report(now, load)
            case ServerLeavingSeen():
                self.leaving.record_notice(event)
            case DrainRequested():
                self._leave(now)
        self._announce_members()
        return self.outputs

    # Timers.

    def _detect_pause(self, now: float) -> None:
        last, self.last_event = self.last_event, now
        if last is None or now - last < PAUSE_S:
            return
        # Answers of other members were not processed during the pause, so it must not
        # count against them.
        self.table.shift_times(now - last)
        self.probes.reset(now)

    def _tick(self, now: float) -> None:
        self.loads.tick(now)
        self._expire(now)
        self._join(now)
        self._request_indirect_probes(now)
        if now >= self.probes.next_at:
            self._probe(now)
        self._send_urgent(now)
        self._pull_loads(now)
        self._finish_leaving(now)

    def _expire(self, now: float) -> None:
        if now < self.expire_at:
            return
        self.expire_at = now + EXPIRE_INTERVAL_S
        self.table.expire(now, self.suspicion_s)
        self.probes.expire(now)

    @property
    def suspicion_s(self) -> float:
        """Time from a suspicion until the member is declared dead, in seconds."""
        decades = math.log10(len(self.table.active()) + 2)
        return SUSPICION_PERIODS * PROBE_INTERVAL_S * max(1.0, decades)

    # Probes.

    def _probe(self, now: float) -> None:
        failed = self.probes.take_failed()
        if failed is not None:
            self._suspect(now, failed)
        self.probes.next_at = now + PROBE_INTERVAL_S
        disputed = self._sample(list(self.table.disputed_deaths), DISPUTED_PROBES)
        names = [x.name for x in self.table.active()]
        target = disputed[0] if disputed else self.probes.next_target(names)
        if target is None:
            return
        probe = self.probes.start_probe(now, target)
        self._send(target, self.writer.heartbeat(now, target, probe.serial))
        suspects = [x.name for x in self.table.suspects()]
        extra_targets = [*disputed[1:], *self._sample(suspects, SUSPECT_PROBES)]
        for name in dict.fromkeys(extra_targets):
            if name != target:
                serial = self.probes.next_serial()
                self._send(name, self.writer.heartbeat(now, name, serial))

    def _sample(self, names: list[str], count: int) -> list[str]:
        return self.rng.sample(names, min(count, len(names)))

    def _suspect(self, now: float, name: str) -> None:
        entry = self.table.entries.get(name)
        if entry is None or entry.update.status is not MemberStatus.ALIVE:
            return
        update = self.table.raise_status(now, name, MemberStatus.SUSPECT)
        if update is not None:
            self.writer.queue_update(update)

    def _request_indirect_probes(self, now: float) -> None:
        probe = self.probes.take_indirect_probe(now)
        if probe is None:
            return
        names = [x.name for x in self.table.active() if x.name != probe.target]
        for name in self._sample(names, INDIRECT_PROBERS):
            self._send(name, IndirectPing(probe.serial, probe.target))

    # Messages.

    def _receive(self, now: float, sender: str, message: PeerMessage) -> None:
        match message:
            case Heartbeat():
                self._merge_updates(now, sender, message)
                self._send(sender, self.writer.ack(now, sender, message.serial))
            case HeartbeatAck():
                self._receive_ack(now, sender, message)
            case IndirectPing(serial=serial, target=target):
                own_serial = self.probes.start_relayed_probe(now, sender, serial)
                self._send(target, self.writer.heartbeat(now, target, own_serial))
            case StateSync():
                self._receive_sync(now, sender, message)
            case LoadPull(servers=servers):
                loads = self.loads.full_reports_of(servers)
                self._send(sender, StateSync(loads=loads))

    def _receive_ack(self, now: float, sender: str, message: HeartbeatAck) -> None:
        self._merge_updates(now, sender, message)
        if message.serial == UNSOLICITED_SERIAL:
            return
        self.table.disputed_deaths.pop(sender, None)
        relay = self.probes.record_ack(message.serial)
        if relay is not None:
            self._send(relay.origin, self.writer.ack(now, relay.origin, relay.serial))

    def _merge_updates(
        self, now: float, sender: str, message: Heartbeat | HeartbeatAck
    ) -> None:
        for update in message.members:
            self._merge(now, update)
        for load in message.loads:
            self._report_load(self.loads.merge_full_report(now, load))
        for change in message.changes:
            self._report_load(self.loads.merge_change(now, change, sender))
        for item in self.leaving.merge(message.leaving):
            self.outputs.append(ServerLeavingSeen(item.server, item.incarnation))
        differs = message.digest != self.table.digest
        changed_at = self.table.changed_at
        if self.joins.should_sync(now, changed_at, differs=differs):
            self._send(sender, self._sync_request())

    def _report_load(self, load: ServerLoad | None) -> None:
        if load is not None:
            self.outputs.append(LoadReported(load, own=False))

    def _receive_sync(self, now: float, sender: str, message: StateSync) -> None:
        for update in message.members:
            self._merge(now, update)
        for load in message.loads:
            self._report_load(self.loads.merge_full_report(now, load))
        if message.wants_reply:
            self._reply_sync(sender, message)
        if message.whole:
            self.loads_synced = True
            newer = self.table.newer_than(message.members)
            if newer:
                self._send(sender, StateSync(members=newer))

    def _reply_sync(self, sender: str, message: StateSync) -> None:
        reply = StateSync(members=self.table.updates(), whole=True)
        if message.wants_loads:
            reply = replace(reply, loads=self.loads.all_full_reports())
        for update in message.members:
            floor = self.table.floor_above(update)
            if update.name == sender and floor is not None:
                reply = replace(reply, members=(*reply.members, floor))
                self.outputs.append(SendPeer(sender, update.address, reply))
                return
        self._send(sender, reply)

    def _merge(self, now: float, update: MemberUpdate) -> None:
        if update.name == self.own.name:
            self._merge_own(now, update)
            return
        to_forward = self.table.merge(now, update)
        if to_forward is not None:
            self.writer.queue_update(to_forward)

    def _merge_own(self, now: float, update: MemberUpdate) -> None:
        if update.incarnation < self.own.incarnation or update == self.own:
            return
        if update.status is MemberStatus.ALIVE:
            self.conflicts += 1
        if self.leaving_at is None:
            self._set_own(now, replace(self.own, incarnation=update.incarnation + 1))

    def _set_own(self, now: float, own: MemberUpdate) -> None:
        self.own = own
        self.table.set_own(now, own)
        self.writer.queue_update(own)

    # Joining and leaving.

    def _join(self, now: float) -> None:
        if self.leaving_at is not None:
            return
        gone = [
            entry.update
            for entry in self.table.entries.values()
            if entry.update.status is MemberStatus.DEAD
        ]
        active = [update.address for update in self.table.active()]
        for name, address in self.joins.contacts(now, active, gone):
            self.outputs.append(SendPeer(name, address, self._sync_request()))

    def _leave(self, now: float) -> None:
        if self.leaving_at is None:
            self.leaving_at = now
            self._set_own(now, replace(self.own, status=MemberStatus.LEAVING))

    def _finish_leaving(self, now: float) -> None:
        if self.leaving_at is None or self.drained:
            return
        if now - self.leaving_at >= LEAVE_S or not self.table.active():
            self.drained = True
            self.outputs.append(PartDrained(PART))

    def _sync_request(self) -> StateSync:
        return StateSync(
            members=(self.own,), wants_reply=True, wants_loads=not self.loads_synced
        )

    # Sending.

    def _send_urgent(self, now: float) -> None:
        if not self.writer.urgent:
            return
        names = [update.name for update in self.table.active()]
        for name in self._sample(names, URGENT_FANOUT):
            message = self.writer.write_urgent(now, name)
            if message is not None:
                self._send(name, message)

    def _pull_loads(self, now: float) -> None:
        for member, servers in self.loads.take_due_pulls(now).items():
            self._send(member, LoadPull(servers))

    def _send(self, to: str, message: PeerMessage) -> None:
        entry = self.table.entries.get(to)
        if entry is not None:
            self.outputs.append(SendPeer(to, entry.update.address, message))

    def _announce_members(self) -> None:
        if self.announced_version == self.table.version:
            return
        self.announced_version = self.table.version
        notice = MembersChanged(self.table.members(), self.table.gone())
        if notice != self.announced:
            self.announced = notice
            self.outputs.append(notice)
