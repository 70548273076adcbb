"""Load and residency of backend servers, spread within a budget of bytes."""

from __future__ import annotations

from dataclasses import dataclass, replace

from wisterialoom.core.fleet.gossip import ByteBudget, GossipQueue, int_size, text_size
from wisterialoom.core.fleet.peer import LoadChange, ServerLoad

__all__ = [
    "LOAD_BYTES_PER_S",
    "LoadGossip",
    "LoadNews",
    "load_change_size",
    "server_load_size",
]

LOAD_BYTES_PER_S = 600.0
"""Bytes of load news that one instance sends each second, over longer times."""

LOAD_BURST_BYTES = 3_000.0
"""Bytes of load news that may be sent at once after a quiet time."""

WHOLE_SENDS = 6
"""Times that each instance sends a whole report on."""

MAX_WHOLE_BYTES = 600
"""Largest whole report that is sent unasked; the others fetch larger ones."""

PULL_RETRY_S = 1.0
"""Time after which a whole report is asked for again."""

CHANGE_SENDS = 4
"""Times that each instance sends a change on; the next one makes a loss good."""

CHANGES_PER_S = 4.0
"""Changes of load that the whole fleet announces each second."""

CONFIRM_S = 1.5
"""Time after a whole report at which a change goes after it in any case.

Who missed all sends of the report learns of it from the change.
"""

MIN_CHANGE_INTERVAL_S = 1.0
"""Least time between two announcements of one server's load."""

REFRESH_INTERVALS = 10
"""Change intervals after which unchanged load is announced again."""

MIN_REFRESH_S = 30.0
FORGET_S = 1_800.0
"""Time without news after which a server's load is forgotten."""

REQUEST_STEP = 2
"""Least change of running or waiting requests that is announced."""

REQUEST_STEP_SHARE = 0.25
"""The same as a share of the announced value."""

KV_FREE_STEP = 10
"""Least change of the free share of KV cache that is announced, in percent."""

FIELD_BYTES = 1
"""Encoded head of a field, which the items of a list do without."""

LISTS_AND_MARKS_BYTES = 11
"""Encoded heads of a report's two lists, its flags and its end."""

MAX_PULL = 64
"""Most servers that are asked for at once."""


@dataclass(frozen=True, slots=True)
class LoadNews:
    """What goes on one message, and its size in bytes."""

    loads: tuple[ServerLoad, ...] = ()
    changes: tuple[LoadChange, ...] = ()
    size: int = 0


@dataclass(frozen=True, slots=True)
class Known:
    """The latest load of a server.

    Attributes:
        load: As it is applied here.
        heard_at: Time of the last news, in seconds.
    """

    load: ServerLoad
    heard_at: float


@dataclass(slots=True)
class Own:
    """A server that is stewarded here.

    Attributes:
        latest: As last read.
        announced: As last announced.
        announced_at: Time of that, in seconds.
        base: Serial of the last whole report.
        confirmed: A change went after it.
    """

    latest: ServerLoad
    announced: ServerLoad
    announced_at: float
    base: int
    confirmed: bool = False


class LoadGossip:
    """Announces the servers stewarded here and takes over news of the others.

    A whole report goes out when residency or a mark changes; between two of
    them only the load does. Whoever missed the whole report sees so from the
    next change and asks its sender. Epoch and serial order the reports of a
    server, so none is applied out of order.

    Attributes:
        known: Latest load by server.
        own: Servers stewarded here by name.
        missing: Servers whose whole report was missed, and who has it.
        asked: When it was last asked for, in seconds.
    """

    def __init__(self) -> None:
        self.known: dict[str, Known] = {}
        self.own: dict[str, Own] = {}
        self.missing: dict[str, str] = {}
        self.asked: dict[str, float] = {}
        self.wholes: GossipQueue[ServerLoad] = GossipQueue()
        self.changes: GossipQueue[LoadChange] = GossipQueue()
        self.budget = ByteBudget(LOAD_BYTES_PER_S, LOAD_BURST_BYTES)

    @property
    def change_interval_s(self) -> float:
        """Least time between two announcements of one server's load."""
        return max(MIN_CHANGE_INTERVAL_S, len(self.known) / CHANGES_PER_S)

    @property
    def urgent(self) -> bool:
        """Whether some news should be sent without waiting for a heartbeat."""
        return self.wholes.urgent or self.changes.urgent

    # Servers stewarded here.

    def report(self, now: float, load: ServerLoad) -> None:
        """Take a report of the steward here."""
        if not self._is_newer(load.server, load.epoch, load.serial):
            return
        own = self.own.get(load.server)
        if own is None or _residency(own.announced) != _residency(load):
            self._announce_whole(now, load)
            return
        own.latest = load
        self._announce_change(now, own)

    def _announce_whole(self, now: float, load: ServerLoad) -> None:
        own = self.own.get(load.server)
        urgent = own is not None and _takes_away(own.announced, load)
        self.own[load.server] = Own(load, load, now, load.serial)
        self._apply_whole(now, load, urgent=urgent or load.leaving)

    def _announce_change(self, now: float, own: Own) -> None:
        if own.latest is own.announced:
            return
        if not self._is_due(now - own.announced_at, own):
            return
        confirms = not own.confirmed
        own.confirmed = True
        own.announced = own.latest
        own.announced_at = now
        self.known[own.latest.server] = Known(own.latest, now)
        self._queue_change(_change(own.latest, own.base), urgent=confirms)

    def _is_due(self, passed: float, own: Own) -> bool:
        if not own.confirmed:
            return passed >= CONFIRM_S
        refresh_s = max(MIN_REFRESH_S, REFRESH_INTERVALS * self.change_interval_s)
        matters = _differs(own.announced, own.latest) or passed >= refresh_s
        return matters and passed >= self.change_interval_s

    def tick(self, now: float) -> None:
        """Announce what had to wait, and forget servers that are gone."""
        for own in self.own.values():
            self._announce_change(now, own)
        for server, known in list(self.known.items()):
            if now - known.heard_at >= FORGET_S:
                del self.known[server]
                self.own.pop(server, None)

    # News of other instances.

    def take_whole(self, now: float, load: ServerLoad) -> ServerLoad | None:
        """Take a whole report; return it if it is newer."""
        if not self._is_newer(load.server, load.epoch, load.serial):
            self.missing.pop(load.server, None)
            return None
        held = self.known.get(load.server)
        urgent = load.leaving or (held is not None and _takes_away(held.load, load))
        self.own.pop(load.server, None)
        self._apply_whole(now, load, urgent=urgent)
        return load

    def take_change(
        self, now: float, change: LoadChange, sender: str
    ) -> ServerLoad | None:
        """Take a change of load; return the load if it is newer and whole."""
        if not self._is_newer(change.server, change.epoch, change.serial):
            return None
        known = self.known.get(change.server)
        held = known.load if known is not None else None
        if held is None or held.epoch != change.epoch or held.serial < change.base:
            self.missing[change.server] = sender
            return None
        load = replace(
            held,
            serial=change.serial,
            running=change.running,
            waiting=change.waiting,
            kv_free=change.kv_free,
        )
        self.known[change.server] = Known(load, now)
        self._queue_change(change)
        return load

    def take_missing(self, now: float) -> dict[str, tuple[str, ...]]:
        """Return the servers to ask for now, by the member to ask."""
        asked: dict[str, list[str]] = {}
        for server, member in list(self.missing.items()):
            if now - self.asked.get(server, -PULL_RETRY_S) < PULL_RETRY_S:
                continue
            servers = asked.setdefault(member, [])
            if len(servers) < MAX_PULL:
                servers.append(server)
                self.asked[server] = now
                del self.missing[server]
        return {member: tuple(servers) for member, servers in asked.items()}

    # What goes out.

    def take(self, now: float, room: int) -> LoadNews:
        """Return news for one message, within its room and the budget.

        Args:
            now: Monotonic time in seconds.
            room: Bytes that are free in the message.
        """
        room = min(room, self.budget.available(now))
        loads, used = self.wholes.take(room, WHOLE_SENDS)
        changes, more = self.changes.take(room - used, CHANGE_SENDS)
        self.budget.spend(used + more)
        return LoadNews(tuple(loads), tuple(changes), used + more)

    def wholes_of(self, servers: tuple[str, ...]) -> tuple[ServerLoad, ...]:
        """Return the latest whole reports of some servers."""
        known = [self.known[name] for name in servers if name in self.known]
        return tuple(x.load for x in known)

    def all_wholes(self) -> tuple[ServerLoad, ...]:
        """Return the latest whole report of each server."""
        return tuple(x.load for x in self.known.values())

    def _apply_whole(self, now: float, load: ServerLoad, *, urgent: bool) -> None:
        self.known[load.server] = Known(load, now)
        self.missing.pop(load.server, None)
        self.asked.pop(load.server, None)
        size = server_load_size(load)
        if size > MAX_WHOLE_BYTES:
            self.wholes.discard(load.server)
            self._queue_change(_change(load, load.serial), urgent=urgent)
            return
        self.changes.discard(load.server)
        self.wholes.put(load.server, load, size, urgent=urgent)

    def _queue_change(self, change: LoadChange, *, urgent: bool = False) -> None:
        size = load_change_size(change)
        self.changes.put(change.server, change, size, urgent=urgent)

    def _is_newer(self, server: str, epoch: int, serial: int) -> bool:
        known = self.known.get(server)
        if known is None:
            return True
        return (epoch, serial) > (known.load.epoch, known.load.serial)


def _residency(load: ServerLoad) -> tuple[object, ...]:
    return (
        load.epoch,
        load.steward,
        load.incarnation,
        load.leaving,
        load.unreachable,
        load.resident,
        load.draining,
    )


def _takes_away(old: ServerLoad, new: ServerLoad) -> bool:
    """Tell whether requests that fit the old report may be wrong by the new one."""
    if new.leaving and not old.leaving:
        return True
    if new.unreachable and not old.unreachable:
        return True
    draining = set(new.draining) - set(old.draining)
    return bool(draining or set(old.resident) - set(new.resident))


def _differs(old: ServerLoad, new: ServerLoad) -> bool:
    return (
        _stepped(old.running, new.running)
        or _stepped(old.waiting, new.waiting)
        or abs(old.kv_free - new.kv_free) >= KV_FREE_STEP
    )


def _stepped(old: int, new: int) -> bool:
    return abs(new - old) >= max(REQUEST_STEP, REQUEST_STEP_SHARE * old)


def _change(load: ServerLoad, base: int) -> LoadChange:
    return LoadChange(
        server=load.server,
        epoch=load.epoch,
        base=base,
        serial=load.serial,
        running=load.running,
        waiting=load.waiting,
        kv_free=load.kv_free,
    )


def server_load_size(load: ServerLoad) -> int:
    """Return the encoded size of a whole report, in bytes."""
    texts = [*load.resident, *load.draining]
    numbers = (load.serial, load.running, load.waiting, load.kv_free, load.epoch)
    return (
        text_size(load.server)
        + text_size(load.incarnation)
        + text_size(load.steward)
        + sum(text_size(text) - FIELD_BYTES for text in texts)
        + sum(int_size(number) for number in numbers)
        + LISTS_AND_MARKS_BYTES
    )


def load_change_size(change: LoadChange) -> int:
    """Return the encoded size of a change of load, in bytes."""
    numbers = (
        change.epoch,
        change.base,
        change.serial,
        change.running,
        change.waiting,
        change.kv_free,
    )
    return text_size(change.server) + sum(int_size(x) for x in numbers) + 1
