"""Orders to model engines, engine states, and the events that answer orders."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from wisterialoom.core.message import Command, Event

__all__ = [
    "Action",
    "EngineState",
    "Fence",
    "LoadAdapter",
    "LoadModel",
    "ModelKey",
    "NoOperation",
    "Order",
    "OrderDone",
    "OrderLost",
    "OrderNotSent",
    "OrderRefusal",
    "OrderRefused",
    "ReadState",
    "SendOrder",
    "SetRole",
    "StateRead",
    "StateUnavailable",
    "UnloadAdapter",
    "UnloadModel",
]


@dataclass(frozen=True, slots=True, order=True)
class ModelKey:
    """Identity of a model or adapter in one version."""

    name: str
    version: str

    def __str__(self) -> str:
        return f"{self.name}@{self.version}"

    @classmethod
    def parse(cls, text: str) -> ModelKey:
        """Parse the `name@version` form."""
        name, _, version = text.rpartition("@")
        return cls(name=name, version=version)


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """Fencing token of an order; a later order compares greater.

    Attributes:
        epoch: Number of takeovers of the backend server's lease.
        sequence: Number of the order within the epoch.
    """

    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Action:
    """Base class of the actions that an order can request of an engine."""


@dataclass(frozen=True, slots=True)
class LoadModel(Action):
    """Load a model into accelerator memory.

    Attributes:
        model: The model.
        memory_mb: Accelerator memory of the weights, in MB.
    """

    model: ModelKey
    memory_mb: int


@dataclass(frozen=True, slots=True)
class UnloadModel(Action):
    """Unload a model; refused as busy while the model has requests."""

    model: ModelKey


@dataclass(frozen=True, slots=True)
class LoadAdapter(Action):
    """Load an adapter into the adapter pool; its base model must be resident.

    Attributes:
        adapter: The adapter.
        model: Its base model.
        memory_mb: Accelerator memory of the adapter, in MB.
    """

    adapter: ModelKey
    model: ModelKey
    memory_mb: int


@dataclass(frozen=True, slots=True)
class UnloadAdapter(Action):
    """Unload an adapter; refused as busy while the adapter has requests."""

    adapter: ModelKey


@dataclass(frozen=True, slots=True)
class SetRole(Action):
    """Change the role of the engine, e.g. `prefill` or `decode`."""

    role: str


@dataclass(frozen=True, slots=True)
class NoOperation(Action):
    """Raise the engine's fence without any other change."""


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine.

    Attributes:
        order_id: Identity of the order, unique in the deployment. The engine answers a
            repeated order but does not carry it out again.
        fence: Fencing token of the order.
        action: What the order requests.
    """

    order_id: str
    fence: Fence
    action: Action


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports.

    Attributes:
        incarnation: Identity of the engine process; changes when the engine restarts
            with empty memory.
        fence: Highest fence seen; `None` on engines that do not check fences.
        models: Resident models and their weights in MB.
        loading: Models and adapters being loaded, and their memory in MB, which is
            already allocated.
        adapters: Resident adapters and their weights in MB.
        memory_mb: Total accelerator memory in MB.
        running: Number of requests in the current batch.
        waiting: Number of requests in the engine's own queue.
        busy_models: Resident models with requests in progress.
        leaving: Whether the engine has begun to stop.
        kv_free: Free fraction of the KV cache, from 0 to 1.
    """

    incarnation: str
    fence: Fence | None = None
    models: dict[ModelKey, int] = field(default_factory=dict)
    loading: dict[ModelKey, int] = field(default_factory=dict)
    adapters: dict[ModelKey, int] = field(default_factory=dict)
    memory_mb: int = 0
    running: int = 0
    waiting: int = 0
    busy_models: frozenset[ModelKey] = frozenset()
    leaving: bool = False
    kv_free: float = 1.0


@dataclass(frozen=True, slots=True)
class SendOrder(Command):
    """Send an order to a backend server.

    Answered by `OrderDone`, `OrderRefused`, `OrderLost` or, if the order cannot be
    sent before `valid_until`, by `OrderNotSent`.

    Attributes:
        server: Identifier of the backend server.
        order: The order.
        valid_until: Monotonic time at which the sender's lease expires.
    """

    server: str
    order: Order
    valid_until: float


@dataclass(frozen=True, slots=True)
class ReadState(Command):
    """Read a server's state; answered by `StateRead` or `StateUnavailable`."""

    server: str


@dataclass(frozen=True, slots=True)
class OrderDone(Event):
    """An order was carried out; `state` is the engine's state right after it."""

    server: str
    order_id: str
    state: EngineState


class OrderRefusal(enum.Enum):
    """Why an engine refused an order."""

    STALE_FENCE = "stale_fence"
    NO_MEMORY = "no_memory"
    BUSY = "busy"
    NOT_RESIDENT = "not_resident"
    STORE_LIMIT = "store_limit"


@dataclass(frozen=True, slots=True)
class OrderRefused(Event):
    """An engine refused an order, which therefore had no effect.

    Attributes:
        server: Identifier of the backend server.
        order_id: Identity of the order.
        reason: Why the engine refused it.
        state: The engine's state after the refusal, if the engine reported it.
    """

    server: str
    order_id: str
    reason: OrderRefusal
    state: EngineState | None = None


@dataclass(frozen=True, slots=True)
class OrderLost(Event):
    """No answer arrived: the order may have taken effect or may do so later."""

    server: str
    order_id: str


@dataclass(frozen=True, slots=True)
class OrderNotSent(Event):
    """No byte of an order was sent, so it cannot take effect.

    The sender's lease had expired, or the connection failed.
    """

    server: str
    order_id: str


@dataclass(frozen=True, slots=True)
class StateRead(Event):
    """A backend server reported its state."""

    server: str
    state: EngineState


@dataclass(frozen=True, slots=True)
class StateUnavailable(Event):
    """The state of a backend server could not be read."""

    server: str
