"""The deployment's document: what operators declare, held in the object API.

These are plain data; `document_check` beside this module reads and checks the
TOML. Memory is in MB (10^6 bytes), durations in seconds unless named otherwise.
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
        full_speed_loads: Model loads at once before they slow each other.
        adapter_full_speed_loads: The same for adapters.
    """

    loads_per_s: float = 2.0
    full_speed_loads: int = 8
    adapter_full_speed_loads: int = 60


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How claims of idempotency keys are kept; fixed once applied.

    Attributes:
        buckets: Count of claim objects.
        retention_s: How long a key is remembered.
    """

    buckets: int = 64
    retention_s: float = 86_400.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Settings of the deployment as a whole.

    Attributes:
        name: Name of the deployment.
        moves_weight: What one model move must gain, in requests that meet their
            target; greater values mean fewer moves.
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
        name: Name, as instances are listed with it.
        region: Region in which it lies.
        delay_ms: One-way delays to other availability zones by name, in ms.
    """

    name: str
    region: str = ""
    delay_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Model:
    """A model in the version that should serve.

    Attributes:
        name: Name that callers use.
        version: Version that should serve.
        memory_mb: Accelerator memory of the weights.
        load_s: Seconds to load at full speed.
        servers: Selector over backend servers that may hold it.
        min_replicas: Copies that should be resident; 0 leaves it to demand.
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
        version: Version that should serve.
        memory_mb: Accelerator memory, taken from the pool for adapters.
        load_s: Seconds to load at full speed.
    """

    name: str
    model: str
    version: str
    memory_mb: int = 50
    load_s: float = 0.008


@dataclass(frozen=True, slots=True)
class ServerGroup:
    """Backend servers that the platform lists, picked by their labels.

    Attributes:
        name: Name of the group.
        selector: Over the platform's labels of listed instances.
        kind: `engine` or `service`.
        memory_mb: Accelerator memory of each, for engines.
        adapter_pool_mb: Part of it that is kept for adapters.
        slots: Requests that each serves at once at full speed.
        checks_fencing: Each refuses an order with an old fencing number.
        order_lifetime_s: Longest time after its connection has closed that a
            server which does not check may still act upon an order.
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
    """A label that operators put on whatever a selector picks.

    Attributes:
        selector: Over backend servers, with the platform's labels and `name`.
        key: Label key; `drain` takes servers out of service.
        value: Label value.
    """

    selector: str
    key: str
    value: str


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A priority and its targets.

    Attributes:
        name: Name of the class.
        priority: Lower goes first.
        first_token_s: Target for the first output.
        token_gap_s: Target between tokens.
        may_wait: Work may be left for later.
        max_wait_s: For work that may wait: it is served within this time.
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
    """A caller, known by the hash of its API key.

    Attributes:
        name: Name of the caller.
        api_key_sha256: Hex digest of the key.
        traffic_class: Class of its requests unless traffic rules say otherwise.
        classes: Classes that it may ask for by header.
        max_concurrent: Requests in progress and waiting at one entry instance.
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
    """A rule that marks requests; the first that matches applies.

    Attributes:
        name: Name of the rule.
        path: Path, or a prefix that ends in `*`.
        methods: HTTP methods; empty for any.
        callers: Names of callers; empty for any.
        models: Names of models or adapters; empty for any.
        servers: Selector over backend servers; for plain services.
        traffic_class: Class that applies; empty leaves the caller's.
        idempotent: A second run does no harm.
        timeout_s: Time for the whole answer.
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
    """The whole document; its generation is the object's version."""

    deployment: Deployment
    availability_zones: tuple[AvailabilityZone, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    server_groups: tuple[ServerGroup, ...] = ()
    labels: tuple[Label, ...] = ()
    traffic_classes: tuple[TrafficClass, ...] = ()
    callers: tuple[Caller, ...] = ()
    traffic: tuple[Traffic, ...] = ()
