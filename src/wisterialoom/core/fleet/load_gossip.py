"""Gossip about the load and resident models of backend servers, limited in bytes."""

from __future__ import annotations

from dataclasses import dataclass, replace

from wisterialoom.core.fleet.gossip import ByteBudget, GossipQueue, int_size, text_size
from wisterialoom.core.fleet.peer import LoadChange, ServerLoad

__all__ = [
    "LOAD_BYTES_PER_S",
    "LoadGossip",
    "LoadBatch",
    "load_change_size",
    "server_load_size",
]

LOAD_BYTES_PER_S = 600.0
"""Long-term rate of load updates that one instance sends, in bytes per second."""

LOAD_BURST_BYTES = 3_000.0
"""Maximum burst of load updates after a quiet period, in bytes."""

FULL_REPORT_SENDS = 6
"""Number of times that each instance forwards a full report."""

MAX_FULL_REPORT_BYTES = 600
"""Maximum encoded size of a full report that is pushed to the other members.

Of a larger report, only a `LoadChange` is sent; its receivers fetch the report with
`LoadPull`.
"""

PULL_RETRY_S = 1.0
"""Time after which a full report is requested again."""

CHANGE_SENDS = 4
"""Number of times that each instance forwards a change.

A member that misses a change gets the newer values with the next one.
"""

CHANGES_PER_S = 4.0
"""Rate of load changes that the whole fleet announces, per second."""

FOLLOW_UP_S = 1.5
"""Time after a full report at which a change is sent even if the load is the same.

A member that missed every send of the report learns from the change that it exists.
"""

MIN_CHANGE_INTERVAL_S = 1.0
"""Minimum time between two announcements of one server's load."""

REFRESH_INTERVALS = 10
"""Number of change intervals after which unchanged load is announced again."""

MIN_REFRESH_S = 30.0
"""Minimum time after which unchanged load is announced again."""

FORGET_S = 1_800.0
"""Time without an update after which a server's load is forgotten."""

REQUEST_STEP = 2
"""Minimum change of the running or waiting requests that is announced."""

REQUEST_STEP_SHARE = 0.25
"""The same minimum as a share of the value announced last; the larger one applies."""

KV_FREE_STEP = 10
"""Minimum change of the free KV cache that is announced, in percentage points."""

FIELD_BYTES = 1
"""Encoded size of a field header; items of a list have none."""

LISTS_AND_FLAGS_BYTES = 11
"""Encoded size of the headers of a report's two lists, its flags and its end mark."""

MAX_PULL = 64
"""Maximum number of servers in one request for full reports."""


@dataclass(frozen=True, slots=True)
class LoadBatch:
    """Load updates for one message.

    Attributes:
        loads: Full reports.
        changes: Changes of load alone.
        size: Encoded size of both in bytes.
    """

    loads: tuple[ServerLoad, ...] = ()
    changes: tuple[LoadChange, ...] = ()
    size: int = 0


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """The latest load of a server.

    Attributes:
        load: Last full report, with the values of later changes applied.
        updated_at: Time of the last update, in seconds.
    """

    load: ServerLoad
    updated_at: float


@dataclass(slots=True)
class ControlledServer:
    """A server whose engine controller runs on this instance.

    Attributes:
        latest: Load as last read from the server.
        announced: Load as last announced to the other members.
        announced_at: Time of that announcement, in seconds.
        base: Serial of the last full report.
        followed_up: Whether a change was sent after the last full report.
    """

    latest: ServerLoad
    announced: ServerLoad
    announced_at: float
    base: int
    followed_up: bool = False


class LoadGossip:
    """Announces the servers controlled here and applies updates about all others.

    A full report is sent when the resident models or a flag of a server change;
    between two full reports, only changes of the load are sent. A member that
    missed the full report sees this from the next change and requests the report
    from the sender of that change. The reports of a server are ordered by epoch and
    serial, so an older one is never applied after a newer one.

    Attributes:
        known: Latest load by server.
        controlled: Servers that are controlled by this instance, by name.
        missing: Member that has the full report, by server whose report was missed.
        pulled_at: Time of the last request for a full report by server, in seconds.
        full_reports: Full reports that are still to be sent.
        changes: Changes of load that are still to be sent.
        budget: Limits the bytes that are sent.
    """

    def __init__(self) -> None:
        self.known: dict[str, KnownLoad] = {}
        self.controlled: dict[str, ControlledServer] = {}
        self.missing: dict[str, str] = {}
        self.pulled_at: dict[str, float] = {}
        self.full_reports: GossipQueue[ServerLoad] = GossipQueue()
        self.changes: GossipQueue[LoadChange] = GossipQueue()
        self.budget = ByteBudget(LOAD_BYTES_PER_S, LOAD_BURST_BYTES)

    @property
    def change_interval_s(self) -> float:
        """Minimum time between two announcements of one server's load.

        It grows with the number of servers.
        """
        return max(MIN_CHANGE_INTERVAL_S, len(self.known) / CHANGES_PER_S)

    @property
    def urgent(self) -> bool:
        """Whether an update should be sent without waiting for a heartbeat."""
        return self.full_reports.urgent or self.changes.urgent

    # Servers controlled by this instance.

    def report(self, now: float, load: ServerLoad) -> None:
        """Announce a report of an engine controller of this instance."""
        if not self._is_newer(load.server, load.epoch, load.serial):
            return
        controlled = self.controlled.get(load.server)
        if controlled is None or _full_report_fields(
            controlled.announced
        ) != _full_report_fields(load):
            self._announce_full_report(now, load)
            return
        controlled.latest = load
        self._announce_change(now, controlled)

    def _announce_full_report(self, now: float, load: ServerLoad) -> None:
        controlled = self.controlled.get(load.server)
        urgent = controlled is not None and _is_more_restrictive(
            controlled.announced, load
        )
        self.controlled[load.server] = ControlledServer(load, load, now, load.serial)
        self._apply_full_report(now, load, urgent=urgent or load.leaving)

    def _announce_change(self, now: float, controlled: ControlledServer) -> None:
        if controlled.latest is controlled.announced:
            return
        if not self._is_due(now - controlled.announced_at, controlled):
            return
        is_follow_up = not controlled.followed_up
        controlled.followed_up = True
        controlled.announced = controlled.latest
        controlled.announced_at = now
        self.known[controlled.latest.server] = KnownLoad(controlled.latest, now)
        self._queue_change(
            _change(controlled.latest, controlled.base), urgent=is_follow_up
        )

    def _is_due(self, elapsed_s: float, controlled: ControlledServer) -> bool:
        if not controlled.followed_up:
            return elapsed_s >= FOLLOW_UP_S
        refresh_s = max(MIN_REFRESH_S, REFRESH_INTERVALS * self.change_interval_s)
        significant = (
            _differs(controlled.announced, controlled.latest) or elapsed_s >= refresh_s
        )
        return significant and elapsed_s >= self.change_interval_s

    def tick(self, now: float) -> None:
        """Announce delayed changes, and forget servers without recent updates."""
        for controlled in self.controlled.values():
            self._announce_change(now, controlled)
        for server, known in list(self.known.items()):
            if now - known.updated_at >= FORGET_S:
                del self.known[server]
                self.controlled.pop(server, None)

    # Updates from other instances.

    def merge_full_report(self, now: float, load: ServerLoad) -> ServerLoad | None:
        """Apply a full report; return it if it is newer than the known load."""
        if not self._is_newer(load.server, load.epoch, load.serial):
            self.missing.pop(load.server, None)
            return None
        current = self.known.get(load.server)
        urgent = load.leaving or (
            current is not None and _is_more_restrictive(current.load, load)
        )
        self.controlled.pop(load.server, None)
        self._apply_full_report(now, load, urgent=urgent)
        return load

    def merge_change(
        self, now: float, change: LoadChange, sender: str
    ) -> ServerLoad | None:
        """Apply a change of load.

        Returns:
            The new load, or `None` if the change is old or its full report is
            missing; the report is then requested from the sender.
        """
        if not self._is_newer(change.server, change.epoch, change.serial):
            return None
        known = self.known.get(change.server)
        current = known.load if known is not None else None
        if (
            current is None
            or current.epoch != change.epoch
            or current.serial < change.base
        ):
            self.missing[change.server] = sender
            return None
        load = replace(
            current,
            serial=change.serial,
            running=change.running,
            waiting=change.waiting,
            kv_free=change.kv_free,
        )
        self.known[change.server] = KnownLoad(load, now)
        self._queue_change(change)
        return load

    def take_due_pulls(self, now: float) -> dict[str, tuple[str, ...]]:
        """Return the servers whose reports to request now, by the member to ask."""
        pulls: dict[str, list[str]] = {}
        for server, member in list(self.missing.items()):
            if now - self.pulled_at.get(server, -PULL_RETRY_S) < PULL_RETRY_S:
                continue
            servers = pulls.setdefault(member, [])
            if len(servers) < MAX_PULL:
                servers.append(server)
                self.pulled_at[server] = now
                del self.missing[server]
        return {member: tuple(servers) for member, servers in pulls.items()}

    # Updates to send.

    def take(self, now: float, free_bytes: int) -> LoadBatch:
        """Return the updates for one message, within its free space and the budget.

        Args:
            now: Monotonic time in seconds.
            free_bytes: Bytes that are free in the message.
        """
        free_bytes = min(free_bytes, self.budget.available(now))
        loads, used = self.full_reports.take(free_bytes, FULL_REPORT_SENDS)
        changes, more = self.changes.take(free_bytes - used, CHANGE_SENDS)
        self.budget.spend(used + more)
        return LoadBatch(tuple(loads), tuple(changes), used + more)

    def full_reports_of(self, servers: tuple[str, ...]) -> tuple[ServerLoad, ...]:
        """Return the latest full reports of some servers."""
        known = [self.known[name] for name in servers if name in self.known]
        return tuple(x.load for x in known)

    def all_full_reports(self) -> tuple[ServerLoad, ...]:
        """Return the latest full report of each server."""
        return tuple(x.load for x in self.known.values())

    def _apply_full_report(self, now: float, load: ServerLoad, *, urgent: bool) -> None:
        self.known[load.server] = KnownLoad(load, now)
        self.missing.pop(load.server, None)
        self.pulled_at.pop(load.server, None)
        size = server_load_size(load)
        if size > MAX_FULL_REPORT_BYTES:
            self.full_reports.discard(load.server)
            self._queue_change(_change(load, load.serial), urgent=urgent)
            return
        self.changes.discard(load.server)
        self.full_reports.put(load.server, load, size, urgent=urgent)

    def _queue_change(self, change: LoadChange, *, urgent: bool = False) -> None:
        size = load_change_size(change)
        self.changes.put(change.server, change, size, urgent=urgent)

    def _is_newer(self, server: str, epoch: int, serial: int) -> bool:
        known = self.known.get(server)
        if known is None:
            return True
        return (epoch, serial) > (known.load.epoch, known.load.serial)


def _full_report_fields(load: ServerLoad) -> tuple[object, ...]:
    return (
        load.epoch,
        load.steward,
        load.incarnation,
        load.leaving,
        load.unreachable,
        load.resident,
        load.draining,
    )


def _is_more_restrictive(old: ServerLoad, new: ServerLoad) -> bool:
    """Return whether the new report forbids requests that the old one allowed."""
    if new.leaving and not old.leaving:
        return True
    if new.unreachable and not old.unreachable:
        return True
    draining = set(new.draining) - set(old.draining)
    return bool(draining or set(old.resident) - set(new.resident))


def _differs(old: ServerLoad, new: ServerLoad) -> bool:
    return (
        _changed_by_step(old.running, new.running)
        or _changed_by_step(old.waiting, new.waiting)
        or abs(old.kv_free - new.kv_free) >= KV_FREE_STEP
    )


def _changed_by_step(old: int, new: int) -> bool:
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
    """Return the encoded size of a full report in bytes."""
    texts = [*load.resident, *load.draining]
    numbers = (load.serial, load.running, load.waiting, load.kv_free, load.epoch)
    return (
        text_size(load.server)
        + text_size(load.incarnation)
        + text_size(load.steward)
        + sum(text_size(text) - FIELD_BYTES for text in texts)
        + sum(int_size(number) for number in numbers)
        + LISTS_AND_FLAGS_BYTES
    )


def load_change_size(change: LoadChange) -> int:
    """Return the encoded size of a change of load in bytes."""
    numbers = (
        change.epoch,
        change.base,
        change.serial,
        change.running,
        change.waiting,
        change.kv_free,
    )
    return text_size(change.server) + sum(int_size(x) for x in numbers) + 1
