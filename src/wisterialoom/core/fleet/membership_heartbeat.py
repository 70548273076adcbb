"""What heartbeats and acknowledgements of one instance carry."""

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

__all__ = ["FRAME_BYTES", "NEWS_ONLY", "HeartbeatWriter", "member_size"]

NEWS_ONLY = 0
"""Serial of an acknowledgement that answers nothing and only carries news."""

URGENT_BYTES_PER_S = 600.0
"""Bytes of messages for urgent news that one instance sends each second."""

URGENT_BURST_BYTES = 6_000.0
"""Bytes of them that may be sent at once after a quiet time."""

MEMBER_BYTES = 400
"""Most bytes of news of members on one heartbeat or acknowledgement."""

FRAME_BYTES = 64
"""Bytes of a heartbeat besides the sender's name and news."""


class HeartbeatWriter:
    """Packs news of members, servers and the configuration into messages.

    Attributes:
        table: The member table that the news is of.
        news: News of members that is still to be sent.
        loads: What is known of the load of backend servers.
        leaving: Backend servers that were seen leaving.
        generation: Highest configuration known here.
        generation_sends: Messages that still go out at once to tell of it.
        fresh_at: When it was last known to be the newest; `None` if never.
    """

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self.news: GossipQueue[MemberUpdate] = GossipQueue()
        self.loads = LoadGossip()
        self.leaving = LeavingGossip()
        self.generation = 0
        self.generation_sends = 0
        self.fresh_at: float | None = None
        self.urgent_budget = ByteBudget(URGENT_BYTES_PER_S, URGENT_BURST_BYTES)

    def take_freshness(self, now: float, notice: ConfigFreshness) -> None:
        """Remember what to say of the configuration."""
        self.raise_generation(max(notice.generation, notice.known))
        self.fresh_at = now - notice.age_s

    def raise_generation(self, generation: int) -> None:
        """Tell the others at once if a generation is new."""
        if generation > self.generation:
            self.generation = generation
            self.generation_sends = URGENT_SENDS

    def spread(self, update: MemberUpdate) -> None:
        """Queue news of a member."""
        self.news.put(update.name, update, member_size(update), urgent=True)

    @property
    def urgent(self) -> bool:
        """Whether some news should be sent without waiting for a heartbeat."""
        queues = (self.news.urgent, self.loads.urgent, self.leaving.urgent)
        return any(queues) or self.generation_sends > 0

    def write_urgent(self, now: float, to: str) -> HeartbeatAck | None:
        """Return a message for urgent news, unless that would take too much."""
        if self.urgent_budget.available(now) < DATAGRAM_BYTES:
            return None
        message, size = self._write(now, to, NEWS_ONLY)
        self.urgent_budget.spend(size)
        self.generation_sends = max(self.generation_sends - 1, 0)
        return message

    def heartbeat(self, now: float, to: str, serial: int) -> Heartbeat:
        """Return a heartbeat for a member."""
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
        """Return an acknowledgement for a member."""
        return self._write(now, to, serial)[0]

    def _write(self, now: float, to: str, serial: int) -> tuple[HeartbeatAck, int]:
        limit = send_limit(len(self.table.entries))
        room = DATAGRAM_BYTES - FRAME_BYTES - text_size(self.table.own.name)
        doubt = self._doubt_about(to)
        used = sum(map(member_size, doubt))
        budget = room if serial == NEWS_ONLY else MEMBER_BYTES
        members, more = self.news.take(budget - used, limit)
        used += more
        leaving, more = self.leaving.pick(room - used, limit)
        used += more
        loads = self.loads.take(now, room - used)
        message = HeartbeatAck(
            serial=serial,
            generation=self.generation,
            config_age_ms=self._config_age_ms(now),
            members=(*doubt, *(x for x in members if x not in doubt)),
            loads=loads.loads,
            changes=loads.changes,
            digest=self.table.digest,
            leaving=leaving,
        )
        return message, FRAME_BYTES + used + loads.size

    def _doubt_about(self, name: str) -> tuple[MemberUpdate, ...]:
        """Return what the receiver itself should refute, if it lives."""
        doubt = self.table.doubts.get(name)
        entry = self.table.entries.get(name)
        if doubt is not None:
            return (doubt,)
        if entry is not None and entry.update.status is not MemberStatus.ALIVE:
            return (entry.update,)
        return ()

    def _config_age_ms(self, now: float) -> int:
        if self.fresh_at is None:
            return STALE_AGE_MS
        return max(int((now - self.fresh_at) * 1_000), 0)


def member_size(update: MemberUpdate) -> int:
    """Return the encoded size of news of a member, in bytes."""
    return (
        text_size(update.name)
        + text_size(update.address)
        + text_size(update.availability_zone)
        + int_size(update.incarnation)
        + int_size(update.status)
        + 1
    )
