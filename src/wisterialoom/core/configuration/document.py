"""The deployment's document, which operators declare and the object API stores.

This module contains plain data classes; `document_check` reads and checks the TOML.
Memory is in MB (10^6 bytes), and durations are in seconds unless named otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = [
    "Adapter",
    "AvailabilityZone",
    "Caller",
    "ClaimSettings",
    "Deployment",
    "Document",
    "Label",
    "Model",
    "ServerGroup",
    "StoreSettings",
    "Traffic",
    "TrafficClass",
]


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Limits of the weight store.

    Attributes:
        loads_per_s: Model loads that may start each second.
        full_speed_loads: Concurrent model loads that do not slow each other down.
        adapter_full_speed_loads: Concurrent adapter loads that do not slow each
            other down.
    """

    loads_per_s: float = 2.0
    full_speed_loads: int = 8
    adapter_full_speed_loads: int = 60


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How claims of idempotency keys are stored.

    Attributes:
        buckets: Number of claim objects; cannot change once applied.
        retention_s: Time for which a key is retained; cannot be lowered once
            applied.
    """

    buckets: int = 64
    retention_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Settings of the deployment as a whole.

    Attributes:
        name: Name of the deployment.
        moves_weight: Gain that justifies one model move, as the number of
            additional requests that meet their target; greater values mean fewer
            moves.
        lease_s: Length of the lease on a backend server.
        store: Limits of the weight store.
        claims: Settings of the claims.
    """

    name: str
    moves_weight: float = 1.0
    lease_s: float = 10.0
    store: StoreSettings = field(default_factory=StoreSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """An availability zone.

    Attributes:
        name: Name, as in the platform's instance list.
        region: Region of the availability zone.
        delay_ms: One-way delays to other availability zones by name, in ms.
    """

    name: str
    region: str = ""
    delay_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Model:
    """A model and the version that serves requests.

    Attributes:
        name: Name that callers use.
        version: Version that serves requests.
        memory_mb: Accelerator memory of the weights.
        load_s: Time to load the model at full speed.
        servers: Selector of the backend servers that may hold the model.
        min_replicas: Number of replicas that are always resident; with 0, demand
            decides.
    """

    name: str
    version: str
    memory_mb: int
    load_s: float = 5.0
    servers: str = ""
    min_replicas: int = 0


@dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter on a base model, listed to callers as a model.

    Attributes:
        name: Name that callers use.
        model: Name of the base model.
        version: Version that serves requests.
        memory_mb: Accelerator memory, taken from the adapter pool.
        load_s: Time to load the adapter at full speed.
    """

    name: str
    model: str
    version: str
    memory_mb: int = 50
    load_s: float = 0.008


@dataclass(frozen=True, slots=True)
class ServerGroup:
    """Backend servers in the platform's instance list, selected by their labels.

    Attributes:
        name: Name of the group.
        selector: Selector on the platform's labels of the listed instances.
        kind: `engine` or `service`.
        memory_mb: Accelerator memory of each server, for engines.
        adapter_pool_mb: Part of the memory that is reserved for adapters.
        slots: Number of requests that each server runs concurrently at full speed.
        checks_fencing: Whether each server refuses orders with an old fencing
            number.
        order_lifetime_s: Longest time for which a server that does not check
            fencing may still execute an order after the order's connection has
            closed.
    """

    name: str
    selector: str
    kind: str = "engine"
    memory_mb: int = 0
    adapter_pool_mb: int = 0
    slots: int = 8
    checks_fencing: bool = True
    order_lifetime_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Label:
    """A label that operators add to the backend servers that a selector matches.

    Attributes:
        selector: Selector of backend servers, on the platform's labels and `name`.
        key: Label key; `drain` takes servers out of service.
        value: Label value.
    """

    selector: str
    key: str
    value: str


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A priority and its latency targets.

    Attributes:
        name: Name of the class.
        priority: Priority; lower values are served first.
        first_token_s: Target time to the first token.
        token_gap_s: Target time between tokens.
        may_wait: Whether requests may be deferred.
        max_wait_s: Time within which a deferred request has to be served.
        load_wait_s: Longest wait for a model that has to be loaded first.
    """

    name: str
    priority: int
    first_token_s: float = 1.4
    token_gap_s: float = 0.074
    may_wait: bool = False
    max_wait_s: float = 3_600.0
    load_wait_s: float = 30.0


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller, identified by the hash of its API key.

    Attributes:
        name: Name of the caller.
        api_key_sha256: Hex digest of the key.
        traffic_class: Class of its requests unless a traffic rule sets another.
        classes: Classes that the caller may request by header.
        max_concurrent: Maximum number of its requests in progress and waiting at one
            entry instance.
        weight: Share relative to other callers of the same priority.
    """

    name: str
    api_key_sha256: str
    traffic_class: str
    classes: tuple[str, ...] = ()
    max_concurrent: int = 256
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Traffic:
    """A rule that classifies requests; the first rule that matches applies.

    Attributes:
        name: Name of the rule.
        path: Path, or a prefix followed by `*`.
        methods: HTTP methods; empty for any.
        callers: Names of callers; empty for any.
        models: Names of models or adapters; empty for any.
        servers: Selector of backend servers, for plain services.
        traffic_class: Class of the requests; if empty, the caller's class.
        idempotent: Whether a request may safely run more than once.
        timeout_s: Time within which the whole answer must be received.
    """

    name: str
    path: str = "*"
    methods: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    servers: str = ""
    traffic_class: str = ""
    idempotent: bool = True
    timeout_s: float = 300.0


@dataclass(frozen=True, slots=True)
class Document:
    """The whole document; its generation is the version of the stored object."""

    deployment: Deployment
    availability_zones: tuple[AvailabilityZone, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    server_groups: tuple[ServerGroup, ...] = ()
    labels: tuple[Label, ...] = ()
    traffic_classes: tuple[TrafficClass, ...] = ()
    callers: tuple[Caller, ...] = ()
    traffic: tuple[Traffic, ...] = ()
