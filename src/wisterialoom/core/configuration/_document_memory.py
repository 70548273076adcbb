"""Memory checks of a document: whether some backend server can hold each model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector, SelectorError
from wisterialoom.core.fault import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wisterialoom.core.configuration.document import Document, Model, ServerGroup

__all__ = ["memory_faults"]


def memory_faults(document: Document) -> Iterator[Fault]:
    """Yield the faults of memory sizes, and of selectors that match no group."""
    for group in document.server_groups:
        yield from _group_faults(group)
    holders = {model.name: _holders(document, model) for model in document.models}
    for model in document.models:
        yield from _model_faults(model, holders[model.name])
    for adapter in document.adapters:
        pools = [group.adapter_pool_mb for group in holders.get(adapter.model, [])]
        if pools and adapter.memory_mb > max(pools):
            yield Fault(
                f"adapters[{adapter.name}].memory_mb",
                f"is {adapter.memory_mb}, but no group that may hold "
                f"{adapter.model!r} keeps more than {max(pools)} for adapters",
                "raise adapter_pool_mb of a group",
            )
    services = [group for group in document.server_groups if group.kind == "service"]
    for rule in document.traffic:
        if rule.servers and not _matching(document, rule.servers, services):
            problem = f"{rule.servers!r} can match no group of plain services"
            remedy = "correct the selector, or declare the group"
            yield Fault(f"traffic[{rule.name}].servers", problem, remedy)


def _group_faults(group: ServerGroup) -> Iterator[Fault]:
    place = f"server_groups[{group.name}]"
    if group.kind not in ("engine", "service"):
        problem = f"{group.kind!r} is not a kind of backend server"
        yield Fault(f"{place}.kind", problem, "use engine or service")
    if group.kind != "engine":
        return
    if group.memory_mb <= 0:
        problem = f"is {group.memory_mb}, but engines need accelerator memory"
        yield Fault(f"{place}.memory_mb", problem, "use a number above 0")
    elif not 0 <= group.adapter_pool_mb < group.memory_mb:
        problem = f"is {group.adapter_pool_mb}, but memory_mb is {group.memory_mb}"
        remedy = "use 0 or more, and less than memory_mb"
        yield Fault(f"{place}.adapter_pool_mb", problem, remedy)


def _model_faults(model: Model, holders: list[ServerGroup]) -> Iterator[Fault]:
    place = f"models[{model.name}]"
    if not holders:
        problem = f"{model.servers!r} can match no group of engines"
        remedy = "correct the selector, or declare the group"
        yield Fault(f"{place}.servers", problem, remedy)
        return
    capacity = max(group.memory_mb - group.adapter_pool_mb for group in holders)
    if model.memory_mb > capacity:
        names = ", ".join(group.name for group in holders)
        yield Fault(
            f"{place}.memory_mb",
            f"is {model.memory_mb}, but {names} leave {capacity} for models",
            "select a larger group, or lower adapter_pool_mb",
        )


def _holders(document: Document, model: Model) -> list[ServerGroup]:
    engines = [group for group in document.server_groups if group.kind == "engine"]
    return _matching(document, model.servers, engines)


def _matching(
    document: Document, selector: str, groups: list[ServerGroup]
) -> list[ServerGroup]:
    changed = {label.key for label in document.labels}
    return [group for group in groups if _may_match(selector, group.selector, changed)]


def _may_match(requested: str, group: str, changed: set[str]) -> bool:
    """Return whether a backend server could satisfy both selectors.

    The labels of backend servers are not available here, so the selectors are only
    checked for contradictions. Keys that the document's labels change are left out.
    """
    try:
        left, right = Selector.parse(requested), Selector.parse(group)
    except SelectorError:
        return True
    return not any(
        one.contradicts(other)
        for one in left.requirements
        for other in right.requirements
        if one.key not in changed
    )
