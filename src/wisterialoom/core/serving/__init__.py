"""Decisions about requests on the platform: route, choose, wait, repeat, refuse."""

from __future__ import annotations

from wisterialoom.core.serving.backend import (
    BackendServer,
    BackendView,
    ResidentModel,
)
from wisterialoom.core.serving.balancer import Balancer, BalancerWeights
from wisterialoom.core.serving.dispatcher import Dispatcher
from wisterialoom.core.serving.forecast import PlacementForecast
from wisterialoom.core.serving.retry_budget import RetryBudget, RetryLimits
from wisterialoom.core.serving.routing import Deployment, Route, Service

__all__ = [
    "BackendServer",
    "BackendView",
    "Balancer",
    "BalancerWeights",
    "Deployment",
    "Dispatcher",
    "PlacementForecast",
    "ResidentModel",
    "RetryBudget",
    "RetryLimits",
    "Route",
    "Service",
]
