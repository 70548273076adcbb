"""Accelerator memory of an emulated engine, and the effect of orders on it.

A load that exceeds the capacity still succeeds, but is recorded in `violations`, so
that tests can detect the overcommitment.
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
    """A load in progress; its memory is in use from the start of the load.

    Attributes:
        key: Model or adapter.
        memory_mb: Memory of the model or adapter in MB.
        adapter: Whether an adapter is loaded, not a model.
    """

    key: ModelKey
    memory_mb: int
    adapter: bool


@dataclass
class EngineMemory:
    """Resident models and adapters, and loads in progress.

    Attributes:
        capacity_mb: Total accelerator memory in MB.
        checks_fencing: Whether orders below the highest fence seen are refused.
        incarnation: Identifier of this start of the engine; changes with each restart.
        models: Memory of each resident model in MB.
        adapters: Memory of each resident adapter in MB.
        loading: Loads in progress, by order id.
        busy: Number of requests in progress, by model or adapter.
        bases: Base model of each adapter that was ever loaded.
        fence: Highest fence seen.
        role: Role set by the last `SetRole` order.
        violations: One description per memory overcommitment.
        moves: Number of loads and unloads, by kind.
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
        """Memory of all models and adapters that are resident or loading, in MB."""
        resident = sum(self.models.values()) + sum(self.adapters.values())
        return resident + sum(item.memory_mb for item in self.loading.values())

    def begin(self, order: Order) -> OrderRefusal | None:
        """Start an order. A load uses memory from now on and completes in `finish`.

        Returns:
            The reason for a refusal, or `None` if the order was accepted.
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
        resident = self.adapters if loading.adapter else self.models
        in_progress = any(item.key == loading.key for item in self.loading.values())
        if loading.key in resident or in_progress:
            return
        self.loading[order_id] = loading
        self._count_move("load_adapter" if loading.adapter else "load_model")
        if self.used_mb > self.capacity_mb:
            self.violations.append(
                f"{order_id}: loading {loading.key} takes {self.used_mb} MB "
                f"of {self.capacity_mb} MB"
            )

    def finish(self, order_id: str) -> None:
        """Complete a load, making its model or adapter resident.

        Orders other than loads are ignored.
        """
        loading = self.loading.pop(order_id, None)
        if loading is None:
            return
        resident = self.adapters if loading.adapter else self.models
        resident[loading.key] = loading.memory_mb

    def _unload(
        self, resident: dict[ModelKey, int], key: ModelKey, kind: str
    ) -> OrderRefusal | None:
        if self.busy.get(key, 0) > 0:
            return OrderRefusal.BUSY
        if resident.pop(key, None) is not None:
            self._count_move(kind)
        return None

    def _count_move(self, kind: str) -> None:
        self.moves[kind] = self.moves.get(kind, 0) + 1

    def find(self, name: str) -> tuple[ModelKey, ...]:
        """Find the model, or the adapter with its base model, that serves a name.

        Args:
            name: `name` for any resident version, or `name@version`.

        Returns:
            Keys that must stay resident while a request for the name runs; empty if
            the name cannot be served.
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

    def begin_request(self, keys: tuple[ModelKey, ...]) -> None:
        """Count a request in progress on each key, which prevents its unloading."""
        for key in keys:
            self.busy[key] = self.busy.get(key, 0) + 1

    def end_request(self, keys: tuple[ModelKey, ...]) -> None:
        """Count the end of a request on each key."""
        for key in keys:
            remaining = self.busy.get(key, 0) - 1
            if remaining > 0:
                self.busy[key] = remaining
            else:
                self.busy.pop(key, None)

    def restart(self, incarnation: str) -> None:
        """Restart the engine with empty memory."""
        self.incarnation = incarnation
        self.models.clear()
        self.adapters.clear()
        self.loading.clear()
        self.busy.clear()
        self.fence = None

    def state(self, running: int = 0, waiting: int = 0) -> EngineState:
        """Return the state that the engine reports."""
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
