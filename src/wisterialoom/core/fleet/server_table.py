"""The backend servers of a deployment with the revision of each entry.

Entries reach an instance from the store and from other instances, in any order. The
revision of each decides, and a digest tells two instances whether they know the same.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.serving.backend import BackendServer

__all__ = ["ServerTable", "TableEntry"]

REMOVED_KEPT_S = 30.0
"""Time that a removal is remembered; messages are some seconds late at most."""


@dataclass(frozen=True, slots=True)
class TableEntry:
    """What is known of one server id.

    Attributes:
        revision: Revision of the store that the entry is from.
        server: The server; `None` if it was removed.
        changed_at: Monotonic time at which others had to learn of a change.
    """

    revision: int
    server: BackendServer | None
    changed_at: float


class ServerTable:
    """Backend servers by id.

    Attributes:
        entries: Entry by server id, removed ones included for a while.
    """

    def __init__(self) -> None:
        self.entries: dict[str, TableEntry] = {}
        self.kept_digest: int | None = None

    @property
    def servers(self) -> dict[str, BackendServer]:
        """The servers that are not removed."""
        return {
            server_id: entry.server
            for server_id, entry in self.entries.items()
            if entry.server is not None
        }

    @property
    def digest(self) -> int:
        """Checksum over what instances tell each other about servers."""
        if self.kept_digest is None:
            known = sorted(_essence(server) for server in self.servers.values())
            self.kept_digest = zlib.crc32(repr(known).encode())
        return self.kept_digest

    def put(
        self, now: float, revision: int, server: BackendServer, *, listed: bool = False
    ) -> bool:
        """Take an entry unless a newer one is known; tell whether it was taken.

        Args:
            now: Monotonic time.
            revision: Revision of the entry.
            server: The entry.
            listed: It is from a list. A list shows what is, not what has changed;
                others that lack it see that from the digest.
        """
        known = self.entries.get(server.id)
        changed_at = float("-inf") if listed else now
        if known is not None:
            if revision < known.revision:
                return False
            if known.server is not None and _essence(known.server) == _essence(server):
                changed_at = known.changed_at
        self.entries[server.id] = TableEntry(revision, server, changed_at)
        self.kept_digest = None
        return True

    def remove(self, now: float, revision: int, server_id: str) -> bool:
        """Take a removal unless a newer entry is known; tell whether it was taken."""
        known = self.entries.get(server_id)
        if known is not None and (known.server is None or revision < known.revision):
            return False
        self.entries[server_id] = TableEntry(revision, None, now)
        self.kept_digest = None
        return True

    def changed_since(self, moment: float) -> dict[str, TableEntry]:
        """Return the entries that others had to learn of after a moment."""
        return {
            server_id: entry
            for server_id, entry in self.entries.items()
            if entry.changed_at >= moment
        }

    def forget_removed(self, now: float) -> None:
        """Drop removals that no late message can contradict any more."""
        self.entries = {
            server_id: entry
            for server_id, entry in self.entries.items()
            if entry.server is not None or now - entry.changed_at < REMOVED_KEPT_S
        }


def _essence(server: BackendServer) -> tuple[str, int, str, str, str, int, bool]:
    """Return what others must know; what a server holds is told with placement."""
    return (
        server.id,
        server.started_ms,
        server.service,
        server.address,
        server.availability_zone,
        server.slots,
        server.draining,
    )
