"""Scores of one run."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.measure.bound import Bound, Targets
    from wisterialoom.measure.trial import Answer, Trial

__all__ = ["ClassScore", "Score"]


@dataclass(frozen=True, slots=True)
class ClassScore:
    """Scores of one traffic class; times in seconds.

    Attributes:
        offered: Requests that arrived.
        met: Requests whose first token and mean gap were within the targets.
        bound: Upper bound on the requests that meet their targets.
        unfinished: Requests without a complete answer.
        first_token_p50: Median time to the first token of complete answers.
        first_token_p95: 95th percentile of the time to the first token.
        token_gap_p50: Median of the mean time between tokens.
        token_gap_p95: 95th percentile of the mean time between tokens.
    """

    offered: int
    met: int
    bound: int
    unfinished: int
    first_token_p50: float
    first_token_p95: float
    token_gap_p50: float
    token_gap_p95: float

    @property
    def attainment(self) -> float:
        """Share of the offered requests that met their targets."""
        return self.met / self.offered if self.offered else 1.0

    @property
    def of_bound(self) -> float:
        """Requests that met their targets, as a share of the bound."""
        return self.met / self.bound if self.bound else 1.0

    @classmethod
    def from_answers(
        cls, answers: list[Answer], target: Targets, bound: Bound
    ) -> ClassScore:
        """Compute the scores of one class from its answers."""
        done = [item for item in answers if item.done]
        firsts = sorted(item.first_token_s for item in done)
        gaps = sorted(item.token_gap_s for item in done)
        return cls(
            offered=len(answers),
            met=sum(1 for item in done if _meets(item, target)),
            bound=bound.served,
            unfinished=len(answers) - len(done),
            first_token_p50=_quantile(firsts, 0.5),
            first_token_p95=_quantile(firsts, 0.95),
            token_gap_p50=_quantile(gaps, 0.5),
            token_gap_p95=_quantile(gaps, 0.95),
        )


@dataclass(frozen=True, slots=True)
class Score:
    """Scores of one policy in one scene at one site.

    Attributes:
        site: Name of the deployment.
        scene: Name of the scene.
        policy: Name of the policy.
        classes: Scores by traffic class.
        per_engine: Requests that met their targets per engine and second.
        moves: Loads and unloads by kind.
        reasons: Requests without a complete answer, by reason.
        violations: Overcommitments of accelerator memory.
    """

    site: str
    scene: str
    policy: str
    classes: dict[str, ClassScore]
    per_engine: float
    moves: dict[str, int] = field(default_factory=dict)
    reasons: dict[str, int] = field(default_factory=dict)
    violations: int = 0

    @classmethod
    def from_trial(
        cls,
        names: tuple[str, str, str],
        trial: Trial,
        targets: Mapping[str, Targets],
        bounds: Mapping[str, Bound],
    ) -> Score:
        """Compute the scores of a run.

        Args:
            names: Site, scene and policy.
            trial: The run.
            targets: Targets by traffic class.
            bounds: Upper bounds by traffic class.
        """
        classes = {}
        for name, target in targets.items():
            class_answers = [
                x for x in trial.answers if x.arrival.traffic_class == name
            ]
            classes[name] = ClassScore.from_answers(class_answers, target, bounds[name])
        met = sum(item.met for item in classes.values())
        reasons = Counter(
            f"{item.arrival.traffic_class}:{item.reason}"
            for item in trial.answers
            if not item.done
        )
        return cls(
            *names,
            classes=classes,
            per_engine=met / (trial.engines * trial.length_s),
            moves=dict(sorted(trial.moves.items())),
            reasons=dict(sorted(reasons.items())),
            violations=trial.violations,
        )

    def to_json(self) -> dict[str, Any]:
        """Return the scores as plain JSON values."""
        return asdict(self)


def _meets(answer: Answer, target: Targets) -> bool:
    in_time = answer.first_token_s <= target.first_token_s
    return in_time and answer.token_gap_s <= target.token_gap_s


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]
