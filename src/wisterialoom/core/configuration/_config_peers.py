"""The configuration state that the other members last reported."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.notice import Member

__all__ = ["ConfigPeers"]

STATE_LIFETIME_S = 5.0
"""Time for which a peer's last report is used."""


@dataclass(frozen=True, slots=True)
class PeerState:
    """The last report of a peer.

    Attributes:
        generation: Latest generation that the peer has seen.
        fresh: Whether the peer's configuration is confirmed to be the newest.
        received_at: Monotonic time at which the report was received.
    """

    generation: int
    fresh: bool
    received_at: float


class ConfigPeers:
    """The other members and the generations that they reported.

    Attributes:
        members: Other members by name.
        states: Last reports by name of the member.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.states: dict[str, PeerState] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the members, without this instance."""
        self.members = {member.name: member for member in members}
        self.states = {k: v for k, v in self.states.items() if k in self.members}

    def update(self, now: float, name: str, generation: int, *, fresh: bool) -> None:
        """Record the report of a peer; peers that are no members are ignored."""
        if name in self.members:
            self.states[name] = PeerState(generation, fresh, now)

    def highest_generation(self, now: float) -> int:
        """Return the highest generation that a peer recently reported."""
        live = (
            x.generation
            for x in self.states.values()
            if now - x.received_at < STATE_LIFETIME_S
        )
        return max(live, default=0)

    def candidates(self, now: float, own_generation: int) -> list[Member]:
        """Return the peers to pull the configuration from.

        These are the peers with a higher generation. If there are none, they are the
        fresh peers, and if there are none of these either, all members.

        Args:
            now: Monotonic time in seconds.
            own_generation: Latest generation seen by this instance.
        """
        if self.highest_generation(now) > own_generation:
            names = {
                name for name, x in self.states.items() if x.generation > own_generation
            }
        else:
            names = {name for name, x in self.states.items() if x.fresh}
        return [self.members[name] for name in sorted(names or self.members)]
