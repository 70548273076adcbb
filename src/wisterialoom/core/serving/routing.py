"""Routes, services and models that operators declare, and the matching of requests.

A route is matched by host and longest path prefix. A split route sends a fixed share of
its requests to each service; a hash of the request id selects the service.
"""

from __future__ import annotations

import enum
import zlib
from dataclasses import dataclass, field

from wisterialoom.core.teams import TeamDirectory

__all__ = [
    "Deployment",
    "EngineProfile",
    "IngressLimits",
    "ModelProfile",
    "NO_VERSION",
    "RetrySafety",
    "Route",
    "Service",
    "WeightedService",
]


NO_VERSION = -1
"""Version that stands for no configuration; operators may begin with 0."""


class RetrySafety(enum.Enum):
    """Whether a request may be retried after an attempt that may have run."""

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
        stream: Whether the answer is a stream of events.
        resumable: Whether a broken stream may continue at another backend server.
        timeout_s: Maximum duration of a request in seconds.
        target_s: Latency in seconds up to which an answer earns its full credit.
        gap_s: Maximum pause between events that still counts as on time, in seconds.
        priority: Priority; 0 is the most urgent.
        max_attempts: Maximum number of backend servers that a request is sent to.
        services: Services and their weights; one with weight 1 unless the route is
            split.
        public: Whether requests are served without an API key.
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
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may be retried although it may have run."""
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
        weights_mb: Size of the weights in MB.
        adapter_mb: Size of each adapter in MB.
        adapters: Number of adapters.
        load_s: Duration of a load from the weight store in seconds.
        warm_load_s: Duration of a load from the server's memory in seconds.
        disk_load_s: Duration of a load from the server's disk in seconds.
    """

    name: str
    weights_mb: float
    adapter_mb: float
    adapters: int
    load_s: float
    warm_load_s: float
    disk_load_s: float

    def has_adapter(self, name: str) -> bool:
        """Return whether an adapter of this name is declared."""
        number = name[1:]
        if name[:1] != "a" or not number.isascii() or not number.isdecimal():
            return False
        if len(number) > len(str(self.adapters)) or number.startswith("0"):
            return False
        return int(number) <= self.adapters


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """The capacity of every backend server of a service that runs models.

    Attributes:
        slots: Maximum number of requests that run concurrently.
        kv_tokens: Number of tokens that fit into the KV cache.
        weights_mb: Memory for weights and adapters in MB.
        adapter_slots: Maximum number of resident adapters.
        loads_per_s: Loads per second that the weight store allows over all servers.
        models: Declared models by name.
    """

    slots: int
    kv_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: dict[str, ModelProfile] = field(default_factory=dict)

    def declares(self, model: str, adapter: str) -> bool:
        """Return whether a model is declared, and the adapter, if one is named."""
        profile = self.models.get(model)
        return profile is not None and (not adapter or profile.has_adapter(adapter))


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of backend servers.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one backend server accepts in total.
        engine: Engine profile, declared if the servers run models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on the size, duration and idle time of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One complete version of the configuration that operators declare.

    Attributes:
        version: Version number; increases with each change, not always by one.
        services: Services by name.
        limits: Limits on callers' requests.
        by_host: Routes by host, longest prefix first.
        teams: Teams of callers, and whether requests need an API key.
    """

    version: int
    services: dict[str, Service]
    limits: IngressLimits
    by_host: dict[str, tuple[Route, ...]]
    teams: TeamDirectory = field(default_factory=TeamDirectory)

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        limits: IngressLimits,
        teams: TeamDirectory | None = None,
    ) -> Deployment:
        """Build the lookup tables of a deployment."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        found = teams if teams is not None else TeamDirectory()
        return cls(version, services, limits, ordered, found)

    @property
    def longest_stream_s(self) -> float:
        """Longest timeout of the routes whose streams callers may take up."""
        return max(
            (
                route.timeout_s
                for routes in self.by_host.values()
                for route in routes
                if route.resumable
            ),
            default=0.0,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any matches."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
