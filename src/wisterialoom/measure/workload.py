"""Requests over time for a deployment, from a seed."""

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


@dataclass(frozen=True, slots=True)
class Profile:
    """How demand moves over the run.

    Attributes:
        name: Name of the profile.
        length_s: Length of the run.
        surge_at_s: When everything rises at once; infinite for never.
        surge_length_s: How long the surge lasts.
        surge_factor: What the surge multiplies every demand by.
        swing: Factor between the low and the high of each model's own swing.
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
        """Return what a model's mean rate is multiplied by at a moment."""
        angle = 2 * math.pi * (at_s / self.swing_period_s + phase)
        height = (math.sin(angle) + 1) / 2
        own = self.swing ** (height - 0.5)
        surging = self.surge_at_s <= at_s < self.surge_at_s + self.surge_length_s
        return float(own * (self.surge_factor if surging else 1.0))

    @property
    def peak_factor(self) -> float:
        """Greatest factor of the run."""
        return math.sqrt(self.swing) * max(1.0, self.surge_factor)


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Mean demand for one model or adapter.

    Attributes:
        model: Name.
        rate: Requests a second.
        traffic_class: Class of its requests.
        caller: Digest of the caller's API key.
        phase: Place in the swing, from 0 to 1.
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
    """One request to come.

    Attributes:
        at_s: Seconds from the beginning.
        model: Model or adapter.
        traffic_class: Class.
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
        profile: How demand moves.
        demands: Mean demands.
        seed: Of every random choice.
    """

    profile: Profile
    demands: tuple[ModelDemand, ...]
    seed: int = 1

    def arrivals(self) -> list[Arrival]:
        """Return every request in order; the same for the same seed."""
        found: list[Arrival] = []
        for index, demand in enumerate(self.demands):
            rng = random.Random(self.seed * 100_003 + index)
            found.extend(self._arrivals_of(demand, rng))
        return sorted(found, key=lambda item: (item.at_s, item.model))

    def _arrivals_of(
        self, demand: ModelDemand, rng: random.Random
    ) -> Iterator[Arrival]:
        """Thin a Poisson process of the peak rate."""
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
        # A few conversations a model share their prompts' beginnings.
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
    """Return a length whose logarithm is normal, with this mean."""
    spread = 0.6
    location = math.log(mean) - spread**2 / 2
    return max(1, int(rng.lognormvariate(location, spread)))
