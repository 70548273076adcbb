"""Finds what requests that were in progress at crashed servers have in common.

The load that this answers: requests with one trait, no two alike, crash each server
that begins to answer them, and come at any instance. A crash by itself tells little, as
a server has many requests in progress. But the culprit is among them at each crash and
is never answered, whereas sound requests are answered sooner or later at some instance.

Servers also crash for reasons of their own, while a trait that most requests share
has not been answered anywhere yet. So a trait must explain which servers crashed better
than chance does: it counts where else its requests were in progress, and how long.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.request_trait import is_own

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = [
    "Crash",
    "CrashSuspects",
    "Explanation",
    "RUNNING_ACCURACY_S",
    "Running",
    "ServerStart",
    "Suspect",
]

CRASHES_TO_HOLD = 3
"""Successive crashes that the culprit must explain, if no other trait does as well."""

CRASHES_TO_HOLD_ANSWERED = 5
"""The same for a trait of requests that were answered before the crashes."""

CRASHES_TO_HOLD_ALL = 5
"""Successive crashes after which all traits that explain them equally are held."""

MIN_LIKELIHOOD_RATIO = 20.0
"""How much likelier the crashed servers must be with the trait as cause than by chance.

Independent crashes reach this for one in twenty widespread traits at most. Of a service
with fewer servers only their number is asked, as each crash there says less.
"""

CERTAIN_RATIO = 10.0
"""Ratio below which a hold is confirmed by an early trial."""

FEW_SERVERS = 3
"""Servers among which chance cannot be told from cause, so that crashes alone count."""

OTHER_REASON_FACTOR = 0.5
"""How each crash without the trait, among those with it, changes the ratio.

It shows that servers crash for another reason as well.
"""

MOST_OF_SERVERS = 0.5
"""Part of the servers whose crashes are enough, wherever else the requests were.

Other reasons end a smaller part of a service at once.
"""

RUNNING_MEMORY_S = 1.0
"""Time for which an attempt counts as in progress after it was last reported.

Attempts are reported again at each crash, but the reports take a moment.
"""

RUNNING_ACCURACY_S = 0.05
"""Difference between two times of sending below which only one is reported."""

MAX_RUNNING = 64
"""Servers that are remembered with requests in progress, for each trait."""

OVERLAPS = 2
"""Crashes that do not count if requests were sent before the crash before them."""

ANSWERED_BEFORE_S = 0.5
"""Time before a crash in which an answer still shows that a trait did not cause it."""

TOLERANCE_S = 0.02
"""Inaccuracy of times that come from other instances; two one-way delays."""

EVIDENCE_S = 600.0
"""Age above which a crash is forgotten."""

MAX_CRASHES = 64
MAX_SUSPECTS = 256
"""Suspects that are kept of each crash, those of the narrowest traits."""

MAX_ANSWERED = 4096
"""Traits whose last answer is remembered, the latest ones."""


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a backend server.

    Attributes:
        server: Id of the server.
        started_ms: Wall-clock time of the start in milliseconds.
    """

    server: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class Suspect:
    """A trait of requests that had no output when their server crashed.

    Attributes:
        depth: Position among the traits of its request; greater means narrower.
        sent_at: Monotonic time at which the latest of these requests was sent.
        first_sent_at: The same of the earliest one; `None` if that is not known.
        servers: Servers that such requests could be sent to; 0 if that is not known.
    """

    depth: int
    sent_at: float
    first_sent_at: float | None = None
    servers: int = 0

    @property
    def since(self) -> float:
        """Monotonic time from which such a request was in progress there."""
        return self.sent_at if self.first_sent_at is None else self.first_sent_at

    def merge(self, other: Suspect) -> Suspect:
        """Return what two reports of the same crash tell together."""
        return Suspect(
            max(self, other, key=lambda suspect: suspect.sent_at).depth,
            max(self.sent_at, other.sent_at),
            min(self.since, other.since),
            max(self.servers, other.servers),
        )


@dataclass(frozen=True, slots=True)
class Running:
    """Requests with a trait that are in progress at a server.

    Attributes:
        sent_at: Monotonic time at which the earliest of them was sent.
        seen_at: Monotonic time up to which they are known to be in progress.
    """

    sent_at: float
    seen_at: float


@dataclass
class Crash:
    """The end of a server with requests in progress.

    Attributes:
        at: Monotonic time of the end.
        suspects: Traits of the requests that had no output yet.
    """

    at: float
    suspects: dict[str, Suspect] = field(default_factory=dict)

    def add(self, suspects: Mapping[str, Suspect]) -> list[str]:
        """Add what was in progress at one instance.

        Returns:
            The traits that are left out from now on, as there are too many.
        """
        for trait, suspect in suspects.items():
            known = self.suspects.get(trait)
            self.suspects[trait] = suspect if known is None else known.merge(suspect)
        if len(self.suspects) <= MAX_SUSPECTS:
            return []
        ranked = sorted(self.suspects.items(), key=lambda item: -item[1].depth)
        self.suspects = dict(ranked[:MAX_SUSPECTS])
        return [trait for trait, _ in ranked[MAX_SUSPECTS:]]


@dataclass(frozen=True, slots=True)
class Explanation:
    """How well a trait explains crashes.

    Attributes:
        trait: The trait.
        is_new: Whether no request with the trait was ever answered.
        count: Crashes of which each began after the one before.
        depth: Narrowness of the trait.
        crashes: All crashes in which it was in progress.
        is_certain: Whether that is most unlikely to be chance.
    """

    trait: str
    is_new: bool
    count: int
    depth: int
    crashes: frozenset[ServerStart]
    is_certain: bool = True


def _is_enough(ratio: float, servers: int, crashes: int) -> bool:
    """Return whether a trait explains crashes so much better than chance does.

    Args:
        ratio: How much likelier the crashed servers are with the trait as cause.
        servers: Servers that such requests could be sent to.
        crashes: Crashes with the trait.
    """
    return (
        servers <= FEW_SERVERS
        or ratio >= min(MIN_LIKELIHOOD_RATIO, servers)
        or crashes >= max(CRASHES_TO_HOLD_ALL, MOST_OF_SERVERS * servers)
    )


def _count_successive(spans: list[tuple[float, float]]) -> int:
    """Count crashes of which each came after the one before.

    Servers that end at the same moment have one reason. Requests that were sent before
    the last crash was known show less than one that was sent after it.

    Args:
        spans: Time at which a request was sent and at which its server crashed, in the
            order of the crashes.
    """
    successive, ended_at = 0, float("-inf")
    apart, last_at = 0, float("-inf")
    for sent_at, at in spans:
        if sent_at >= ended_at - TOLERANCE_S:
            successive, ended_at = successive + 1, at
        if at > last_at + TOLERANCE_S:
            apart, last_at = apart + 1, at
    return max(successive, apart - OVERLAPS)


@dataclass
class CrashSuspects:
    """The crashes of all servers, and which traits explain them.

    Attributes:
        crashes: Crashes of servers, the latest ones.
        by_trait: Crashes that each trait was in progress at.
        answered_at: Monotonic time at which a request with a trait was last answered.
        running: Where else requests with a suspected trait are in progress.
    """

    crashes: dict[ServerStart, Crash] = field(default_factory=dict)
    by_trait: dict[str, set[ServerStart]] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    running: dict[str, dict[ServerStart, Running]] = field(default_factory=dict)

    def record_crash(
        self, at: float, start: ServerStart, suspects: Mapping[str, Suspect]
    ) -> None:
        """Record a crash, or more of what was in progress at a known one.

        Args:
            at: Monotonic time of the crash.
            start: The server.
            suspects: Traits of requests that had no output yet.
        """
        crash = self.crashes.get(start)
        if crash is None:
            crash = self.crashes[start] = Crash(at)
            while len(self.crashes) > MAX_CRASHES:
                self._forget(min(self.crashes, key=lambda x: self.crashes[x].at))
        crash.at = min(crash.at, at)
        for trait in crash.add(suspects):
            self._forget_suspect(trait, start)
        for trait in suspects:
            if trait in crash.suspects and start in self.crashes:
                self.by_trait.setdefault(trait, set()).add(start)

    def doubtful_traits(self) -> set[str]:
        """Return the traits that the next crash may show to be the cause."""
        return {
            trait
            for trait, starts in self.by_trait.items()
            if len(starts) >= CRASHES_TO_HOLD - 1
        }

    def record_running(self, trait: str, start: ServerStart, running: Running) -> bool:
        """Record that requests with a suspected trait are in progress at a server.

        Returns:
            Whether that says more than was known.
        """
        if trait not in self.by_trait:
            return False
        servers = self.running.setdefault(trait, {})
        known = servers.get(start)
        if known is None and len(servers) >= MAX_RUNNING:
            return False
        if known is None or running.sent_at > known.seen_at + RUNNING_MEMORY_S:
            servers[start] = running
            return True
        servers[start] = Running(
            min(known.sent_at, running.sent_at), max(known.seen_at, running.seen_at)
        )
        return (
            running.sent_at < known.sent_at - RUNNING_ACCURACY_S
            or running.seen_at > known.seen_at + RUNNING_MEMORY_S / 2
        )

    def expire(self, now: float) -> None:
        """Forget crashes of long ago."""
        for start, crash in list(self.crashes.items()):
            if now - crash.at > EVIDENCE_S:
                self._forget(start)

    def record_answered(self, at: float, traits: Iterable[str]) -> list[str]:
        """Record that a server has begun to answer a request.

        Args:
            at: Monotonic time of the first output.
            traits: Traits of the request.

        Returns:
            The traits that were suspected until now.
        """
        cleared = [trait for trait in traits if self._is_suspected_at(trait, at)]
        for trait in traits:
            if is_own(trait) and trait not in cleared:
                # Almost none of them comes again, and all would displace the others.
                continue
            latest = max(at, self.answered_at.pop(trait, at))
            self.answered_at[trait] = latest
        while len(self.answered_at) > MAX_ANSWERED:
            del self.answered_at[next(iter(self.answered_at))]
        return cleared

    def crashes_with(self, trait: str) -> frozenset[ServerStart]:
        """Return the crashes for which a trait is still suspected."""
        return frozenset(
            start
            for start in self.by_trait.get(trait, ())
            if self._incriminates(trait, self.crashes[start]) is not None
        )

    def explain(self, now: float, settle_s: float) -> list[Explanation]:
        """Return the traits that must be what crashes servers, as far as is known.

        Args:
            now: Monotonic time.
            settle_s: Time after a crash within which all instances have reported
                what was answered; the first crash that a trait explains must be as old.
        """
        traits = [
            trait
            for trait, starts in self.by_trait.items()
            if len(starts) >= CRASHES_TO_HOLD
        ]
        explained: set[ServerStart] = set()
        found: list[Explanation] = []
        while True:
            ranked = sorted(
                (
                    explanation
                    for trait in traits
                    if (
                        explanation := self._explain_by(
                            trait, now - settle_s, explained
                        )
                    )
                ),
                key=lambda item: (item.is_new, item.count, item.depth, item.trait),
                reverse=True,
            )
            if not ranked:
                return found
            held = self._pick(ranked)
            if not held:
                return found
            found += held
            explained.update(*(item.crashes for item in held))

    def _pick(self, ranked: list[Explanation]) -> list[Explanation]:
        """Return the best of the explanations, if it is good enough."""
        best = ranked[0]
        equal = [
            item
            for item in ranked
            if (item.is_new, item.count) == (best.is_new, best.count)
        ]
        rivals = [
            item
            for item in equal[1:]
            if item.crashes & best.crashes
            # A wider trait of the same requests is no rival.
            and not (item.crashes == best.crashes and item.depth < best.depth)
        ]
        if not rivals:
            return [best]
        if best.count >= CRASHES_TO_HOLD_ALL:
            return [best, *rivals]
        return []

    def _explain_by(
        self, trait: str, settled_at: float, explained: set[ServerStart]
    ) -> Explanation | None:
        """Return how a trait explains further crashes; `None` if too few."""
        involved = [
            (crash.at, suspect, start)
            for start in self.by_trait[trait] - explained
            if (crash := self.crashes[start])
            and (suspect := self._incriminates(trait, crash)) is not None
        ]
        if len(involved) < CRASHES_TO_HOLD:
            return None
        involved.sort(key=lambda item: item[0])
        if involved[0][0] > settled_at:
            return None
        count = _count_successive(
            [(suspect.sent_at, at) for at, suspect, _ in involved]
        )
        is_new = trait not in self.answered_at
        if count < (CRASHES_TO_HOLD if is_new else CRASHES_TO_HOLD_ANSWERED):
            return None
        others = self._count_others(involved, explained)
        ratio, servers = self._weigh(trait, involved, others)
        if not _is_enough(ratio, servers, len(involved)):
            return None
        depth = max(suspect.depth for _, suspect, _ in involved)
        starts = frozenset(start for _, _, start in involved)
        is_certain = servers <= FEW_SERVERS or ratio >= CERTAIN_RATIO
        return Explanation(trait, is_new, count, depth, starts, is_certain)

    def _count_others(
        self,
        involved: list[tuple[float, Suspect, ServerStart]],
        explained: set[ServerStart],
    ) -> int:
        """Count unexplained crashes without a trait, among those with it."""
        starts = explained.union(start for _, _, start in involved)
        first_at, last_at = involved[0][0], involved[-1][0]
        return sum(
            start not in starts and first_at <= crash.at <= last_at
            for start, crash in self.crashes.items()
        )

    def _weigh(
        self,
        trait: str,
        involved: list[tuple[float, Suspect, ServerStart]],
        others: int,
    ) -> tuple[float, int]:
        """Return how well a trait explains which servers crashed.

        By chance each server is as likely to crash as any other. If the trait is the
        cause, it is one of those with such requests in progress, and rather one where
        they have run for longer. A trait that is in progress everywhere, and has run
        elsewhere past the age at which its supposed victims crashed, gains nothing.

        Args:
            trait: The trait.
            involved: Time, suspect and server of each crash, in the order of time.
            others: Crashes without the trait in the same time.

        Returns:
            How much likelier these servers are with the trait as cause than by chance,
            and the number of servers that such requests could be sent to.
        """
        ratio, most = OTHER_REASON_FACTOR**others, 1
        for at, suspect, start in involved:
            if not suspect.servers:
                # Reported by an instance of an earlier version.
                return math.inf, most
            since = [
                sent_at
                for other, sent_at in self._exposed(trait, at).items()
                if other != start
            ]
            exposed = len(since) + 1
            rank = 1 + sum(sent_at < suspect.since for sent_at in since)
            servers = max(suspect.servers, exposed)
            ratio *= servers / rank / sum(1 / n for n in range(1, exposed + 1))
            most = max(most, servers)
        return ratio, most

    def _exposed(self, trait: str, at: float) -> dict[ServerStart, float]:
        """Return where requests with a trait were in progress, and from what time."""
        since = {
            start: running.sent_at
            for start, running in self.running.get(trait, {}).items()
            if running.sent_at <= at <= running.seen_at + RUNNING_MEMORY_S
            and (start not in self.crashes or self.crashes[start].at > at)
        }
        for start in self.by_trait[trait]:
            suspect = self.crashes[start].suspects[trait]
            if suspect.since <= at < self.crashes[start].at:
                since[start] = min(suspect.since, since.get(start, suspect.since))
        return since

    def _forget(self, start: ServerStart) -> None:
        for trait in self.crashes.pop(start).suspects:
            self._forget_suspect(trait, start)

    def _forget_suspect(self, trait: str, start: ServerStart) -> None:
        starts = self.by_trait.get(trait, set())
        starts.discard(start)
        if not starts:
            self.by_trait.pop(trait, None)
            self.running.pop(trait, None)

    def _incriminates(self, trait: str, crash: Crash) -> Suspect | None:
        """Return the part of a trait in a crash; `None` if an answer clears it."""
        suspect = crash.suspects.get(trait)
        if suspect is None:
            return None
        answered_at = self.answered_at.get(trait, float("-inf"))
        return suspect if answered_at < crash.at - ANSWERED_BEFORE_S else None

    def _is_suspected_at(self, trait: str, at: float) -> bool:
        return any(
            self.crashes[start].at <= at + ANSWERED_BEFORE_S
            for start in self.crashes_with(trait)
        )
