"""Status of the other entry instances as seen by this instance."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.peer import MemberStatus, MemberUpdate
from wisterialoom.core.notice import Member

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Entry", "MemberTable"]

FORGET_S = 600.0
"""Time after which a member that left or died is removed from the table."""

MAX_FLOORS = 4_096
"""Maximum number of members that are gone whose incarnation is remembered."""

ACTIVE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
"""Statuses of members that take part in the distribution of work."""


@dataclass(slots=True)
class Entry:
    """A member of the table.

    Attributes:
        update: Latest update about the member.
        since: Time at which that update was applied here, in seconds.
    """

    update: MemberUpdate
    since: float

    @property
    def active(self) -> bool:
        """Whether the member takes part in the distribution of work."""
        return self.update.status in ACTIVE


class MemberTable:
    """Holds every other member and merges updates about them.

    A report that a member is dead is never applied as it is: the instance that
    receives the report probes the member itself. After a network partition heals,
    the two halves of the fleet therefore don't drop the members that one half had
    lost.

    Attributes:
        entries: Other members by name.
        incarnation_floors: Last incarnation of each member that is gone, by name. An
            update about the member is ignored unless its incarnation is higher.
        disputed_deaths: Received reports of the death of members that are alive
            according to this table, by name.
        digest: 32-bit digest of the names and incarnations of the active members.
        changed_at: Time of the last change, in seconds.
        version: Number of changes, which shows whether `active_cache` is current.
        active_cache: Result of `active` and the version that it was computed for.
    """

    def __init__(self, own: MemberUpdate) -> None:
        self.own = own
        self.entries: dict[str, Entry] = {}
        self.incarnation_floors: OrderedDict[str, int] = OrderedDict()
        self.disputed_deaths: dict[str, MemberUpdate] = {}
        self.digest = _digest(own)
        self.changed_at = 0.0
        self.version = 1
        self.active_cache: tuple[int, list[MemberUpdate]] = (0, [])

    def merge(self, now: float, update: MemberUpdate) -> MemberUpdate | None:
        """Merge an update about another member.

        Returns:
            The update to forward to other members, or `None` if nothing is new.
        """
        entry = self.entries.get(update.name)
        if entry is None:
            return self._merge_unknown(now, update)
        current = entry.update
        if (update.incarnation, update.status) <= (current.incarnation, current.status):
            return None
        if update.status is MemberStatus.DEAD:
            return self._merge_death(now, entry, update)
        self._set(now, update)
        return update

    def _merge_unknown(self, now: float, update: MemberUpdate) -> MemberUpdate | None:
        if update.incarnation <= self.incarnation_floors.get(update.name, -1):
            return None
        if update.status not in ACTIVE:
            self._raise_floor(update)
            return None
        self._set(now, update)
        return update

    def _merge_death(
        self, now: float, entry: Entry, update: MemberUpdate
    ) -> MemberUpdate | None:
        if update.incarnation > entry.update.incarnation:
            suspected = replace(update, status=MemberStatus.SUSPECT)
            self._set(now, suspected)
            return suspected
        if entry.update.status is MemberStatus.ALIVE:
            self.disputed_deaths[update.name] = update
        return None

    def floor_above(self, update: MemberUpdate) -> MemberUpdate | None:
        """Return the update that a new member has to refute before it is added.

        A restarted member whose incarnation is not above that of its earlier process
        gets a report of its own death with the old incarnation, and answers with a
        higher one. `None` is returned if the update needs no refutation.
        """
        floor = self.incarnation_floors.get(update.name, -1)
        if update.name in self.entries or update.incarnation > floor:
            return None
        return replace(update, incarnation=floor, status=MemberStatus.DEAD)

    def raise_status(
        self, now: float, name: str, status: MemberStatus
    ) -> MemberUpdate | None:
        """Raise the status of a member after a local observation.

        Returns:
            The update to send, or `None` if the status is already as high.
        """
        entry = self.entries.get(name)
        if entry is None or entry.update.status >= status:
            return None
        update = replace(entry.update, status=status)
        self._set(now, update)
        return update

    def set_own(self, now: float, own: MemberUpdate) -> None:
        """Replace the entry of this instance itself."""
        self.digest ^= _digest(self.own) ^ _digest(own)
        self.own = own
        self._record_change(now)

    def _set(self, now: float, update: MemberUpdate) -> None:
        entry = self.entries.get(update.name)
        if entry is not None:
            self.digest ^= _digest(entry.update)
        self.digest ^= _digest(update)
        self.entries[update.name] = Entry(update, now)
        self.disputed_deaths.pop(update.name, None)
        self._record_change(now)
        if update.status not in ACTIVE:
            self._raise_floor(update)

    def _record_change(self, now: float) -> None:
        self.changed_at = now
        self.version += 1

    def _raise_floor(self, update: MemberUpdate) -> None:
        floor = self.incarnation_floors.get(update.name, -1)
        self.incarnation_floors[update.name] = max(floor, update.incarnation)
        self.incarnation_floors.move_to_end(update.name)
        while len(self.incarnation_floors) > MAX_FLOORS:
            self.incarnation_floors.popitem(last=False)

    def expire(self, now: float, suspicion_s: float) -> None:
        """Declare long-suspected members dead, and remove those that are long gone."""
        for name, entry in list(self.entries.items()):
            if entry.update.status is MemberStatus.SUSPECT:
                if now - entry.since >= suspicion_s:
                    self.raise_status(now, name, MemberStatus.DEAD)
            elif not entry.active and now - entry.since >= FORGET_S:
                del self.entries[name]
                self.version += 1

    def shift_times(self, gap: float) -> None:
        """Move the times of status changes forward by the length of a pause."""
        for entry in self.entries.values():
            entry.since += gap

    def active(self) -> list[MemberUpdate]:
        """Return the other members that take part in the distribution of work."""
        version, cached = self.active_cache
        if version != self.version:
            cached = [entry.update for entry in self.entries.values() if entry.active]
            self.active_cache = (self.version, cached)
        return cached

    def suspects(self) -> list[MemberUpdate]:
        """Return the suspected members."""
        suspect = MemberStatus.SUSPECT
        return [x for x in self.active() if x.status is suspect]

    def _all_updates(self) -> Iterable[MemberUpdate]:
        yield self.own
        for entry in self.entries.values():
            yield entry.update

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return the updates about all members, including this instance."""
        return tuple(self._all_updates())

    def newer_than(self, updates: Iterable[MemberUpdate]) -> tuple[MemberUpdate, ...]:
        """Return the updates of this table that are newer than those of another one."""
        other = {x.name: (x.incarnation, x.status) for x in updates}
        return tuple(
            current
            for current in self._all_updates()
            if (current.incarnation, current.status)
            > other.get(current.name, (-1, current.status))
            and (current.name in other or current.status in ACTIVE)
        )

    def members(self) -> tuple[Member, ...]:
        """Return the members that work is distributed over, sorted by name."""
        active = [x for x in self._all_updates() if x.status in ACTIVE]
        return tuple(_member(x) for x in sorted(active, key=lambda x: x.name))

    def gone(self) -> frozenset[str]:
        """Return the names of members that left or were declared dead."""
        return frozenset(x.name for x in self._all_updates() if x.status not in ACTIVE)


def _digest(update: MemberUpdate) -> int:
    if update.status not in ACTIVE:
        return 0
    return zlib.crc32(f"{update.name}/{update.incarnation}".encode())


def _member(update: MemberUpdate) -> Member:
    return Member(
        name=update.name,
        address=update.address,
        availability_zone=update.availability_zone,
        incarnation=update.incarnation,
        status=update.status,
    )
