"""Announces the placement on the model servers, as the lease holder has it."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import ChangeFeed
from wisterialoom.core.placement.placement_table import PlacementTable
from wisterialoom.platform.hint_codec import split_placements
from wisterialoom.platform.hints import PlacementChange, PlacementHint

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.fleet import PlacementLease
    from wisterialoom.core.placement.placement_table import ServerPlacement
    from wisterialoom.platform.peers import PeerLink

__all__ = ["PlacementFeed", "members_digest"]

CHANGE_INTERVAL_EACH_S = 0.003
"""Minimum time between two broadcasts of changes, for each instance in the fleet.

Broadcasts of 1 KB hints then take at most 2.7 Mbit/s. Instances that need a change get
it immediately.
"""

MAX_INTERVAL_S = 0.4
"""Maximum time between two broadcasts.

It is half of the time without a hint after which others may take over the lease.
"""


class PlacementFeed:
    """Sends the placement hints of the lease holder.

    Attributes:
        lease: The lease, with the holder's epoch and renewals.
        peers: The datagram socket.
        table: Placement on the servers as last published.
        servers: Changes of the placement that are not sent yet.
        members: Changes of the instances that are not sent yet.
        busy: Requests of all instances in progress, by server.
        ready_in_s: Time until each model or adapter that is being loaded can serve.
        serial: Increases with each hint of an epoch.
        sent_at: Monotonic time of the last broadcast.
        sent_loading: Models and adapters that were being loaded at that time.
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
        self.sent_loading: set[str] = set()

    def restart(self, known: dict[str, ServerPlacement]) -> None:
        """Start an epoch.

        Args:
            known: Placement that the previous holder announced, which the other
                instances have already.
        """
        self.serial = 0
        self.sent_at = float("-inf")
        self.servers.set_baseline(known)
        self.members.set_baseline(self.peers.members)

    def publish(
        self,
        now: float,
        placements: dict[str, ServerPlacement],
        busy: dict[str, int],
        ready_in_s: dict[str, float],
        waiting: dict[str, set[str]],
    ) -> None:
        """Record the current state and send its changes, unless it is too early.

        Args:
            now: Monotonic time.
            placements: Placement on the servers.
            busy: Requests of all instances in progress, by server.
            ready_in_s: Time until each model or adapter that is being loaded can
                serve.
            waiting: Models and adapters that requests wait for, by the address of their
                instance, which is told immediately if a server now takes them.
        """
        self.table.replace(placements)
        self.busy = busy
        self.ready_in_s = ready_in_s
        changed = self.servers.record_table(placements)
        self.members.record_table(self.peers.members)
        has_changes = bool(self.servers.pending_keys or self.members.pending_keys)
        has_changes |= set(ready_in_s) != self.sent_loading
        pause_s = MAX_INTERVAL_S
        if has_changes:
            pause_s = min(
                MAX_INTERVAL_S, CHANGE_INTERVAL_EACH_S * len(self.peers.members)
            )
        if now - self.sent_at >= pause_s:
            self.sent_at = now
            self.sent_loading = set(ready_in_s)
            members = self.members.take_pending()
            for part in split_placements(self.servers.take_pending()) or [{}]:
                hint = self._make_hint(part, members)
                self.peers.send_all(hint, self.peers.addresses_except(self.lease.me))
                members = {}
        else:
            self._tell_waiting(changed, waiting)

    def announce(
        self, server_id: str, placement: ServerPlacement, addresses: list[str]
    ) -> None:
        """Tell instances of one server's placement ahead of the next hint.

        Args:
            server_id: Id of the server.
            placement: Its placement.
            addresses: Addresses of the instances.
        """
        self.peers.send_all(self._make_change({server_id: placement}), addresses)

    def _tell_waiting(self, changed: set[str], waiting: dict[str, set[str]]) -> None:
        """Tell instances of changed servers that take their waiting requests."""
        receivers: dict[tuple[str, ...], list[str]] = {}
        for address, resources in waiting.items():
            useful = tuple(
                server_id
                for server_id in changed
                if (placement := self.table.placements.get(server_id)) is not None
                and any(placement.takes(resource) for resource in resources)
            )
            if useful:
                receivers.setdefault(useful, []).append(address)
        for server_ids, addresses in receivers.items():
            change = self._make_change(self.servers.entries_for(set(server_ids)))
            self.peers.send_all(change, addresses)

    def _make_change(
        self, servers: Mapping[str, ServerPlacement | None]
    ) -> PlacementChange:
        self.serial += 1
        return PlacementChange(
            self.lease.me, self.lease.epoch, self.serial, dict(servers)
        )

    def send_snapshot(self, address: str) -> None:
        """Send the complete state to one instance."""
        parts = split_placements(self.table.placements) or [{}]
        for number, part in enumerate(parts):
            members = self.peers.members if number == 0 else {}
            hint = self._make_hint(part, members, members_complete=number == 0)
            self.peers.send(hint, address)

    def _make_hint(
        self,
        servers: dict[str, ServerPlacement] | dict[str, ServerPlacement | None],
        members: dict[str, str] | dict[str, str | None],
        *,
        members_complete: bool = False,
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
            members_complete=members_complete,
            servers=dict(servers),
            busy=tuple(self.busy.get(server_id, 0) for server_id in server_ids),
            ready_in_s=self.ready_in_s,
            digest=self.table.digest(server_ids) ^ members_digest(self.peers.members),
        )


def members_digest(members: dict[str, str]) -> int:
    """Return a checksum over the instances."""
    total = sum(zlib.crc32(f"{name}={ip}".encode()) for name, ip in members.items())
    return total & 0xFFFFFFFF
