"""Health of a backend server as seen by the planner, with a growing cooldown."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerHealth"]

MIN_ANSWERING_S = 2.0
"""How long a server must have answered before it may be given models, in seconds."""

UNREACHABLE_AFTER_S = 20.0
"""How long a server may be unreachable until its models do not count, in seconds."""

REPORT_TIMEOUT_S = 120.0
"""A server without any report for this long counts as unresponsive, in seconds.

Unchanged reports are repeated only about every half minute.
"""

COOLDOWN_S = 20.0
"""Cooldown of a server after its second failure, in seconds; then it doubles."""

MAX_COOLDOWN_S = 320.0
"""Longest cooldown, in seconds."""

STABLE_S = 600.0
"""After this long without a failure, failures are counted from 0, in seconds."""


@dataclass(slots=True)
class ServerHealth:
    """Whether one server may be given models, damped against flapping.

    Attributes:
        reported_at: When the server was last reported.
        answers_since: When it started to answer its controller; `None` while it
            does not.
        unresponsive_since: When it was first reported as not answering; `None`
            while it answers.
        failures: How often it stopped answering or restarted since it was last
            stable.
        failed_at: When it last stopped answering or restarted.
        incarnation: Incarnation last reported while the server answered.
    """

    reported_at: float | None = None
    answers_since: float | None = None
    unresponsive_since: float | None = None
    failures: int = 0
    failed_at: float | None = None
    incarnation: str = ""

    def report(self, now: float, incarnation: str, *, answers: bool = True) -> None:
        """Record a report of the server.

        Args:
            now: Monotonic time in seconds.
            incarnation: Incarnation of the server; a change is a restart, which counts
                as a failure.
            answers: Whether the server answers its controller.
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
        """Return whether the server may be given models."""
        if self.answers_since is None or self._is_timed_out(now):
            return False
        if now - self.answers_since < MIN_ANSWERING_S:
            return False
        return self.failed_at is None or now - self.failed_at >= self._cooldown_s()

    def is_serving(self, now: float) -> bool:
        """Return whether the models of the server count as reachable."""
        if self.reported_at is None or self._is_timed_out(now):
            return False
        return (
            self.unresponsive_since is None
            or now - self.unresponsive_since <= UNREACHABLE_AFTER_S
        )

    def _is_timed_out(self, now: float) -> bool:
        return self.reported_at is None or now - self.reported_at > REPORT_TIMEOUT_S

    def _cooldown_s(self) -> float:
        """Return the cooldown: none after the first failure, then doubling."""
        if self.failures < 2:
            return 0.0
        return min(COOLDOWN_S * 2.0 ** (self.failures - 2), MAX_COOLDOWN_S)
