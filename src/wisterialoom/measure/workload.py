"""Generates the requests to a deployment over time, from a seed."""

from __future__ import annotations

import math
import random
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Arrival", "ModelDemand", "Profile", "Workload"]

BLOCK_TOKENS = 64
"""Tokens of one prefix block."""

MAX_OUTPUT_TOKENS = 600
"""Longest output, in tokens."""


@dataclass(frozen=True, slots=True)
class Profile:
    """How demand changes over the run; times in seconds.

    Attributes:
        name: Name of the profile.
        length_s: Length of the run.
        surge_at_s: When a surge of all demands starts; infinite for no surge.
        surge_length_s: How long the surge lasts.
        surge_factor: Factor of the surge on every demand.
        swing: Ratio of the highest to the lowest demand for a model in its periodic
            swing.
        swing_period_s: Period of the swings; each model has its own phase.
    """

    name: str
    length_s: float
    surge_at_s: float = math.inf
    surge_length_s: float = 0.0
    surge_factor: float = 1.0
    swing: float = 1.0
    swing_period_s: float = 600.0

    def factor(self, at_s: float, phase: float) -> float:
        """Return the factor on a model's mean rate at a moment."""
        angle = 2 * math.pi * (at_s / self.swing_period_s + phase)
        height = (math.sin(angle) + 1) / 2
        swing_factor = self.swing ** (height - 0.5)
        surging = self.surge_at_s <= at_s < self.surge_at_s + self.surge_length_s
        return float(swing_factor * (self.surge_factor if surging else 1.0))

    @property
    def peak_factor(self) -> float:
        """Upper limit of the factor over the run."""
        return math.sqrt(self.swing) * max(1.0, self.surge_factor)


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Mean demand for one model or adapter.

    Attributes:
        model: Name of the model or adapter.
        rate: Requests per second.
        traffic_class: Traffic class of its requests.
        caller: Digest of the caller's API key.
        phase: Phase of the swing, from 0 to 1.
        prompt_tokens: Mean length of prompts.
        output_tokens: Mean length of outputs.
    """

    model: str
    rate: float
    traffic_class: str
    caller: str
    phase: float
    prompt_tokens: int = 600
    output_tokens: int = 120


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the workload.

    Attributes:
        at_s: Seconds from the start of the run.
        model: Name of the model or adapter.
        traffic_class: Traffic class.
        caller: Digest of the caller's API key.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the output.
        prefix_hashes: Hashes of the prompt's leading blocks.
    """

    at_s: float
    model: str
    traffic_class: str
    caller: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]


@dataclass(frozen=True)
class Workload:
    """Demand for every model, over one profile.

    Attributes:
        profile: How demand changes over time.
        demands: Mean demand for each model and adapter.
        seed: Seed of every random choice.
    """

    profile: Profile
    demands: tuple[ModelDemand, ...]
    seed: int = 1

    def arrivals(self) -> list[Arrival]:
        """Return every request in order of arrival; the same for the same seed."""
        arrivals: list[Arrival] = []
        for index, demand in enumerate(self.demands):
            rng = random.Random(self.seed * 100_003 + index)
            arrivals.extend(self._arrivals_of(demand, rng))
        return sorted(arrivals, key=lambda item: (item.at_s, item.model))

    def _arrivals_of(
        self, demand: ModelDemand, rng: random.Random
    ) -> Iterator[Arrival]:
        """Yield the requests for one model, by thinning a Poisson process.

        The process has the peak rate; an arrival is kept with a probability of the
        current rate over the peak rate.
        """
        peak = demand.rate * self.profile.peak_factor
        if peak <= 0:
            return
        at_s = rng.expovariate(peak)
        while at_s < self.profile.length_s:
            share = self.profile.factor(at_s, demand.phase) / self.profile.peak_factor
            if rng.random() < share:
                yield self._arrival(demand, at_s, rng)
            at_s += rng.expovariate(peak)

    def _arrival(self, demand: ModelDemand, at_s: float, rng: random.Random) -> Arrival:
        prompt = _length(rng, demand.prompt_tokens)
        output = min(_length(rng, demand.output_tokens), MAX_OUTPUT_TOKENS)
        # Requests for a model belong to 20 conversations, each with a common prefix.
        conversation = rng.randrange(20)
        blocks = min(prompt // BLOCK_TOKENS, 8)
        hashes = tuple(
            zlib.crc32(f"{demand.model}/{conversation}/{block}".encode())
            for block in range(blocks)
        )
        return Arrival(
            at_s=at_s,
            model=demand.model,
            traffic_class=demand.traffic_class,
            caller=demand.caller,
            prompt_tokens=prompt,
            output_tokens=output,
            prefix_hashes=hashes,
        )


def _length(rng: random.Random, mean: int) -> int:
    """Return a random length by a log-normal distribution with this mean."""
    spread = 0.6
    location = math.log(mean) - spread**2 / 2
    return max(1, int(rng.lognormvariate(location, spread)))
