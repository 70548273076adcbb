"""Which instances are candidates to control which backend server."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ControllerAssignment"]

CANDIDATES = 3
"""Candidates for one backend server, the lease holder included."""


def assignment_key(server: str) -> str:
    """Return the key by which the candidates of a server are ranked."""
    return f"steward/{server}"


@dataclass
class ControllerAssignment:
    """Keeps the candidates of each server up to date as members join and leave.

    When a member joins, it is ranked only against the current candidates of each
    server. When one leaves, only the servers that it was a candidate for are ranked
    over all members again.

    Attributes:
        members: Names of the members among which control of the servers is divided.
        candidates: Candidates by server, most preferred first.
    """

    members: frozenset[str] = frozenset()
    candidates: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def set_servers(self, servers: Iterable[str]) -> None:
        """Set the names of the engines."""
        names = set(servers)
        for name in [x for x in self.candidates if x not in names]:
            del self.candidates[name]
        for name in names - set(self.candidates):
            self.candidates[name] = self._rank(name, self.members)

    def set_members(self, members: Iterable[str]) -> None:
        """Set the names of the members."""
        names = frozenset(members)
        joined, left = names - self.members, self.members - names
        self.members = names
        for server, known in self.candidates.items():
            if left.intersection(known) or len(known) < CANDIDATES:
                self.candidates[server] = self._rank(server, names)
            elif joined:
                self.candidates[server] = self._rank(server, joined.union(known))

    def rank_of(self, server: str, name: str) -> int | None:
        """Return an instance's rank, 0 for the first; `None` if it is no candidate."""
        known = self.candidates.get(server, ())
        return known.index(name) if name in known else None

    def _rank(self, server: str, names: Iterable[str]) -> tuple[str, ...]:
        return tuple(rank(assignment_key(server), names)[:CANDIDATES])
