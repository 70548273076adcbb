"""Updates that are piggybacked on messages a limited number of times."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = [
    "DATAGRAM_BYTES",
    "ByteBudget",
    "GossipQueue",
    "int_size",
    "send_limit",
    "text_size",
]

T = TypeVar("T")

DATAGRAM_BYTES = 1_200
"""Maximum size of one heartbeat with its piggybacked updates."""

MIN_SENDS = 4
"""Number of times that each member sends an update, in a fleet of any size."""

SENDS_PER_DECADE = 6
"""Additional sends for each factor of ten in the fleet's size."""

URGENT_SENDS = 6
"""Number of sends of an urgent update that do not wait for the next heartbeat."""


def send_limit(members: int) -> int:
    """Return how often each member forwards an update in a fleet of this size."""
    return MIN_SENDS + math.ceil(SENDS_PER_DECADE * math.log10(members + 1))


def int_size(value: int) -> int:
    """Return the encoded size in bytes of a field with a non-negative integer."""
    return 2 + value.bit_length() // 7


def text_size(text: str) -> int:
    """Return the encoded size in bytes of a string field."""
    length = len(text.encode())
    return 2 + length.bit_length() // 8 + length


@dataclass(slots=True)
class GossipItem(Generic[T]):
    """One queued update.

    Attributes:
        value: The update itself.
        size: Its encoded size in bytes.
        serial: Increases with each queued update; higher ones are sent first.
        urgent: Whether the update is sent without waiting for a heartbeat.
        sends: Number of times that it was sent.
    """

    value: T
    size: int
    serial: int
    urgent: bool
    sends: int = 0


class GossipQueue(Generic[T]):
    """Latest update of each subject.

    Updates that were sent least often go first; among those, the newest.

    Attributes:
        items: Queued update by subject.
        serial: Serial of the update that was queued last.
    """

    def __init__(self) -> None:
        self.items: dict[str, GossipItem[T]] = {}
        self.serial = 0

    def put(self, subject: str, value: T, size: int, *, urgent: bool = False) -> None:
        """Queue an update, replacing an older one of the same subject."""
        self.serial += 1
        self.items[subject] = GossipItem(value, size, self.serial, urgent)

    def discard(self, subject: str) -> None:
        """Drop the queued update of a subject, if there is one."""
        self.items.pop(subject, None)

    @property
    def urgent(self) -> bool:
        """Whether an update should be sent without waiting for a heartbeat."""
        return any(
            item.urgent and item.sends < URGENT_SENDS for item in self.items.values()
        )

    def take(self, budget: int, limit: int) -> tuple[list[T], int]:
        """Return the updates for one message and their size in bytes.

        Args:
            budget: Maximum total size of the updates in bytes.
            limit: Number of sends after which an update is dropped.
        """
        taken: list[T] = []
        used = 0
        order = sorted(
            self.items.items(), key=lambda pair: (pair[1].sends, -pair[1].serial)
        )
        for subject, item in order:
            if used + item.size > budget:
                continue
            taken.append(item.value)
            used += item.size
            item.sends += 1
            if item.sends >= limit:
                del self.items[subject]
        return taken, used


class ByteBudget:
    """A token bucket of bytes.

    Attributes:
        rate: Bytes added per second.
        burst: Maximum number of bytes that accumulate.
        remaining: Bytes left at the last update; negative after an overdraft.
        updated_at: Time of the last update, in seconds; `None` before the first.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.remaining = burst
        self.updated_at: float | None = None

    def available(self, now: float) -> int:
        """Return the number of bytes that may be spent now."""
        elapsed_s = 0.0 if self.updated_at is None else max(now - self.updated_at, 0.0)
        self.remaining = min(self.remaining + elapsed_s * self.rate, self.burst)
        self.updated_at = now
        return max(int(self.remaining), 0)

    def spend(self, size: int) -> None:
        """Take bytes out of the bucket; an overdraft delays later spending."""
        self.remaining -= size
