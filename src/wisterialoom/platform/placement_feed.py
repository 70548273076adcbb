"""Tells all instances what the model servers hold, on behalf of the lease holder."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import ChangeFeed
from wisterialoom.core.placement.placement_table import PlacementTable
from wisterialoom.platform.hints import PlacementHint

if TYPE_CHECKING:
    from wisterialoom.core.fleet import PlacementLease
    from wisterialoom.core.placement.placement_table import ServerPlacement
    from wisterialoom.platform.peers import PeerLink

__all__ = ["PlacementFeed", "members_digest"]

CHANGED_S_EACH = 0.003
"""Least time between two hints to all about changes, for each instance that is told:
a hint of 1 KB to each then takes 2.7 Mbit/s at most. Who waits hears at once."""

SILENT_S = 0.4
"""Longest time between two hints to all; half of the silence that costs the lease."""

SERVERS_A_PART = 150
"""Servers in one datagram; each takes some 200 bytes of at most 60 KB."""


class PlacementFeed:
    """Sends the holder's hints.

    Attributes:
        lease: The lease, with the holder's epoch and renewals.
        peers: The datagram socket.
        table: What the servers hold, as the last hint told.
        servers: Changes of that.
        members: Changes of the instances.
        busy: Requests of all instances in progress, by server.
        ready_in_s: Time until what is being loaded can serve.
        serial: Increases with each hint of an epoch.
        sent_at: Monotonic time of the last hint to all.
        sent_ready: What was being loaded then.
    """

    def __init__(self, lease: PlacementLease, peers: PeerLink) -> None:
        self.lease = lease
        self.peers = peers
        self.table = PlacementTable()
        self.servers: ChangeFeed[ServerPlacement] = ChangeFeed()
        self.members: ChangeFeed[str] = ChangeFeed()
        self.busy: dict[str, int] = {}
        self.ready_in_s: dict[str, float] = {}
        self.serial = 0
        self.sent_at = float("-inf")
        self.sent_ready: set[str] = set()

    def restart(self, known: dict[str, ServerPlacement]) -> None:
        """Begin an epoch; others know what the holder before told."""
        self.serial = 0
        self.sent_at = float("-inf")
        self.servers.start_from(known)
        self.members.start_from(self.peers.members)

    def publish(
        self,
        now: float,
        placements: dict[str, ServerPlacement],
        busy: dict[str, int],
        ready_in_s: dict[str, float],
        waiting: list[str],
        *,
        urgent: bool = False,
    ) -> None:
        """Tell others what has changed, if it is time to.

        Args:
            now: Monotonic time.
            placements: What the servers hold.
            busy: Requests of all instances in progress, by server.
            ready_in_s: Time until what is being loaded can serve.
            waiting: Addresses of instances whose requests wait; they hear of changes
                at once.
            urgent: All have to hear of this at once.
        """
        self.table.replace(placements)
        self.busy = busy
        self.ready_in_s = ready_in_s
        changed = self.servers.note(placements)
        self.members.note(self.peers.members)
        news = bool(self.servers.left or self.members.left)
        news |= set(ready_in_s) != self.sent_ready
        pause_s = SILENT_S
        if news:
            pause_s = min(SILENT_S, CHANGED_S_EACH * len(self.peers.members))
        if urgent or now - self.sent_at >= pause_s:
            self.sent_at = now
            self.sent_ready = set(ready_in_s)
            hint = self._hint(self.servers.take(), self.members.take())
            self.peers.send_all(hint, self.peers.others(self.lease.me))
        elif changed and waiting:
            self.peers.send_all(self._hint(self.servers.pick(changed), {}), waiting)

    def answer(self, address: str) -> None:
        """Send one instance everything."""
        server_ids = sorted(self.table.placements)
        starts = range(0, len(server_ids), SERVERS_A_PART) or range(1)
        for start in starts:
            part = server_ids[start : start + SERVERS_A_PART]
            members = self.peers.members if start == 0 else {}
            told = {server_id: self.table.placements[server_id] for server_id in part}
            hint = self._hint(told, members, members_whole=start == 0)
            self.peers.send(hint, address)

    def _hint(
        self,
        servers: dict[str, ServerPlacement] | dict[str, ServerPlacement | None],
        members: dict[str, str] | dict[str, str | None],
        *,
        members_whole: bool = False,
    ) -> PlacementHint:
        self.serial += 1
        server_ids = sorted(self.table.placements)
        return PlacementHint(
            holder=self.lease.me,
            address=self.lease.address,
            epoch=self.lease.epoch,
            serial=self.serial,
            renewal=self.lease.record.serial if self.lease.record else 0,
            members={name: address or "" for name, address in members.items()},
            members_whole=members_whole,
            servers=dict(servers),
            busy=tuple(self.busy.get(server_id, 0) for server_id in server_ids),
            ready_in_s=self.ready_in_s,
            digest=self.table.digest(server_ids) ^ members_digest(self.peers.members),
        )


def members_digest(members: dict[str, str]) -> int:
    """Return a checksum over the instances."""
    total = sum(zlib.crc32(f"{name}={ip}".encode()) for name, ip in members.items())
    return total & 0xFFFFFFFF
