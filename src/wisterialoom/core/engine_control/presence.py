"""Whether former lease holders are gone for good."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.notice import Member

__all__ = ["Presence"]

ABSENCE_S = 5.0
"""An instance must be missing everywhere for this long, in seconds."""

NEVER = float("-inf")


@dataclass
class Presence:
    """Members and listed instances, to tell who is gone.

    An instance orders engines that do not check fencing only after it has seen
    itself in the platform's list, so that one that is missing from the list and
    from the members for a while has ended.

    Attributes:
        me: Name of this instance.
        members: Members by name.
        listed: Names in the platform's list; `None` before it was read.
        seen_at: When each name was last present, or first asked for.
        asked_at: When each name was last asked for.
    """

    me: str
    members: dict[str, Member] = field(default_factory=dict)
    listed: frozenset[str] | None = None
    seen_at: dict[str, float] = field(default_factory=dict)
    asked_at: dict[str, float] = field(default_factory=dict)

    @property
    def self_listed(self) -> bool:
        """The platform lists this instance."""
        return self.listed is not None and self.me in self.listed

    def set_members(self, members: Iterable[Member]) -> None:
        """Take the members."""
        self.members = {member.name: member for member in members}

    def is_gone(self, name: str, now: float) -> bool:
        """Tell whether an instance has been missing for long enough."""
        present = name in self.members or self.listed is None or name in self.listed
        asked_before = now - self.asked_at.get(name, NEVER) <= ABSENCE_S
        self.asked_at[name] = now
        if present or not asked_before:
            self.seen_at[name] = now
        return now - self.seen_at[name] > ABSENCE_S
