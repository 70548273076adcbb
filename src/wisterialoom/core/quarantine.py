"""Holds requests back that crash servers, and tries them again a few times.

All instances hold the same traits: each change of a verdict has a version, and the
highest one counts. A held trait is tried by one instance, alone, in growing intervals;
an answer ends the hold. Only so many trials are made, as each may cost a server.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["Quarantine", "Verdict"]

TRIALS_AFTER_S = (30.0, 300.0, 3600.0)
"""Time from a hold or a trial to the next trial; none after the last one."""

TRIAL_OF_ANSWERED_S = 2.0
"""Time to the first trial of a trait that was answered before its hold.

The same goes for one that may have been in progress at the crashed servers by chance.
The trial comes soon, as callers do not repeat what is held. It costs one server more if
the hold is right.
"""

HOLD_S = 86_400.0
"""Time after which a hold ends by itself, since the last trial."""

RELEASED_MEMORY_S = 600.0
"""Time for which the end of a hold is remembered, so that it does not come back."""

MAX_VERDICTS = 256


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether requests with a trait are held back.

    Attributes:
        version: Increases with each change.
        held: Whether they are held back.
        trials: Trials that were begun.
        was_answered: Whether such requests were answered before the hold, or the
            evidence is weak for another reason.
    """

    version: int
    held: bool
    trials: int = 0
    was_answered: bool = False

    @property
    def order(self) -> tuple[int, bool, int]:
        """Key by which the greater of two verdicts counts."""
        return (self.version, self.held, self.trials)

    @property
    def trial_after_s(self) -> float | None:
        """Time from this verdict to the next trial; `None` if there is none."""
        if self.trials >= len(TRIALS_AFTER_S):
            return None
        if self.was_answered and not self.trials:
            return TRIAL_OF_ANSWERED_S
        return TRIALS_AFTER_S[self.trials]


@dataclass(frozen=True, slots=True)
class _Entry:
    """A verdict, and the monotonic time at which this instance learned of it."""

    verdict: Verdict
    since: float


@dataclass
class Quarantine:
    """The traits of requests that are held back.

    Attributes:
        entries: Verdict by trait.
        held_count: Number of traits that are held.
        revision: Increases with each change.
    """

    entries: dict[str, _Entry] = field(default_factory=dict)
    held_count: int = 0
    revision: int = 0

    def held_trait(self, traits: Iterable[str]) -> str | None:
        """Return a trait for which a request is held back; `None` if it is not."""
        if not self.held_count:
            return None
        return next((trait for trait in traits if self.is_held(trait)), None)

    def is_held(self, trait: str) -> bool:
        """Return whether requests with a trait are held back."""
        entry = self.entries.get(trait)
        return entry is not None and entry.verdict.held

    def hold(self, now: float, trait: str, *, was_answered: bool) -> bool:
        """Hold requests with a trait back; return whether that is new."""
        if self.is_held(trait):
            return False
        version = self._version(trait) + 1
        self._set(now, trait, Verdict(version, held=True, was_answered=was_answered))
        return True

    def release(self, now: float, trait: str) -> bool:
        """End the hold of a trait; return whether it was held."""
        if not self.is_held(trait):
            return False
        self._set(now, trait, Verdict(self._version(trait) + 1, held=False))
        return True

    def merge(self, now: float, verdicts: Mapping[str, Verdict]) -> list[str]:
        """Take over what another instance knows; return the traits that it changed."""
        newer = [
            trait
            for trait, verdict in verdicts.items()
            if trait not in self.entries
            or verdict.order > self.entries[trait].verdict.order
        ]
        for trait in newer:
            self._set(now, trait, verdicts[trait])
        return newer

    def trial_due(self, now: float, trait: str) -> bool:
        """Return whether a held trait may be tried again."""
        entry = self.entries.get(trait)
        if entry is None or not entry.verdict.held:
            return False
        after_s = entry.verdict.trial_after_s
        return after_s is not None and now >= entry.since + after_s

    def begin_trial(self, now: float, trait: str) -> None:
        """Record that one request with a held trait is sent to a server."""
        verdict = self.entries[trait].verdict
        tried = replace(verdict, version=verdict.version + 1, trials=verdict.trials + 1)
        self._set(now, trait, tried)

    def expire(self, now: float) -> None:
        """End holds that are over, and forget those that ended long ago.

        Each instance does so by itself.
        """
        for trait, entry in list(self.entries.items()):
            age_s = now - entry.since
            if entry.verdict.held and age_s >= HOLD_S:
                self.release(now, trait)
            elif not entry.verdict.held and age_s >= RELEASED_MEMORY_S:
                del self.entries[trait]

    def verdicts(self, traits: Iterable[str] | None = None) -> dict[str, Verdict]:
        """Return what is known of some traits, or of all."""
        chosen = self.entries.keys() if traits is None else traits
        return {
            trait: self.entries[trait].verdict
            for trait in chosen
            if trait in self.entries
        }

    def _version(self, trait: str) -> int:
        entry = self.entries.get(trait)
        return entry.verdict.version if entry is not None else 0

    def _set(self, now: float, trait: str, verdict: Verdict) -> None:
        self.entries[trait] = _Entry(verdict, now)
        self.revision += 1
        while len(self.entries) > MAX_VERDICTS:
            oldest = min(
                self.entries,
                key=lambda x: (self.entries[x].verdict.held, self.entries[x].since),
            )
            del self.entries[oldest]
        self.held_count = sum(entry.verdict.held for entry in self.entries.values())
