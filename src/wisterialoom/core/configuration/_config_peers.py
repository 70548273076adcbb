"""What the other members last said of their configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.notice import Member

__all__ = ["ConfigPeers"]

HEARD_S = 5.0
"""Time for which the last heartbeat of a peer counts."""


@dataclass(frozen=True, slots=True)
class Heard:
    """What a peer last said."""

    generation: int
    fresh: bool
    at: float


class ConfigPeers:
    """The other members and their generations.

    Attributes:
        members: Other members by name.
        heard: What each of them last said.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.heard: dict[str, Heard] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Take the members, without this instance."""
        self.members = {member.name: member for member in members}
        self.heard = {k: v for k, v in self.heard.items() if k in self.members}

    def hear(self, now: float, name: str, generation: int, *, fresh: bool) -> None:
        """Take what a peer says; peers that are no members are passed over."""
        if name in self.members:
            self.heard[name] = Heard(generation, fresh, now)

    def peak(self, now: float) -> int:
        """Return the highest generation that a live peer has."""
        live = (x.generation for x in self.heard.values() if now - x.at < HEARD_S)
        return max(live, default=0)

    def candidates(self, now: float, known: int) -> list[Member]:
        """Return the peers that can help: ahead of this instance, else fresh.

        Args:
            now: Monotonic time in seconds.
            known: Highest generation known here.
        """
        if self.peak(now) > known:
            names = {name for name, x in self.heard.items() if x.generation > known}
        else:
            names = {name for name, x in self.heard.items() if x.fresh}
        return [self.members[name] for name in sorted(names or self.members)]
