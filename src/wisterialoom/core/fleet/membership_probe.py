"""Whom to probe next, and what became of probes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ["ACK_TIMEOUT_S", "PROBE_INTERVAL_S", "Probe", "ProbeSchedule", "Relay"]

PROBE_INTERVAL_S = 1.0
"""Time between two probes, and for all of one."""

ACK_TIMEOUT_S = 0.3
"""Time after which others are asked to probe the same member."""


@dataclass(slots=True)
class Probe:
    """The probe under way.

    Attributes:
        serial: Of its heartbeat.
        target: Name of the member.
        sent_at: Time in seconds.
        answered: An acknowledgement came, directly or through another member.
        indirect: Others have been asked.
    """

    serial: int
    target: str
    sent_at: float
    answered: bool = False
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A probe made for another member.

    Attributes:
        origin: Name of the member that asked.
        serial: Serial of its probe.
        until: Time at which it no longer matters, in seconds.
    """

    origin: str
    serial: int
    until: float


class ProbeSchedule:
    """Goes round the members in an order shuffled anew for each round.

    Attributes:
        current: The probe under way.
        relays: Probes made for others, by the serial used towards the target.
        next_at: Time of the next probe, in seconds.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.ring: list[str] = []
        self.current: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.next_at = 0.0
        self.serial = 0

    def next_serial(self) -> int:
        """Return a serial that was not used yet."""
        self.serial += 1
        return self.serial

    def next_target(self, names: Sequence[str]) -> str | None:
        """Return the next member of the round, or `None` if there is none."""
        known = set(names)
        while self.ring:
            name = self.ring.pop()
            if name in known:
                return name
        self.ring = list(names)
        self.rng.shuffle(self.ring)
        return self.ring.pop() if self.ring else None

    def begin(self, now: float, target: str) -> Probe:
        """Start a probe."""
        self.current = Probe(self.next_serial(), target, now)
        return self.current

    def failed(self) -> str | None:
        """Return the member whose probe has ended without an answer."""
        probe, self.current = self.current, None
        return probe.target if probe is not None and not probe.answered else None

    def wants_help(self, now: float) -> Probe | None:
        """Return the probe that others should be asked about, once."""
        probe = self.current
        if probe is None or probe.answered or probe.indirect:
            return None
        if now - probe.sent_at < ACK_TIMEOUT_S:
            return None
        probe.indirect = True
        return probe

    def begin_relay(self, now: float, origin: str, serial: int) -> int:
        """Start a probe for another member; return the serial to use."""
        own = self.next_serial()
        self.relays[own] = Relay(origin, serial, now + PROBE_INTERVAL_S)
        return own

    def acknowledge(self, serial: int) -> Relay | None:
        """Take an acknowledgement; return the relay that it belongs to."""
        if self.current is not None and self.current.serial == serial:
            self.current.answered = True
        return self.relays.pop(serial, None)

    def expire(self, now: float) -> None:
        """Drop relays that no longer matter."""
        if self.relays:
            kept = {s: r for s, r in self.relays.items() if r.until > now}
            self.relays = kept

    def reset(self, now: float) -> None:
        """Forget what was under way before a pause of this instance."""
        self.current = None
        self.relays.clear()
        self.next_at = now
