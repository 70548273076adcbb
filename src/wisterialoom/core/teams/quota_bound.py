"""The bound on a team's use, and what the components may take of it.

The bound has room above the quota: a tenth of what the quota allows, and a fixed slack.
Each component may exceed the quota by a part of that room only, so that together they
keep the bound.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.fleet import rendezvous
from wisterialoom.core.teams.team import QuotaUnit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.teams.team import Quota

__all__ = ["OwnShare", "QuotaBound", "own_share", "request_cost"]

DEPTH_PART = 0.65
"""Part of the room by which the bucket is deeper than the team's burst.

Requests of a team cost up to its whole burst. Without more depth, a team at half of its
limit is refused whenever two requests arrive at the same moment. With 0.4, a team of
4,200 tokens a second lost 1 to 9% of its requests at 1/1.8 of its limit.
"""

OWN_PART = 0.15
"""Part of the room for requests that exceed an instance's own share.

The rest of the room covers the time in which one side has noticed a broken connection
and the other has not, and requests that are sent a moment after they were charged.
"""

LEAST_COST, LARGE_COST = 200.0, 4_000.0
"""Cost of a small and of a large request in tokens."""


@dataclass(frozen=True, slots=True)
class QuotaBound:
    """What operators allow above the quotas, for all teams.

    Attributes:
        window_s: Length of the windows in which use is counted.
        overshoot: Part of the quota of a window by which use may exceed it.
        slack: Cost by which use may exceed it in addition.
    """

    window_s: float = 8.0
    overshoot: float = 0.1
    slack: float = 17_000.0

    def allowed(self, limit: Quota) -> float:
        """Return the largest use of a team in any window."""
        quota = limit.rate_per_s * self.window_s + limit.burst
        return quota * (1.0 + self.overshoot) + self.slack

    def room(self, limit: Quota) -> float:
        """Return by how much the use in a window may exceed the quota."""
        quota = limit.rate_per_s * self.window_s + limit.burst
        return quota * self.overshoot + self.slack

    def depth(self, limit: Quota) -> float:
        """Return the depth of the bucket of a team."""
        return limit.burst + DEPTH_PART * self.room(limit)

    def largest_cost(self, limit: Quota) -> float:
        """Return the largest cost of one request that may run.

        A request above the depth of the bucket runs when the bucket is full, and the
        team is then in debt. The bound leaves no room for one that costs more than
        the quota of a window and the slack.
        """
        return limit.rate_per_s * self.window_s + limit.burst


@dataclass(frozen=True, slots=True)
class OwnShare:
    """What one instance may use while it does not hear the holder.

    Attributes:
        part: Part of the team's limit; 0 if it may use nothing.
        may_owe: Whether it may run a request that costs more than it has saved up.
    """

    part: float
    may_owe: bool


def own_share(
    bound: QuotaBound, limit: Quota, team: str, name: str, names: Iterable[str]
) -> OwnShare:
    """Return the share of one instance of a team's limit.

    All instances compute the same for the same names. Those that may go into debt are
    chosen by rendezvous hashing; there are as many as can each run one large request
    at once within the room. The others have no share if it holds no small request.

    Args:
        bound: What is allowed above the quotas.
        limit: Limit of the team.
        team: Name of the team.
        name: Name of the instance.
        names: Names of all instances of the last minutes.
    """
    names = frozenset(names)
    depth = bound.depth(limit) / len(names)
    counts_tokens = limit.unit is QuotaUnit.TOKENS
    debt = (LARGE_COST if counts_tokens else 1.0) - depth
    count = len(names)
    if debt > 0:
        count = min(count, int(OWN_PART * bound.room(limit) / debt))
    may_owe = count >= len(names) or name in rendezvous.rank(team, names)[:count]
    if not may_owe and depth < (LEAST_COST if counts_tokens else 1.0):
        return OwnShare(0.0, may_owe=False)
    return OwnShare(1.0 / len(names), may_owe)


def request_cost(limit: Quota, token_counts: tuple[int, int] | None) -> float:
    """Return the cost of a request.

    A caller that states no tokens at all would otherwise use its quota's tokens for
    nothing, so such counts are taken as not stated.

    Args:
        limit: Quota of the team.
        token_counts: Tokens as the caller stated them; `None` if it stated none.
    """
    stated = token_counts if token_counts is not None and any(token_counts) else None
    return limit.cost(stated)
