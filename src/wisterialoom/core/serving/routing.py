"""Routes, services and models that operators declare, and how a request finds its own.

A route is found by host and longest path prefix. A split sends a fixed share of
requests to each service; the share is drawn from a hash of the request id.
"""

from __future__ import annotations

import enum
import zlib
from dataclasses import dataclass, field

__all__ = [
    "Deployment",
    "EngineProfile",
    "IngressLimits",
    "ModelProfile",
    "RetrySafety",
    "Route",
    "Service",
    "WeightedService",
]


class RetrySafety(enum.Enum):
    """What may be repeated when an attempt has failed."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One branch of a split route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One rule of the routing table.

    Attributes:
        name: Name, unique in its deployment.
        host: Value of the `Host` header, without a port.
        prefix: Leading part of the path; begins and ends with a slash.
        retry_safety: Whether a request may run more than once.
        stream: The answer is a stream of events.
        resumable: A broken stream may go on at another backend server.
        timeout_s: Longest time that a request may take.
        target_s: Latency at which an answer earns its full credit.
        gap_s: Longest pause between events that still counts as on time.
        priority: Rank; 0 is the most urgent.
        max_attempts: Most backend servers that one request may be sent to.
        services: Branches; one with weight 1 unless the route is split.
    """

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    stream: bool
    resumable: bool
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    max_attempts: int
    services: tuple[WeightedService, ...]

    @property
    def idempotent(self) -> bool:
        """Whether a request may be sent again although it may have run."""
        return self.retry_safety is RetrySafety.IDEMPOTENT

    def service_for(self, request_id: str) -> str:
        """Return the service that a request goes to."""
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(branch.weight for branch in self.services)
        point = zlib.crc32(request_id.encode()) / 2**32 * total
        for branch in self.services:
            point -= branch.weight
            if point < 0:
                return branch.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """One model that a service declares.

    Attributes:
        name: Name of the model.
        weights_mb: Size of its weights.
        adapter_mb: Size of each of its adapters.
        adapters: Count of its adapters.
        load_s: Time of a load from the weight store.
        warm_load_s: Time of a load from the server's memory.
        disk_load_s: Time of a load from the server's disk.
    """

    name: str
    weights_mb: float
    adapter_mb: float
    adapters: int
    load_s: float
    warm_load_s: float
    disk_load_s: float


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """What every backend server of a service of model engines has.

    Attributes:
        slots: Requests that run at once.
        kv_tokens: Tokens that fit into the memory for prompts.
        weights_mb: Memory for weights and adapters.
        adapter_slots: Most adapters that may be resident.
        loads_per_s: Loads a second that the weight store allows over all servers.
        models: Models by name.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelProfile] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one backend server accepts from all callers.
        engine: Declared if its servers run models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One whole version of what operators declare.

    Attributes:
        version: Increases with each change, in uneven steps.
        services: Services by name.
        limits: Limits on callers.
        by_host: Routes by host, longest prefix first.
    """

    version: int
    services: dict[str, Service]
    limits: IngressLimits
    by_host: dict[str, tuple[Route, ...]]

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        limits: IngressLimits,
    ) -> Deployment:
        """Build the lookup tables of a deployment."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        return cls(version, services, limits, ordered)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any matches."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
