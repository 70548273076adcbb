"""How many requests an instance may send to a backend server that limits them.

A server in need names the requests a second that it accepts from all instances
together. No instance sees what the others send, so each keeps to a fixed share. With
many instances an equal share would be a request in minutes, and all of them together
could still send one at the same moment. Only as many as can send at once without harm
therefore share the limit.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "ASSUMED_INSTANCES",
    "LimitMemory",
    "LimitShares",
    "RequestLimit",
    "Share",
]

BASE_SHARING = 4
"""Instances that share a limit, besides one for each request a second.

Each may have one request saved up, so this bounds the burst after a calm time.
"""

OTHERS_SHARE = 0.1
"""Part of a limit that all other instances may use.

They hear in messages when the limit ends; their requests find it out if those are lost.
"""

OTHERS_KEEP_S = 4.0
"""Time for which any other instance may use its turn, which it does not save up."""

MAX_SAVED_S = 0.5
"""Time whose requests may be saved up, if these are more than one."""

MIN_LIMIT_PER_S = 0.2
"""Least rate that is assumed, so that the end of a limit is noticed."""

GONE_MEMORY_S = 60.0
"""Time for which an instance that left the list still counts as one that shares.

One that cannot hear the others any more must not take their shares.
"""

ASSUMED_INSTANCES = 8
"""Least number of instances that one assumes until it has heard of others."""

ASSUMED_FOR_S = 60.0
"""Time after which an instance that has heard of no other believes to be alone."""

HELD_BACK_S = 0.5
"""Time for which an instance that held a request back does not give its turns away."""

GRANT_S = 1.0
"""Time within which a turn that another instance gave away must be used."""

MAX_REMEMBERED = 1024
"""Servers whose limits are remembered, the latest ones."""


@dataclass(frozen=True, slots=True)
class Share:
    """What an instance may send to a server with a limit.

    Attributes:
        rate: Requests a second.
        may_save: Whether a request that is not sent may be sent at any later time.
    """

    rate: float
    may_save: bool


class LimitShares:
    """Divides the limits of backend servers among the instances.

    Attributes:
        me: Name of this instance.
        names: Names of all instances, this one included.
        gone: Monotonic time at which each instance left the list, for recent ones.
        sharing: Instances that share a server's limit, by server and their number.
        assumed: Least number of instances that is assumed.
        assumed_since: Monotonic time since which it is; `None` before the first use.
    """

    def __init__(self, me: str = "", *, assumed: int = 1) -> None:
        self.me = me
        self.assumed = assumed
        self.assumed_since: float | None = None
        self.names: frozenset[str] = frozenset({me})
        self.gone: dict[str, float] = {}
        self.sharing: dict[tuple[str, int], frozenset[str]] = {}

    def set_instances(self, now: float, names: Iterable[str]) -> None:
        """Replace the list of instances.

        Those that left it keep their shares for a while: the list of an instance
        that is cut off, or has just taken the lease, may be too short for a moment.
        """
        listed = frozenset(names) | {self.me}
        for name in self.names - listed:
            self.gone.setdefault(name, now)
        for name in listed:
            self.gone.pop(name, None)
        self.names = listed
        if len(listed) > 1:
            self.assumed = 1
        self.sharing.clear()

    def share(self, now: float, server: str, limit_per_s: float) -> Share:
        """Return what this instance may send to a server."""
        limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
        names = self._counted_names(now)
        if len(names) < self._assumed_count(now):
            return Share(limit_per_s / self.assumed, may_save=True)
        sharing = self.sharing_names(now, server, limit_per_s)
        if self.me in sharing:
            return Share(limit_per_s / len(sharing), may_save=True)
        others = len(names) - len(sharing)
        return Share(OTHERS_SHARE * limit_per_s / others, may_save=False)

    def sharing_names(
        self, now: float, server: str, limit_per_s: float
    ) -> frozenset[str]:
        """Return the instances that share the limit of a server."""
        return self._first_names(now, server, BASE_SHARING + int(limit_per_s))

    def slots(self, now: float, server: str, count: int) -> int:
        """Return this instance's part of a server's slots; they add up to no more."""
        names = self._counted_names(now)
        instances = max(len(names), self._assumed_count(now))
        if instances <= count:
            return count // instances
        return int(self.me in self._first_names(now, server, count))

    def _first_names(self, now: float, server: str, count: int) -> frozenset[str]:
        """Return the instances that rank first for a server."""
        names = self._counted_names(now)
        if count >= len(names):
            return names
        key = server, count
        if key not in self.sharing:
            self.sharing[key] = frozenset(rendezvous.rank(server, names)[:count])
        return self.sharing[key]

    def _assumed_count(self, now: float) -> int:
        if self.assumed_since is None:
            self.assumed_since = now
        if now - self.assumed_since > ASSUMED_FOR_S:
            self.assumed = 1
        return self.assumed

    def turn_offset(self, server: str) -> float:
        """Return at which point of its turns this instance starts, from 0 to 1."""
        return zlib.crc32(f"{self.me}/{server}".encode()) / 2**32

    def _counted_names(self, now: float) -> frozenset[str]:
        for name, gone_at in list(self.gone.items()):
            if now - gone_at > GONE_MEMORY_S:
                del self.gone[name]
                self.sharing.clear()
        return self.names | self.gone.keys()


@dataclass
class RequestLimit:
    """Keeps the requests to one backend server within this instance's share.

    Attributes:
        server: Identity of the server.
        shares: Divides the limits among the instances.
        limit_per_s: Requests a second that the server accepts from all instances;
            `None` if it names no limit.
        as_of: Monotonic time up to which the server's statements are known.
        saved: Requests that may be sent now.
        counted_at: Monotonic time at which `saved` was computed.
        held_back_at: Monotonic time at which a request was last held back.
        granted: Requests that other instances gave away and that may be sent now.
        granted_until: Monotonic time until which they may.
    """

    server: str = ""
    shares: LimitShares = field(default_factory=LimitShares)
    limit_per_s: float | None = None
    as_of: float = float("-inf")
    saved: float = 0.0
    counted_at: float = float("-inf")
    held_back_at: float = float("-inf")
    granted: int = 0
    granted_until: float = float("-inf")

    def record(self, now: float, limit_per_s: float | None, *, asked_at: float) -> bool:
        """Record an answer of the server.

        Args:
            now: Monotonic time at which the answer arrived.
            limit_per_s: The limit in the answer; `None` if it names none.
            asked_at: Monotonic time at which the request was sent. Answers overtake
                each other, so one that names no limit ends a limit only if the
                request was sent after the limit was heard.

        Returns:
            Whether the limit changed.
        """
        return self.merge(
            now, limit_per_s, now if limit_per_s is not None else asked_at
        )

    def merge(self, now: float, limit_per_s: float | None, as_of: float) -> bool:
        """Record what this or another instance heard; return whether it is news.

        Args:
            now: Monotonic time.
            limit_per_s: The limit; `None` if there is none any more.
            as_of: Monotonic time up to which this is known.
        """
        if as_of < self.as_of:
            return False
        changed = limit_per_s != self.limit_per_s
        if self.limit_per_s is not None:
            self._count(now)
        elif limit_per_s is not None:
            share = self.shares.share(now, self.server, limit_per_s)
            offset = self.shares.turn_offset(self.server)
            self.saved = 0.0 if share.may_save else offset
            self.counted_at = now
        if limit_per_s is not None or changed:
            self.as_of = as_of
        self.limit_per_s = limit_per_s
        return changed

    def free_at(self, now: float) -> float:
        """Return the monotonic time from which a request may be sent."""
        if self.limit_per_s is None:
            return float("-inf")
        if self.granted and now <= self.granted_until:
            return now
        rate = self.rate(now)
        return now + max(0.0, 1.0 - self.saved) / rate

    def rate(self, now: float) -> float:
        """Return the requests a second that may be sent."""
        return math.inf if self.limit_per_s is None else self._count(now).rate

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.free_at(now) <= now

    def record_sent(self, now: float) -> None:
        """Count a request that is being sent."""
        if self.limit_per_s is None:
            return
        self._count(now)
        if self.granted and now <= self.granted_until:
            self.granted -= 1
        else:
            self.saved = max(0.0, self.saved - 1.0)

    # Turns that instances give to each other, so that a limit is used by those whose
    # callers need it. What one gives away it does not use; what is lost on the way,
    # nobody uses.

    def record_held_back(self, now: float) -> None:
        """Record that a request is not sent because of the limit."""
        self.held_back_at = now

    def wants_turn(self, now: float) -> bool:
        """Return whether a turn of another instance would be used here."""
        return now - self.held_back_at < HELD_BACK_S and not self.allows(now)

    def give_turn(self, now: float) -> bool:
        """Give away one request that may be sent; return whether there is one."""
        if self.limit_per_s is None or now - self.held_back_at < HELD_BACK_S:
            return False
        self._count(now)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def take_turn(self, now: float) -> None:
        """Record a request that another instance gave away."""
        if now > self.granted_until:
            self.granted = 0
        self.granted += 1
        self.granted_until = now + GRANT_S

    def _count(self, now: float) -> Share:
        assert self.limit_per_s is not None
        share = self.shares.share(now, self.server, self.limit_per_s)
        saved = self.saved + share.rate * (now - self.counted_at)
        if share.may_save:
            self.saved = min(max(1.0, MAX_SAVED_S * share.rate), saved)
        else:
            self.saved = saved % (1.0 + share.rate * OTHERS_KEEP_S)
        self.counted_at = now
        return share


@dataclass
class LimitMemory:
    """Remembers the limits that servers named, also while they are not listed.

    A limit holds for one start of a server.

    Attributes:
        limits: Start and limit of the servers that named one, by name.
    """

    limits: dict[str, tuple[int | str, RequestLimit]] = field(default_factory=dict)

    def limit_of(
        self, server: str, start: int | str, shares: LimitShares
    ) -> RequestLimit:
        """Return the limit of a server, as known of this start."""
        known, limit = self.limits.get(server, (start, None))
        if limit is None or known != start:
            return RequestLimit(server, shares)
        return limit

    def remember(self, server: str, start: int | str, limit: RequestLimit) -> None:
        """Remember a limit that a server named."""
        self.limits[server] = start, limit
        while len(self.limits) > MAX_REMEMBERED:
            del self.limits[next(iter(self.limits))]
