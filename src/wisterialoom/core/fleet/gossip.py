"""News that is piggybacked on messages a limited number of times."""

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
"""Most bytes of one heartbeat, news included."""

MIN_SENDS = 4
SENDS_PER_DECADE = 6
"""Times that news is sent besides, for each factor of ten in the fleet's size."""

URGENT_SENDS = 6
"""Sends of urgent news that do not wait for the next heartbeat."""


def send_limit(members: int) -> int:
    """Return how often each member sends news on, in a fleet of this size."""
    return MIN_SENDS + math.ceil(SENDS_PER_DECADE * math.log10(members + 1))


def int_size(value: int) -> int:
    """Return the encoded size of a field with a non-negative integer, in bytes."""
    return 2 + value.bit_length() // 7


def text_size(text: str) -> int:
    """Return the encoded size of a field with a text, in bytes."""
    length = len(text.encode())
    return 2 + length.bit_length() // 8 + length


@dataclass(slots=True)
class GossipItem(Generic[T]):
    """One piece of news.

    Attributes:
        value: The news.
        size: Encoded size in bytes.
        serial: Rises with each piece; the newest goes first.
        urgent: It should not wait for heartbeats.
        sends: Times that it was sent.
    """

    value: T
    size: int
    serial: int
    urgent: bool
    sends: int = 0


class GossipQueue(Generic[T]):
    """Latest news by subject; what was sent least, then newest, goes first.

    Attributes:
        items: News by subject.
    """

    def __init__(self) -> None:
        self.items: dict[str, GossipItem[T]] = {}
        self.serial = 0

    def put(self, subject: str, value: T, size: int, *, urgent: bool = False) -> None:
        """Queue news in place of older news of the same subject."""
        self.serial += 1
        self.items[subject] = GossipItem(value, size, self.serial, urgent)

    def discard(self, subject: str) -> None:
        """Drop the news of a subject, if there is any."""
        self.items.pop(subject, None)

    @property
    def urgent(self) -> bool:
        """Whether some news should be sent without waiting for a heartbeat."""
        return any(
            item.urgent and item.sends < URGENT_SENDS for item in self.items.values()
        )

    def take(self, budget: int, limit: int) -> tuple[list[T], int]:
        """Return news for one message and its size in bytes.

        Args:
            budget: Most bytes to return.
            limit: Sends after which news is dropped.
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
        rate: Bytes a second.
        burst: Most bytes that gather.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.at: float | None = None

    def available(self, now: float) -> int:
        """Return the bytes that may be spent now."""
        passed = 0.0 if self.at is None else max(now - self.at, 0.0)
        self.left = min(self.left + passed * self.rate, self.burst)
        self.at = now
        return max(int(self.left), 0)

    def spend(self, size: int) -> None:
        """Take bytes out; more than are there are owed."""
        self.left -= size
