"""The next order for one engine: what it should hold against what it holds."""

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
        models: Size in MB by model, most wanted first.
        adapters: Size in MB and base model by adapter, most wanted first.
        declared: Every model and adapter in the document's versions.
    """

    models: dict[ModelKey, int] = field(default_factory=dict)
    adapters: dict[ModelKey, tuple[int, ModelKey]] = field(default_factory=dict)
    declared: frozenset[ModelKey] = frozenset()

    @classmethod
    def from_plan(
        cls, document: Document, models: tuple[str, ...], adapters: tuple[str, ...]
    ) -> Target:
        """Look the plan's names up; what the document lacks is only kept."""
        sizes = {ModelKey(x.name, x.version): x.memory_mb for x in document.models}
        versions = {x.name: x.version for x in document.models}
        pool = {
            ModelKey(x.name, x.version): (
                x.memory_mb,
                ModelKey(x.model, versions.get(x.model, "")),
            )
            for x in document.adapters
        }
        wanted = [ModelKey.parse(text) for text in models]
        extra = [ModelKey.parse(text) for text in adapters]
        return cls(
            models={key: sizes.get(key, 0) for key in wanted},
            adapters={key: pool[key] for key in extra if key in pool},
            declared=frozenset(sizes) | frozenset(pool),
        )


def choose_order(
    target: Target,
    state: EngineState,
    account: MemoryAccount,
    *,
    skip: frozenset[ModelKey] = frozenset(),
    last_wanted: dict[ModelKey, float] | None = None,
) -> Action | None:
    """Return the next order, or `None` if nothing can or need be done.

    A load that the account cannot hold is never returned: what is not wanted
    is unloaded first.

    Args:
        target: What the engine should hold.
        state: What it holds, newest proved.
        account: What may be taken.
        skip: Keys that must be left alone for now.
        last_wanted: When each key was last in the plan; evicts oldest first.
    """
    ages = last_wanted or {}
    return _choose_model(target, state, account, skip, ages) or _choose_adapter(
        target, state, account, skip, ages
    )


def _choose_model(
    target: Target,
    state: EngineState,
    account: MemoryAccount,
    skip: frozenset[ModelKey],
    ages: dict[ModelKey, float],
) -> Action | None:
    surplus = _surplus(state.models, target.models, target, skip, ages)
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
    stale = [key for key in surplus if key not in target.declared]
    if stale and not missing:
        return UnloadModel(stale[0])
    return None


def _choose_adapter(
    target: Target,
    state: EngineState,
    account: MemoryAccount,
    skip: frozenset[ModelKey],
    ages: dict[ModelKey, float],
) -> Action | None:
    surplus = _surplus(state.adapters, target.adapters, target, skip, ages)
    for key, (size, base) in target.adapters.items():
        held = key in state.adapters or key in state.loading
        if held or key in skip or base not in state.models:
            continue
        if account.fits_adapter(key, size):
            return LoadAdapter(key, base, size)
        if surplus and account.without(surplus).fits_adapter(key, size):
            return UnloadAdapter(surplus[0])
    stale = [key for key in surplus if key not in target.declared]
    return UnloadAdapter(stale[0]) if stale else None


def _surplus(
    held: dict[ModelKey, int],
    wanted: dict[ModelKey, int] | dict[ModelKey, tuple[int, ModelKey]],
    target: Target,
    skip: frozenset[ModelKey],
    ages: dict[ModelKey, float],
) -> list[ModelKey]:
    keys = [key for key in held if key not in wanted and key not in skip]
    return sorted(
        keys, key=lambda key: (key in target.declared, ages.get(key, 0.0), key)
    )
