"""When to exchange whole member tables, and with whom."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from wisterialoom.core.fleet.instance_list import InstanceList
    from wisterialoom.core.fleet.peer import MemberUpdate

__all__ = ["JoinSchedule"]

ENTRY_KIND = "entry"
"""Value of the label `kind` of listed entry instances."""

ALONE_INTERVAL_S = 1.0
"""Time between two attempts to join while no other member is known."""

ALONE_CONTACTS = 3
"""Addresses tried with each attempt to join."""

CONTACT_INTERVAL_S = 10.0
"""Time between two attempts to reach an address that no member has."""

QUIET_S = 8.0
"""Time that a table must be unchanged before a differing digest counts."""

FIRST_SYNC_INTERVAL_S = 5.0
MAX_SYNC_INTERVAL_S = 60.0


class JoinSchedule:
    """Finds members that nothing else leads to.

    Attributes:
        seeds: Addresses from the settings.
        listed: Names of entry instances in the platform's list, by address.
        sync_interval_s: Least time between two syncs for a differing digest;
            doubles while they do not help.
    """

    def __init__(self, address: str, seeds: Iterable[str], rng: random.Random) -> None:
        self.address = address
        self.seeds = tuple(seeds)
        self.listed: dict[str, str] = {}
        self.rng = rng
        self.next_at = 0.0
        self.sync_at = 0.0
        self.sync_interval_s = FIRST_SYNC_INTERVAL_S

    def take_listing(self, listing: InstanceList) -> None:
        """Remember where the platform says that entry instances are."""
        self.listed = {
            instance.address: instance.name
            for instance in listing.instances
            if instance.labels.get("kind") == ENTRY_KIND
        }

    def contacts(
        self, now: float, active: Iterable[str], gone: Iterable[MemberUpdate]
    ) -> list[tuple[str, str]]:
        """Return name and address of whom to send a sync now.

        The name is empty where only an address is known.

        Args:
            now: Monotonic time in seconds.
            active: Addresses of the other active members.
            gone: Members taken for dead.
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
        """Tell whether a peer's digest calls for a sync with it.

        Args:
            now: Monotonic time in seconds.
            changed_at: When the own table last changed, in seconds.
            differs: The peer's digest is not the own one.
        """
        if not differs:
            self.sync_interval_s = FIRST_SYNC_INTERVAL_S
            return False
        if now - changed_at < QUIET_S or now - self.sync_at < self.sync_interval_s:
            return False
        self.sync_at = now
        self.sync_interval_s = min(self.sync_interval_s * 2, MAX_SYNC_INTERVAL_S)
        return True
