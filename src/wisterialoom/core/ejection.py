"""Outlier ejection of servers after consecutive failures, with growing cooldowns."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Ejection"]

FAILURES_TO_EJECT = 3
"""Consecutive failures after which a server is ejected."""

FIRST_COOLDOWN_S = 2.0
MAX_COOLDOWN_S = 60.0

FIRST_SILENCE_COOLDOWN_S = 0.25
"""First cooldown of a server that fell silent; it may go on at any moment."""

COOLDOWN_RESET_S = 60.0
"""Time without a failure after which the cooldown returns to its initial length."""


@dataclass
class Ejection:
    """Health of one backend server, derived from the results of attempts.

    Attributes:
        failures: Number of consecutive failures.
        cooldown_s: Length of the next ejection in seconds.
        silence_cooldown_s: The same for a server that is silent, up to `cooldown_s`.
        ejected_at: Monotonic time at which it was last ejected.
        until: Monotonic time at which the current ejection ends.
        last_failure: Monotonic time of the last failure.
        probing: Whether the server gets only one request at a time, after an ejection
            and until a request succeeds.
        silent: Whether the current ejection is for silence, which any answer ends.
    """

    failures: int = 0
    cooldown_s: float = FIRST_COOLDOWN_S
    silence_cooldown_s: float = FIRST_SILENCE_COOLDOWN_S
    ejected_at: float = float("-inf")
    until: float = 0.0
    last_failure: float = 0.0
    probing: bool = False
    silent: bool = False

    def allows(self, now: float, in_flight: int) -> bool:
        """Return whether the server may get a request now."""
        if now < self.until:
            return False
        return not self.probing or in_flight == 0

    def record_success(self, now: float) -> None:
        """Record a success."""
        self.failures = 0
        self.probing = False
        if self.silent:
            self.silent = False
            self.until = now
        if now - self.last_failure > COOLDOWN_RESET_S:
            self.cooldown_s = FIRST_COOLDOWN_S
            self.silence_cooldown_s = FIRST_SILENCE_COOLDOWN_S

    def record_failure(
        self,
        now: float,
        sent_at: float,
        *,
        silent: bool = False,
        grows: bool = True,
    ) -> None:
        """Record a failure; eject after several, or at once while probing.

        Args:
            now: Monotonic time.
            sent_at: Monotonic time at which the request was sent. One that was in
                progress when the server was ejected says nothing new.
            silent: Whether the server took the request, but sent nothing in time.
            grows: Whether the next cooldown is longer. Not if no connection was made:
                such a probe costs little, and the fault may be on this side.
        """
        if sent_at < self.ejected_at:
            return
        self.failures += 1
        self.last_failure = now
        if self.failures < FAILURES_TO_EJECT and not self.probing:
            return
        self.ejected_at = now
        self.silent = silent
        if silent and self.silence_cooldown_s < self.cooldown_s:
            self.until = now + self.silence_cooldown_s
            self.silence_cooldown_s *= 2
        else:
            self.until = now + self.cooldown_s
            if grows:
                self.cooldown_s = min(self.cooldown_s * 2, MAX_COOLDOWN_S)
        self.failures = 0
        self.probing = True
