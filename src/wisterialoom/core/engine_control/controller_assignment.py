"""Which instances should steward which backend server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ControllerAssignment"]

CANDIDATES = 3
"""Instances that look after one backend server, the holder included."""


def assignment_key(server: str) -> str:
    """Return the key by which a server's steward is ranked."""
    return f"steward/{server}"


@dataclass
class ControllerAssignment:
    """Keeps the first candidates of each server as members come and go.

    A member that comes costs one comparison a server; only the servers that a
    leaving member was a candidate for are ranked anew.

    Attributes:
        members: Names that duties are shared out over.
        candidates: First candidates by server, most preferred first.
    """

    members: frozenset[str] = frozenset()
    candidates: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def set_servers(self, servers: Iterable[str]) -> None:
        """Take the names of the engines."""
        names = set(servers)
        for name in [x for x in self.candidates if x not in names]:
            del self.candidates[name]
        for name in names - set(self.candidates):
            self.candidates[name] = self._rank(name, self.members)

    def set_members(self, members: Iterable[str]) -> None:
        """Take the names of the members."""
        names = frozenset(members)
        came, left = names - self.members, self.members - names
        self.members = names
        for server, known in self.candidates.items():
            if left.intersection(known) or len(known) < CANDIDATES:
                self.candidates[server] = self._rank(server, names)
            elif came:
                self.candidates[server] = self._rank(server, came.union(known))

    def place(self, server: str, name: str) -> int | None:
        """Return the rank of an instance, 0 first; `None` if it is not needed."""
        known = self.candidates.get(server, ())
        return known.index(name) if name in known else None

    def _rank(self, server: str, names: Iterable[str]) -> tuple[str, ...]:
        return tuple(rank(assignment_key(server), names)[:CANDIDATES])
