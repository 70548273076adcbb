"""Name checks of a document: malformed, duplicate and undeclared names."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from wisterialoom.core.fault import Fault

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wisterialoom.core.configuration.document import Document

__all__ = ["name_faults"]

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
"""Syntax of names and versions; `@` is excluded because it joins the two."""


def name_faults(document: Document) -> Iterator[Fault]:
    """Yield the faults of names in a document."""
    yield from _syntax_faults(document)
    yield from _duplicate_faults(document)
    yield from _reference_faults(document)


def _syntax_faults(document: Document) -> Iterator[Fault]:
    yield from _check_name("deployment.name", document.deployment.name)
    for table in (
        "availability_zones",
        "models",
        "adapters",
        "server_groups",
        "traffic_classes",
        "callers",
        "traffic",
    ):
        for index, entry in enumerate(getattr(document, table)):
            yield from _check_name(f"{table}[{entry.name or index}].name", entry.name)
    for model in document.models:
        yield from _check_name(f"models[{model.name}].version", model.version)
    for adapter in document.adapters:
        yield from _check_name(f"adapters[{adapter.name}].version", adapter.version)


def _check_name(place: str, name: str) -> Iterator[Fault]:
    if not NAME.fullmatch(name):
        problem = f"{name!r} is not a valid name"
        yield Fault(place, problem, "use letters, digits and . _ : / - only")


def _duplicate_faults(document: Document) -> Iterator[Fault]:
    models = [model.name for model in document.models]
    adapters = [adapter.name for adapter in document.adapters]
    yield from _duplicates("models and adapters", models + adapters)
    for table in (
        "availability_zones",
        "server_groups",
        "traffic_classes",
        "callers",
        "traffic",
    ):
        yield from _duplicates(
            table, [entry.name for entry in getattr(document, table)]
        )
    digests = [caller.api_key_sha256 for caller in document.callers]
    for digest, count in Counter(digests).items():
        if count > 1 and digest:
            names = [c.name for c in document.callers if c.api_key_sha256 == digest]
            problem = f"{', '.join(names)} have the same API key"
            yield Fault("callers", problem, "give each caller its own key")


def _duplicates(place: str, names: Iterable[str]) -> Iterator[Fault]:
    for name, count in Counter(names).items():
        if count > 1 and name:
            problem = f"{name!r} is declared {count} times"
            yield Fault(place, problem, "rename or remove all but one")


def _reference_faults(document: Document) -> Iterator[Fault]:
    models = {model.name for model in document.models}
    adapters = {adapter.name for adapter in document.adapters}
    classes = {item.name for item in document.traffic_classes}
    callers = {caller.name for caller in document.callers}
    zones = {zone.name for zone in document.availability_zones}
    if not classes:
        problem = "is empty, so that no request could be given a priority"
        yield Fault("traffic_classes", problem, "declare at least one")
    for zone in document.availability_zones:
        place = f"availability_zones[{zone.name}].delay_ms"
        yield from _undeclared(place, zone.delay_ms, zones, "availability_zones")
    for adapter in document.adapters:
        place = f"adapters[{adapter.name}].model"
        yield from _undeclared(place, [adapter.model], models, "models")
    for caller in document.callers:
        place = f"callers[{caller.name}]"
        default = [caller.traffic_class]
        yield from _undeclared(
            f"{place}.traffic_class", default, classes, "traffic_classes"
        )
        yield from _undeclared(
            f"{place}.classes", caller.classes, classes, "traffic_classes"
        )
    for rule in document.traffic:
        place = f"traffic[{rule.name}]"
        requested = [rule.traffic_class] if rule.traffic_class else []
        yield from _undeclared(
            f"{place}.traffic_class", requested, classes, "traffic_classes"
        )
        yield from _undeclared(f"{place}.callers", rule.callers, callers, "callers")
        yield from _undeclared(
            f"{place}.models", rule.models, models | adapters, "models or adapters"
        )


def _undeclared(
    place: str, names: Iterable[str], declared: set[str], table: str
) -> Iterator[Fault]:
    for name in names:
        if name not in declared:
            problem = f"{name!r} is not declared"
            yield Fault(place, problem, f"declare it in {table}, or correct the name")
