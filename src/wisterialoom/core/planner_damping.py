"""Rise and fall counts and a cooldown for each backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerHealth"]

RISE = 2
"""Reports in a row before a server may be given models."""

SILENCE_S = 5.0
"""Without a report for this long, a server is given nothing new, in seconds."""

LOST_S = 20.0
"""Without a report for this long, what it holds is out of reach, in seconds."""

COOLDOWN_S = 20.0
"""First cooldown of a server that came back, in seconds."""

COOLDOWN_LIMIT_S = 320.0
"""Longest cooldown, in seconds."""

STABLE_S = 600.0
"""After this long without a fall, the cooldown starts over, in seconds."""


@dataclass(slots=True)
class ServerHealth:
    """Whether one server may be given models, without following each flap.

    Attributes:
        heard_at: When it was last reported.
        reports: Reports in a row since it last fell silent.
        falls: Times it fell silent since it was last stable.
        fell_at: When it last did.
        incarnation: As last reported; a restart counts as a fall.
    """

    heard_at: float | None = None
    reports: int = 0
    falls: int = 0
    fell_at: float | None = None
    incarnation: str = ""

    def report(self, now: float, incarnation: str) -> None:
        """Note a report of the server."""
        silent = self.heard_at is not None and now - self.heard_at > SILENCE_S
        restarted = self.incarnation not in ("", incarnation)
        if silent or restarted:
            self._fall(now)
        self.heard_at = now
        self.incarnation = incarnation
        self.reports += 1

    def _fall(self, now: float) -> None:
        if self.fell_at is not None and now - self.fell_at > STABLE_S:
            self.falls = 0
        self.falls += 1
        self.fell_at = now
        self.reports = 0

    def is_usable(self, now: float) -> bool:
        """Tell whether the server may be given models."""
        if self.heard_at is None or now - self.heard_at > SILENCE_S:
            return False
        if self.reports < RISE:
            return False
        return self.fell_at is None or now - self.fell_at >= self._cooldown_s()

    def is_serving(self, now: float) -> bool:
        """Tell whether what the server holds counts as reachable."""
        return self.heard_at is not None and now - self.heard_at <= LOST_S

    def _cooldown_s(self) -> float:
        """The first fall costs nothing; each further one costs double."""
        if self.falls < 2:
            return 0.0
        return min(COOLDOWN_S * 2.0 ** (self.falls - 2), COOLDOWN_LIMIT_S)
