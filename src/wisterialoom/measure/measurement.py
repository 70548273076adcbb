"""Runs policies over the same workload and scores them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.lab.site import BATCH, open_site
from wisterialoom.measure.bound import bound_attainment, Pool, Targets
from wisterialoom.measure.demand import CLASS_SHARES, make_demands
from wisterialoom.measure.scene import open_scene
from wisterialoom.measure.score import Score
from wisterialoom.measure.trial import run_trial, WARM_UP_S
from wisterialoom.measure.workload import Workload

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from wisterialoom.lab.deployment import Deployment
    from wisterialoom.measure.bound import Bound
    from wisterialoom.measure.policy import Policy
    from wisterialoom.measure.scene import Scene
    from wisterialoom.measure.workload import Arrival

__all__ = ["SITES", "Measurement"]

SITES = ("association-filing-desk", "papelera-ribera")

BASE_LOAD = 0.27
"""Base demand as a share of the decoding steps that the engines can perform."""


@dataclass
class Measurement:
    """One scene at one site.

    Attributes:
        site: Name of the deployment.
        scene: Profile of the demand, and the faults.
        arrivals: The workload.
        targets: Targets by traffic class.
        bounds: Upper bounds by traffic class.
        seed: Seed of every random choice.
    """

    site: str
    scene: Scene
    arrivals: list[Arrival]
    targets: dict[str, Targets]
    bounds: dict[str, Bound]
    seed: int

    @classmethod
    def from_names(cls, site: str, scene_name: str, seed: int) -> Measurement:
        """Generate the workload and compute its bounds."""
        deployment = open_site(site, seed=seed)
        document = deployment.document
        pool = _pool(deployment)
        scene = open_scene(scene_name, _engines(deployment)[0])
        demands = make_demands(document, 1.0, seed)
        workload = Workload(scene.profile, tuple(demands), seed)
        mean = sum(x.output_tokens + x.prompt_tokens / 8_000 for x in demands)
        steps = mean / len(demands) + pool.first_token_s / pool.token_gap_s
        rate = BASE_LOAD * pool.steps_per_s / steps
        demands = make_demands(document, rate, seed)
        workload = Workload(scene.profile, tuple(demands), seed)
        arrivals = workload.arrivals()
        targets = {
            item.name: Targets(item.first_token_s, item.token_gap_s)
            for item in document.traffic_classes
            if item.name in CLASS_SHARES
        }
        bounds = {
            name: bound_attainment(arrivals, pool, targets, name, since_s=WARM_UP_S)
            for name in targets
        }
        return cls(site, scene, arrivals, targets, bounds, seed)

    def run(self, policies: Sequence[Policy]) -> Iterator[Score]:
        """Yield the score of each policy on the same workload."""
        for policy in policies:
            trial = run_trial(self.site, self.scene, policy, self.arrivals, self.seed)
            names = (self.site, self.scene.name, policy.name)
            yield Score.from_trial(names, trial, self.targets, self.bounds)


def _engines(deployment: Deployment) -> list[str]:
    return sorted(deployment.world.order_port.engines)


def _pool(deployment: Deployment) -> Pool:
    """Return all engines as one pool, since each may hold every model."""
    steps_per_engine = BATCH.slots / BATCH.token_gap_s
    return Pool(
        steps_per_s=steps_per_engine * len(_engines(deployment)),
        first_token_s=BATCH.first_token_s,
        token_gap_s=BATCH.token_gap_s,
        prefill_tokens_per_s=BATCH.prefill_tokens_per_s,
        block_tokens=BATCH.block_tokens,
    )
