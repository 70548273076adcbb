"""Worst-case use of an engine's accelerator memory."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.engine import EngineState, ModelKey
    from wisterialoom.core.engine_control.order_journal import PossibleLoad

__all__ = ["MemoryAccount"]


@dataclass(frozen=True, slots=True)
class MemoryAccount:
    """Memory of one engine: its state and the loads that may still take effect.

    A key that is resident, being loaded, and possibly loaded later counts once, as
    an engine does not load it twice.

    Attributes:
        memory_mb: Total accelerator memory, in MB.
        adapter_pool_mb: Part of the memory that is reserved for adapters, in MB.
        models: Memory of models in MB. Loads in progress that are not known to be
            of adapters are counted here.
        adapters: Memory of adapters, in MB.
    """

    memory_mb: int
    adapter_pool_mb: int
    models: dict[ModelKey, int]
    adapters: dict[ModelKey, int]

    @classmethod
    def from_state(
        cls,
        state: EngineState,
        possible: Iterable[PossibleLoad],
        *,
        memory_mb: int,
        adapter_pool_mb: int,
    ) -> MemoryAccount:
        """Build from the newest confirmed state and the possible loads."""
        models = dict(state.models)
        adapters = dict(state.adapters)
        for load in possible:
            held = adapters if load.entry.adapter else models
            held[load.key] = max(held.get(load.key, 0), load.entry.memory_mb)
        for key, size in state.loading.items():
            held = adapters if key in adapters else models
            held[key] = max(held.get(key, 0), size)
        if state.memory_mb > 0:
            memory_mb = min(memory_mb, state.memory_mb)
        return cls(memory_mb, adapter_pool_mb, models, adapters)

    def without(self, keys: Iterable[ModelKey]) -> MemoryAccount:
        """Return the account as it would be without some keys."""
        gone = set(keys)
        models = {key: size for key, size in self.models.items() if key not in gone}
        adapters = {k: size for k, size in self.adapters.items() if k not in gone}
        return replace(self, models=models, adapters=adapters)

    def fits_model(self, key: ModelKey, size_mb: int) -> bool:
        """Return whether a model fits even if every possible load takes effect."""
        models = {**self.models, key: max(size_mb, self.models.get(key, 0))}
        need = sum(models.values())
        if need > self.memory_mb - self.adapter_pool_mb:
            return False
        return need + sum(self.adapters.values()) <= self.memory_mb

    def fits_adapter(self, key: ModelKey, size_mb: int) -> bool:
        """Return whether an adapter fits even if every possible load takes effect."""
        adapters = {**self.adapters, key: max(size_mb, self.adapters.get(key, 0))}
        need = sum(adapters.values())
        if need > self.adapter_pool_mb:
            return False
        return need + sum(self.models.values()) <= self.memory_mb
