"""Decides whether the API keys of the configuration can still be relied on.

A revoked key must not be used later than a bound after the store has acknowledged a
configuration without it, also at an instance that has lost the store, was paused, or
has its configuration from a store that came back from an older copy. An instance
therefore counts how long ago its configuration was certainly the newest, and refuses
keys well before the bound.

All times are of a clock that includes time spent suspended. That the configuration was
current is known from two sources, and both give a time that is too early rather than
too late:

- an own call to the store shows the state at some time after the call began;
- an answer of another instance to a question of this one was made after the question
  was sent, so a configuration that was current `age` before the answer was current
  `age` before the question. Neither the time of the answer's transfer nor a pause of
  one of the processes matters. A message that was not asked for could have waited in
  the socket of a paused process, and confirms nothing.
"""

from __future__ import annotations

__all__ = ["KeyValidity"]

VOUCH_SHARE = 0.9
"""Age of the configuration up to which keys are accepted, as a share of the bound.

The rest covers the send itself and different rates of the clocks. A confirmation is at
most some 0.3 of the bound old when the path to the store is lost, so keys are refused
no earlier than 0.6 of the bound after that.
"""

ASK_SHARE = 0.2
"""Age above which other instances are asked, as a share of the bound.

The instances that read the store confirm their view more often than that.
"""

ASK_INTERVAL_SHARE = 0.05
"""Time between two questions, as a share of the bound; ten fit before keys are refused.
"""

SETTLE_SHARE = 0.4
"""Time after the first view for which other instances may contradict the store.

A store that came back from an older copy may have an older configuration, which only
the other instances know. An instance that started since then asks them first.
"""

MAX_QUESTIONS = 64
"""Questions without an answer that are remembered."""


class KeyValidity:
    """Tracks since when the configuration may be outdated.

    Attributes:
        strict: Whether keys are refused when the configuration is too old.
        revoke_s: Time in seconds after which a revoked key must not be used.
        current_at: Time at which the configuration was known to be the newest.
        is_settled: Whether no other instance had a newer configuration than the store.
        first_view_at: Time of the first view; `None` before it.
        known_version: Newest version that another instance has named.
        asked_at: Time of the last question.
        questions: Times of the questions by serial number, the oldest first.
        serial: Serial number of the last question.
    """

    def __init__(self, *, is_settled: bool = False) -> None:
        self.strict = False
        self.revoke_s = 5.0
        self.current_at = float("-inf")
        self.is_settled = is_settled
        self.first_view_at: float | None = None
        self.known_version = 0
        self.asked_at = float("-inf")
        self.questions: dict[int, float] = {}
        self.serial = 0

    def set_limits(self, *, strict: bool, revoke_s: float) -> None:
        """Set the bound on the use of revoked keys."""
        self.strict = strict
        self.revoke_s = revoke_s

    def record_version(self, version: int) -> None:
        """Record a version of the configuration that another instance has."""
        self.known_version = max(self.known_version, version)

    def record_read(
        self, now: float, began_at: float, version: int, *, restored: bool = True
    ) -> None:
        """Record an own call to the store that found nothing newer.

        Args:
            now: Time in seconds.
            began_at: Time at which the call began; minus infinity before the first.
            version: Version of the configuration in force here; below 0 if none is.
            restored: Whether the store may have come back from an older copy. One that
                has not cannot lack a configuration, so that no other instance needs to
                be asked; after an end of all instances none could answer.
        """
        if version < 0:
            return
        if self.first_view_at is None:
            self.first_view_at = now
        if version < self.known_version:
            # The store lacks a configuration that another instance has.
            return
        settles_at = self.first_view_at + SETTLE_SHARE * self.revoke_s
        if not restored or now >= settles_at:
            self.is_settled = True
        if self.is_settled:
            self.current_at = max(self.current_at, began_at)

    def ask(self, now: float) -> int | None:
        """Return the serial number of a question that is due; `None` if none is."""
        if not self.strict or now - self.asked_at < ASK_INTERVAL_SHARE * self.revoke_s:
            return None
        if self.is_settled and now - self.current_at < ASK_SHARE * self.revoke_s:
            return None
        self.asked_at = now
        self.serial += 1
        self.questions[self.serial] = now
        while len(self.questions) > MAX_QUESTIONS:
            del self.questions[next(iter(self.questions))]
        return self.serial

    def record_answer(
        self, serial: int, answered: int, age_s: float, version: int
    ) -> bool:
        """Record another instance's answer; return whether it confirms anything.

        Args:
            serial: Serial number of the question; others than the own are ignored.
            answered: Version of the configuration that the other instance has.
            age_s: Time since it was known there to be the newest.
            version: Version in force here; below 0 if none is.
        """
        self.record_version(answered)
        asked_at = self.questions.get(serial)
        if asked_at is None or version < self.known_version or not age_s >= 0:
            return False
        self.is_settled = True
        self.current_at = max(self.current_at, asked_at - age_s)
        return True

    def age_s(self, now: float) -> float:
        """Return the time since the configuration was known to be the newest."""
        return now - self.current_at

    def can_vouch(self, now: float) -> bool:
        """Return whether keys of the configuration can be relied on."""
        return not self.strict or self.age_s(now) <= VOUCH_SHARE * self.revoke_s
