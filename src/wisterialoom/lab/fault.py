"""Faults that the fakes bring about, and the dice that decide."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ["LinkFault", "OrderFault", "StoreFault"]


@dataclass
class LinkFault:
    """Faults of the links between entry instances.

    Attributes:
        delay_s: One-way delay.
        jitter_s: Greatest extra delay.
        loss: Share of datagrams lost.
        double: Share of datagrams that arrive twice.
        cuts: Unordered pairs of instance names that cannot reach each other.
    """

    delay_s: float = 0.002
    jitter_s: float = 0.001
    loss: float = 0.0
    double: float = 0.0
    cuts: set[frozenset[str]] = field(default_factory=set)

    def cut(self, left: set[str], right: set[str]) -> None:
        """Cut every link between two sets of instances."""
        self.cuts |= {frozenset((a, b)) for a in left for b in right if a != b}

    def mend(self) -> None:
        """Mend every cut."""
        self.cuts.clear()

    def delays(self, rng: random.Random, *, reliable: bool) -> list[float]:
        """Return the delay of each copy that arrives."""
        copies = 1
        if not reliable:
            copies = 0 if rng.random() < self.loss else 1
            copies += 1 if copies and rng.random() < self.double else 0
        return [self.delay_s + rng.random() * self.jitter_s for _ in range(copies)]


@dataclass
class StoreFault:
    """Faults of the object API.

    Attributes:
        delay_s: Time of one call, half before and half after it takes effect.
        jitter_s: Greatest extra time.
        down: Every call fails at once, without effect.
        lose_answer: Share of calls whose answer never returns.
        lose_call: Share of calls that fail without effect.
        timeout_s: After it, a call without an answer counts as failed.
        cut_off: Names of instances that cannot reach it.
    """

    delay_s: float = 0.004
    jitter_s: float = 0.002
    down: bool = False
    lose_answer: float = 0.0
    lose_call: float = 0.0
    timeout_s: float = 1.0
    cut_off: set[str] = field(default_factory=set)


@dataclass
class OrderFault:
    """Faults of orders to one backend server.

    Attributes:
        delay_s: Time until an order arrives.
        lose_order: Share of orders that never arrive.
        lose_answer: Share of orders whose answer never returns.
        late: Share of orders that arrive late, after the sender's timeout.
        late_s: Greatest lateness; must stay below the order lifetime.
        double: Share of orders of which a second copy arrives late.
        timeout_s: After it, the sender closes the connection: `OrderLost`.
        cut_off: Names of entry instances that cannot reach the server.
    """

    delay_s: float = 0.002
    lose_order: float = 0.0
    lose_answer: float = 0.0
    late: float = 0.0
    late_s: float = 20.0
    double: float = 0.0
    timeout_s: float = 10.0
    cut_off: set[str] = field(default_factory=set)
