"""An upper bound on attainment, computed from the workload alone.

A planner with perfect knowledge and free moves has every model resident on every
engine, and every prefix cached. It still cannot make engines faster: an engine
performs at most `slots / token_gap_s` decoding steps per second, whatever its batch
is. A request takes one step for each token after the first. Its time to the first
token, with the part of the prompt that no cached block covers, counts as the steps
that take as long.

All work of a request that arrives in a window and meets its targets is done between
the start of the window and the latest end that the targets allow. Requests whose
latest end is more than a margin after the window are counted as met without any
work. The work of the others must fit between the start of the window and its end
plus the margin. The cheapest are counted first, which maximizes their number. Every
division of the time into windows, with any margin for each, gives a valid bound, and
the smallest is used.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from wisterialoom.measure.workload import Arrival

__all__ = ["EXPLANATION", "Bound", "Pool", "Targets", "bound_attainment"]

EXPLANATION = (
    "The upper bound is computed for each class as if it had all engines to itself. "
    "It counts the cheapest requests whose decoding steps and uncached prompt tokens "
    "the engines can process within the targets. It assumes that every model is "
    "resident everywhere, that every prompt block is cached, and that moves are free."
)

WINDOWS_S = (30.0, 60.0, 120.0, 240.0, 600.0)
"""Lengths of the windows that are tried, in seconds."""

MARGINS_S = (2.0, 5.0, 8.0, 12.0, 20.0, 30.0, 60.0, 120.0, 360.0)
"""Margins that are tried for each window, in seconds."""


@dataclass(frozen=True, slots=True)
class Targets:
    """Targets of a traffic class.

    Attributes:
        first_token_s: Longest time to the first token, in seconds.
        token_gap_s: Longest mean time between tokens, in seconds.
    """

    first_token_s: float
    token_gap_s: float


@dataclass(frozen=True, slots=True)
class Pool:
    """Engines that can serve the same models.

    Attributes:
        steps_per_s: Decoding steps per second that all of them perform at most.
        first_token_s: Time to the first token of an empty prompt, in seconds.
        token_gap_s: Shortest time between tokens, in seconds.
        prefill_tokens_per_s: Prompt tokens that an engine processes per second.
        block_tokens: Tokens of a prefix block.
    """

    steps_per_s: float
    first_token_s: float
    token_gap_s: float
    prefill_tokens_per_s: float
    block_tokens: int = 64

    def cost(self, arrival: Arrival) -> float:
        """Return the least work of a request, in decoding steps."""
        covered = len(arrival.prefix_hashes) * self.block_tokens
        uncovered = max(0, arrival.prompt_tokens - covered)
        prompt_s = self.first_token_s + uncovered / self.prefill_tokens_per_s
        return prompt_s / self.token_gap_s + arrival.output_tokens - 1


@dataclass(frozen=True, slots=True)
class Bound:
    """Upper bound on the requests that meet their targets.

    Attributes:
        offered: Requests that arrive.
        served: How many of them can meet their targets at most.
    """

    offered: int
    served: int

    @property
    def attainment(self) -> float:
        """Bound as a share of the offered requests."""
        return self.served / self.offered if self.offered else 1.0


def bound_attainment(
    arrivals: Iterable[Arrival],
    pool: Pool,
    targets: Mapping[str, Targets],
    traffic_class: str,
    *,
    since_s: float = 0.0,
) -> Bound:
    """Return the bound for one class, as if there were no other.

    Args:
        arrivals: The whole workload.
        pool: The engines.
        targets: Targets by class.
        traffic_class: The class.
        since_s: Requests that arrive earlier do not count.
    """
    counted = [
        item
        for item in arrivals
        if item.traffic_class == traffic_class and item.at_s >= since_s
    ]
    target = targets[traffic_class]
    served = min(
        (_served(counted, pool, target, window_s, since_s) for window_s in WINDOWS_S),
        default=0,
    )
    return Bound(len(counted), served)


def _served(
    arrivals: Sequence[Arrival],
    pool: Pool,
    target: Targets,
    window_s: float,
    since_s: float,
) -> int:
    windows: dict[int, list[Arrival]] = {}
    for item in arrivals:
        windows.setdefault(int((item.at_s - since_s) // window_s), []).append(item)
    return sum(
        min(
            _fits(items, pool, target, since_s + number * window_s, window_s, margin)
            for margin in MARGINS_S
        )
        for number, items in windows.items()
    )


def _fits(
    arrivals: Sequence[Arrival],
    pool: Pool,
    target: Targets,
    begin_s: float,
    window_s: float,
    margin_s: float,
) -> int:
    limit_s = begin_s + window_s + margin_s
    bounded = [item for item in arrivals if _latest_end(item, target) <= limit_s]
    work = pool.steps_per_s * (window_s + margin_s)
    count = len(arrivals) - len(bounded)
    for cost in sorted(pool.cost(item) for item in bounded):
        work -= cost
        if work < 0:
            break
        count += 1
    return count


def _latest_end(arrival: Arrival, target: Targets) -> float:
    decoding_s = (arrival.output_tokens - 1) * target.token_gap_s
    return arrival.at_s + target.first_token_s + decoding_s
