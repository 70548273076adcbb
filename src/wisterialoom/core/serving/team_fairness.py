"""Divides what an instance sends between teams while servers are full.

Load pattern: one team sends many times its usual traffic, and the servers are full.
Without a rule, a free slot goes to whoever asks first, so each team gets slots in
proportion to its requests, and the quiet teams lose as much of theirs as the loud one.

Each instance estimates how often every team asks and is served, and divides what it
gets through by weighted max-min fairness: no team gets more than a common level times
its weight while another one lacks requests that it could have sent. The level follows
from the estimates alone, without queues for each flow, as in I. Stoica, S. Shenker and
H. Zhang, "Core-Stateless Fair Queueing" (SIGCOMM 1998). The weight of a team is its
quota in requests, which operators declare in proportion to its usual traffic.

The instances do not exchange anything: each divides its own part. Where a team's
traffic reaches only one instance, it competes with the others' at the servers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import median
from typing import TYPE_CHECKING

from wisterialoom.core.teams import TeamDirectory

if TYPE_CHECKING:
    from wisterialoom.core.serving.request_flow import RequestProfile

__all__ = ["TeamFairness"]

MEMORY_S = 15.0
"""Time constant of the estimates; some requests of each team at each instance."""

SHORT_S = 5.0
"""Time for which room counts as short after a server refused a request as full.

An instance of many sends only a few requests per second.
"""

HEADROOM = 1.05
"""What is divided, relative to what was served, so that freed room is used.

Below 1, what is served would shrink on and on while a single server refuses requests
now and then.
"""

FLOOR = 0.35
"""Least share of its requests that a team is served, relative to all teams.

A quarter is owed to each team, also to the one that sends too much; estimates from few
requests are off by a third.
"""

LEVEL_AGE_S = 0.05
"""Time for which a level is used; one takes some 0.1 ms to compute for 16 teams."""

LEVEL_STEPS = 25
"""Halvings of the interval in which the level is searched."""


@dataclass
class _Decayed:
    """A count in which past events weigh exponentially less."""

    value: float = 0.0
    at: float = float("-inf")

    def read(self, now: float) -> float:
        if self.value and now > self.at:
            self.value *= math.exp((self.at - now) / MEMORY_S)
            self.at = now
        return self.value

    def add(self, now: float, count: float) -> None:
        self.value = max(0.0, self.read(now) + count)
        self.at = max(self.at, now)


@dataclass
class _Use:
    """What one team asks of a service, and gets.

    Attributes:
        asked: Requests that arrived.
        served: Requests that were sent and not refused.
        cost: Costs of the requests that arrived.
    """

    asked: _Decayed = field(default_factory=_Decayed)
    served: _Decayed = field(default_factory=_Decayed)
    cost: _Decayed = field(default_factory=_Decayed)


@dataclass
class _ServiceUse:
    """What all teams ask of a service.

    Attributes:
        teams: Use by team; an empty name stands for callers without a key.
        short_at: Monotonic time at which a request last found a server full.
        shares: Requests that each team may have sent, as last computed.
        shares_at: Monotonic time of that.
    """

    teams: dict[str, _Use] = field(default_factory=dict)
    short_at: float = float("-inf")
    shares: dict[str, float] = field(default_factory=dict)
    shares_at: float = float("-inf")


class TeamFairness:
    """Decides which teams' requests are sent first.

    Attributes:
        directory: Teams in force.
        services: Use by service.
        held_back: Number of decisions to hold a request back.
    """

    def __init__(self) -> None:
        self.directory = TeamDirectory()
        self.services: dict[str, _ServiceUse] = {}
        self.held_back = 0

    @property
    def has_teams(self) -> bool:
        """Whether there are teams between which the room is divided."""
        return bool(self.directory.by_name)

    def set_teams(self, directory: TeamDirectory) -> None:
        """Set the teams in force."""
        if directory is self.directory:
            return
        self.directory = directory
        for use in self.services.values():
            use.teams = {
                name: team
                for name, team in use.teams.items()
                if not name or directory.find(name) is not None
            }
            use.shares_at = float("-inf")

    def record_arrival(self, now: float, profile: RequestProfile) -> None:
        """Count a request that has just arrived."""
        if not self.has_teams:
            return
        use = self._use(profile)
        team = self.directory.find(profile.team)
        quota = team.quota if team is not None else None
        use.asked.add(now, 1.0)
        use.cost.add(now, quota.cost(profile.token_counts) if quota else 1.0)

    def record_short(self, now: float, profile: RequestProfile) -> None:
        """Record that a request found a server, or all servers, full."""
        if self.has_teams:
            self._service(profile).short_at = now

    def record_sent(self, now: float, profile: RequestProfile) -> None:
        """Count a request as served; one that is refused is taken back."""
        if self.has_teams:
            self._use(profile).served.add(now, 1.0)

    def record_refused(self, now: float, profile: RequestProfile) -> None:
        """Take back a request that was sent, but did not run."""
        if self.has_teams:
            self._use(profile).served.add(now, -1.0)

    def allows(self, now: float, profile: RequestProfile) -> bool:
        """Return whether a request may be sent, or must leave room to other teams."""
        if not self.has_teams:
            return True
        service = self._service(profile)
        if now - service.short_at > SHORT_S:
            return True
        if now - service.shares_at >= LEVEL_AGE_S:
            service.shares = self._divide(now, service)
            service.shares_at = now
        served = self._use(profile).served.read(now)
        # A team with few requests may always have one sent.
        if served < max(1.0, service.shares.get(profile.team, 1.0)):
            return True
        self.held_back += 1
        return False

    def _service(self, profile: RequestProfile) -> _ServiceUse:
        return self.services.setdefault(profile.service, _ServiceUse())

    def _use(self, profile: RequestProfile) -> _Use:
        return self._service(profile).teams.setdefault(profile.team, _Use())

    def _divide(self, now: float, service: _ServiceUse) -> dict[str, float]:
        """Return how many requests of each team may have been sent recently."""
        asked = {name: use.asked.read(now) for name, use in service.teams.items()}
        served = sum(use.served.read(now) for use in service.teams.values())
        all_asked = sum(asked.values())
        room = HEADROOM * served
        if room >= all_asked:
            return dict.fromkeys(asked, float("inf"))
        weights = self._weights(now, service)
        floor = FLOOR * room / all_asked

        def share(name: str, level: float) -> float:
            count = asked[name]
            return max(floor * count, min(count, level * weights[name]))

        low, high = 0.0, max(asked[name] / weights[name] for name in asked)
        for _ in range(LEVEL_STEPS):
            level = (low + high) / 2
            if sum(share(name, level) for name in asked) > room:
                high = level
            else:
                low = level
        return {name: share(name, low) for name in asked}

    def _weights(self, now: float, service: _ServiceUse) -> dict[str, float]:
        """Return the quota of each team in requests; the median if it has none."""
        known = {}
        for name, use in service.teams.items():
            team = self.directory.find(name)
            asked, cost = use.asked.read(now), use.cost.read(now)
            if team is not None and team.quota is not None and asked and cost:
                known[name] = team.quota.rate_per_s * asked / cost
        usual = median(known.values()) if known else 1.0
        return {name: known.get(name, usual) for name in service.teams}
