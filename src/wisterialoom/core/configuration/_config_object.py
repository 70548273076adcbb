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

__all__ = ["AGED_S", "AGED_SPREAD_S", "CONFIG_KEY", "ConfigObject", "read_interval_s"]

CONFIG_KEY = "config/document"
"""Key of the document; its version is the generation."""

RELAY_READ_INTERVAL_S = 2.0
"""Time between two reads of a relay, in case its watch misses a change."""

UNCONFIRMED_READ_INTERVAL_S = 2.0
"""Time between two reads while the configuration is unconfirmed."""

APPLY_LIMIT_S = 12.0
"""Time within which a configuration must be in force at each instance."""

AGED_S = 0.7 * APPLY_LIMIT_S
"""Age above which all instances read the object, not only relays.

Ages in a fleet of 410 stay below it while the relays read the object, also in the
first seconds, when they are highest.
"""

AGED_SPREAD_S = 0.1 * APPLY_LIMIT_S
"""Time over which they read it first; the rest of the limit is for the read itself."""

AGED_READS_PER_S = 20.0
"""Reads per second by the whole fleet at an age above `AGED_S`, after the first."""

BACKGROUND_READS_PER_S = 2.0
MIN_BACKGROUND_INTERVAL_S = 30.0
"""Reads per second by the whole fleet, in case relays fail.

The interval of one instance is at least `MIN_BACKGROUND_INTERVAL_S`.
"""

READ_LIMIT_S = 10.0
"""Time after which a read without a response is abandoned."""

WATCH_LIMIT_S = 60.0
"""Time after which a watch without a response is abandoned."""

MIN_WATCH_GAP_S = 0.2
MAX_WATCH_GAP_S = 2.0
"""Bounds of the time between two watches, which doubles with each failure."""


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call in progress.

    Attributes:
        op: Operation id.
        sent_at: Monotonic time at which the call was sent.
    """

    op: str
    sent_at: float


def read_interval_s(
    *, fleet: int, relay: bool, unconfirmed: bool, age_s: float
) -> float:
    """Return the time between two reads by one instance, in seconds.

    Args:
        fleet: Number of instances.
        relay: Whether the instance watches the object for its availability zone.
        unconfirmed: Whether the instance's configuration is unconfirmed.
        age_s: Age of the instance's configuration.
    """
    if unconfirmed:
        return UNCONFIRMED_READ_INTERVAL_S
    if relay:
        return RELAY_READ_INTERVAL_S
    if age_s > AGED_S:
        return max(UNCONFIRMED_READ_INTERVAL_S, fleet / AGED_READS_PER_S)
    return max(MIN_BACKGROUND_INTERVAL_S, fleet / BACKGROUND_READS_PER_S)


class ConfigObject:
    """Schedules reads and watches of the object, at most one of each at a time.

    Attributes:
        ops: Source of operation ids.
        read: The read in progress.
        read_due: Monotonic time of the next read.
        watch: The watch in progress.
        watch_due: Monotonic time before which no watch begins.
        watch_gap_s: Minimum time between two watches.
    """

    def __init__(self, rng: random.Random, part: str) -> None:
        self.rng = rng
        self.ops = OperationIds(part)
        self.read: PendingCall | None = None
        self.read_due = -math.inf
        self.watch: PendingCall | None = None
        self.watch_due = -math.inf
        self.watch_gap_s = MIN_WATCH_GAP_S

    def reset(self, now: float) -> None:
        """Drop the calls in progress, since their responses may be outdated."""
        self.read = self.watch = None
        self.read_due = self.watch_due = now

    def advance_read(self, now: float, within_s: float) -> None:
        """Advance the next read to a random time within a given interval."""
        self.read_due = min(self.read_due, now + self.rng.random() * within_s)

    def due_calls(
        self, now: float, *, latest_generation: int, interval_s: float, watching: bool
    ) -> list[Command]:
        """Return the calls that are due.

        Args:
            now: Monotonic time in seconds.
            latest_generation: Latest generation seen, which need not be sent again.
            interval_s: Time between two reads.
            watching: Whether this instance watches for its availability zone.
        """
        commands: list[Command] = []
        self._expire_calls(now)
        self.read_due = min(self.read_due, now + interval_s)
        if self.read is None and now >= self.read_due:
            self.read = PendingCall(self.ops.next(), now)
            self.read_due = now + interval_s * (0.75 + self.rng.random() / 4)
            commands.append(ReadObject(self.read.op, CONFIG_KEY, latest_generation))
        if watching and self.watch is None and now >= self.watch_due:
            self.watch = PendingCall(self.ops.next(), now)
            self.watch_due = now + self.watch_gap_s
            commands.append(WatchObject(self.watch.op, CONFIG_KEY, latest_generation))
        return commands

    def _expire_calls(self, now: float) -> None:
        if self.read is not None and now - self.read.sent_at > READ_LIMIT_S:
            self.read = None
        if self.watch is not None and now - self.watch.sent_at > WATCH_LIMIT_S:
            self.watch = None

    def complete(
        self, now: float, event: ObjectRead | ObjectUnavailable
    ) -> float | None:
        """Process a response.

        Returns:
            Monotonic time at which the call was sent; `None` if the call was not
            made here or was dropped.
        """
        failed = isinstance(event, ObjectUnavailable)
        if self.read is not None and event.op == self.read.op:
            sent_at, self.read = self.read.sent_at, None
            return sent_at
        if self.watch is not None and event.op == self.watch.op:
            sent_at, self.watch = self.watch.sent_at, None
            gap_s = self.watch_gap_s * 2 if failed else MIN_WATCH_GAP_S
            self.watch_gap_s = min(gap_s, MAX_WATCH_GAP_S)
            if failed:
                self.watch_due = now + self.watch_gap_s
            return sent_at
        return None
