"""Membership of the entry instances, and the news that rides on it."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.fleet.instance_list import InstanceListRead
from wisterialoom.core.fleet.membership_heartbeat import HeartbeatWriter, NEWS_ONLY
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
"""Time without any event after which this instance was itself paused."""

SUSPICION_PERIODS = 4.0
"""Probe intervals of suspicion for each factor of ten in the fleet's size."""

HELPERS = 3
"""Members that are asked to probe one that does not answer."""

SUSPECT_PROBES = 2
"""Suspected members that are told of it with each probe."""

DOUBT_PROBES = 4
"""Members that are told of rumors of their death with each probe."""

URGENT_FANOUT = 2
"""Members that urgent news is sent to with each tick."""

LEAVE_S = 2.0
"""Time in which the news of leaving spreads before the part is drained."""

EXPIRE_INTERVAL_S = 0.5
"""Time between two looks at suspicions and forgotten members."""


class Membership:
    """Probes members in turn and spreads news of members and backend servers.

    Attributes:
        own: This instance as it describes itself.
        table: What is believed of the others.
        loads: What is known of backend servers.
        leaving: Backend servers that were seen leaving.
        writer: Packs the news into heartbeats.
        conflicts: Times that another process used this instance's name.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (
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
        """Set the part up.

        Args:
            name: Name of this instance, unique among those that live.
            address: `IP:port` at which peers reach it.
            availability_zone: Where it is.
            seeds: Addresses to join through, beside the instance list.
            rng: Source of random choices.
            incarnation: Above those of earlier lives of the name, if possible
                (such as the boot time); a lower one costs a refutation.
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
        self.out: list[Output] = []

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event and return what follows from it."""
        self.out = []
        self._notice_pause(now)
        match event:
            case Tick():
                self._tick(now)
            case PeerReceived(sender=sender, message=message):
                self._receive(now, sender, message)
            case InstanceListRead(listing=listing):
                self.joins.take_listing(listing)
            case ConfigChanged(generation=generation):
                self.writer.raise_generation(generation)
            case ConfigFreshness():
                self.writer.take_freshness(now, event)
            case LoadReported(load=load, own=True):
                self.loads.report(now, load)
            case ServerLeavingSeen():
                self.leaving.see(event)
            case DrainRequested():
                self._leave(now)
        self._announce_members()
        return self.out

    # Time.

    def _notice_pause(self, now: float) -> None:
        last, self.last_event = self.last_event, now
        if last is None or now - last < PAUSE_S:
            return
        # The others had no chance to answer meanwhile.
        self.table.shift(now - last)
        self.probes.reset(now)

    def _tick(self, now: float) -> None:
        self.loads.tick(now)
        self._expire(now)
        self._join(now)
        self._ask_for_help(now)
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
        """Time from a suspicion to taking the member for dead, in seconds."""
        decades = math.log10(len(self.table.active()) + 2)
        return SUSPICION_PERIODS * PROBE_INTERVAL_S * max(1.0, decades)

    # Probes.

    def _probe(self, now: float) -> None:
        failed = self.probes.failed()
        if failed is not None:
            self._suspect(now, failed)
        self.probes.next_at = now + PROBE_INTERVAL_S
        doubted = self._some(list(self.table.doubts), DOUBT_PROBES)
        names = [x.name for x in self.table.active()]
        target = doubted[0] if doubted else self.probes.next_target(names)
        if target is None:
            return
        probe = self.probes.begin(now, target)
        self._send(target, self.writer.heartbeat(now, target, probe.serial))
        suspects = [x.name for x in self.table.suspects()]
        told = [*doubted[1:], *self._some(suspects, SUSPECT_PROBES)]
        for name in dict.fromkeys(told):
            if name != target:
                serial = self.probes.next_serial()
                self._send(name, self.writer.heartbeat(now, name, serial))

    def _some(self, names: list[str], count: int) -> list[str]:
        return self.rng.sample(names, min(count, len(names)))

    def _suspect(self, now: float, name: str) -> None:
        entry = self.table.entries.get(name)
        if entry is None or entry.update.status is not MemberStatus.ALIVE:
            return
        update = self.table.mark(now, name, MemberStatus.SUSPECT)
        if update is not None:
            self.writer.spread(update)

    def _ask_for_help(self, now: float) -> None:
        probe = self.probes.wants_help(now)
        if probe is None:
            return
        names = [x.name for x in self.table.active() if x.name != probe.target]
        for name in self._some(names, HELPERS):
            self._send(name, IndirectPing(probe.serial, probe.target))

    # Messages.

    def _receive(self, now: float, sender: str, message: PeerMessage) -> None:
        match message:
            case Heartbeat():
                self._take_news(now, sender, message)
                self._send(sender, self.writer.ack(now, sender, message.serial))
            case HeartbeatAck():
                self._take_ack(now, sender, message)
            case IndirectPing(serial=serial, target=target):
                own = self.probes.begin_relay(now, sender, serial)
                self._send(target, self.writer.heartbeat(now, target, own))
            case StateSync():
                self._take_sync(now, sender, message)
            case LoadPull(servers=servers):
                loads = self.loads.wholes_of(servers)
                self._send(sender, StateSync(loads=loads))

    def _take_ack(self, now: float, sender: str, message: HeartbeatAck) -> None:
        self._take_news(now, sender, message)
        if message.serial == NEWS_ONLY:
            return
        self.table.doubts.pop(sender, None)
        relay = self.probes.acknowledge(message.serial)
        if relay is not None:
            self._send(relay.origin, self.writer.ack(now, relay.origin, relay.serial))

    def _take_news(
        self, now: float, sender: str, message: Heartbeat | HeartbeatAck
    ) -> None:
        for update in message.members:
            self._merge(now, update)
        for load in message.loads:
            self._take_load(self.loads.take_whole(now, load))
        for change in message.changes:
            self._take_load(self.loads.take_change(now, change, sender))
        for item in self.leaving.take(message.leaving):
            self.out.append(ServerLeavingSeen(item.server, item.incarnation))
        differs = message.digest != self.table.digest
        changed_at = self.table.changed_at
        if self.joins.should_sync(now, changed_at, differs=differs):
            self._send(sender, self._ask())

    def _take_load(self, load: ServerLoad | None) -> None:
        if load is not None:
            self.out.append(LoadReported(load, own=False))

    def _take_sync(self, now: float, sender: str, message: StateSync) -> None:
        for update in message.members:
            self._merge(now, update)
        for load in message.loads:
            self._take_load(self.loads.take_whole(now, load))
        if message.wants_reply:
            self._reply_sync(sender, message)
        if message.whole:
            self.loads_synced = True
            better = self.table.better_than(message.members)
            if better:
                self._send(sender, StateSync(members=better))

    def _reply_sync(self, sender: str, message: StateSync) -> None:
        reply = StateSync(members=self.table.updates(), whole=True)
        if message.wants_loads:
            reply = replace(reply, loads=self.loads.all_wholes())
        for update in message.members:
            floor = self.table.floor_above(update)
            if update.name == sender and floor is not None:
                reply = replace(reply, members=(*reply.members, floor))
                self.out.append(SendPeer(sender, update.address, reply))
                return
        self._send(sender, reply)

    def _merge(self, now: float, update: MemberUpdate) -> None:
        if update.name == self.own.name:
            self._merge_own(now, update)
            return
        news = self.table.merge(now, update)
        if news is not None:
            self.writer.spread(news)

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
        self.writer.spread(own)

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
            self.out.append(SendPeer(name, address, self._ask()))

    def _leave(self, now: float) -> None:
        if self.leaving_at is None:
            self.leaving_at = now
            self._set_own(now, replace(self.own, status=MemberStatus.LEAVING))

    def _finish_leaving(self, now: float) -> None:
        if self.leaving_at is None or self.drained:
            return
        if now - self.leaving_at >= LEAVE_S or not self.table.active():
            self.drained = True
            self.out.append(PartDrained(PART))

    def _ask(self) -> StateSync:
        return StateSync(
            members=(self.own,), wants_reply=True, wants_loads=not self.loads_synced
        )

    # Sending.

    def _send_urgent(self, now: float) -> None:
        if not self.writer.urgent:
            return
        names = [update.name for update in self.table.active()]
        for name in self._some(names, URGENT_FANOUT):
            message = self.writer.write_urgent(now, name)
            if message is not None:
                self._send(name, message)

    def _pull_loads(self, now: float) -> None:
        for member, servers in self.loads.take_missing(now).items():
            self._send(member, LoadPull(servers))

    def _send(self, to: str, message: PeerMessage) -> None:
        entry = self.table.entries.get(to)
        if entry is not None:
            self.out.append(SendPeer(to, entry.update.address, message))

    def _announce_members(self) -> None:
        if self.announced_version == self.table.version:
            return
        self.announced_version = self.table.version
        notice = MembersChanged(self.table.members(), self.table.gone())
        if notice != self.announced:
            self.announced = notice
            self.out.append(notice)
