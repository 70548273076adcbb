"""An upper bound on attainment, worked out from the workload alone.

A planner with perfect knowledge and free moves has every model resident wherever
it likes and every prefix cached. It still cannot make engines faster: an engine
yields at most `slots / token_gap_s` tokens a second, whatever its batch is. The
work of requests that arrive in a window must be done between the window's
beginning and its end plus the longest time that a target leaves to a request.
Within each window the cheapest requests are counted first, which maximizes their
number. Windows are relaxed independently of each other; every window length
gives a valid bound, and the least is taken.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from wisterialoom.measure.workload import Arrival

__all__ = ["Bound", "Pool", "Targets", "bound_attainment"]

WINDOWS_S = (60.0, 150.0, 300.0, 600.0)


@dataclass(frozen=True, slots=True)
class Targets:
    """Targets of a class: first token and gap between tokens, in seconds."""

    first_token_s: float
    token_gap_s: float


@dataclass(frozen=True, slots=True)
class Pool:
    """Engines that can serve the same models.

    Attributes:
        tokens_per_s: Tokens that all of them yield each second at most.
        first_token_s: Least time to a first token.
        token_gap_s: Least time between tokens.
        models: Names of models and adapters.
    """

    tokens_per_s: float
    first_token_s: float
    token_gap_s: float
    models: frozenset[str]

    def cost(self, arrival: Arrival) -> float:
        """Return the least work of a request, in tokens of one engine."""
        return arrival.output_tokens + self.first_token_s / self.token_gap_s


@dataclass(frozen=True, slots=True)
class Bound:
    """At most this many of the offered requests can meet their targets."""

    offered: int
    served: int

    @property
    def attainment(self) -> float:
        """Share of the offered requests."""
        return self.served / self.offered if self.offered else 1.0


def bound_attainment(
    arrivals: Iterable[Arrival],
    pools: Sequence[Pool],
    targets: Mapping[str, Targets],
    traffic_class: str,
) -> Bound:
    """Return the bound for one class, as if no other class were there.

    Args:
        arrivals: The whole workload.
        pools: Engines; no model is in two pools.
        targets: Targets by class.
        traffic_class: The class.
    """
    wanted = [item for item in arrivals if item.traffic_class == traffic_class]
    served = 0
    for pool in pools:
        mine = [item for item in wanted if item.model in pool.models]
        served += min(
            (_served(mine, pool, targets[traffic_class], w) for w in WINDOWS_S),
            default=0,
        )
    return Bound(len(wanted), served)


def _served(
    arrivals: Sequence[Arrival], pool: Pool, target: Targets, window_s: float
) -> int:
    windows: dict[int, list[Arrival]] = {}
    for item in arrivals:
        windows.setdefault(int(item.at_s // window_s), []).append(item)
    return sum(_fits(items, pool, target, window_s) for items in windows.values())


def _fits(
    arrivals: Sequence[Arrival], pool: Pool, target: Targets, window_s: float
) -> int:
    longest = max(item.output_tokens for item in arrivals)
    after_s = target.first_token_s + longest * target.token_gap_s
    work = pool.tokens_per_s * (window_s + after_s)
    count = 0
    for cost in sorted(pool.cost(item) for item in arrivals):
        work -= cost
        if work < 0:
            break
        count += 1
    return count
