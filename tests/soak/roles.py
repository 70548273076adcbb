"""Roles that instances have, and the age of their views, as their logs tell."""

from __future__ import annotations

import contextlib
import enum
import json
import time
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping
    from pathlib import Path

__all__ = [
    "CONTACT_S",
    "EVERYBODY",
    "VIEW_LIMIT_S",
    "Role",
    "ViewAges",
    "find_holder",
    "find_role",
]

CONTACT_S = 3.0
"""Time without a disturbance after which an instance owes a current view."""

VIEW_LIMIT_S = 2.0
"""Time within which the platform wants a change to be in force."""

EVERYBODY = -1
"""Stands for all instances in the list of disturbances."""


class Role(enum.Enum):
    """Instances that a fault hits together."""

    WATCHERS = "watchers"
    """All that read the store for the others."""
    ALL_BUT_A_FOLLOWER = "all_but_a_follower"
    """All but one that follows the watchers, or but one watcher if there is none."""
    HOLDER = "holder"
    """The holder of the placement lease."""


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the log lines of an instance."""
    for text in path.read_text().splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict):
            yield line


def find_role(role: Role, logs: Mapping[int, Path]) -> set[int]:
    """Return the instances that have a role now, by their logs.

    Args:
        role: The role.
        logs: Log of each instance by its number.
    """
    watchers = {number for number, path in logs.items() if _watches(path)}
    match role:
        case Role.WATCHERS:
            return watchers
        case Role.ALL_BUT_A_FOLLOWER:
            spared = min(logs.keys() - watchers, default=min(logs))
            return set(logs) - {spared}
        case Role.HOLDER:
            holder = find_holder(logs)
            return set() if holder is None else {holder}


def _watches(path: Path) -> bool:
    watches = False
    for line in read_lines(path):
        match line.get("message"):
            case "started":
                watches = False
            case "watcher role":
                watches = bool(line["on"])
    return watches


def find_holder(logs: Mapping[int, Path]) -> int | None:
    """Return the instance that has taken the placement lease last."""
    taken = {
        line["epoch"]: number
        for number, path in logs.items()
        for line in read_lines(path)
        if line.get("message") == "lease taken"
    }
    return taken[max(taken)] if taken else None


@dataclass
class ViewAges:
    """Checks that views are current wherever nothing has disturbed an instance.

    Attributes:
        disturbances: Instance, begin and end of each disturbance, in Unix time.
    """

    disturbances: list[tuple[int, float, float]] = field(default_factory=list)

    def record(self, number: int, began: float, ended: float) -> None:
        """Record a disturbance of an instance, or of `EVERYBODY`."""
        self.disturbances.append((number, began, ended))

    @contextlib.contextmanager
    def disturbed(self, numbers: Iterable[int]) -> Iterator[None]:
        """Record a disturbance of some instances while the body runs."""
        began = time.time()
        unended = [(number, began, float("inf")) for number in numbers]
        self.disturbances += unended
        try:
            yield
        finally:
            for item in unended:
                self.disturbances.remove(item)
                self.record(item[0], began, time.time())

    def owes(self, number: int, at: float) -> bool:
        """Return whether an instance owes a current view at a time."""
        return not any(
            found in (number, EVERYBODY) and began <= at and at - ended <= CONTACT_S
            for found, began, ended in self.disturbances
        )

    def violations(self, number: int, path: Path) -> Iterator[str]:
        """Yield a line for each request that was handled by too old a view."""
        started = float("-inf")
        for line in read_lines(path):
            if line.get("message") not in ("started", "request"):
                continue
            at = datetime.strptime(line["at"], "%Y-%m-%d %H:%M:%S,%f").timestamp()
            if line["message"] == "started":
                started = at
                continue
            arrived = at - line["total_ms"] / 1e3
            # The start of a process lasts until it serves.
            owes = arrived - started > CONTACT_S and self.owes(number, arrived)
            if owes and line["view_age_ms"] > VIEW_LIMIT_S * 1e3:
                yield (
                    f"front-{number} handled {line['request_id']} by a view that was "
                    f"{line['view_age_ms']} ms old"
                )
