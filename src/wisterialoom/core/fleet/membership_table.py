"""What one entry instance believes of the others."""

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
"""Time after which a member that is gone is no longer named."""

MAX_FLOORS = 4_096
"""Names of forgotten members whose last incarnation is remembered."""

ACTIVE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


@dataclass(slots=True)
class Entry:
    """A member and the time at which its status changed here, in seconds."""

    update: MemberUpdate
    since: float

    @property
    def active(self) -> bool:
        """Whether duties are shared out to the member."""
        return self.update.status in ACTIVE


class MemberTable:
    """Every other member, and the merging of news.

    News of a death is never taken over: whoever hears of one asks the member
    itself. So two halves of a fleet that meet again do not drop the members
    that one half had lost.

    Attributes:
        entries: Other members by name.
        floors: Incarnation of members that are gone; nothing up to it comes back.
        doubts: News of deaths that this table does not share, by name.
        digest: Of the names and incarnations of active members; 32 bits.
        changed_at: Time of the last change, in seconds.
        version: Count of changes.
    """

    def __init__(self, own: MemberUpdate) -> None:
        self.own = own
        self.entries: dict[str, Entry] = {}
        self.floors: OrderedDict[str, int] = OrderedDict()
        self.doubts: dict[str, MemberUpdate] = {}
        self.digest = _digest(own)
        self.changed_at = 0.0
        self.version = 1
        self.active_cache: tuple[int, list[MemberUpdate]] = (0, [])

    def merge(self, now: float, update: MemberUpdate) -> MemberUpdate | None:
        """Take news of another member; return it if it should be sent on."""
        entry = self.entries.get(update.name)
        if entry is None:
            return self._merge_unknown(now, update)
        held = entry.update
        if (update.incarnation, update.status) <= (held.incarnation, held.status):
            return None
        if update.status is MemberStatus.DEAD:
            return self._merge_death(now, entry, update)
        self._set(now, update)
        return update

    def _merge_unknown(self, now: float, update: MemberUpdate) -> MemberUpdate | None:
        if update.incarnation <= self.floors.get(update.name, -1):
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
            self.doubts[update.name] = update
        return None

    def floor_above(self, update: MemberUpdate) -> MemberUpdate | None:
        """Return what an unknown member must refute before it is taken in."""
        floor = self.floors.get(update.name, -1)
        if update.name in self.entries or update.incarnation > floor:
            return None
        return replace(update, incarnation=floor, status=MemberStatus.DEAD)

    def mark(self, now: float, name: str, status: MemberStatus) -> MemberUpdate | None:
        """Change what is believed of a member from what was seen here."""
        entry = self.entries.get(name)
        if entry is None or entry.update.status >= status:
            return None
        update = replace(entry.update, status=status)
        self._set(now, update)
        return update

    def set_own(self, now: float, own: MemberUpdate) -> None:
        """Change the entry of this instance itself."""
        self.digest ^= _digest(self.own) ^ _digest(own)
        self.own = own
        self._note_change(now)

    def _set(self, now: float, update: MemberUpdate) -> None:
        entry = self.entries.get(update.name)
        if entry is not None:
            self.digest ^= _digest(entry.update)
        self.digest ^= _digest(update)
        self.entries[update.name] = Entry(update, now)
        self.doubts.pop(update.name, None)
        self._note_change(now)
        if update.status not in ACTIVE:
            self._raise_floor(update)

    def _note_change(self, now: float) -> None:
        self.changed_at = now
        self.version += 1

    def _raise_floor(self, update: MemberUpdate) -> None:
        floor = self.floors.get(update.name, -1)
        self.floors[update.name] = max(floor, update.incarnation)
        self.floors.move_to_end(update.name)
        while len(self.floors) > MAX_FLOORS:
            self.floors.popitem(last=False)

    def expire(self, now: float, suspicion_s: float) -> None:
        """Take long suspected members for dead, and forget those long gone."""
        for name, entry in list(self.entries.items()):
            if entry.update.status is MemberStatus.SUSPECT:
                if now - entry.since >= suspicion_s:
                    self.mark(now, name, MemberStatus.DEAD)
            elif not entry.active and now - entry.since >= FORGET_S:
                del self.entries[name]
                self.version += 1

    def shift(self, gap: float) -> None:
        """Move the times of changes on by a pause of this instance."""
        for entry in self.entries.values():
            entry.since += gap

    def active(self) -> list[MemberUpdate]:
        """Return the other members that duties are shared out to."""
        version, cached = self.active_cache
        if version != self.version:
            cached = [entry.update for entry in self.entries.values() if entry.active]
            self.active_cache = (self.version, cached)
        return cached

    def suspects(self) -> list[MemberUpdate]:
        """Return the members under suspicion."""
        suspect = MemberStatus.SUSPECT
        return [x for x in self.active() if x.status is suspect]

    def _known(self) -> Iterable[MemberUpdate]:
        yield self.own
        for entry in self.entries.values():
            yield entry.update

    def updates(self) -> tuple[MemberUpdate, ...]:
        """Return everything known, this instance included."""
        return tuple(self._known())

    def better_than(self, updates: Iterable[MemberUpdate]) -> tuple[MemberUpdate, ...]:
        """Return what this table holds beyond another whole table."""
        other = {x.name: (x.incarnation, x.status) for x in updates}
        return tuple(
            held
            for held in self._known()
            if (held.incarnation, held.status) > other.get(held.name, (-1, held.status))
            and (held.name in other or held.status in ACTIVE)
        )

    def members(self) -> tuple[Member, ...]:
        """Return the members that duties are shared out over, sorted by name."""
        active = [x for x in self._known() if x.status in ACTIVE]
        return tuple(_member(x) for x in sorted(active, key=lambda x: x.name))

    def gone(self) -> frozenset[str]:
        """Return the names of members that left or are taken for dead."""
        return frozenset(x.name for x in self._known() if x.status not in ACTIVE)


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
