"""A small document that is shared by tests of the core."""

from __future__ import annotations

from wisterialoom.core.configuration.document import (
    Caller,
    Deployment,
    Document,
    Model,
    ServerGroup,
    Traffic,
    TrafficClass,
)
from wisterialoom.core.fleet.peer import ServerLoad
from wisterialoom.core.notice import BackendServer

DOCUMENT = Document(
    deployment=Deployment("small"),
    models=(
        Model("drafting", "1", 16_000),
        Model("review", "1", 16_000),
        Model("filing", "1", 16_000, load_s=60.0),
    ),
    server_groups=(
        ServerGroup("engines", "kind=engine", memory_mb=40_000, slots=2),
        ServerGroup("registry", "kind=service", kind="service", slots=2),
    ),
    traffic_classes=(
        TrafficClass("urgent", 0),
        TrafficClass("deferred", 5, may_wait=True, max_wait_s=60.0),
    ),
    callers=(
        Caller("desk", "d", "urgent", ("urgent", "deferred")),
        Caller("flood", "f", "urgent", ("urgent", "deferred"), max_concurrent=5_000),
    ),
    traffic=(
        Traffic(
            "registrations",
            "/registry/*",
            ("POST",),
            servers="kind=service",
            idempotent=False,
        ),
        Traffic("lookups", "/registry/*", servers="kind=service"),
    ),
)


def make_server(name: str, kind: str = "engine", **fields) -> BackendServer:
    """Return a live backend server."""
    labels = {"kind": kind, "name": name}
    group = "engines" if kind == "engine" else "registry"
    return BackendServer(
        name, "1", "127.0.0.1:1", "az-1", labels, group, kind, **fields
    )


def make_load(server: str, *models: str, **fields) -> ServerLoad:
    """Return a load report with resident models."""
    resident = tuple(f"{name}@1" for name in models)
    return ServerLoad(server, 1, 0, 0, resident=resident, **fields)
