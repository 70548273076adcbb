"""Measures the cost of a plan, and the size of demand reports and plan messages."""

from __future__ import annotations

from functools import partial

from wisterialoom.core.configuration.document_check import read_document
from wisterialoom.core.engine_control.demand import ModelDemand
from wisterialoom.core.engine_control.planner_input import EngineSnapshot, PlanInput
from wisterialoom.core.engine_control.planner_placement import place
from wisterialoom.core.fleet.peer import DemandReport, PlanEntry, PlanMessage
from wisterialoom.peer.codec import encode
from wisterialoom.slopes.clock import cost_us
from wisterialoom.slopes.fit import Slope
from wisterialoom.slopes.site import (
    ENGINE_MB,
    make_document,
    POOL_MB,
    SiteSize,
    ZONES,
)

__all__ = ["measure_planner"]

ROLE = "placement planner"
ENGINES = (12, 24, 48, 96)
MODELS = (25, 50, 100)
FLEETS = (75, 150, 300, 600)
MODELS_PER_ENGINE = 440 / 600
BASE_ENGINES = 24
BASE_MODELS = 50
SENDER = "entry-0123"


def measure_planner() -> list[Slope]:
    """Return the slopes of planning time and of the sizes of its messages."""
    by_engines = {float(n): _plan_us(n, BASE_MODELS) for n in ENGINES}
    by_models = {float(n): _plan_us(BASE_ENGINES, n) for n in MODELS}
    by_fleet = {float(n): _plan_us(n, int(n * MODELS_PER_ENGINE)) for n in FLEETS}
    reports = {float(n): float(len(encode(SENDER, _report(n)))) for n in MODELS}
    plans = {float(n): float(len(encode(SENDER, _plan(n)))) for n in ENGINES}
    return [
        Slope.through(ROLE, "plan of 50 models", "us", "engine", by_engines),
        Slope.through(ROLE, "plan on 24 engines", "us", "model", by_models),
        Slope.through(ROLE, "plan of 0.73 models an engine", "us", "engine", by_fleet),
        Slope.through(ROLE, "size of a whole demand report", "bytes", "model", reports),
        Slope.through(ROLE, "size of a plan message", "bytes", "engine", plans),
    ]


def _plan_us(engines: int, models: int) -> float:
    document = read_document(make_document(SiteSize(models=models)))
    servers = tuple(
        EngineSnapshot(
            f"engine-{number:03}",
            ZONES[number % len(ZONES)],
            {"kind": "engine"},
            model_budget_mb=ENGINE_MB - POOL_MB,
            adapter_budget_mb=POOL_MB,
        )
        for number in range(engines)
    )
    demand = {
        model.name: ModelDemand(fast=1.0 + number % 7, slow=1.0 + number % 5)
        for number, model in enumerate(document.models)
    }
    return cost_us(partial(place, PlanInput(document, servers, demand, 8)))


def _names(count: int) -> list[str]:
    return [f"quarterly-notes-{number:03}" for number in range(count)]


def _report(models: int) -> DemandReport:
    names = _names(models)
    return DemandReport(dict.fromkeys(names, 0.31), dict.fromkeys(names[::10], 2))


def _plan(engines: int) -> PlanMessage:
    models = tuple(f"{name}@2026-11-07" for name in _names(3))
    entries = [PlanEntry(f"engine-{n:03}", models) for n in range(engines)]
    return PlanMessage(20_000, 1_000, tuple(entries))
