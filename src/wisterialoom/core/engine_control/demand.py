"""Demand for models and adapters: reports to the planner, and averages there."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import ClassVar, TYPE_CHECKING

from wisterialoom.core.fleet.peer import DemandReport, SendPeer
from wisterialoom.core.fleet.rendezvous import rank
from wisterialoom.core.message import Event, Tick
from wisterialoom.core.notice import DemandMeasured, MembersChanged

if TYPE_CHECKING:
    from wisterialoom.core.message import Output
    from wisterialoom.core.notice import Member

__all__ = ["Demand", "DemandAverages", "ModelDemand", "planner_of"]

PLANNER_KEY = "planner"
REPORT_INTERVAL_S = 1.0
"""Time between two reports of what changed, in seconds."""

REFRESH_INTERVAL_S = 10.0
"""Time between two reports of everything, in seconds."""

SOURCE_LIMIT_S = 25.0
"""A source that has not reported for this long counts no more, in seconds."""

CHANGE = 0.1
"""Least relative change of a rate that is reported."""

FAST_S = 10.0
"""Time constant of the fast average, in seconds."""

SLOW_S = 120.0
"""Time constant of the slow average, in seconds."""

LEAST_RATE = 0.001
"""A rate below this counts as none, in requests a second."""


def planner_of(members: tuple[Member, ...]) -> Member | None:
    """Return the member that plans, the first by rendezvous hashing."""
    names = {member.name: member for member in members}
    ranked = rank(PLANNER_KEY, names)
    return names[ranked[0]] if ranked else None


class Demand:
    """Reports this instance's demand to the planner, changes only.

    Attributes:
        name: Name of this entry instance.
        planner: The member that plans; `None` before any is known.
        seen: Newest demand here.
        reported: What the planner was told.
    """

    listens: ClassVar[tuple[type[Event], ...]] = (DemandMeasured, MembersChanged, Tick)

    def __init__(self, name: str) -> None:
        self.name = name
        self.planner: Member | None = None
        self.seen = DemandMeasured()
        self.reported = DemandReport()
        self.report_due = 0.0
        self.refresh_due = 0.0

    def handle(self, now: float, event: Event) -> list[Output]:
        """Take one event; see `Part`."""
        match event:
            case DemandMeasured():
                self.seen = event
            case MembersChanged(members=members):
                planner = planner_of(members)
                if planner != self.planner:
                    self.refresh_due = now
                self.planner = planner
            case Tick() if now >= self.report_due:
                self.report_due = now + REPORT_INTERVAL_S
                return self._report(now)
        return []

    def _report(self, now: float) -> list[Output]:
        planner = self.planner
        if planner is None or planner.name == self.name:
            return []
        if now >= self.refresh_due:
            self.refresh_due = now + REFRESH_INTERVAL_S
            self.reported = DemandReport()
        rates = _changes(self.reported.rates, self.seen.rates)
        waiting = _changes(self.reported.waiting, self.seen.waiting)
        report = DemandReport(
            rates=rates, waiting={key: int(count) for key, count in waiting.items()}
        )
        if not rates and not waiting and self.reported.rates:
            return []
        self.reported = DemandReport(dict(self.seen.rates), dict(self.seen.waiting))
        return [SendPeer(planner.name, planner.address, report)]


def _changes(
    old: dict[str, float] | dict[str, int], new: dict[str, float] | dict[str, int]
) -> dict[str, float]:
    """Return what is new, changed by much, or gone (as 0)."""
    changed: dict[str, float] = {}
    for key in {*old, *new}:
        before, after = old.get(key, 0), new.get(key, 0)
        crossed = (before > 0) is not (after > 0)
        if crossed or abs(after - before) > CHANGE * max(before, after):
            changed[key] = after
    return changed


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for one model or adapter over the whole deployment.

    Attributes:
        fast: Requests a second, averaged over seconds.
        slow: The same over minutes.
        waiting: Requests that wait now.
        waiting_s: For how long some have been waiting without a break.
    """

    fast: float = 0.0
    slow: float = 0.0
    waiting: int = 0
    waiting_s: float = 0.0

    @property
    def rate(self) -> float:
        """Rate to provide for: rises fast and falls slowly."""
        return max(self.fast, self.slow)

    @property
    def wanted(self) -> bool:
        """There is any demand."""
        return self.waiting > 0 or self.rate > 0


@dataclass
class DemandAverages:
    """Adds up what the sources report, and keeps moving averages.

    Attributes:
        sources: Rates and waiting requests by source.
        heard_at: When each source last reported.
        fast: Fast averages by name.
        slow: Slow averages by name.
        waiting_since: Since when some requests have been waiting.
    """

    sources: dict[str, tuple[dict[str, float], dict[str, int]]] = field(
        default_factory=dict
    )
    heard_at: dict[str, float] = field(default_factory=dict)
    fast: dict[str, float] = field(default_factory=dict)
    slow: dict[str, float] = field(default_factory=dict)
    waiting_since: dict[str, float] = field(default_factory=dict)
    averaged_at: float | None = None

    def take(
        self, now: float, source: str, rates: dict[str, float], waiting: dict[str, int]
    ) -> None:
        """Merge a report of what changed."""
        known_rates, known_waiting = self.sources.setdefault(source, ({}, {}))
        known_rates.update(rates)
        known_waiting.update(waiting)
        self.heard_at[source] = now

    def replace(
        self, now: float, source: str, rates: dict[str, float], waiting: dict[str, int]
    ) -> None:
        """Take a report of everything."""
        self.sources[source] = (dict(rates), dict(waiting))
        self.heard_at[source] = now

    def average(self, now: float) -> dict[str, ModelDemand]:
        """Move the averages to this moment and return the demand by name."""
        self._forget_sources(now)
        rates, waiting = self._sums()
        elapsed = 0.0 if self.averaged_at is None else now - self.averaged_at
        first = self.averaged_at is None
        self.averaged_at = now
        for averages, constant in ((self.fast, FAST_S), (self.slow, SLOW_S)):
            keep = 0.0 if first else math.exp(-elapsed / constant)
            _move(averages, rates, keep)
        self._note_waiting(now, waiting)
        names = sorted({*self.fast, *self.slow, *waiting})
        return {
            name: ModelDemand(
                self.fast.get(name, 0.0),
                self.slow.get(name, 0.0),
                waiting.get(name, 0),
                now - self.waiting_since.get(name, now),
            )
            for name in names
        }

    def _forget_sources(self, now: float) -> None:
        for source, heard_at in list(self.heard_at.items()):
            if now - heard_at > SOURCE_LIMIT_S:
                del self.heard_at[source]
                del self.sources[source]

    def _sums(self) -> tuple[dict[str, float], dict[str, int]]:
        rates: dict[str, float] = {}
        waiting: dict[str, int] = {}
        for some_rates, some_waiting in self.sources.values():
            for name, rate in some_rates.items():
                rates[name] = rates.get(name, 0.0) + rate
            for name, count in some_waiting.items():
                waiting[name] = waiting.get(name, 0) + count
        return rates, {name: count for name, count in waiting.items() if count > 0}

    def _note_waiting(self, now: float, waiting: dict[str, int]) -> None:
        for name in [x for x in self.waiting_since if x not in waiting]:
            del self.waiting_since[name]
        for name in waiting:
            self.waiting_since.setdefault(name, now)


def _move(averages: dict[str, float], rates: dict[str, float], keep: float) -> None:
    for name in {*averages, *rates}:
        rate = rates.get(name, 0.0)
        moved = rate + (averages.get(name, 0.0) - rate) * keep
        if moved >= LEAST_RATE:
            averages[name] = moved
        else:
            averages.pop(name, None)
