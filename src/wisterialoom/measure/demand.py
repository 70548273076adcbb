"""Generates demand for a deployment's models, by its callers and classes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from wisterialoom.measure.workload import ModelDemand

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wisterialoom.core.configuration.document import Caller, Document

__all__ = ["CLASS_SHARES", "make_demands"]

CLASS_SHARES = {"urgent": 0.4, "normal": 0.3, "deferred": 0.3}
"""Share of all requests by traffic class."""

ADAPTER_SHARE = 0.5
"""Share of the requests that name an adapter."""

ZIPF_EXPONENT = 1.0
"""Exponent of the Zipf distribution of popularity."""


def make_demands(document: Document, rate: float, seed: int) -> list[ModelDemand]:
    """Spread a rate over models, adapters, classes and callers.

    Args:
        document: The deployment's document.
        rate: Total requests per second.
        seed: Seed of the order of popularity and of the phases.
    """
    rng = random.Random(seed)
    demands: list[ModelDemand] = []
    kinds = (
        ([item.name for item in document.models], 1.0 - ADAPTER_SHARE),
        ([item.name for item in document.adapters], ADAPTER_SHARE),
    )
    for names, share in kinds:
        for name, popularity in _popularity(names, rng):
            phase = rng.random()
            mean = rate * share * popularity
            demands += [
                ModelDemand(name, mean * part, traffic_class, caller, phase)
                for traffic_class, caller, part in _senders(document)
            ]
    return demands


def _popularity(names: list[str], rng: random.Random) -> list[tuple[str, float]]:
    """Return the names in random order, with shares by a Zipf distribution."""
    ranked = list(names)
    rng.shuffle(ranked)
    weights = [1.0 / (rank**ZIPF_EXPONENT) for rank in range(1, len(ranked) + 1)]
    total = sum(weights)
    return [(n, weight / total) for n, weight in zip(ranked, weights, strict=True)]


def _senders(document: Document) -> Iterator[tuple[str, str, float]]:
    """Yield class, digest of the caller's API key, and share by caller weight."""
    for name, share in CLASS_SHARES.items():
        callers = [item for item in document.callers if item.traffic_class == name]
        total = sum(_calls(document, caller) for caller in callers)
        for caller in callers:
            part = share * _calls(document, caller) / total
            if part:
                yield name, caller.api_key_sha256, part


def _calls(document: Document, caller: Caller) -> float:
    """Return a caller's weight, or 0 if it uses services but no models."""
    services_only = caller.name in ("tax-inspectors", "warehouse")
    return 0.0 if services_only else caller.weight
