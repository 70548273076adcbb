"""Accelerator memory of a stand-in engine, and its handling of orders.

It fails loudly: memory beyond its capacity is recorded in `violations`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wisterialoom.core.engine import (
    Action,
    EngineState,
    Fence,
    LoadAdapter,
    LoadModel,
    ModelKey,
    NoOperation,
    Order,
    OrderRefusal,
    SetRole,
    UnloadAdapter,
    UnloadModel,
)

__all__ = ["EngineMemory", "Loading"]


@dataclass(frozen=True, slots=True)
class Loading:
    """A load that takes its time; the memory is taken from its start."""

    key: ModelKey
    memory_mb: int
    adapter: bool


@dataclass
class EngineMemory:
    """What an engine holds.

    Attributes:
        capacity_mb: Accelerator memory in all.
        checks_fencing: Refuse orders below the highest fence seen.
        incarnation: Changes with each restart.
        models: Resident models.
        adapters: Resident adapters.
        loading: Loads in progress by order id.
        busy: Requests in progress by model or adapter.
        bases: Base model of each adapter that was ever loaded.
        fence: Highest fence seen.
        role: What the engine is used for.
        violations: Descriptions of each overcommitment.
        moves: Count of loads and unloads by kind.
    """

    capacity_mb: int
    checks_fencing: bool = True
    incarnation: str = "1"
    models: dict[ModelKey, int] = field(default_factory=dict)
    adapters: dict[ModelKey, int] = field(default_factory=dict)
    loading: dict[str, Loading] = field(default_factory=dict)
    busy: dict[ModelKey, int] = field(default_factory=dict)
    bases: dict[ModelKey, ModelKey] = field(default_factory=dict)
    fence: Fence | None = None
    role: str = ""
    violations: list[str] = field(default_factory=list)
    moves: dict[str, int] = field(default_factory=dict)

    @property
    def used_mb(self) -> int:
        """Memory of what is resident or being loaded, in MB."""
        resident = sum(self.models.values()) + sum(self.adapters.values())
        return resident + sum(item.memory_mb for item in self.loading.values())

    def begin(self, order: Order) -> OrderRefusal | None:
        """Start an order; loads hold memory from here and end in `finish`.

        Returns:
            Why the order is refused, or `None` if it was accepted.
        """
        if self.checks_fencing:
            if self.fence is not None and order.fence < self.fence:
                return OrderRefusal.STALE_FENCE
            self.fence = order.fence
        return self._begin_action(order.order_id, order.action)

    def _begin_action(self, order_id: str, action: Action) -> OrderRefusal | None:
        match action:
            case LoadModel(model=model, memory_mb=memory_mb):
                self._begin_load(order_id, Loading(model, memory_mb, adapter=False))
            case LoadAdapter(adapter=adapter, model=model, memory_mb=memory_mb):
                if model not in self.models:
                    return OrderRefusal.NOT_RESIDENT
                self.bases[adapter] = model
                self._begin_load(order_id, Loading(adapter, memory_mb, adapter=True))
            case UnloadModel(model=model):
                return self._unload(self.models, model, "unload_model")
            case UnloadAdapter(adapter=adapter):
                return self._unload(self.adapters, adapter, "unload_adapter")
            case SetRole(role=role):
                self.role = role
            case NoOperation():
                pass
        return None

    def _begin_load(self, order_id: str, loading: Loading) -> None:
        held = self.adapters if loading.adapter else self.models
        underway = any(item.key == loading.key for item in self.loading.values())
        if loading.key in held or underway:
            return
        self.loading[order_id] = loading
        self._count("load_adapter" if loading.adapter else "load_model")
        if self.used_mb > self.capacity_mb:
            self.violations.append(
                f"{order_id}: loading {loading.key} takes {self.used_mb} MB "
                f"of {self.capacity_mb} MB"
            )

    def finish(self, order_id: str) -> None:
        """End a load, so that it serves; does nothing for other orders."""
        loading = self.loading.pop(order_id, None)
        if loading is None:
            return
        held = self.adapters if loading.adapter else self.models
        held[loading.key] = loading.memory_mb

    def _unload(
        self, held: dict[ModelKey, int], key: ModelKey, kind: str
    ) -> OrderRefusal | None:
        if self.busy.get(key, 0) > 0:
            return OrderRefusal.BUSY
        if held.pop(key, None) is not None:
            self._count(kind)
        return None

    def _count(self, kind: str) -> None:
        self.moves[kind] = self.moves.get(kind, 0) + 1

    def find(self, name: str) -> tuple[ModelKey, ...]:
        """Return what serves a name: a model, or an adapter and its base.

        Args:
            name: `name` for any version that is resident, or `name@version`.

        Returns:
            What has to stay resident meanwhile; empty if it cannot be served.
        """
        for key in self.adapters:
            if name not in (key.name, str(key)):
                continue
            base = self.bases.get(key)
            if base is None:
                return (key,)
            if base in self.models:
                return (key, base)
        for key in self.models:
            if name in (key.name, str(key)):
                return (key,)
        return ()

    def hold(self, keys: tuple[ModelKey, ...]) -> None:
        """Count a request in progress on each."""
        for key in keys:
            self.busy[key] = self.busy.get(key, 0) + 1

    def release(self, keys: tuple[ModelKey, ...]) -> None:
        """End a request on each."""
        for key in keys:
            left = self.busy.get(key, 0) - 1
            if left > 0:
                self.busy[key] = left
            else:
                self.busy.pop(key, None)

    def restart(self, incarnation: str) -> None:
        """Start anew with empty memory."""
        self.incarnation = incarnation
        self.models.clear()
        self.adapters.clear()
        self.loading.clear()
        self.busy.clear()
        self.fence = None

    def state(self, running: int = 0, waiting: int = 0) -> EngineState:
        """Return what the engine says of itself."""
        return EngineState(
            incarnation=self.incarnation,
            fence=self.fence if self.checks_fencing else None,
            models=dict(self.models),
            loading={item.key: item.memory_mb for item in self.loading.values()},
            adapters=dict(self.adapters),
            memory_mb=self.capacity_mb,
            running=running,
            waiting=waiting,
            busy_models=frozenset(key for key, count in self.busy.items() if count),
        )
