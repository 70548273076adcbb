"""Contents of the heartbeats and acknowledgements that one instance sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.fleet.gossip import (
    ByteBudget,
    DATAGRAM_BYTES,
    GossipQueue,
    int_size,
    send_limit,
    text_size,
    URGENT_SENDS,
)
from wisterialoom.core.fleet.leaving_gossip import LeavingGossip
from wisterialoom.core.fleet.load_gossip import LoadGossip
from wisterialoom.core.fleet.peer import (
    Heartbeat,
    HeartbeatAck,
    MemberStatus,
    MemberUpdate,
    STALE_AGE_MS,
)

if TYPE_CHECKING:
    from wisterialoom.core.fleet.membership_table import MemberTable
    from wisterialoom.core.notice import ConfigFreshness

__all__ = ["FRAME_BYTES", "UNSOLICITED_SERIAL", "HeartbeatWriter", "member_size"]

UNSOLICITED_SERIAL = 0
"""Serial of an acknowledgement that answers no heartbeat and only carries updates."""

URGENT_BYTES_PER_S = 600.0
"""Long-term rate of messages with urgent updates, in bytes per second."""

URGENT_BURST_BYTES = 6_000.0
"""Maximum burst of such messages after a quiet period, in bytes."""

MEMBER_BYTES = 400
"""Maximum size of member updates on a heartbeat or an acknowledgement of one."""

FRAME_BYTES = 64
"""Size of a heartbeat without the sender's name and the updates, in bytes."""


class HeartbeatWriter:
    """Packs updates about members, servers and the configuration into messages.

    Attributes:
        table: The member table.
        member_updates: Member updates that are still to be sent.
        loads: Load and resident models of the backend servers.
        leaving: Backend servers that were seen leaving.
        generation: Highest generation of the configuration known here.
        urgent_generation_sends: Number of messages with this generation that
            are still to be sent without waiting for a heartbeat.
        fresh_at: Time at which the generation was last known to be the newest, in
            seconds; `None` if it never was.
        urgent_budget: Limits the bytes of urgent messages.
    """

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self.member_updates: GossipQueue[MemberUpdate] = GossipQueue()
        self.loads = LoadGossip()
        self.leaving = LeavingGossip()
        self.generation = 0
        self.urgent_generation_sends = 0
        self.fresh_at: float | None = None
        self.urgent_budget = ByteBudget(URGENT_BYTES_PER_S, URGENT_BURST_BYTES)

    def record_freshness(self, now: float, notice: ConfigFreshness) -> None:
        """Record the generation and age of the configuration."""
        self.raise_generation(max(notice.generation, notice.latest_generation))
        self.fresh_at = now - notice.age_s

    def raise_generation(self, generation: int) -> None:
        """Record a generation and announce it without delay if it is new."""
        if generation > self.generation:
            self.generation = generation
            self.urgent_generation_sends = URGENT_SENDS

    def queue_update(self, update: MemberUpdate) -> None:
        """Queue a member update."""
        self.member_updates.put(update.name, update, member_size(update), urgent=True)

    @property
    def urgent(self) -> bool:
        """Whether an update should be sent without waiting for a heartbeat."""
        queues = (self.member_updates.urgent, self.loads.urgent, self.leaving.urgent)
        return any(queues) or self.urgent_generation_sends > 0

    def write_urgent(self, now: float, to: str) -> HeartbeatAck | None:
        """Return a message with urgent updates, or `None` if the budget is used up."""
        if self.urgent_budget.available(now) < DATAGRAM_BYTES:
            return None
        message, size = self._write(now, to, UNSOLICITED_SERIAL)
        self.urgent_budget.spend(size)
        self.urgent_generation_sends = max(self.urgent_generation_sends - 1, 0)
        return message

    def heartbeat(self, now: float, to: str, serial: int) -> Heartbeat:
        """Return a heartbeat for a member.

        Args:
            now: Monotonic time in seconds.
            to: Name of the receiver.
            serial: Serial of the probe.
        """
        ack = self.ack(now, to, serial)
        return Heartbeat(
            serial=serial,
            generation=ack.generation,
            config_age_ms=ack.config_age_ms,
            members=ack.members,
            loads=ack.loads,
            changes=ack.changes,
            digest=ack.digest,
            leaving=ack.leaving,
        )

    def ack(self, now: float, to: str, serial: int) -> HeartbeatAck:
        """Return an acknowledgement of a member's heartbeat with this serial."""
        return self._write(now, to, serial)[0]

    def _write(self, now: float, to: str, serial: int) -> tuple[HeartbeatAck, int]:
        limit = send_limit(len(self.table.entries))
        free_bytes = DATAGRAM_BYTES - FRAME_BYTES - text_size(self.table.own.name)
        disputed = self._status_to_refute(to)
        used = sum(map(member_size, disputed))
        budget = free_bytes if serial == UNSOLICITED_SERIAL else MEMBER_BYTES
        members, more = self.member_updates.take(budget - used, limit)
        used += more
        leaving, more = self.leaving.take_for_message(free_bytes - used, limit)
        used += more
        loads = self.loads.take(now, free_bytes - used)
        message = HeartbeatAck(
            serial=serial,
            generation=self.generation,
            config_age_ms=self._config_age_ms(now),
            members=(*disputed, *(x for x in members if x not in disputed)),
            loads=loads.loads,
            changes=loads.changes,
            digest=self.table.digest,
            leaving=leaving,
        )
        return message, FRAME_BYTES + used + loads.size

    def _status_to_refute(self, name: str) -> tuple[MemberUpdate, ...]:
        """Return the update that a member has to refute if it is alive."""
        disputed = self.table.disputed_deaths.get(name)
        entry = self.table.entries.get(name)
        if disputed is not None:
            return (disputed,)
        if entry is not None and entry.update.status is not MemberStatus.ALIVE:
            return (entry.update,)
        return ()

    def _config_age_ms(self, now: float) -> int:
        if self.fresh_at is None:
            return STALE_AGE_MS
        return max(int((now - self.fresh_at) * 1_000), 0)


def member_size(update: MemberUpdate) -> int:
    """Return the encoded size of a member update in bytes."""
    return (
        text_size(update.name)
        + text_size(update.address)
        + text_size(update.availability_zone)
        + int_size(update.incarnation)
        + int_size(update.status)
        + 1
    )
