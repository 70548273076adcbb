"""The backend servers of a deployment, with the revision of each entry.

Entries reach an instance from the store and from other instances in any order; of each
server, the entry with the highest revision is kept. Two instances compare digests to
see whether their tables are equal.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.serving.backend import BackendServer

__all__ = ["ServerTable", "TableEntry"]

REMOVAL_RETENTION_S = 30.0
"""Time that a removal is remembered, so that a late message can't undo it.

Messages are late by some seconds at most.
"""


@dataclass(frozen=True, slots=True)
class TableEntry:
    """Latest entry of one server id.

    Attributes:
        revision: Store revision of the entry.
        server: The server; `None` if it was removed.
        changed_at: Monotonic time of the last change that other instances must
            receive.
    """

    revision: int
    server: BackendServer | None
    changed_at: float


class ServerTable:
    """Backend servers by id.

    Attributes:
        entries: Entry by server id; removed servers are included for some time.
        cached_digest: Cached digest; `None` after a change.
    """

    def __init__(self) -> None:
        self.entries: dict[str, TableEntry] = {}
        self.cached_digest: int | None = None

    @property
    def servers(self) -> dict[str, BackendServer]:
        """The servers that were not removed, by id."""
        return {
            server_id: entry.server
            for server_id, entry in self.entries.items()
            if entry.server is not None
        }

    @property
    def digest(self) -> int:
        """Checksum of the fields that instances announce to each other."""
        if self.cached_digest is None:
            known = sorted(
                _announced_fields(server) for server in self.servers.values()
            )
            self.cached_digest = zlib.crc32(repr(known).encode())
        return self.cached_digest

    def put(
        self, now: float, revision: int, server: BackendServer, *, listed: bool = False
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
        self.cached_digest = None
        return True

    def remove(self, now: float, revision: int, server_id: str) -> bool:
        """Store a removal unless a newer entry is known; return whether it was."""
        known = self.entries.get(server_id)
        if known is not None and (known.server is None or revision < known.revision):
            return False
        self.entries[server_id] = TableEntry(revision, None, now)
        self.cached_digest = None
        return True

    def changed_since(self, moment: float) -> dict[str, TableEntry]:
        """Return the entries with an announced change at or after a monotonic time."""
        return {
            server_id: entry
            for server_id, entry in self.entries.items()
            if entry.changed_at >= moment
        }

    def forget_removed(self, now: float) -> None:
        """Drop removals that no late message can undo any more."""
        self.entries = {
            server_id: entry
            for server_id, entry in self.entries.items()
            if entry.server is not None or now - entry.changed_at < REMOVAL_RETENTION_S
        }


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
