"""Chooses the next order for one engine from its plan and its state."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.engine import (
    LoadAdapter,
    LoadModel,
    ModelKey,
    UnloadAdapter,
    UnloadModel,
)

if TYPE_CHECKING:
    from wisterialoom.core.configuration.document import Document
    from wisterialoom.core.engine import Action, EngineState
    from wisterialoom.core.engine_control.memory_account import MemoryAccount

__all__ = ["Target", "choose_order"]


@dataclass(frozen=True, slots=True)
class Target:
    """What one engine should hold, with the sizes from the document.

    Attributes:
        models: Size in MB by model, highest priority first. A model that the
            document does not declare has size 0 and is never loaded.
        adapters: Size in MB and base model by adapter, highest priority first.
        declared: Every model and adapter in the version that the document declares.
    """

    models: dict[ModelKey, int] = field(default_factory=dict)
    adapters: dict[ModelKey, tuple[int, ModelKey]] = field(default_factory=dict)
    declared: frozenset[ModelKey] = frozenset()

    @classmethod
    def from_plan(
        cls, document: Document, models: tuple[str, ...], adapters: tuple[str, ...]
    ) -> Target:
        """Build from the keys of a plan, as `name@version`.

        Models that the document does not declare may stay but are not loaded.
        Adapters that it does not declare are left out.
        """
        sizes = {ModelKey(x.name, x.version): x.memory_mb for x in document.models}
        versions = {x.name: x.version for x in document.models}
        pool = {
            ModelKey(x.name, x.version): (
                x.memory_mb,
                ModelKey(x.model, versions.get(x.model, "")),
            )
            for x in document.adapters
        }
        model_keys = [ModelKey.parse(text) for text in models]
        adapter_keys = [ModelKey.parse(text) for text in adapters]
        return cls(
            models={key: sizes.get(key, 0) for key in model_keys},
            adapters={key: pool[key] for key in adapter_keys if key in pool},
            declared=frozenset(sizes) | frozenset(pool),
        )


def choose_order(
    target: Target,
    state: EngineState,
    account: MemoryAccount,
    *,
    skip: frozenset[ModelKey] = frozenset(),
    last_planned: dict[ModelKey, float] | None = None,
) -> Action | None:
    """Return the next order, or `None` if none is possible or necessary.

    A load that does not fit the memory account is never returned; models and
    adapters outside the plan are unloaded first.

    Args:
        target: What the engine should hold.
        state: Newest confirmed state of the engine.
        account: Memory that is taken in the worst case.
        skip: Keys that no order may be sent for now.
        last_planned: When each key was last in the plan. The key that has been out
            of the plan longest is unloaded first.
    """
    planned_at = last_planned or {}
    return _choose_model(target, state, account, skip, planned_at) or _choose_adapter(
        target, state, account, skip, planned_at
    )


def _choose_model(
    target: Target,
    state: EngineState,
    account: MemoryAccount,
    skip: frozenset[ModelKey],
    planned_at: dict[ModelKey, float],
) -> Action | None:
    surplus = _surplus(state.models, target.models, target, skip, planned_at)
    missing = False
    for key, size in target.models.items():
        if key in state.models or key in state.loading or size <= 0:
            continue
        missing = True
        if key in skip:
            continue
        if account.fits_model(key, size):
            return LoadModel(key, size)
        if surplus and account.without(surplus).fits_model(key, size):
            return UnloadModel(surplus[0])
    undeclared = [key for key in surplus if key not in target.declared]
    if undeclared and not missing:
        return UnloadModel(undeclared[0])
    return None


def _choose_adapter(
    target: Target,
    state: EngineState,
    account: MemoryAccount,
    skip: frozenset[ModelKey],
    planned_at: dict[ModelKey, float],
) -> Action | None:
    surplus = _surplus(state.adapters, target.adapters, target, skip, planned_at)
    for key, (size, base) in target.adapters.items():
        held = key in state.adapters or key in state.loading
        if held or key in skip or base not in state.models:
            continue
        if account.fits_adapter(key, size):
            return LoadAdapter(key, base, size)
        if surplus and account.without(surplus).fits_adapter(key, size):
            return UnloadAdapter(surplus[0])
    undeclared = [key for key in surplus if key not in target.declared]
    return UnloadAdapter(undeclared[0]) if undeclared else None


def _surplus(
    held: dict[ModelKey, int],
    planned: dict[ModelKey, int] | dict[ModelKey, tuple[int, ModelKey]],
    target: Target,
    skip: frozenset[ModelKey],
    planned_at: dict[ModelKey, float],
) -> list[ModelKey]:
    keys = [key for key in held if key not in planned and key not in skip]
    return sorted(
        keys, key=lambda key: (key in target.declared, planned_at.get(key, 0.0), key)
    )
