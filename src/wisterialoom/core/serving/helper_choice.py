"""Through which instance requests go to servers that this one does not reach."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

__all__ = ["HelperChoice"]

AVOID_S = 1.0
"""Time for which an instance that could not help is not asked again."""

MAX_AVOID_S = 4.0
"""Greatest such time; it doubles with each failure in a row."""

WITHOUT_S = 3.0
"""Time for which an instance's word counts that it does not reach a service.

It repeats it each second; one that has started again may reach the service.
"""

CANDIDATES = 2
"""Instances drawn at random, of which the one with fewer requests of this one helps."""


@dataclass
class _Helper:
    """What is known of one instance.

    Attributes:
        in_flight: Requests of this instance that go through it now.
        failures: Consecutive requests that it could not pass on.
        avoided_until: Monotonic time until which it is not asked.
        without: Services that it said it does not reach itself.
        without_until: Monotonic time until which that counts; it says so again.
    """

    in_flight: int = 0
    failures: int = 0
    avoided_until: float = float("-inf")
    without: frozenset[str] = frozenset()
    without_until: float = float("-inf")


@dataclass
class HelperChoice:
    """Chooses among the other instances, and spreads the load over them.

    Attributes:
        me: Name of this instance.
        port: Port on which all instances listen for each other's requests.
        members: IP address of each instance by name, this one included.
        helpers: What is known of instances that were asked or told of lost paths.
        rng: Draws the candidates.
    """

    me: str
    port: int = 0
    members: dict[str, str] = field(default_factory=dict)
    helpers: dict[str, _Helper] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)

    def choose(self, now: float, service: str) -> str | None:
        """Return the instance to send a request through; `None` if none can help."""
        usable = [
            name
            for name in self.members
            if name != self.me and self._is_usable(now, name, service)
        ]
        if not usable:
            return None
        drawn = self.rng.sample(usable, min(CANDIDATES, len(usable)))
        return min(drawn, key=lambda name: self._get(name).in_flight)

    def address(self, name: str) -> str:
        """Return the `IP:port` of an instance; empty if it is no member."""
        ip = self.members.get(name)
        return f"{ip}:{self.port}" if ip else ""

    def is_available(self, now: float, service: str) -> bool:
        """Return whether any instance may help with requests for a service."""
        return any(
            name != self.me and self._is_usable(now, name, service)
            for name in self.members
        )

    def begin(self, name: str) -> None:
        """Count a request that goes through an instance."""
        self._get(name).in_flight += 1

    def end(self, now: float, name: str, *, helped: bool | None) -> None:
        """Record the end of a request that went through an instance.

        Args:
            now: Monotonic time.
            name: Name of the instance.
            helped: Whether it passed the request on; `None` if that is not known.
        """
        helper = self._get(name)
        helper.in_flight = max(0, helper.in_flight - 1)
        if helped:
            helper.failures = 0
        elif helped is False:
            helper.failures += 1
            avoid_s = min(MAX_AVOID_S, AVOID_S * 2 ** (helper.failures - 1))
            helper.avoided_until = max(helper.avoided_until, now + avoid_s)

    def record_lost_services(
        self, now: float, name: str, services: frozenset[str]
    ) -> None:
        """Record which services an instance says that it does not reach."""
        helper = self._get(name)
        if helper.without and not services:
            helper.avoided_until = float("-inf")
        helper.without = services
        helper.without_until = now + WITHOUT_S

    def drop_gone(self) -> None:
        """Forget instances that are no longer members."""
        for name in self.helpers.keys() - self.members.keys():
            if not self.helpers[name].in_flight:
                del self.helpers[name]

    def _is_usable(self, now: float, name: str, service: str) -> bool:
        helper = self.helpers.get(name)
        if helper is None:
            return True
        if now < helper.avoided_until:
            return False
        return service not in helper.without or now >= helper.without_until

    def _get(self, name: str) -> _Helper:
        return self.helpers.setdefault(name, _Helper())
