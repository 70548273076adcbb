"""Detects whether the process of a former lease holder has ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.notice import Member

__all__ = ["Presence"]

ABSENCE_S = 5.0
"""How long an instance must be missing to count as gone, in seconds."""

NEVER = float("-inf")


@dataclass
class Presence:
    """Detects from the membership and the platform's list which instances are gone.

    An instance sends orders to engines that do not check fencing numbers only after
    it has seen itself in the platform's list. An instance that has been missing from
    both the list and the membership for a while has therefore ended.

    Attributes:
        me: Name of this instance.
        members: Members by name.
        listed: Names in the platform's list; `None` until the list is first read, and
            every instance counts as present until then.
        present_at: When each name was last present. The first check of a name, and
            one over `ABSENCE_S` after the last, count as presence too.
        checked_at: When each name was last checked.
    """

    me: str
    members: dict[str, Member] = field(default_factory=dict)
    listed: frozenset[str] | None = None
    present_at: dict[str, float] = field(default_factory=dict)
    checked_at: dict[str, float] = field(default_factory=dict)

    @property
    def is_self_listed(self) -> bool:
        """Whether the platform lists this instance."""
        return self.listed is not None and self.me in self.listed

    def set_members(self, members: Iterable[Member]) -> None:
        """Set the members."""
        self.members = {member.name: member for member in members}

    def is_gone(self, name: str, now: float) -> bool:
        """Check an instance; return whether it has been missing for long enough."""
        present = name in self.members or self.listed is None or name in self.listed
        checked_recently = now - self.checked_at.get(name, NEVER) <= ABSENCE_S
        self.checked_at[name] = now
        if present or not checked_recently:
            self.present_at[name] = now
        return now - self.present_at[name] > ABSENCE_S
