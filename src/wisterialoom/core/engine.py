"""Orders to model engines, their state, and the events that come back."""

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
    "OrderRefused",
    "OrderRefusal",
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
        """Build from the `name@version` form."""
        name, _, version = text.rpartition("@")
        return cls(name=name, version=version)


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """Fencing number of an order; a later order compares greater.

    Attributes:
        epoch: Count of lease takeovers of the backend server.
        sequence: Count of orders within the epoch.
    """

    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Action:
    """What an order asks of an engine."""


@dataclass(frozen=True, slots=True)
class LoadModel(Action):
    """Bring a model into accelerator memory.

    Attributes:
        memory_mb: Accelerator memory of the weights, in MB.
    """

    model: ModelKey
    memory_mb: int


@dataclass(frozen=True, slots=True)
class UnloadModel(Action):
    """Free a model's memory; refused as busy while it has requests."""

    model: ModelKey


@dataclass(frozen=True, slots=True)
class LoadAdapter(Action):
    """Bring an adapter into the adapter pool, beside its base model."""

    adapter: ModelKey
    model: ModelKey
    memory_mb: int


@dataclass(frozen=True, slots=True)
class UnloadAdapter(Action):
    """Free an adapter's memory; refused as busy while it has requests."""

    adapter: ModelKey


@dataclass(frozen=True, slots=True)
class SetRole(Action):
    """Change what the engine is used for, e.g. `prefill` or `decode`."""

    role: str


@dataclass(frozen=True, slots=True)
class NoOperation(Action):
    """Raise the engine's fence and change nothing else."""


@dataclass(frozen=True, slots=True)
class Order:
    """One order to one engine.

    Attributes:
        order_id: Unique over the deployment; a repeat is answered, not redone.
    """

    order_id: str
    fence: Fence
    action: Action


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself.

    Attributes:
        incarnation: Changes when the engine starts anew, with empty memory.
        fence: Highest fence seen; `None` on engines that do not check.
        models: Resident models and their weights in MB.
        loading: Models and adapters being loaded; their memory is taken already.
        adapters: Resident adapters and their weights in MB.
        memory_mb: Accelerator memory in all, in MB.
        running: Requests in the current batch.
        waiting: Requests in the engine's own queue.
        busy_models: Resident models with requests in progress.
        leaving: The engine has begun to stop.
        kv_free: Share of KV cache that is free, from 0 to 1.
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

    Answered by `OrderDone`, `OrderRefused`, `OrderLost` or, if the moment of
    sending would come after `valid_until`, by `OrderNotSent`.

    Attributes:
        server: Identifier of the backend server.
        order: The order.
        valid_until: Monotonic time at which the sender's lease runs out.
    """

    server: str
    order: Order
    valid_until: float


@dataclass(frozen=True, slots=True)
class ReadState(Command):
    """Read a backend server's state; answered by `StateRead` or a failure."""

    server: str


@dataclass(frozen=True, slots=True)
class OrderDone(Event):
    """An order was carried out; the state is the one right after it."""

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
    """An engine refused an order, which therefore changed nothing.

    Attributes:
        state: The engine's state after the refusal, if it told.
    """

    server: str
    order_id: str
    reason: OrderRefusal
    state: EngineState | None = None


@dataclass(frozen=True, slots=True)
class OrderLost(Event):
    """No answer came: the order may have taken effect, or may do so later."""

    server: str
    order_id: str


@dataclass(frozen=True, slots=True)
class OrderNotSent(Event):
    """No byte of an order was sent, so that it cannot take effect.

    The sender's lease had run out, or no connection could be made.
    """

    server: str
    order_id: str


@dataclass(frozen=True, slots=True)
class StateRead(Event):
    """A backend server told its state."""

    server: str
    state: EngineState


@dataclass(frozen=True, slots=True)
class StateUnavailable(Event):
    """A backend server did not tell its state."""

    server: str
