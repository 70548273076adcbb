"""Decisions about models on the users' platform: demand, copies, orders, pace."""

from __future__ import annotations

from wisterialoom.core.placement.fleet_demand import DemandReport, FleetDemand
from wisterialoom.core.placement.load_pacer import LoadRateLimiter
from wisterialoom.core.placement.order import Action, Order, OrderOutcome
from wisterialoom.core.placement.planner import PlacementPlanner
from wisterialoom.core.placement.server_state import ServerReport, ServerState
from wisterialoom.core.placement.weights import PlannerWeights

__all__ = [
    "Action",
    "DemandReport",
    "FleetDemand",
    "LoadRateLimiter",
    "Order",
    "OrderOutcome",
    "PlacementPlanner",
    "PlannerWeights",
    "ServerReport",
    "ServerState",
]
