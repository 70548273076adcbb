"""Checks of single values of a document: sizes, selectors, digests and paths."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector, SelectorError
from wisterialoom.core.fault import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wisterialoom.core.configuration.document import Document, Label, Traffic

__all__ = ["value_faults"]

SHA256_HEX = re.compile(r"[0-9a-f]{64}")
METHOD = re.compile(r"[A-Z]+")
LABEL_KEY = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]*")
RESERVED_KEYS = ("name", "kind")
"""Label keys that are reserved for the platform."""
MIN_LEASE_S = 2.0
"""Shorter leases would expire during ordinary delays of the object API."""

POSITIVE_FIELDS = {
    "models": ("memory_mb", "load_s"),
    "adapters": ("memory_mb", "load_s"),
    "server_groups": ("slots", "order_lifetime_s"),
    "traffic_classes": ("first_token_s", "token_gap_s", "max_wait_s", "load_wait_s"),
    "callers": ("max_concurrent", "weight"),
    "traffic": ("timeout_s",),
}
"""Fields that must be greater than zero, by table."""


def value_faults(document: Document) -> Iterator[Fault]:
    """Yield the faults of single values in a document."""
    yield from _deployment_faults(document)
    yield from _size_faults(document)
    yield from _selector_faults(document)
    for label in document.labels:
        yield from _label_faults(label)
    for caller in document.callers:
        if not SHA256_HEX.fullmatch(caller.api_key_sha256):
            yield Fault(
                f"callers[{caller.name}].api_key_sha256",
                "is not a SHA-256 digest in lower-case hex",
                "write the 64 digits that `printf %s KEY | sha256sum` prints",
            )
    for rule in document.traffic:
        yield from _rule_faults(rule)
    yield from _shadowed_rule_faults(document)


def _deployment_faults(document: Document) -> Iterator[Fault]:
    deployment = document.deployment
    store, claims = deployment.store, deployment.claims
    for name in ("loads_per_s", "full_speed_loads", "adapter_full_speed_loads"):
        yield from _check_positive(f"deployment.store.{name}", getattr(store, name))
    for name in ("buckets", "retention_s"):
        yield from _check_positive(f"deployment.claims.{name}", getattr(claims, name))
    yield from _check_not_negative("deployment.moves_weight", deployment.moves_weight)
    if deployment.lease_s < MIN_LEASE_S:
        problem = f"is {deployment.lease_s}, too short to be renewed in time"
        yield Fault("deployment.lease_s", problem, f"use {MIN_LEASE_S} or more")


def _size_faults(document: Document) -> Iterator[Fault]:
    for table, names in POSITIVE_FIELDS.items():
        for entry in getattr(document, table):
            for name in names:
                place = f"{table}[{entry.name}].{name}"
                yield from _check_positive(place, getattr(entry, name))
    for zone in document.availability_zones:
        for other, delay_ms in zone.delay_ms.items():
            place = f"availability_zones[{zone.name}].delay_ms.{other}"
            yield from _check_not_negative(place, delay_ms)
    for model in document.models:
        place = f"models[{model.name}].min_replicas"
        yield from _check_not_negative(place, model.min_replicas)


def _check_positive(place: str, value: float) -> Iterator[Fault]:
    if value <= 0:
        yield Fault(place, f"is {value}", "use a number above 0")


def _check_not_negative(place: str, value: float) -> Iterator[Fault]:
    if value < 0:
        yield Fault(place, f"is {value}", "use 0 or a number above it")


def _selector_faults(document: Document) -> Iterator[Fault]:
    for table, name in (
        ("models", "servers"),
        ("server_groups", "selector"),
        ("labels", "selector"),
        ("traffic", "servers"),
    ):
        for index, entry in enumerate(getattr(document, table)):
            entry_name = getattr(entry, "name", index)
            place = f"{table}[{entry_name}].{name}"
            try:
                Selector.parse(getattr(entry, name))
            except SelectorError as error:
                problem, _, remedy = str(error).partition("; ")
                yield Fault(place, problem, remedy)


def _label_faults(label: Label) -> Iterator[Fault]:
    place = f"labels[{label.selector}]"
    if label.key in RESERVED_KEYS:
        yield Fault(
            place,
            f"sets {label.key!r}",
            "use a key that is not reserved for the platform",
        )
    if not LABEL_KEY.fullmatch(label.key):
        problem = f"{label.key!r} is not a valid label key"
        yield Fault(place, problem, "use letters, digits and . _ / -")
    if any(char in ",=!" or char.isspace() for char in label.value):
        problem = f"has the value {label.value!r}, which no selector can match"
        yield Fault(place, problem, "leave out spaces and , = !")
    if label.key == "drain" and label.value != "true":
        problem = f"sets drain to {label.value!r}"
        yield Fault(place, problem, 'write "true", or remove the label')


def _rule_faults(rule: Traffic) -> Iterator[Fault]:
    place = f"traffic[{rule.name}]"
    if not rule.path.startswith(("/", "*")) or "*" in rule.path[:-1]:
        problem = f"{rule.path!r} is not a valid path"
        yield Fault(f"{place}.path", problem, "begin with / and use * at the end only")
    for method in rule.methods:
        if not METHOD.fullmatch(method):
            problem = f"{method!r} is not an HTTP method"
            yield Fault(f"{place}.methods", problem, "write it in capitals")
    if rule.servers and rule.models:
        problem = "has both servers and models"
        remedy = "set only servers for plain services, or only models for engines"
        yield Fault(place, problem, remedy)


def _shadowed_rule_faults(document: Document) -> Iterator[Fault]:
    """Yield a fault for each rule that an earlier rule covers completely."""
    for index, later in enumerate(document.traffic):
        for earlier in document.traffic[:index]:
            if _covers(earlier, later):
                problem = (
                    f"never applies, because {earlier.name!r} covers all its requests"
                )
                remedy = "move it up, or make the earlier rule more specific"
                yield Fault(f"traffic[{later.name}]", problem, remedy)
                break


def _covers(earlier: Traffic, later: Traffic) -> bool:
    if earlier.path.endswith("*"):
        path = later.path.startswith(earlier.path[:-1])
    else:
        path = later.path == earlier.path
    return path and all(
        not wide or (bool(narrow) and set(narrow) <= set(wide))
        for wide, narrow in (
            (earlier.methods, later.methods),
            (earlier.callers, later.callers),
            (earlier.models, later.models),
        )
    )
