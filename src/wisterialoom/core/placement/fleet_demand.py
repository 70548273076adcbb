"""Demand for models and adapters, merged from the reports of all instances."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["DemandReport", "FleetDemand", "version_key"]

VERSION_MARK = "\0"
"""Stands between a model and the software version at which it is wanted.

Lease holders of earlier versions take the two for the name of an unknown model, and
ignore it.
"""

REPORT_MAX_AGE_S = 2.5
"""Age above which an instance's waiting and running requests are ignored."""

RATE_WINDOW_S = 3.0
"""Time constant of the arrival rates, within which they follow a shift of demand."""


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand that one instance reports.

    Attributes:
        instance: Name of the instance.
        boot: Identity of the instance's process.
        waiting: Number of waiting requests, by model and adapter; also, by
            `version_key`, models that streams wait for which have begun at a version.
        arrivals: Number of requests since the start of the process, by model and
            adapter; contains only counts that changed recently.
        running: Requests in progress, by backend server, then model and adapter.
    """

    instance: str
    boot: str
    waiting: dict[str, int]
    arrivals: dict[str, int]
    running: dict[str, dict[str, int]]


def version_key(model: str, version: str) -> str:
    """Return the key of a model that is wanted at a software version."""
    return f"{model}{VERSION_MARK}{version}"


@dataclass
class _InstanceDemand:
    """Last report of one instance, and the counts that were last added to the rates."""

    boot: str
    report: DemandReport
    received_at: float
    arrivals: dict[str, int] = field(default_factory=dict)


@dataclass
class FleetDemand:
    """Merges the reports of all instances.

    Attributes:
        instances: Last report of each instance.
        rates: Requests per second, by model and adapter, as of `rated_at`.
        rated_at: Monotonic time of each rate, by model and adapter.
        last_arrival: Monotonic time of the last request, by model and adapter.
    """

    instances: dict[str, _InstanceDemand] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    rated_at: dict[str, float] = field(default_factory=dict)
    last_arrival: dict[str, float] = field(default_factory=dict)

    def take(self, now: float, report: DemandReport) -> None:
        """Record an instance's report."""
        entry = self.instances.get(report.instance)
        if entry is None or entry.boot != report.boot:
            entry = _InstanceDemand(report.boot, report, now)
            # The first report of a process only sets the baseline of its counters.
            entry.arrivals = dict(report.arrivals)
            self.instances[report.instance] = entry
            for resource in report.waiting:
                if VERSION_MARK in resource:
                    continue
                self._add(now, resource, 1)
            return
        entry.report = report
        entry.received_at = now
        for resource, count in report.arrivals.items():
            # Instances report only counts that changed recently. Of a count that was
            # not reported before, only one request is known to be new.
            new_requests = count - entry.arrivals.get(resource, count - 1)
            if new_requests > 0:
                entry.arrivals[resource] = count
                self._add(now, resource, new_requests)

    def _add(self, now: float, resource: str, count: int) -> None:
        self.rates[resource] = self._decayed(now, resource) + count / RATE_WINDOW_S
        self.rated_at[resource] = now
        self.last_arrival[resource] = now

    def _decayed(self, now: float, resource: str) -> float:
        rate = self.rates.get(resource, 0.0)
        age = now - self.rated_at.get(resource, now)
        return rate * math.exp(-age / RATE_WINDOW_S)

    def rate(self, now: float, resource: str) -> float:
        """Return the requests per second for a model and adapter."""
        return self._decayed(now, resource)

    def model_rates(self, now: float) -> dict[str, float]:
        """Return the requests per second by model, including its adapters."""
        found: dict[str, float] = {}
        for resource in self.rates:
            model = resource.partition("/")[0]
            found[model] = found.get(model, 0.0) + self._decayed(now, resource)
        return found

    def waiting(self, now: float) -> dict[str, int]:
        """Return the number of waiting requests, by model and adapter."""
        return {
            resource: count
            for resource, count in self._waiting(now).items()
            if VERSION_MARK not in resource
        }

    def wanted_versions(self, now: float) -> set[tuple[str, str]]:
        """Return models that streams wait for, with the version that began them."""
        found = set()
        for resource in self._waiting(now):
            model, mark, version = resource.partition(VERSION_MARK)
            if mark:
                found.add((model, version))
        return found

    def _waiting(self, now: float) -> dict[str, int]:
        found: dict[str, int] = {}
        for entry in self.instances.values():
            if now - entry.received_at > REPORT_MAX_AGE_S:
                continue
            for resource, count in entry.report.waiting.items():
                found[resource] = found.get(resource, 0) + count
        return found

    def waiting_by_instance(self, now: float) -> dict[str, set[str]]:
        """Return the models and adapters that each instance's requests wait for."""
        return {
            name: set(entry.report.waiting)
            for name, entry in self.instances.items()
            if entry.report.waiting and now - entry.received_at <= REPORT_MAX_AGE_S
        }

    def running(self, now: float) -> dict[str, dict[str, int]]:
        """Return the requests in progress, by server, then model and adapter."""
        found: dict[str, dict[str, int]] = {}
        for entry in self.instances.values():
            if now - entry.received_at > REPORT_MAX_AGE_S:
                continue
            for server_id, counts in entry.report.running.items():
                total = found.setdefault(server_id, {})
                for resource, count in counts.items():
                    total[resource] = total.get(resource, 0) + count
        return found

    def forget_old(self, now: float) -> None:
        """Drop instances whose last report is ten times as old as the maximum age."""
        for name, entry in list(self.instances.items()):
            if now - entry.received_at > 10 * REPORT_MAX_AGE_S:
                del self.instances[name]
