"""Chooses among the backend servers that could serve a request."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.serving.backend import BackendView
    from wisterialoom.core.serving.request_flow import RequestProfile

__all__ = ["Balancer", "BalancerWeights"]

PREFIX_MEMORY = 4096
"""Prompt parts remembered; some 60 bytes each."""


@dataclass(frozen=True, slots=True)
class BalancerWeights:
    """Weights of what a choice considers, in shares of a server's slots.

    Attributes:
        other_zone: Handicap of a server in another availability zone.
        known_prefix: Advantage of a server that has read the shared prompt parts.
        unread: Handicap of a thousand prompt tokens that wait to be read; while they
            are, tokens of all requests at the server are late.
        spread: Largest random-looking handicap, so that instances differ.
    """

    other_zone: float = 0.2
    known_prefix: float = 0.15
    spread: float = 0.05
    unread: float = 0.075


@dataclass
class Balancer:
    """Prefers idle servers, near ones, and those that know the prompt.

    Attributes:
        availability_zone: Zone of this instance.
        weights: Weights of the choice.
        prefix_server: Server that last read a shared prompt part.
    """

    availability_zone: str
    weights: BalancerWeights = field(default_factory=BalancerWeights)
    prefix_server: dict[str, str] = field(default_factory=dict)

    def choose(
        self, now: float, profile: RequestProfile, views: Iterable[BackendView]
    ) -> BackendView | None:
        """Return the best of some servers, or `None` if there is none."""
        best: BackendView | None = None
        best_score = float("inf")
        known = self.prefix_server.get(self.prefix_key(profile))
        for view in views:
            score = self.score(now, profile, view, known)
            if score < best_score:
                best, best_score = view, score
        return best

    def score(
        self,
        now: float,
        profile: RequestProfile,
        view: BackendView,
        known: str | None,
    ) -> float:
        """Return the handicap of a server; the least is chosen."""
        server = view.server
        score = view.busy(now) / max(1, server.slots)
        score += self.weights.unread * view.pending_prefill_tokens / 1000
        if server.availability_zone != self.availability_zone:
            score += self.weights.other_zone
        if known == server.id:
            score -= self.weights.known_prefix
        draw = zlib.crc32(f"{profile.request_id}{server.id}".encode()) / 2**32
        return score + self.weights.spread * draw

    def note_sent(self, profile: RequestProfile, server_id: str) -> None:
        """Remember which server reads the shared parts of a prompt."""
        key = self.prefix_key(profile)
        if not key:
            return
        self.prefix_server.pop(key, None)
        self.prefix_server[key] = server_id
        if len(self.prefix_server) > PREFIX_MEMORY:
            self.prefix_server.pop(next(iter(self.prefix_server)))

    def prefix_key(self, profile: RequestProfile) -> str:
        """Return the name of a prompt's shared beginning; empty without one."""
        if len(profile.prefix) < 2:
            return ""
        return f"{profile.resource}:{profile.prefix[-2]}"
