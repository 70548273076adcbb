"""Decides when to exchange full member tables, and with which members."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from wisterialoom.core.fleet.instance_list import InstanceList
    from wisterialoom.core.fleet.peer import MemberUpdate

__all__ = ["JoinSchedule"]

ENTRY_KIND = "entry"
"""Value of the label `kind` of entry instances in the platform's list."""

ALONE_INTERVAL_S = 1.0
"""Time between two attempts to join while no other member is active."""

ALONE_CONTACTS = 3
"""Maximum number of addresses tried in each attempt to join."""

CONTACT_INTERVAL_S = 10.0
"""Time between two attempts to reach an address at which no member is active."""

STABLE_S = 8.0
"""Time without a change of the table after which a differing digest causes a sync."""

FIRST_SYNC_INTERVAL_S = 5.0
"""Minimum time between the first two syncs that a differing digest causes."""

MAX_SYNC_INTERVAL_S = 60.0
"""Upper bound of the time between two syncs, which doubles while digests differ."""


class JoinSchedule:
    """Selects the peers to exchange full member tables with.

    These are known addresses without an active member, and active members whose digest
    differs although this instance's table has not changed for `STABLE_S`.

    Attributes:
        address: Address of this instance.
        seeds: Addresses from the settings.
        listed: Names of entry instances in the platform's list, by address.
        next_at: Time of the next attempt to reach missing members, in seconds.
        sync_at: Time of the last sync for a differing digest, in seconds.
        sync_interval_s: Minimum time between two syncs for a differing digest;
            doubles while the digests still differ.
    """

    def __init__(self, address: str, seeds: Iterable[str], rng: random.Random) -> None:
        self.address = address
        self.seeds = tuple(seeds)
        self.listed: dict[str, str] = {}
        self.rng = rng
        self.next_at = 0.0
        self.sync_at = 0.0
        self.sync_interval_s = FIRST_SYNC_INTERVAL_S

    def record_listing(self, listing: InstanceList) -> None:
        """Record the addresses of the entry instances in the platform's list."""
        self.listed = {
            instance.address: instance.name
            for instance in listing.instances
            if instance.labels.get("kind") == ENTRY_KIND
        }

    def contacts(
        self, now: float, active: Iterable[str], gone: Iterable[MemberUpdate]
    ) -> list[tuple[str, str]]:
        """Return the names and addresses to send a `StateSync` to now.

        The name is empty if only an address is known.

        Args:
            now: Monotonic time in seconds.
            active: Addresses of the other active members.
            gone: Members that were declared dead.
        """
        if now < self.next_at:
            return []
        reached = {self.address, *active}
        alone = len(reached) == 1
        self.next_at = now + (ALONE_INTERVAL_S if alone else CONTACT_INTERVAL_S)
        candidates = dict.fromkeys(self.seeds, "") | self.listed
        candidates |= {update.address: update.name for update in gone}
        missing = [
            (name, address)
            for address, name in candidates.items()
            if address not in reached
        ]
        count = min(ALONE_CONTACTS if alone else 1, len(missing))
        return self.rng.sample(missing, count)

    def should_sync(self, now: float, changed_at: float, *, differs: bool) -> bool:
        """Return whether to send a `StateSync` to a peer because of its digest.

        Args:
            now: Monotonic time in seconds.
            changed_at: Time of the last change of this instance's table, in seconds.
            differs: Whether the peer's digest differs from that of this instance.
        """
        if not differs:
            self.sync_interval_s = FIRST_SYNC_INTERVAL_S
            return False
        if now - changed_at < STABLE_S or now - self.sync_at < self.sync_interval_s:
            return False
        self.sync_at = now
        self.sync_interval_s = min(self.sync_interval_s * 2, MAX_SYNC_INTERVAL_S)
        return True
