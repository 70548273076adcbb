"""Faults that the fakes inject at random."""

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
        jitter_s: Maximum random delay on top of `delay_s`.
        loss: Probability that a datagram is lost.
        double: Probability that a datagram arrives twice.
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

    def restore_links(self) -> None:
        """Restore every cut link."""
        self.cuts.clear()

    def delays(self, rng: random.Random, *, reliable: bool) -> list[float]:
        """Return the delay of each copy that arrives; empty for a lost message.

        Args:
            rng: Random source.
            reliable: The message goes over a connection, which neither loses nor
                duplicates messages.
        """
        copies = 1
        if not reliable:
            copies = 0 if rng.random() < self.loss else 1
            copies += 1 if copies and rng.random() < self.double else 0
        return [self.delay_s + rng.random() * self.jitter_s for _ in range(copies)]


@dataclass
class StoreFault:
    """Faults of the object API.

    Attributes:
        delay_s: Duration of a call; half of it passes before the call takes effect.
        jitter_s: Maximum random time on top of `delay_s`.
        down: Every call fails without effect, before the timeout.
        lose_answer: Probability that a call takes effect and its answer is lost.
        lose_call: Probability that a call is lost and has no effect.
        timeout_s: Time after which a call without an answer fails.
        cut_off: Names of the entry instances that cannot reach the object API.
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
        delay_s: One-way delay of orders and answers.
        lose_order: Probability that an order never arrives.
        lose_answer: Probability that the answer to an order is lost.
        late: Probability that an order arrives after the sender's timeout.
        late_s: Maximum extra delay, added to `timeout_s` for a late order and to
            `delay_s` for a second copy. It must stay below the order lifetime.
        double: Probability that a second copy of an order arrives later.
        timeout_s: Time after which the sender closes the connection and reports
            `OrderLost`.
        cut_off: Names of the entry instances that cannot reach the server.
    """

    delay_s: float = 0.002
    lose_order: float = 0.0
    lose_answer: float = 0.0
    late: float = 0.0
    late_s: float = 20.0
    double: float = 0.0
    timeout_s: float = 10.0
    cut_off: set[str] = field(default_factory=set)
