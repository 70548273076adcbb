"""Load balancing among the backend servers that can serve a request."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.short_key import short_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.serving.backend import BackendView
    from wisterialoom.core.serving.request_flow import RequestProfile

__all__ = ["Balancer", "BalancerWeights"]

MAX_PREFIXES = 4096
"""Maximum number of prompt prefixes remembered; each takes at most some 200 bytes."""


@dataclass(frozen=True, slots=True)
class BalancerWeights:
    """Weights of the load balancing score, as fractions of a server's slots.

    Attributes:
        other_zone: Penalty of a server in another availability zone.
        cached_prefix: Bonus of a server that last processed the same prompt prefix.
        relayed: Penalty of a server that is reached through another instance only.
        lone: Penalty of a server whose loss ends streams, as no other one with its
            software version has the model.
        pending_prefill: Penalty per thousand prompt tokens waiting for prefill;
            a prefill delays the tokens of all requests at the server.
        jitter: Maximum pseudo-random penalty, which keeps instances from all
            choosing the same server.
    """

    other_zone: float = 0.2
    cached_prefix: float = 0.15
    jitter: float = 0.05
    relayed: float = 0.3
    lone: float = 0.3
    pending_prefill: float = 0.075


@dataclass
class Balancer:
    """Prefers idle servers, servers in the same zone, and those with a cached prefix.

    Attributes:
        availability_zone: Availability zone of this instance.
        weights: Weights of the score.
        prefix_server: Id of the server that last processed each prompt prefix.
    """

    availability_zone: str
    weights: BalancerWeights = field(default_factory=BalancerWeights)
    prefix_server: dict[str, str] = field(default_factory=dict)

    def choose(
        self, now: float, profile: RequestProfile, views: Iterable[BackendView]
    ) -> BackendView | None:
        """Return the server with the lowest score, or `None` if there is none."""
        best: BackendView | None = None
        best_score = float("inf")
        cached_on = self.prefix_server.get(self.prefix_key(profile))
        for view in views:
            score = self.score(now, profile, view, cached_on)
            if score < best_score:
                best, best_score = view, score
        return best

    def score(
        self,
        now: float,
        profile: RequestProfile,
        view: BackendView,
        cached_on: str | None,
    ) -> float:
        """Return the score of a server; lower is better."""
        server = view.server
        score = view.load(now)
        score += self.weights.pending_prefill * view.pending_prefill_tokens / 1000
        if server.availability_zone != self.availability_zone:
            score += self.weights.other_zone
        if view.relayed:
            score += self.weights.relayed
        if view.is_lone:
            score += self.weights.lone
        if cached_on == server.id:
            score -= self.weights.cached_prefix
        draw = zlib.crc32(f"{profile.request_id}{server.id}".encode()) / 2**32
        return score + self.weights.jitter * draw

    def record_sent(self, profile: RequestProfile, server_id: str) -> None:
        """Remember which server processes a prompt's shared prefix."""
        key = self.prefix_key(profile)
        if not key:
            return
        self.prefix_server.pop(key, None)
        self.prefix_server[key] = server_id
        if len(self.prefix_server) > MAX_PREFIXES:
            self.prefix_server.pop(next(iter(self.prefix_server)))

    def prefix_key(self, profile: RequestProfile) -> str:
        """Return the key of a prompt's shared prefix, or an empty string."""
        if len(profile.prefix) < 2:
            return ""
        return short_key(f"{profile.resource}:{profile.prefix[-2]}")
