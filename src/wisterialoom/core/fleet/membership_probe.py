"""Selects the member to probe next, and tracks the outcome of probes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = [
    "ACK_TIMEOUT_S",
    "PROBE_INTERVAL_S",
    "Probe",
    "ProbeSchedule",
    "RelayedProbe",
]

PROBE_INTERVAL_S = 1.0
"""Time between two probes, and limit on the duration of one."""

ACK_TIMEOUT_S = 0.3
"""Time without an answer after which other members are asked to probe the target."""


@dataclass(slots=True)
class Probe:
    """The probe under way.

    Attributes:
        serial: Serial of the heartbeat that was sent.
        target: Name of the probed member.
        sent_at: Time at which the heartbeat was sent, in seconds.
        answered: Whether the target acknowledged it, directly or through another
            member.
        indirect: Whether other members were asked to probe the target.
    """

    serial: int
    target: str
    sent_at: float
    answered: bool = False
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe made on behalf of another member.

    Attributes:
        origin: Name of the member that asked for the probe.
        serial: Serial of that member's own probe.
        expires_at: Time from which an answer is no longer passed on, in seconds.
    """

    origin: str
    serial: int
    expires_at: float


class ProbeSchedule:
    """Probes all members in rounds, each in a new random order.

    Attributes:
        remaining_targets: Members that the current round has yet to probe, in
            reverse order.
        current: The probe under way.
        relays: Probes made for other members, by the serial sent to the target.
        next_at: Time of the next probe, in seconds.
        serial: Serial that was used last.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.remaining_targets: list[str] = []
        self.current: Probe | None = None
        self.relays: dict[int, RelayedProbe] = {}
        self.next_at = 0.0
        self.serial = 0

    def next_serial(self) -> int:
        """Return an unused serial."""
        self.serial += 1
        return self.serial

    def next_target(self, names: Sequence[str]) -> str | None:
        """Return the next member to probe, or `None` if there are no members."""
        known = set(names)
        while self.remaining_targets:
            name = self.remaining_targets.pop()
            if name in known:
                return name
        self.remaining_targets = list(names)
        self.rng.shuffle(self.remaining_targets)
        return self.remaining_targets.pop() if self.remaining_targets else None

    def start_probe(self, now: float, target: str) -> Probe:
        """Start a probe of a member."""
        self.current = Probe(self.next_serial(), target, now)
        return self.current

    def take_failed(self) -> str | None:
        """End the current probe and return its target if it did not answer."""
        probe, self.current = self.current, None
        return probe.target if probe is not None and not probe.answered else None

    def take_indirect_probe(self, now: float) -> Probe | None:
        """Return the current probe if other members should now make it too.

        Each probe is returned at most once.
        """
        probe = self.current
        if probe is None or probe.answered or probe.indirect:
            return None
        if now - probe.sent_at < ACK_TIMEOUT_S:
            return None
        probe.indirect = True
        return probe

    def start_relayed_probe(self, now: float, origin: str, serial: int) -> int:
        """Start a probe for another member.

        Args:
            now: Monotonic time in seconds.
            origin: Name of the member that asked for the probe.
            serial: Serial of that member's probe.

        Returns:
            The serial of the heartbeat to send to the target.
        """
        own = self.next_serial()
        self.relays[own] = RelayedProbe(origin, serial, now + PROBE_INTERVAL_S)
        return own

    def record_ack(self, serial: int) -> RelayedProbe | None:
        """Record an acknowledgement.

        Returns:
            The relayed probe that it answers, or `None` if it answers no such probe.
        """
        if self.current is not None and self.current.serial == serial:
            self.current.answered = True
        return self.relays.pop(serial, None)

    def expire(self, now: float) -> None:
        """Drop relayed probes whose time is over."""
        if self.relays:
            kept = {s: r for s, r in self.relays.items() if r.expires_at > now}
            self.relays = kept

    def reset(self, now: float) -> None:
        """Drop the probes that were under way before a pause of this instance."""
        self.current = None
        self.relays.clear()
        self.next_at = now
