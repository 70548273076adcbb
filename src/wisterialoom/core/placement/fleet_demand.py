"""What all instances together ask for, from the reports of each."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["DemandReport", "FleetDemand"]

REPORT_MAX_AGE_S = 2.5
"""Age after which an instance's waiting and running requests no longer count."""

RATE_WINDOW_S = 3.0
"""Time constant of the arrival rates; a shift of demand shows within it."""


@dataclass(frozen=True, slots=True)
class DemandReport:
    """What one instance asks for.

    Attributes:
        instance: Its name.
        boot: Identity of its process.
        waiting: Requests that wait, by model and adapter.
        arrivals: Requests since the start of the process, by model and adapter;
            only those that have changed lately.
        running: Requests in progress, by backend server, then model and adapter.
    """

    instance: str
    boot: str
    waiting: dict[str, int]
    arrivals: dict[str, int]
    running: dict[str, dict[str, int]]


@dataclass
class _InstanceDemand:
    boot: str
    report: DemandReport
    at: float
    arrivals: dict[str, int] = field(default_factory=dict)


@dataclass
class FleetDemand:
    """Merges the reports of all instances.

    Attributes:
        instances: Last report of each instance.
        rates: Requests a second, by model and adapter, as of `rated_at`.
        last_arrival: Monotonic time of the last request, by model and adapter.
    """

    instances: dict[str, _InstanceDemand] = field(default_factory=dict)
    rates: dict[str, float] = field(default_factory=dict)
    rated_at: dict[str, float] = field(default_factory=dict)
    last_arrival: dict[str, float] = field(default_factory=dict)

    def take(self, now: float, report: DemandReport) -> None:
        """Take an instance's report."""
        known = self.instances.get(report.instance)
        if known is None or known.boot != report.boot:
            known = _InstanceDemand(report.boot, report, now)
            # The first report of a process sets the counts to compare with.
            known.arrivals = dict(report.arrivals)
            self.instances[report.instance] = known
            for resource in report.waiting:
                self._add(now, resource, 1)
            return
        known.report = report
        known.at = now
        for resource, count in report.arrivals.items():
            # An instance tells only what changed lately: of a count that was not
            # told before, one request is known to be new.
            more = count - known.arrivals.get(resource, count - 1)
            if more > 0:
                known.arrivals[resource] = count
                self._add(now, resource, more)

    def _add(self, now: float, resource: str, count: int) -> None:
        self.rates[resource] = self._decayed(now, resource) + count / RATE_WINDOW_S
        self.rated_at[resource] = now
        self.last_arrival[resource] = now

    def _decayed(self, now: float, resource: str) -> float:
        rate = self.rates.get(resource, 0.0)
        age = now - self.rated_at.get(resource, now)
        return rate * math.exp(-age / RATE_WINDOW_S)

    def rate(self, now: float, resource: str) -> float:
        """Return the requests a second for a model and adapter."""
        return self._decayed(now, resource)

    def model_rates(self, now: float) -> dict[str, float]:
        """Return the requests a second by model, its adapters included."""
        found: dict[str, float] = {}
        for resource in self.rates:
            model = resource.partition("/")[0]
            found[model] = found.get(model, 0.0) + self._decayed(now, resource)
        return found

    def waiting(self, now: float) -> dict[str, int]:
        """Return the requests that wait, by model and adapter."""
        found: dict[str, int] = {}
        for known in self.instances.values():
            if now - known.at > REPORT_MAX_AGE_S:
                continue
            for resource, count in known.report.waiting.items():
                found[resource] = found.get(resource, 0) + count
        return found

    def waiting_instances(self, now: float) -> list[str]:
        """Return the instances whose requests wait."""
        return [
            name
            for name, known in self.instances.items()
            if known.report.waiting and now - known.at <= REPORT_MAX_AGE_S
        ]

    def running(self, now: float) -> dict[str, dict[str, int]]:
        """Return the requests in progress, by server, then model and adapter."""
        found: dict[str, dict[str, int]] = {}
        for known in self.instances.values():
            if now - known.at > REPORT_MAX_AGE_S:
                continue
            for server_id, counts in known.report.running.items():
                total = found.setdefault(server_id, {})
                for resource, count in counts.items():
                    total[resource] = total.get(resource, 0) + count
        return found

    def forget_old(self, now: float) -> None:
        """Drop instances that were not heard for long, and rates near zero."""
        for name, known in list(self.instances.items()):
            if now - known.at > 10 * REPORT_MAX_AGE_S:
                del self.instances[name]
