"""Pulls of the configuration from peers, one at a time."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.peer import ConfigPull, ConfigPush, SendPeer

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from wisterialoom.core.notice import Member

__all__ = ["ConfigPuller"]

ANSWER_LIMIT_S = 0.5
"""A peer that has not answered by then is passed over."""

MIN_GAP_S = 0.2
MAX_GAP_S = 2.0
"""Rest after every peer has been tried in vain, doubled each time."""


@dataclass(frozen=True, slots=True)
class Asked:
    """A pull without its answer yet."""

    serial: int
    peer: str
    at: float


class ConfigPuller:
    """Asks one peer after another until one answers as wanted.

    Attributes:
        serial: Of the last pull.
        asked: The pull in progress.
        tried: Peers asked in this round.
        due: Moment from which the next round may begin.
        gap_s: Rest after a round in vain.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.serial = 0
        self.asked: Asked | None = None
        self.tried: set[str] = set()
        self.due = -math.inf
        self.gap_s = MIN_GAP_S

    def forget(self, now: float) -> None:
        """Drop the pull in progress, and begin a new round at once."""
        self.asked = None
        self.tried.clear()
        self.due = now
        self.gap_s = MIN_GAP_S

    def ask(
        self, now: float, known: int, candidates: Iterable[Member]
    ) -> SendPeer | None:
        """Return a pull to send, if one is due and a peer is left to ask."""
        if self.asked is not None and now - self.asked.at > ANSWER_LIMIT_S:
            self.asked = None
        if self.asked is not None or now < self.due:
            return None
        left = [member for member in candidates if member.name not in self.tried]
        if not left:
            return None
        member = self.rng.choice(left)
        self.serial += 1
        self.asked = Asked(self.serial, member.name, now)
        self.tried.add(member.name)
        return SendPeer(member.name, member.address, ConfigPull(known, self.serial))

    def exhausted(self, now: float, candidates: Iterable[Member]) -> bool:
        """Tell whether every peer was asked in vain; then rest for a while."""
        if self.asked is not None or now < self.due:
            return False
        if any(member.name not in self.tried for member in candidates):
            return False
        self.tried.clear()
        self.due = now + self.gap_s * (0.5 + self.rng.random() / 2)
        self.gap_s = min(self.gap_s * 2, MAX_GAP_S)
        return True

    def settle(self, sender: str, push: ConfigPush) -> float | None:
        """Take an answer; return when it was asked for, `None` if it wasn't."""
        asked = self.asked
        if asked is None or (asked.peer, asked.serial) != (sender, push.serial):
            return None
        self.asked = None
        return asked.at
