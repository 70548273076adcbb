"""Reads and watches of the object that holds the configuration."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.object_store import (
    ObjectRead,
    ObjectUnavailable,
    OperationIds,
    ReadObject,
    WatchObject,
)

if TYPE_CHECKING:
    import random

    from wisterialoom.core.message import Command

__all__ = ["CONFIG_KEY", "ConfigObject", "read_interval_s"]

CONFIG_KEY = "config/document"
"""Key of the document; its version is the generation."""

RELAY_READ_INTERVAL_S = 2.0
"""Time between two reads of a relay, in case its watch is deaf."""

DOUBT_READ_INTERVAL_S = 2.0
"""Time between two reads of an instance in doubt."""

OLD_S = 10.0
"""Above this age, instances begin to read for themselves."""

OLD_READS_PER_S = 20.0
"""Reads of the whole fleet above that age."""

SWEEP_READS_PER_S = 2.0
MIN_SWEEP_INTERVAL_S = 30.0
"""Reads of the whole fleet at any time, which make up for relays that fail."""

ANSWER_LIMIT_S = 10.0
"""A read without an answer is given up after this time."""

WATCH_LIMIT_S = 60.0
"""A watch without an answer is given up after this time."""

MIN_WATCH_GAP_S = 0.2
MAX_WATCH_GAP_S = 2.0
"""Least time between two watches, doubled by each failure up to the greatest."""


@dataclass(frozen=True, slots=True)
class Asked:
    """A call without its answer yet."""

    op: str
    at: float


def read_interval_s(*, fleet: int, relay: bool, doubt: bool, age_s: float) -> float:
    """Return the time between two reads by one instance, in seconds.

    Args:
        fleet: Count of entry instances.
        relay: It watches for its availability zone.
        doubt: It doubts its configuration.
        age_s: Age of its configuration.
    """
    if doubt:
        return DOUBT_READ_INTERVAL_S
    if relay:
        return RELAY_READ_INTERVAL_S
    if age_s > OLD_S:
        return max(DOUBT_READ_INTERVAL_S, fleet / OLD_READS_PER_S)
    return max(MIN_SWEEP_INTERVAL_S, fleet / SWEEP_READS_PER_S)


class ConfigObject:
    """At most one read and one watch at a time.

    Attributes:
        ops: Ids of the calls.
        read: The read in progress.
        read_due: Moment of the next read.
        watch: The watch in progress.
        watch_due: Moment from which the next watch may begin.
        watch_gap_s: Least time between two watches.
    """

    def __init__(self, rng: random.Random, part: str) -> None:
        self.rng = rng
        self.ops = OperationIds(part)
        self.read: Asked | None = None
        self.read_due = -math.inf
        self.watch: Asked | None = None
        self.watch_due = -math.inf
        self.watch_gap_s = MIN_WATCH_GAP_S

    def forget(self, now: float) -> None:
        """Drop the calls in progress, since their answers may be old."""
        self.read = self.watch = None
        self.read_due = self.watch_due = now

    def read_soon(self, now: float, within_s: float) -> None:
        """Bring the next read forward to a random moment within a time."""
        self.read_due = min(self.read_due, now + self.rng.random() * within_s)

    def due(
        self, now: float, *, known: int, interval_s: float, watching: bool
    ) -> list[Command]:
        """Return the calls that are due.

        Args:
            now: Monotonic time in seconds.
            known: Generation already known.
            interval_s: Time between two reads.
            watching: This instance watches for its availability zone.
        """
        commands: list[Command] = []
        self._give_up(now)
        self.read_due = min(self.read_due, now + interval_s)
        if self.read is None and now >= self.read_due:
            self.read = Asked(self.ops.next(), now)
            self.read_due = now + interval_s * (0.75 + self.rng.random() / 4)
            commands.append(ReadObject(self.read.op, CONFIG_KEY, known))
        if watching and self.watch is None and now >= self.watch_due:
            self.watch = Asked(self.ops.next(), now)
            self.watch_due = now + self.watch_gap_s
            commands.append(WatchObject(self.watch.op, CONFIG_KEY, known))
        return commands

    def _give_up(self, now: float) -> None:
        if self.read is not None and now - self.read.at > ANSWER_LIMIT_S:
            self.read = None
        if self.watch is not None and now - self.watch.at > WATCH_LIMIT_S:
            self.watch = None

    def settle(self, now: float, event: ObjectRead | ObjectUnavailable) -> float | None:
        """Take an answer; return when it was asked for, `None` if not here."""
        failed = isinstance(event, ObjectUnavailable)
        if self.read is not None and event.op == self.read.op:
            asked_at, self.read = self.read.at, None
            return asked_at
        if self.watch is not None and event.op == self.watch.op:
            asked_at, self.watch = self.watch.at, None
            gap_s = self.watch_gap_s * 2 if failed else MIN_WATCH_GAP_S
            self.watch_gap_s = min(gap_s, MAX_WATCH_GAP_S)
            if failed:
                self.watch_due = now + self.watch_gap_s
            return asked_at
        return None
