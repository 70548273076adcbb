"""Decodes the platform's objects into the types of the core."""

from __future__ import annotations

import logging
from typing import Any, TYPE_CHECKING

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.serving.backend import BackendServer, ResidentModel
from wisterialoom.core.serving.routing import (
    Deployment,
    EngineProfile,
    IngressLimits,
    ModelProfile,
    RetrySafety,
    Route,
    Service,
    WeightedService,
)
from wisterialoom.platform.fields import DECODE_ERRORS, describe, read_count
from wisterialoom.platform.store_json import UnreadableValue
from wisterialoom.platform.team_decode import read_teams
from wisterialoom.server_address import is_server_address

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialoom.core.teams import TeamDirectory

__all__ = [
    "DecodeError",
    "decode_deployment",
    "decode_models",
    "decode_server",
    "says_draining",
]

logger = logging.getLogger(__name__)

SERVER_STATES = ("ready", "draining")

MAX_INTEGER = 2**53 - 1
"""Largest integer that is accepted; other instances can decode it exactly."""

MAX_LOGGED_PROBLEMS = 50
"""Faults of one configuration's teams that are logged."""

MAX_TEXT_CHARS = 256
"""Longest name, address or software version of a backend server."""

MAX_MODEL_BYTES = 8_000
"""Size of the names of all models and adapters that one server holds.

They have to fit into one datagram to other instances.
"""


class DecodeError(WisterialoomError):
    """Raised when an object of the platform has invalid or missing fields."""


def decode_deployment(spec: Any, previous: TeamDirectory | None = None) -> Deployment:
    """Decode a configuration.

    Args:
        spec: The `spec` of the object in the store.
        previous: The teams in force, see `read_teams`.

    Raises:
        DecodeError: A field is missing, or its type or value is invalid.
    """
    try:
        services = {
            str(item["name"]): _decode_service(item) for item in spec["services"]
        }
        version = int(spec["version"])
        if not 0 <= version <= MAX_INTEGER:
            raise ValueError(f"version is {version}")
        teams, problems = read_teams(spec, previous)
        deployment = Deployment.from_routes(
            version,
            [_decode_route(item) for item in spec["routes"]],
            services,
            _decode_limits(spec.get("limits", {})),
            teams,
        )
    except DECODE_ERRORS as error:
        raise DecodeError(
            f"the configuration cannot be decoded: {error!r:.200}; "
            "the version in force stays in use until a valid one is received"
        ) from error
    for problem in problems[:MAX_LOGGED_PROBLEMS]:
        logger.warning(
            "team not as declared",
            extra={
                "team": problem.team,
                "error": problem.fault,
                "faults": len(problems),
            },
        )
    return deployment


def _decode_route(item: Mapping[str, Any]) -> Route:
    kind = str(item["kind"])
    stream = kind == "streaming"
    resumable = bool(item.get("resumable", False))
    idempotent = kind == "safe" or (stream and resumable)
    branches = tuple(
        WeightedService(str(branch["service"]), float(branch["weight"]))
        for branch in item.get("split") or ()
    )
    if not branches:
        branches = (WeightedService(str(item["service"]), 1.0),)
    timeout_ms = float(item["timeoutMs"])
    return Route(
        name=str(item["name"]),
        host=str(item["host"]).lower(),
        prefix=str(item["pathPrefix"]),
        retry_safety=RetrySafety.IDEMPOTENT if idempotent else RetrySafety.ONCE,
        stream=stream,
        resumable=resumable,
        timeout_s=timeout_ms / 1e3,
        target_s=float(item.get("targetLatencyMs", timeout_ms)) / 1e3,
        gap_s=float(item.get("gapAimMs", timeout_ms)) / 1e3,
        priority=int(item.get("priority", 5)),
        max_attempts=max(1, int(item.get("maxAttempts", 1))),
        services=branches,
        # Anything but `true` keeps the route closed.
        public=item.get("public") is True,
    )


def _decode_service(item: Mapping[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=str(item["name"]),
        health_path=str(item.get("healthPath", "/health")),
        max_connections=int(item.get("maxConnections", 0)),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(item: Mapping[str, Any]) -> EngineProfile:
    models = {str(model["name"]): _decode_model(model) for model in item["models"]}
    return EngineProfile(
        slots=int(item["slots"]),
        kv_tokens=int(item.get("kvCapacity", 0)),
        # `weightsMb` has two meanings: of an engine, it is the memory that a backend
        # server has for weights; of a model, it is the size of the model's weights.
        weights_mb=float(item["weightsMb"]),
        adapter_slots=int(item.get("adapterSlots", 0)),
        loads_per_s=float(item.get("loadsPerS", 1.0)),
        models=models,
    )


def _decode_model(item: Mapping[str, Any]) -> ModelProfile:
    load_s = float(item["loadTimeS"])
    return ModelProfile(
        name=str(item["name"]),
        weights_mb=float(item["weightsMb"]),
        adapter_mb=float(item.get("adapterMb", 0.0)),
        adapters=int(item.get("adapters", 0)),
        load_s=load_s,
        warm_load_s=float(item.get("warmS", load_s)),
        disk_load_s=float(item.get("diskS", load_s)),
    )


def _decode_limits(item: Mapping[str, Any]) -> IngressLimits:
    base = IngressLimits()
    header_ms = item.get("headerTimeoutMs", base.header_timeout_s * 1e3)
    idle_ms = item.get("idleTimeoutMs", base.idle_timeout_s * 1e3)
    return IngressLimits(
        max_header_bytes=int(item.get("maxHeaderBytes", base.max_header_bytes)),
        max_body_bytes=int(item.get("maxBodyBytes", base.max_body_bytes)),
        header_timeout_s=float(header_ms) / 1e3,
        idle_timeout_s=float(idle_ms) / 1e3,
    )


def decode_server(server_id: str, spec: Any) -> BackendServer:
    """Decode the entry that a backend server wrote about itself.

    Args:
        server_id: Name of the entry.
        spec: The `spec` of the entry.

    Raises:
        DecodeError: A field is missing, or its type or value is invalid.
    """
    try:
        state = spec["state"]
        if state not in SERVER_STATES:
            raise ValueError(f"state is {describe(state)}")
        # The name is sent to the server in a header.
        _string(server_id)
        if not is_server_address(_string(spec["address"])):
            raise ValueError(f"address is {describe(spec['address'])}")
        remaining_ms = spec.get("remainingMs")
        return BackendServer(
            id=server_id,
            # `born` is the time at which the server started.
            started_ms=_integer(spec.get("born", 0)),
            service=_string(spec["service"]),
            address=spec["address"],
            availability_zone=_string(spec["zone"]),
            slots=max(1, _integer(spec["slots"])),
            draining=state == "draining",
            # `sequence` counts the accepted orders. It also advances when the server
            # changes its state by itself, and never decreases until a restart.
            order_count=read_count(spec.get("sequence", 0)),
            models=decode_models(spec.get("models")),
            removal_in_s=remaining_ms / 1e3 if remaining_ms is not None else None,
            software_version=_string(spec["version"]),
        )
    except DECODE_ERRORS as error:
        raise DecodeError(
            f"entry {describe(server_id)} does not describe a backend server: "
            f"{error!r:.200}; "
            "its last readable state stays in force until it changes"
        ) from error


def says_draining(spec: Any) -> bool:
    """Return whether an entry that cannot be decoded says that the server drains."""
    if isinstance(spec, UnreadableValue):
        spec = spec.guess()
    return isinstance(spec, dict) and spec.get("state") == "draining"


def decode_models(items: Any) -> tuple[ResidentModel, ...]:
    """Decode the list of models that are resident at a backend server.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has another type.
        ValueError: A name cannot be one, or there are too many.
        AttributeError: A field has another type.
    """
    models = tuple(
        ResidentModel(
            name=_string(item["name"]),
            version=_integer(item.get("version", 0)),
            adapters=tuple(_string(name) for name in _list(item.get("adapters"))),
        )
        for item in _list(items)
    )
    names = [name for model in models for name in (model.name, *model.adapters)]
    size = sum(len(name.encode()) for name in names)
    if size > MAX_MODEL_BYTES:
        raise ValueError(f"the names of {len(names)} models and adapters take {size} B")
    return models


def _list(value: Any) -> list[Any] | tuple[Any, ...]:
    """Return a list; one that is absent is empty."""
    if value is None:
        return ()
    if not isinstance(value, (list, tuple)):
        raise TypeError(f"{describe(value)} is not a list")
    return value


def _string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{describe(value)} is not a non-empty string")
    if len(value) > MAX_TEXT_CHARS or not value.isprintable():
        raise ValueError(f"{describe(value)} is too long or has control characters")
    return value


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{describe(value)} is not an integer")
    if abs(value) > MAX_INTEGER:
        raise ValueError(f"{value} is out of range")
    return value
