"""The backend servers of a deployment, with the revision of each entry.

Entries reach an instance from the store and from other instances in any order; of each
server, the entry with the highest revision is kept. Two instances compare digests to
see whether their tables are equal.

A table is complete up to a revision: it has each server as the store had it then or
later, and news of earlier revisions changes nothing. Only so may an instance whose
table is equal to another one take over its revision, and skip the events up to it.

Entries that expire in an outage of the store come back if their servers are alive. Such
servers stay in use for a while. That is this instance's own decision: its table has
them as removed, like the store.

A store that is restored from a copy lists servers as they were when the copy was made.
Until a server has written its entry again, an instance trusts what it knew before: a
server that was draining or had left gets no requests.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.revision import FIRST_REVISION, Revision

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.serving.backend import BackendServer

__all__ = ["LapsedServer", "ServerTable", "TableEntry"]

REMOVAL_RETENTION_S = 30.0
"""Time that a removal is remembered, so that a late message can't undo it.

Messages are late by some seconds at most.
"""

RESTORE_RETENTION_S = 30.0
"""Time after a restore of the store for which earlier knowledge is kept.

Servers write their entries again within some seconds.
"""


@dataclass(frozen=True, slots=True)
class TableEntry:
    """Latest entry of one server id.

    Attributes:
        revision: Store revision of the entry.
        server: The server; `None` if it was removed.
        changed_at: Monotonic time of the last change that other instances must
            receive.
        removed_start_ms: Start time of a removed server; 0 if unknown.
    """

    revision: Revision
    server: BackendServer | None
    changed_at: float
    removed_start_ms: int = 0


@dataclass(frozen=True, slots=True)
class LapsedServer:
    """A server that stays in use although the store does not list it any more.

    Attributes:
        server: The server as it was last listed.
        until: Monotonic time at which it counts as gone if it is not listed again.
    """

    server: BackendServer
    until: float


class ServerTable:
    """Backend servers by id.

    Attributes:
        entries: Entry by server id, as the store has it; removed servers are included
            for some time.
        lapsed: Servers whose entries may have expired in an outage of the store, by id.
        cached_digest: Cached digest; `None` after a change.
        era_start: First known revision of the present era of the store. Entries up to
            it may come from the copy that the store was restored from.
        before_restore: Entries by server id as they were before the last restore.
        restored_at: Monotonic time at which the last restore was noticed.
        software_versions: Version of the software of each server, by id and start.
            Entries that come from instances of earlier versions lack it.
    """

    def __init__(self) -> None:
        self.entries: dict[str, TableEntry] = {}
        self.lapsed: dict[str, LapsedServer] = {}
        self.cached_digest: int | None = None
        self.era_start = FIRST_REVISION
        self.before_restore: dict[str, TableEntry] = {}
        self.restored_at = float("-inf")
        self.software_versions: dict[tuple[str, int], str] = {}

    @property
    def listed(self) -> dict[str, BackendServer]:
        """The servers that the store lists, by id."""
        return {
            server_id: entry.server
            for server_id, entry in self.entries.items()
            if entry.server is not None
        }

    @property
    def servers(self) -> dict[str, BackendServer]:
        """The servers that may get requests or are draining, by id."""
        lapsed = {server_id: found.server for server_id, found in self.lapsed.items()}
        if not self.before_restore:
            return self.listed | lapsed
        found = {}
        for server_id, entry in self.entries.items():
            server = self._server_since_restore(server_id, entry)
            if server is not None:
                found[server_id] = server
        return found | lapsed

    @property
    def digest(self) -> int:
        """Checksum of the fields that instances announce to each other.

        It covers the entries as the store has them. Which servers have lapsed and what
        was known before a restore differs between instances, and is not announced.
        """
        if self.cached_digest is None:
            known = sorted(_announced_fields(server) for server in self.listed.values())
            self.cached_digest = zlib.crc32(repr(known).encode())
        return self.cached_digest

    def begin_era(self, now: float, revision: Revision) -> bool:
        """Record a revision of the store; a later era means that it was restored.

        Args:
            now: Monotonic time in seconds.
            revision: Revision at which the store is known to be.

        Returns:
            Whether the store was restored since the last call.
        """
        if revision.era <= self.era_start.era:
            return False
        for server_id, entry in self.entries.items():
            lapsed = self.lapsed.get(server_id)
            server = (
                lapsed.server
                if lapsed is not None
                else self._server_since_restore(server_id, entry)
            )
            if server is not None or entry.server is None:
                self.before_restore[server_id] = replace(entry, server=server)
        self.era_start = revision
        self.restored_at = now
        return bool(self.entries)

    def _server_since_restore(
        self, server_id: str, entry: TableEntry
    ) -> BackendServer | None:
        """Return the server of an entry, corrected by what was known before."""
        server = entry.server
        before = self.before_restore.get(server_id)
        if server is None or before is None:
            return server
        may_be_copy = entry.revision <= self.era_start
        if before.server is None:
            same_start = before.removed_start_ms in (0, server.started_ms)
            return None if may_be_copy and same_start else server
        if may_be_copy and server.started_ms < before.server.started_ms:
            return before.server
        if before.server.draining and server.started_ms == before.server.started_ms:
            return replace(server, draining=True)
        return server

    def put(
        self,
        now: float,
        revision: Revision,
        server: BackendServer,
        *,
        listed: bool = False,
    ) -> bool:
        """Store an entry unless a newer one is known; return whether it was stored.

        Args:
            now: Monotonic time in seconds.
            revision: Store revision of the entry.
            server: The server.
            listed: Whether the entry comes from a list of all servers. Such a list
                does not say what has changed, so the entry is not announced; other
                instances that lack it see this from the digest.
        """
        server = self._with_software_version(server)
        known = self.entries.get(server.id)
        changed_at = float("-inf") if listed else now
        if known is not None:
            if revision < known.revision:
                return False
            if known.server is not None and _announced_fields(
                known.server
            ) == _announced_fields(server):
                changed_at = known.changed_at
        self.entries[server.id] = TableEntry(revision, server, changed_at)
        self.lapsed.pop(server.id, None)
        self.cached_digest = None
        return True

    def remove(
        self,
        now: float,
        revision: Revision,
        server_id: str,
        *,
        keep_until: float | None = None,
    ) -> bool:
        """Store a removal unless a newer entry is known; return whether it was.

        Args:
            now: Monotonic time in seconds.
            revision: Revision at which the store did not list the server.
            server_id: The server.
            keep_until: Monotonic time until which the server stays in use, as its entry
                may have expired in an outage of the store.
        """
        known = self.entries.get(server_id)
        if known is not None and (known.server is None or revision < known.revision):
            return False
        if known is not None and keep_until is not None and now < keep_until:
            server = self._server_since_restore(server_id, known)
            if server is not None:
                self.lapsed[server_id] = LapsedServer(server, keep_until)
        start_ms = known.server.started_ms if known and known.server else 0
        self.entries[server_id] = TableEntry(revision, None, now, start_ms)
        self.cached_digest = None
        return True

    def drop_lapsed(self, now: float, current_at: float) -> list[str]:
        """Drop servers that were not listed again in time; return their ids.

        Args:
            now: Monotonic time in seconds.
            current_at: Monotonic time at which the table was last known to be current.
                What was not read until a server's time is up may list it.
        """
        dropped = [
            server_id
            for server_id, lapsed in self.lapsed.items()
            if lapsed.until <= min(now, current_at)
        ]
        for server_id in dropped:
            del self.lapsed[server_id]
            # Others learn of the removal now, as of the revision at which it was read.
            entry = replace(self.entries[server_id], changed_at=now)
            self.entries[server_id] = entry
        return dropped

    def merge(
        self, now: float, complete_to: Revision, entries: Mapping[str, TableEntry]
    ) -> bool:
        """Apply changes that another instance has read.

        A removal that is announced is final: the other instance noticed no outage of
        the store, or has waited for the entry in vain.

        Args:
            now: Monotonic time in seconds.
            complete_to: Revision up to which this table is complete.
            entries: Changed entries by server id.

        Returns:
            Whether anything was new.
        """
        updated = False
        for server_id, entry in entries.items():
            known = self.entries.get(server_id)
            if entry.revision <= complete_to or (
                known is not None and entry.revision <= known.revision
            ):
                continue
            if entry.server is None:
                self.remove(now, entry.revision, server_id)
            else:
                self.put(now, entry.revision, entry.server)
            updated = True
        return updated

    def adopt(
        self,
        now: float,
        revision: Revision,
        entries: Mapping[str, TableEntry],
        *,
        keep_until: float | None = None,
    ) -> None:
        """Take over another instance's table, which is complete.

        An entry of the copy may bear an earlier revision than the one that it replaces:
        a table is complete up to `revision` also where it got there by being equal.

        Args:
            now: Monotonic time in seconds.
            revision: Revision up to which the copy is complete; not before the one up
                to which this table is.
            entries: All listed entries of the copy by server id.
            keep_until: See `remove`.
        """
        for server_id in self.listed.keys() - entries.keys():
            self.remove(now, revision, server_id, keep_until=keep_until)
        for server_id, entry in entries.items():
            known = self.entries.get(server_id)
            if entry.server is None:
                continue
            if known is not None and entry.revision < known.revision <= revision:
                if known.server is not None and (
                    _announced_fields(known.server) == _announced_fields(entry.server)
                ):
                    continue
                del self.entries[server_id]
            self.put(now, entry.revision, entry.server)

    def restart(self, now: float, keep_until: float) -> None:
        """Forget all revisions, as the store counts anew without naming another era.

        Args:
            now: Monotonic time in seconds.
            keep_until: Monotonic time until which servers that it does not list stay
                in use.
        """
        servers = self.servers
        self.entries = {
            server_id: TableEntry(FIRST_REVISION, None, now, server.started_ms)
            for server_id, server in servers.items()
        }
        self.lapsed = {
            server_id: LapsedServer(server, keep_until)
            for server_id, server in servers.items()
        }
        self.before_restore = {}
        self.cached_digest = None

    def learn_software_versions(self, versions: Mapping[tuple[str, int], str]) -> bool:
        """Record the software versions of servers, by id and start time.

        Returns:
            Whether the version of a listed server was not known before.
        """
        learned = False
        for key, version in versions.items():
            self.software_versions[key] = version
            entry = self.entries.get(key[0])
            if entry is None or entry.server is None:
                continue
            server = self._with_software_version(entry.server)
            if server is not entry.server:
                self.entries[key[0]] = replace(entry, server=server)
                learned = True
        return learned

    def _with_software_version(self, server: BackendServer) -> BackendServer:
        key = (server.id, server.started_ms)
        if server.software_version:
            self.software_versions[key] = server.software_version
            return server
        known = self.software_versions.get(key)
        return replace(server, software_version=known) if known else server

    @property
    def lacks_software_versions(self) -> bool:
        """Whether the software version of a listed server is not known."""
        return any(not server.software_version for server in self.listed.values())

    def changed_since(self, moment: float) -> dict[str, TableEntry]:
        """Return the entries with an announced change at or after a monotonic time.

        Of servers that have lapsed, others that did not notice the outage would think
        that they are gone.
        """
        return {
            server_id: entry
            for server_id, entry in self.entries.items()
            if entry.changed_at >= moment and server_id not in self.lapsed
        }

    def forget_old(self, now: float) -> bool:
        """Drop removals and earlier knowledge that no late message can undo any more.

        Returns:
            Whether `servers` may have changed.
        """
        self.entries = {
            server_id: entry
            for server_id, entry in self.entries.items()
            if entry.server is not None
            or server_id in self.lapsed
            or now - entry.changed_at < REMOVAL_RETENTION_S
        }
        self.software_versions = {
            key: version
            for key, version in self.software_versions.items()
            if key[0] in self.entries
        }
        if not self.before_restore or now - self.restored_at < RESTORE_RETENTION_S:
            return False
        self.before_restore = {}
        return True


def _announced_fields(
    server: BackendServer,
) -> tuple[str, int, str, str, str, int, bool]:
    """Return the fields that are announced to other instances.

    The models that a server holds are not among them; they are announced with the
    placement.
    """
    return (
        server.id,
        server.started_ms,
        server.service,
        server.address,
        server.availability_zone,
        server.slots,
        server.draining,
    )
