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

PULL_LIMIT_S = 0.5
"""Time after which a peer that has not responded is skipped."""

MIN_ROUND_PAUSE_S = 0.2
MAX_ROUND_PAUSE_S = 2.0
"""Bounds of the pause after an unsuccessful round, which doubles each time."""


@dataclass(frozen=True, slots=True)
class PendingPull:
    """A pull in progress.

    Attributes:
        serial: Number of the pull.
        peer: Name of the peer.
        sent_at: Monotonic time at which the pull was sent.
    """

    serial: int
    peer: str
    sent_at: float


class ConfigPuller:
    """Pulls from one peer after another until a pull succeeds.

    In each round, every candidate is tried at most once.

    Attributes:
        serial: Number of the last pull.
        pending: The pull in progress.
        tried: Names of the peers tried in this round.
        next_round_at: Monotonic time before which no round begins.
        round_pause_s: Pause after the next unsuccessful round.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.serial = 0
        self.pending: PendingPull | None = None
        self.tried: set[str] = set()
        self.next_round_at = -math.inf
        self.round_pause_s = MIN_ROUND_PAUSE_S

    def reset(self, now: float) -> None:
        """Drop the pull in progress, and begin a new round immediately."""
        self.pending = None
        self.tried.clear()
        self.next_round_at = now
        self.round_pause_s = MIN_ROUND_PAUSE_S

    def next_pull(
        self, now: float, latest_generation: int, candidates: Iterable[Member]
    ) -> SendPeer | None:
        """Return a pull to send, if one is due and a candidate is untried."""
        if self.pending is not None and now - self.pending.sent_at > PULL_LIMIT_S:
            self.pending = None
        if self.pending is not None or now < self.next_round_at:
            return None
        untried = [member for member in candidates if member.name not in self.tried]
        if not untried:
            return None
        member = self.rng.choice(untried)
        self.serial += 1
        self.pending = PendingPull(self.serial, member.name, now)
        self.tried.add(member.name)
        return SendPeer(
            member.name, member.address, ConfigPull(latest_generation, self.serial)
        )

    def end_round_if_exhausted(self, now: float, candidates: Iterable[Member]) -> bool:
        """End the round if every candidate was tried without success.

        The next round begins after a pause.

        Returns:
            Whether the round was ended.
        """
        if self.pending is not None or now < self.next_round_at:
            return False
        if any(member.name not in self.tried for member in candidates):
            return False
        self.tried.clear()
        self.next_round_at = now + self.round_pause_s * (0.5 + self.rng.random() / 2)
        self.round_pause_s = min(self.round_pause_s * 2, MAX_ROUND_PAUSE_S)
        return True

    def complete(self, sender: str, push: ConfigPush) -> float | None:
        """Process the response to a pull.

        Returns:
            Monotonic time at which the pull was sent; `None` if the message does
            not belong to the pull in progress.
        """
        pending = self.pending
        if pending is None or (pending.peer, pending.serial) != (sender, push.serial):
            return None
        self.pending = None
        return pending.sent_at
