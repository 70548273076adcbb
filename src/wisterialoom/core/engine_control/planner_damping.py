"""Rise and fall counts and a cooldown for each backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerHealth"]

RISE_S = 2.0
"""Time that a server must answer before it may be given models, in seconds."""

LOST_S = 20.0
"""After this long without an answer, what a server holds is out of reach."""

SILENCE_S = 120.0
"""Without any report for this long, a server counts as not answering, in seconds.

Reports that say nothing new are repeated only every half minute or so.
"""

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
        answers_since: When it began to answer; `None` while it does not.
        silent_since: When it was reported as not answering; `None` while it does.
        falls: Times it fell silent or restarted since it was last stable.
        fell_at: When it last did.
        incarnation: As last reported; a restart counts as a fall.
    """

    heard_at: float | None = None
    answers_since: float | None = None
    silent_since: float | None = None
    falls: int = 0
    fell_at: float | None = None
    incarnation: str = ""

    def report(self, now: float, incarnation: str, *, answers: bool = True) -> None:
        """Note a report of the server.

        Args:
            now: Monotonic time in seconds.
            incarnation: As reported; a change counts as a fall.
            answers: The server answers its steward.
        """
        self.heard_at = now
        restarted = answers and self.incarnation not in ("", incarnation)
        if restarted or (not answers and self.answers_since is not None):
            self._fall(now)
        if not answers:
            self.answers_since = None
            self.silent_since = now if self.silent_since is None else self.silent_since
            return
        self.incarnation = incarnation
        self.silent_since = None
        if restarted or self.answers_since is None:
            self.answers_since = now

    def _fall(self, now: float) -> None:
        if self.fell_at is not None and now - self.fell_at > STABLE_S:
            self.falls = 0
        self.falls += 1
        self.fell_at = now

    def is_usable(self, now: float) -> bool:
        """Tell whether the server may be given models."""
        if self.answers_since is None or self._is_forgotten(now):
            return False
        if now - self.answers_since < RISE_S:
            return False
        return self.fell_at is None or now - self.fell_at >= self._cooldown_s()

    def is_serving(self, now: float) -> bool:
        """Tell whether what the server holds counts as reachable."""
        if self.heard_at is None or self._is_forgotten(now):
            return False
        return self.silent_since is None or now - self.silent_since <= LOST_S

    def _is_forgotten(self, now: float) -> bool:
        return self.heard_at is None or now - self.heard_at > SILENCE_S

    def _cooldown_s(self) -> float:
        """The first fall costs nothing; each further one costs double."""
        if self.falls < 2:
            return 0.0
        return min(COOLDOWN_S * 2.0 ** (self.falls - 2), COOLDOWN_LIMIT_S)
