"""Rise and fall counts and a cooldown for each backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerHealth"]

MIN_ANSWERING_S = 2.0
"""Time that a server must answer before it may be given models, in seconds."""

UNREACHABLE_AFTER_S = 20.0
"""After this long without an answer, what a server holds is out of reach."""

REPORT_TIMEOUT_S = 120.0
"""Without any report for this long, a server counts as not answering, in seconds.

Reports that say nothing new are repeated only every half minute or so.
"""

COOLDOWN_S = 20.0
"""First cooldown of a server that came back, in seconds."""

MAX_COOLDOWN_S = 320.0
"""Longest cooldown, in seconds."""

STABLE_S = 600.0
"""After this long without a fall, the cooldown starts over, in seconds."""


@dataclass(slots=True)
class ServerHealth:
    """Whether one server may be given models, without following each flap.

    Attributes:
        reported_at: When it was last reported.
        answers_since: When it began to answer; `None` while it does not.
        unresponsive_since: When it was reported as not answering; `None` while it does.
        failures: Times it fell silent or restarted since it was last stable.
        failed_at: When it last did.
        incarnation: As last reported; a restart counts as a fall.
    """

    reported_at: float | None = None
    answers_since: float | None = None
    unresponsive_since: float | None = None
    failures: int = 0
    failed_at: float | None = None
    incarnation: str = ""

    def report(self, now: float, incarnation: str, *, answers: bool = True) -> None:
        """Note a report of the server.

        Args:
            now: Monotonic time in seconds.
            incarnation: As reported; a change counts as a fall.
            answers: The server answers its steward.
        """
        self.reported_at = now
        restarted = answers and self.incarnation not in ("", incarnation)
        if restarted or (not answers and self.answers_since is not None):
            self._record_failure(now)
        if not answers:
            self.answers_since = None
            self.unresponsive_since = (
                now if self.unresponsive_since is None else self.unresponsive_since
            )
            return
        self.incarnation = incarnation
        self.unresponsive_since = None
        if restarted or self.answers_since is None:
            self.answers_since = now

    def _record_failure(self, now: float) -> None:
        if self.failed_at is not None and now - self.failed_at > STABLE_S:
            self.failures = 0
        self.failures += 1
        self.failed_at = now

    def is_usable(self, now: float) -> bool:
        """Tell whether the server may be given models."""
        if self.answers_since is None or self._is_timed_out(now):
            return False
        if now - self.answers_since < MIN_ANSWERING_S:
            return False
        return self.failed_at is None or now - self.failed_at >= self._cooldown_s()

    def is_serving(self, now: float) -> bool:
        """Tell whether what the server holds counts as reachable."""
        if self.reported_at is None or self._is_timed_out(now):
            return False
        return (
            self.unresponsive_since is None
            or now - self.unresponsive_since <= UNREACHABLE_AFTER_S
        )

    def _is_timed_out(self, now: float) -> bool:
        return self.reported_at is None or now - self.reported_at > REPORT_TIMEOUT_S

    def _cooldown_s(self) -> float:
        """The first fall costs nothing; each further one costs double."""
        if self.failures < 2:
            return 0.0
        return min(COOLDOWN_S * 2.0 ** (self.failures - 2), MAX_COOLDOWN_S)
