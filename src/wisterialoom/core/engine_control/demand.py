"""Demand for models and adapters: reports to the planner and its averages."""

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
"""Key by which the planner is chosen by rendezvous hashing."""

REPORT_INTERVAL_S = 1.0
"""Time between two reports of changes, in seconds."""

REFRESH_INTERVAL_S = 10.0
"""Time between two full reports, in seconds."""

SOURCE_TIMEOUT_S = 25.0
"""A source that has not reported for this long is dropped, in seconds."""

MIN_RELATIVE_CHANGE = 0.1
"""Relative change of a rate above which it is reported again."""

FAST_S = 10.0
"""Time constant of the fast average, in seconds."""

SLOW_S = 120.0
"""Time constant of the slow average, in seconds."""

MIN_RATE = 0.001
"""An average below this is dropped, in requests per second."""


def planner_of(members: tuple[Member, ...]) -> Member | None:
    """Return the member that plans, the first by rendezvous hashing, if any."""
    names = {member.name: member for member in members}
    ranked = rank(PLANNER_KEY, names)
    return names[ranked[0]] if ranked else None


class Demand:
    """Reports this instance's demand to the planner.

    Only changes are reported, except for a full report every `REFRESH_INTERVAL_S`
    and to a new planner.

    Attributes:
        name: Name of this entry instance.
        planner: The member that plans; `None` before any is known.
        seen: Newest demand at this instance.
        reported: Demand as last reported to the planner.
        report_due: When the next report is due.
        refresh_due: When the next full report is due.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        DemandMeasured,
        MembersChanged,
        Tick,
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.planner: Member | None = None
        self.seen = DemandMeasured()
        self.reported = DemandReport()
        self.report_due = 0.0
        self.refresh_due = 0.0

    def handle(self, now: float, event: Event) -> list[Output]:
        """Handle one event; see `Part`."""
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
    """Return what is new, has changed considerably, or is gone (as 0)."""
    changed: dict[str, float] = {}
    for key in {*old, *new}:
        before, after = old.get(key, 0), new.get(key, 0)
        appeared_or_gone = (before > 0) is not (after > 0)
        if appeared_or_gone or abs(after - before) > MIN_RELATIVE_CHANGE * max(
            before, after
        ):
            changed[key] = after
    return changed


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for one model or adapter over the whole deployment.

    Attributes:
        fast: Requests per second, averaged over seconds.
        slow: Requests per second, averaged over minutes.
        waiting: Requests that wait now.
        waiting_s: For how long requests have been waiting without a break, in
            seconds.
    """

    fast: float = 0.0
    slow: float = 0.0
    waiting: int = 0
    waiting_s: float = 0.0

    @property
    def rate(self) -> float:
        """Rate to plan for, which rises quickly and falls slowly."""
        return max(self.fast, self.slow)

    @property
    def is_positive(self) -> bool:
        """Whether there is any demand."""
        return self.waiting > 0 or self.rate > 0


@dataclass
class DemandAverages:
    """Sums up the demand that the instances report, and keeps moving averages.

    Attributes:
        sources: Rates and waiting requests by the instance that reported them.
        reported_at: When each instance last reported.
        fast: Fast averages by model or adapter.
        slow: Slow averages by model or adapter.
        waiting_since: Since when there have been waiting requests, by model or
            adapter.
        averaged_at: When the averages were last updated; `None` before the first
            time.
    """

    sources: dict[str, tuple[dict[str, float], dict[str, int]]] = field(
        default_factory=dict
    )
    reported_at: dict[str, float] = field(default_factory=dict)
    fast: dict[str, float] = field(default_factory=dict)
    slow: dict[str, float] = field(default_factory=dict)
    waiting_since: dict[str, float] = field(default_factory=dict)
    averaged_at: float | None = None

    def merge(
        self, now: float, source: str, rates: dict[str, float], waiting: dict[str, int]
    ) -> None:
        """Merge a report of changes."""
        known_rates, known_waiting = self.sources.setdefault(source, ({}, {}))
        known_rates.update(rates)
        known_waiting.update(waiting)
        self.reported_at[source] = now

    def replace(
        self, now: float, source: str, rates: dict[str, float], waiting: dict[str, int]
    ) -> None:
        """Replace the demand of a source by a full report."""
        self.sources[source] = (dict(rates), dict(waiting))
        self.reported_at[source] = now

    def average(self, now: float) -> dict[str, ModelDemand]:
        """Update the averages and return the demand by model or adapter."""
        self._drop_timed_out_sources(now)
        rates, waiting = self._sum_sources()
        elapsed = 0.0 if self.averaged_at is None else now - self.averaged_at
        first = self.averaged_at is None
        self.averaged_at = now
        for averages, constant in ((self.fast, FAST_S), (self.slow, SLOW_S)):
            old_share = 0.0 if first else math.exp(-elapsed / constant)
            _update_averages(averages, rates, old_share)
        self._record_waiting(now, waiting)
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

    def _drop_timed_out_sources(self, now: float) -> None:
        for source, reported_at in list(self.reported_at.items()):
            if now - reported_at > SOURCE_TIMEOUT_S:
                del self.reported_at[source]
                del self.sources[source]

    def _sum_sources(self) -> tuple[dict[str, float], dict[str, int]]:
        rates: dict[str, float] = {}
        waiting: dict[str, int] = {}
        for source_rates, source_waiting in self.sources.values():
            for name, rate in source_rates.items():
                rates[name] = rates.get(name, 0.0) + rate
            for name, count in source_waiting.items():
                waiting[name] = waiting.get(name, 0) + count
        return rates, {name: count for name, count in waiting.items() if count > 0}

    def _record_waiting(self, now: float, waiting: dict[str, int]) -> None:
        for name in [x for x in self.waiting_since if x not in waiting]:
            del self.waiting_since[name]
        for name in waiting:
            self.waiting_since.setdefault(name, now)


def _update_averages(
    averages: dict[str, float], rates: dict[str, float], old_share: float
) -> None:
    for name in {*averages, *rates}:
        rate = rates.get(name, 0.0)
        moved = rate + (averages.get(name, 0.0) - rate) * old_share
        if moved >= MIN_RATE:
            averages[name] = moved
        else:
            averages.pop(name, None)
