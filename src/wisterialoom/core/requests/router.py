"""Selection of a backend server for a request."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.brittle_services import BrittleServices
from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.request_limit import LimitMemory, LimitShares
from wisterialoom.core.requests.classifier import model_lane, service_lane
from wisterialoom.core.requests.prefix_index import PrefixIndex
from wisterialoom.core.requests.request_queue import effective_priority
from wisterialoom.core.requests.selection_policy import (
    LeastCost,
    PowerOfTwoChoices,
    RandomSelection,
    SelectionPolicy,
)
from wisterialoom.core.requests.server_view import ServerView
from wisterialoom.core.window import (
    FIRST_FILL,
    FixedShare,
    OVERSUBSCRIPTION,
    WAITING_FILL,
    Window,
    WindowPolicy,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wisterialoom.core.configuration.document import Document, ServerGroup
    from wisterialoom.core.fleet.peer import ServerLoad
    from wisterialoom.core.notice import BackendServer
    from wisterialoom.core.requests.request import Classified

__all__ = ["Router"]

DEFAULT_SERVICE_TIME_S = 2.0
"""Service time assumed for a lane without completed requests, in seconds."""

SERVICE_SMOOTHING = 0.1
"""Weight of the newest request in exponentially smoothed times."""

BLOCK_PREFILL_S = 0.01
"""Prefill time assumed to be saved by one cached prefix block, in seconds."""

DEFAULT_SERVICE_SLOTS = 64
"""Concurrent requests at a server whose group is not configured."""

MAX_REPORTS = 4_096
"""Greatest number of load reports kept, including those of unlisted servers."""

LOAD_REPORT_TRUST_S = 3.0
"""Age in seconds up to which a load report is used to estimate waits."""


@dataclass
class Router:
    """Holds the views of all backend servers, and selects among them.

    Attributes:
        availability_zone: Availability zone of this instance.
        policy: Policy that determines in-flight limits.
        choice: Policy that selects a server among those with free slots.
        rng: Random numbers for the policies that need them.
        views: Views by server name.
        sharing_instances: Number of entry instances that share the servers.
        delays_s: One-way delay in seconds, by other availability zone.
        service_s: Smoothed service time of a request in seconds, by lane.
        first_output_s: Smoothed time from dispatch to first output in seconds, by
            lane.
        first_priority: Smallest priority number of all traffic classes, which goes
            first.
        reports: Last load report and its time of receipt, by server, listed or not.
        prefixes: Prompt prefixes by server.
        groups: Server groups by name.
        service_selectors: Selectors of the plain services that traffic rules use.
        versions: Configured version by model or adapter.
        bases: Base model by adapter.
        held_off_until: Monotonic time from which every server wants requests.
        limit_shares: Divides the limits that servers name among the instances.
        brittle: Spares servers that fall over if they turn many requests away.
        limits: Remembers the limits that servers named.
        rests: Monotonic time until which an incarnation of a server wants nothing, by
            name and incarnation, also while it is not listed.
    """

    availability_zone: str
    policy: WindowPolicy = field(default_factory=FixedShare)
    choice: SelectionPolicy = field(default_factory=LeastCost)
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    views: dict[str, ServerView] = field(default_factory=dict)
    sharing_instances: int = 1
    delays_s: dict[str, float] = field(default_factory=dict)
    service_s: dict[str, float] = field(default_factory=dict)
    first_output_s: dict[str, float] = field(default_factory=dict)
    first_priority: int = 0
    reports: dict[str, tuple[float, ServerLoad]] = field(default_factory=dict)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    groups: dict[str, ServerGroup] = field(default_factory=dict)
    service_selectors: tuple[str, ...] = ()
    versions: dict[str, str] = field(default_factory=dict)
    bases: dict[str, str] = field(default_factory=dict)
    held_off_until: float = 0.0
    limit_shares: LimitShares = field(default_factory=LimitShares)
    limits: LimitMemory = field(default_factory=LimitMemory)
    brittle: BrittleServices = field(default_factory=BrittleServices)
    rests: dict[tuple[str, str], float] = field(default_factory=dict)

    def configure(self, document: Document) -> None:
        """Apply a configuration document."""
        self.groups = {item.name: item for item in document.server_groups}
        selectors = {rule.servers for rule in document.traffic if rule.servers}
        self.service_selectors = tuple(sorted(selectors))
        self.versions = {item.name: item.version for item in document.models}
        self.versions |= {item.name: item.version for item in document.adapters}
        self.bases = {item.name: item.model for item in document.adapters}
        priorities = [item.priority for item in document.traffic_classes]
        self.first_priority = min(priorities, default=0)
        for zone in document.availability_zones:
            if zone.name == self.availability_zone:
                self.delays_s = {k: v / 1e3 for k, v in zone.delay_ms.items()}
        for view in self.views.values():
            self._update_lanes(view)

    def set_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Replace the set of known backend servers."""
        names = {server.name for server in servers}
        for name in [name for name in self.views if name not in names]:
            self._close(name)
        for server in servers:
            self._set_server(server)

    def _close(self, name: str) -> None:
        view = self.views[name]
        view.is_listed = False
        view.lanes = frozenset()
        if not view.window.in_flight:
            del self.views[name]
            self.prefixes.forget(name)

    def _set_server(self, server: BackendServer) -> None:
        view = self.views.get(server.name)
        if view is None or view.server.incarnation != server.incarnation:
            old = view
            view = ServerView(server, Window(self.policy, self._slots(server)))
            if old is not None:
                view.window.in_flight = old.window.in_flight
            view.limit = self.limits.limit_of(
                server.name, server.incarnation, self.limit_shares
            )
            view.brittle = self.brittle
            view.held_off_until = self.rests.get((server.name, server.incarnation), 0.0)
            self.views[server.name] = view
            self.prefixes.forget(server.name)
        view.server = server
        view.is_listed = True
        self._apply_report(view)
        self._update_lanes(view)

    def _apply_report(self, view: ServerView) -> None:
        """Apply a load report that was received before its server was listed."""
        found = self.reports.get(view.server.name)
        if found is None or view.load is not None:
            return
        at, load = found
        if load.incarnation in ("", view.server.incarnation):
            view.load = load
            view.load_received_at = at

    def _slots(self, server: BackendServer) -> int:
        group = self.groups.get(server.group)
        return group.slots if group is not None else DEFAULT_SERVICE_SLOTS

    def _update_lanes(self, view: ServerView) -> None:
        view.window.resize(self._slots(view.server), self.sharing_instances)
        if view.server.kind == "service":
            view.lanes = frozenset(
                service_lane(text)
                for text in self.service_selectors
                if Selector.parse(text).matches(view.server.labels)
            )
        elif view.load is not None:
            view.lanes = frozenset(self._resident_lanes(view.load))

    def _resident_lanes(self, load: ServerLoad) -> Iterator[str]:
        draining = set(load.draining)
        usable = {text for text in load.resident if text not in draining}
        names = {ModelKey.parse(text).name for text in usable}
        for text in usable:
            name = ModelKey.parse(text).name
            base = self.bases.get(name)
            if name in self.versions and (base is None or base in names):
                yield model_lane(name)

    def set_instances(self, now: float, names: Iterable[str]) -> None:
        """Set the entry instances that share the servers and their limits."""
        self.limit_shares.set_instances(now, names)
        self.set_sharing_instances(len(self.limit_shares.names))

    def set_sharing_instances(self, sharing_instances: int) -> None:
        """Set the number of entry instances that share the servers."""
        self.sharing_instances = max(1, sharing_instances)
        for view in self.views.values():
            view.window.resize(self._slots(view.server), self.sharing_instances)

    def report(self, now: float, load: ServerLoad) -> ServerView | None:
        """Record a load report and return the view that it changed, if any."""
        view = self.views.get(load.server)
        self.reports[load.server] = (now, load)
        while len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]
        if view is None:
            return None
        view.load = load
        view.load_received_at = now
        view.window.report(now, load.running, load.waiting)
        self._update_lanes(view)
        return view

    def candidates(self, now: float, lane: str) -> list[ServerView]:
        """Return the servers that serve a lane, with or without free slots."""
        return [view for view in self.views.values() if view.serves(now, lane)]

    def hold_off(self, now: float, view: ServerView, for_s: float) -> None:
        """Record that a server wants no requests for some time."""
        view.hold_off(now, for_s)
        self.held_off_until = max(self.held_off_until, view.held_off_until)
        self.rests = {key: until for key, until in self.rests.items() if now < until}
        self.rests[view.server.name, view.server.incarnation] = view.held_off_until

    def record_limit(
        self,
        now: float,
        view: ServerView,
        limit_per_s: float | None,
        *,
        asked_at: float,
    ) -> None:
        """Record the rate of requests in an answer of a server.

        Args:
            now: Monotonic time in seconds.
            view: The server.
            limit_per_s: Requests a second that it accepts from all instances
                together; `None` if the answer names no limit.
            asked_at: Monotonic time at which the request was sent.
        """
        if not view.limit.record(now, limit_per_s, asked_at=asked_at):
            return
        server = view.server
        self.limits.remember(server.name, server.incarnation, view.limit)

    def hold_off_s(self, now: float, lane: str) -> float:
        """Return the time until some server of a lane wants requests; 0 if one does."""
        if now >= self.held_off_until and not self.limits.limits:
            return 0.0
        until = (view.wanted_at(now) for view in self.candidates(now, lane))
        return max(0.0, min(until, default=0.0) - now)

    def choose(
        self, now: float, classified: Classified, avoid: frozenset[str] = frozenset()
    ) -> ServerView | None:
        """Return the best server with a free slot, or `None`.

        Args:
            now: Monotonic time in seconds.
            classified: The request.
            avoid: Servers at which an attempt failed; selected only if no other
                server has a free slot.
        """
        fill = self.fill(now, classified)
        with_capacity = [
            view
            for view in self.candidates(now, classified.lane)
            if view.has_capacity(now, fill)
        ]
        untried = [view for view in with_capacity if view.server.name not in avoid]
        return self._choose(now, classified, untried or with_capacity)

    def _choose(
        self, now: float, classified: Classified, views: list[ServerView]
    ) -> ServerView | None:
        if not views:
            return None
        match self.choice:
            case RandomSelection():
                return self.rng.choice(views)
            case PowerOfTwoChoices():
                two = self.rng.sample(views, min(2, len(views)))
                return min(
                    two, key=lambda view: (_reported_requests(view), view.server.name)
                )
        return min(
            views,
            key=lambda view: (self.cost_s(now, classified, view), view.server.name),
        )

    def adapter_of(self, classified: Classified) -> str:
        """Return the adapter that a request names; empty if it names a base model."""
        name = classified.request.model
        return name if name in self.bases else ""

    def cost_s(self, now: float, classified: Classified, view: ServerView) -> float:
        """Return the expected time to first output at a server, in seconds."""
        window = view.window
        occupied = window.in_flight
        if view.load is not None and now - view.load_received_at < LOAD_REPORT_TRUST_S:
            reported = view.load.running + view.load.waiting
            occupied = max(occupied, reported - window.reported_own + occupied)
        wait = self.lane_service_s(classified.lane) * occupied / max(window.slots, 1)
        delay = self.delays_s.get(view.server.availability_zone, 0.0)
        hashes = classified.request.prefix_hashes
        saved_s = (
            self.prefixes.count_matching(view.server.name, hashes) * BLOCK_PREFILL_S
        )
        return wait + 2 * delay - saved_s

    def fill(self, now: float, classified: Classified) -> float:
        """Return the share of a server's slots that a request's class may fill."""
        if effective_priority(now, classified) <= self.first_priority:
            return FIRST_FILL
        if classified.may_wait:
            return WAITING_FILL
        return OVERSUBSCRIPTION

    def latest_dispatch(self, classified: Classified) -> float:
        """Return the time after which a dispatch would miss the deadline."""
        return classified.deadline - self.first_output_s.get(classified.lane, 0.0)

    def record_first_output_delay(self, lane: str, seconds: float) -> None:
        """Record the time from a dispatch to its first output."""
        _smooth(self.first_output_s, lane, seconds)

    def lane_service_s(self, lane: str) -> float:
        """Return the smoothed service time of a lane's requests, in seconds."""
        return self.service_s.get(lane, DEFAULT_SERVICE_TIME_S)

    def record_service_time(self, lane: str, seconds: float) -> None:
        """Record the service time of one request of a lane."""
        _smooth(self.service_s, lane, seconds)

    def estimate_wait_s(
        self, now: float, classified: Classified, ahead_by_lane: dict[str, int]
    ) -> float | None:
        """Return the expected wait of a new request, in seconds.

        Args:
            now: Monotonic time in seconds.
            classified: The request.
            ahead_by_lane: Number of waiting requests that go before it, by lane.

        Returns:
            `None` if no server serves the lane now.
        """
        lane = classified.lane
        fill = self.fill(now, classified)
        serving = self.candidates(now, lane)
        if not serving:
            return None
        if any(view.has_capacity(now, fill) for view in serving):
            return 0.0
        held_off_s = self.hold_off_s(now, lane)
        rate = 0.0
        ahead: float = 1.0
        counted: set[str] = set()
        for view in serving:
            served = view.window.current_limit(now, fill) / self.lane_service_s(lane)
            rate += min(served, view.limit.rate(now))
            shared = [name for name in view.lanes if name in ahead_by_lane]
            ahead += sum(ahead_by_lane[name] for name in shared if name not in counted)
            counted.update(shared)
        return held_off_s + ahead / max(rate, 1e-9)


def _reported_requests(view: ServerView) -> int:
    return view.load.running + view.load.waiting if view.load is not None else 0


def _smooth(times: dict[str, float], lane: str, seconds: float) -> None:
    before = times.get(lane, seconds)
    times[lane] = before + SERVICE_SMOOTHING * (seconds - before)
