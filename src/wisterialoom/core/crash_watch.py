"""Decides which requests crash servers, together with all other instances.

An attempt that is lost before any output is suspected once its server turns out to be
down. Each instance reports to the others what it had in progress there, and what it saw
answered; all come to the same verdicts, and report those to each other as well.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from wisterialoom.core.crash_suspects import (
    Crash,
    CrashSuspects,
    Running,
    RUNNING_ACCURACY_S,
    ServerStart,
    Suspect,
)
from wisterialoom.core.fleet import rendezvous
from wisterialoom.core.quarantine import Quarantine, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from wisterialoom.core.crash_suspects import Explanation

Key = TypeVar("Key")

__all__ = [
    "AnsweredTraits",
    "CrashMessage",
    "CrashSeen",
    "CrashWatch",
    "HeldTraits",
    "InProgress",
    "shift",
]

DECIDE_INTERVAL_S = 0.05
"""Interval between two decisions while servers have crashed lately."""

MIN_INTERVAL_S = 0.01
"""Least interval between two decisions; after a crash each instance reports it."""

IDLE_INTERVAL_S = 0.5
"""Interval between two decisions while only older holds are known."""

UNDECIDED_S = 0.5
"""Time after a crash within which all messages about it arrive."""

LOSS_MEMORY_S = 5.0
"""Time for which a lost attempt is kept in case its server turns out to be down."""

RESEND_S = 0.3
"""Time after which a crash is reported once more, as messages can be lost."""

ANSWER_MEMORY_S = 60.0
"""Age up to which an answer is reported after a crash."""

ANSWER_SPREAD_S = 0.001
"""Time for each instance over which reports are spread, so that few repeat it."""

MAX_ANSWER_SPREAD_S = 0.1

ROUND_TRIP_S = 0.03
"""Time in which a report reaches all instances, and theirs this one."""

RECENTLY_ANSWERED_S = 1.0
"""Age up to which an answer contradicts a hold that another instance decided."""

LOOK_INTERVAL_S = 0.02
"""Least interval between two looks at all attempts in progress."""

TRIAL_TURN_S = 10.0
"""Time after which the next instance may make a trial, if the one before did not."""

MAX_LOSSES = 64

MAX_REPORTED = 64
"""Traits in one message; further ones follow with the next."""


@dataclass(frozen=True, slots=True)
class CrashSeen:
    """A server crashed; what one instance had in progress there without output.

    Attributes:
        start: The server.
        at: Monotonic time of the crash.
        suspects: Traits of the requests in progress.
    """

    start: ServerStart
    at: float
    suspects: Mapping[str, Suspect]


@dataclass(frozen=True, slots=True)
class AnsweredTraits:
    """Requests with some traits were answered, or are in progress unharmed.

    Attributes:
        times: Monotonic time of the last answer by trait.
        running: Where requests with a trait are in progress, by trait, with the
            monotonic time at which the earliest was sent.
    """

    times: Mapping[str, float]
    running: Mapping[str, Mapping[ServerStart, float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HeldTraits:
    """Which requests are held back, and which no longer are.

    Attributes:
        verdicts: Verdict by trait.
    """

    verdicts: Mapping[str, Verdict]


CrashMessage = CrashSeen | AnsweredTraits | HeldTraits


@dataclass(frozen=True, slots=True)
class InProgress:
    """An attempt in progress.

    Attributes:
        start: Its server.
        sent_at: Monotonic time at which it was sent.
        traits: Traits of the request.
    """

    start: ServerStart
    sent_at: float
    traits: Sequence[str]


def shift(message: CrashMessage, by_s: float) -> CrashMessage:
    """Return a message with all its times changed, as clocks of instances differ.

    Args:
        message: The message.
        by_s: Seconds to add to each time.
    """
    match message:
        case CrashSeen(start=start, at=at, suspects=suspects):
            moved = {
                trait: Suspect(
                    suspect.depth,
                    suspect.sent_at + by_s,
                    None
                    if suspect.first_sent_at is None
                    else suspect.first_sent_at + by_s,
                    suspect.servers,
                )
                for trait, suspect in suspects.items()
            }
            return CrashSeen(start, at + by_s, moved)
        case AnsweredTraits(times=times, running=running):
            moved_running = {
                trait: {start: at + by_s for start, at in servers.items()}
                for trait, servers in running.items()
            }
            return AnsweredTraits(
                {trait: at + by_s for trait, at in times.items()}, moved_running
            )
        case HeldTraits():
            return message


@dataclass
class CrashWatch:
    """Follows crashes, and what is held back because of them.

    Attributes:
        me: Name of this instance.
        instances: Names of all instances, this one included.
        suspects: Crashes, and what explains them.
        quarantine: What is held back.
        losses: Attempts that were lost at servers that may be down.
        outbox: Messages to all instances, with the time at which each is due.
        answers: Times at which answered traits are due to be reported.
        unreported: Times at which verdicts are due to be reported.
        in_progress: Returns the attempts in progress at this instance.
        exposed: Times at which servers with requests in progress are due to be
            reported, by trait and server.
        looked_at: Monotonic time of the last look at what is in progress.
        down: Servers with losses that are known to be down.
        wake: Called when there is something to decide or to report.
        undecided_until: Monotonic time until which the latest crash may change what is
            held.
        decided_at: Monotonic time of the last decision.
        has_new_evidence: Whether more was learned of a crash since then.
        crash_count: Crashes that were seen since the start.
        rng: Draws delays.
    """

    me: str = ""
    instances: frozenset[str] = frozenset()
    suspects: CrashSuspects = field(default_factory=CrashSuspects)
    quarantine: Quarantine = field(default_factory=Quarantine)
    losses: dict[ServerStart, Crash] = field(default_factory=dict)
    outbox: list[tuple[float, CrashMessage]] = field(default_factory=list)
    answers: dict[str, float] = field(default_factory=dict)
    unreported: dict[str, float] = field(default_factory=dict)
    in_progress: Callable[[], Iterable[InProgress]] = tuple
    exposed: dict[tuple[str, ServerStart], float] = field(default_factory=dict)
    looked_at: float = float("-inf")
    down: set[ServerStart] = field(default_factory=set)
    wake: Callable[[], None] = lambda: None
    undecided_until: float = float("-inf")
    decided_at: float = float("-inf")
    has_new_evidence: bool = False
    crash_count: int = 0
    rng: random.Random = field(default_factory=random.Random)

    def pause_s(self, now: float) -> float | None:
        """Return the time until the next decision; `None` if none is needed."""
        due = self.outbox or self.answers or self.unreported or self.exposed
        if due or now < self.undecided_until:
            return MIN_INTERVAL_S if self.has_new_evidence else DECIDE_INTERVAL_S
        return IDLE_INTERVAL_S if self.quarantine.entries else None

    # What this instance sees.

    def record_output(self, now: float, traits: Sequence[str]) -> None:
        """Record that a server has begun to answer a request."""
        cleared = self.suspects.record_answered(now, traits)
        for trait in traits:
            self._release(now, trait)
        self._plan_answers(now, cleared)

    def record_loss(
        self,
        now: float,
        start: ServerStart,
        sent_at: float,
        traits: Sequence[str],
        servers: int = 0,
    ) -> None:
        """Record an attempt that was lost without output.

        Args:
            now: Monotonic time.
            start: The server.
            sent_at: Monotonic time at which the request was sent.
            traits: Traits of the request, the widest first.
            servers: Servers that it could be sent to; 0 if that is not known.
        """
        suspects = {
            trait: Suspect(depth, sent_at, sent_at, servers)
            for depth, trait in enumerate(traits)
        }
        self.losses.setdefault(start, Crash(now)).add(suspects)
        if start in self.suspects.crashes:
            self._set_down(start)
        while len(self.losses) > MAX_LOSSES:
            del self.losses[next(iter(self.losses))]

    def record_down(self, start: ServerStart) -> None:
        """Record that a server is down, no longer listed, or has started again."""
        if start in self.losses:
            self._set_down(start)

    # What other instances report.

    def handle(self, now: float, message: CrashMessage) -> None:
        """Handle a message of another instance."""
        match message:
            case CrashSeen():
                self._record_crash(now, message)
                self.record_down(message.start)
                self._plan_answers(now, self._answered_since(now, message))
            case AnsweredTraits(times=times, running=running):
                for trait, at in times.items():
                    self.suspects.record_answered(min(at, now), [trait])
                    self.answers.pop(trait, None)
                for trait, servers in running.items():
                    for start, sent_at in servers.items():
                        self._record_reported(now, trait, start, min(sent_at, now))
            case HeldTraits(verdicts=verdicts):
                for trait in self.quarantine.merge(now, verdicts):
                    answered_at = self.suspects.answered_at.get(trait, float("-inf"))
                    if now - answered_at < RECENTLY_ANSWERED_S:
                        self._release(now, trait)
                for trait, verdict in self.quarantine.verdicts(verdicts).items():
                    if verdict.order <= verdicts[trait].order:
                        # Another instance has reported the same.
                        self.unreported.pop(trait, None)

    # Decisions.

    def decide(self, now: float) -> list[Explanation]:
        """Hold back what explains crashes; return what is held from now on."""
        for start in self.down:
            self._report_losses(now, start)
        self.down.clear()
        for start, loss in list(self.losses.items()):
            if now - loss.at > LOSS_MEMORY_S:
                del self.losses[start]
        self.quarantine.expire(now)
        if now >= self.undecided_until or now < self.decided_at + MIN_INTERVAL_S:
            return []
        self.decided_at = now
        self.has_new_evidence = False
        self.suspects.expire(now)
        self._look_for_running(now)
        found = self.suspects.explain(now, ROUND_TRIP_S + self._answer_spread_s)
        explained = frozenset().union(*(item.crashes for item in found))
        traits = {item.trait for item in found}
        for trait, verdict in self.quarantine.verdicts().items():
            crashes = self.suspects.crashes_with(trait)
            if (
                verdict.held
                and trait not in traits
                and crashes
                and crashes <= explained
            ):
                # Another trait explains all that this one was held for, and more.
                self._release(now, trait)
        held = [
            item
            for item in found
            if self.quarantine.hold(
                now, item.trait, was_answered=not (item.is_new and item.is_certain)
            )
        ]
        for item in held:
            # All instances come to the same verdict; few report it.
            self.unreported[item.trait] = now + self._draw_delay_s()
        return held

    def begin_trial(self, now: float, trait: str) -> bool:
        """Return whether one request with a held trait is to be sent now.

        One instance is asked first, the others in turn if it has no such request.
        """
        if not self.quarantine.trial_due(now, trait):
            return False
        names = rendezvous.rank(trait, self.instances | {self.me})
        turn_s = TRIAL_TURN_S * names.index(self.me)
        if not self.quarantine.trial_due(now - turn_s, trait):
            return False
        self.quarantine.begin_trial(now, trait)
        self.unreported[trait] = now
        self.wake()
        return True

    def take_messages(self, now: float) -> list[CrashMessage]:
        """Return what is due to be reported to all other instances."""
        due = [message for at, message in self.outbox if at <= now]
        self.outbox = [(at, message) for at, message in self.outbox if at > now]
        answered_at = self.suspects.answered_at
        answered = [
            trait for trait in _take_due(self.answers, now) if trait in answered_at
        ]
        running = self._take_running(now)
        if answered or running:
            due.append(
                AnsweredTraits(
                    {trait: answered_at[trait] for trait in answered}, running
                )
            )
        verdicts = self.quarantine.verdicts(_take_due(self.unreported, now))
        if verdicts:
            due.append(HeldTraits(verdicts))
        return due

    # Helpers.

    def _record_crash(self, now: float, seen: CrashSeen) -> None:
        self.undecided_until = now + UNDECIDED_S
        self.has_new_evidence = True
        if seen.start not in self.suspects.crashes:
            self.crash_count += 1
        self.suspects.record_crash(seen.at, seen.start, seen.suspects)

    def _set_down(self, start: ServerStart) -> None:
        """Let the next decision report what was lost at a server, all at once."""
        self.down.add(start)
        self.wake()

    def _report_losses(self, now: float, start: ServerStart) -> None:
        loss = self.losses.pop(start, None)
        if loss is None or now - loss.at > LOSS_MEMORY_S:
            return
        seen = CrashSeen(start, loss.at, loss.suspects)
        self._record_crash(now, seen)
        self.outbox += [(now, seen), (now + RESEND_S, seen)]

    def _release(self, now: float, trait: str) -> None:
        if self.quarantine.release(now, trait):
            self.unreported[trait] = now
            self.wake()

    def _answered_since(self, now: float, seen: CrashSeen) -> list[str]:
        """Return suspects of a crash that this instance knows to be answered."""
        answered_at = self.suspects.answered_at
        return [
            trait
            for trait in seen.suspects
            if now - answered_at.get(trait, float("-inf")) < ANSWER_MEMORY_S
        ]

    def _plan_answers(self, now: float, traits: Iterable[str]) -> None:
        """Report soon that traits were answered, unless another instance does first."""
        for trait in traits:
            self.answers.setdefault(trait, now + self._draw_delay_s())
            self.wake()

    def _look_for_running(self, now: float) -> None:
        """Record where else requests are in progress that crashes may be due to.

        What no other instance has reported yet is reported soon.
        """
        traits = self.suspects.doubtful_traits()
        if not traits or now < self.looked_at + LOOK_INTERVAL_S:
            return
        self.looked_at = now
        for attempt in self.in_progress():
            if attempt.start in self.suspects.crashes:
                continue
            for trait in traits.intersection(attempt.traits):
                running = Running(attempt.sent_at, now)
                if self.suspects.record_running(trait, attempt.start, running):
                    # The earliest attempt says most, and makes others needless.
                    delay_s = self._draw_delay_s() / (1 + 4 * (now - attempt.sent_at))
                    self.exposed[trait, attempt.start] = now + delay_s

    def _record_reported(
        self, now: float, trait: str, start: ServerStart, sent_at: float
    ) -> None:
        """Record what another instance has in progress, and report no less."""
        self.suspects.record_running(trait, start, Running(sent_at, now))
        known = self.suspects.running.get(trait, {}).get(start)
        if known is None or known.sent_at >= sent_at - RUNNING_ACCURACY_S:
            self.exposed.pop((trait, start), None)

    def _take_running(self, now: float) -> dict[str, dict[ServerStart, float]]:
        """Remove what is due to be reported of requests in progress."""
        taken: dict[str, dict[ServerStart, float]] = {}
        for trait, start in _take_due(self.exposed, now):
            known = self.suspects.running.get(trait, {}).get(start)
            if known is not None:
                taken.setdefault(trait, {})[start] = known.sent_at
        return taken

    def _draw_delay_s(self) -> float:
        return self.rng.uniform(0.0, self._answer_spread_s)

    @property
    def _answer_spread_s(self) -> float:
        return min(MAX_ANSWER_SPREAD_S, ANSWER_SPREAD_S * len(self.instances))


def _take_due(times: dict[Key, float], now: float) -> list[Key]:
    """Remove what is due from a table of times, as far as it fits into a message."""
    due = [key for key, at in times.items() if at <= now][:MAX_REPORTED]
    for key in due:
        del times[key]
    return due
