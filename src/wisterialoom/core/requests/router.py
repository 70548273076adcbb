"""Choice of a backend server for a request, and of a request for a server."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.requests.choice import (
    Choice,
    LeastCost,
    PowerOfTwoChoices,
    RandomChoice,
)
from wisterialoom.core.requests.classifier import model_lane, service_lane
from wisterialoom.core.requests.prefix_index import PrefixIndex
from wisterialoom.core.requests.request_queue import effective_priority
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
    from collections.abc import Iterator

    from wisterialoom.core.configuration.document import Document, ServerGroup
    from wisterialoom.core.fleet.peer import ServerLoad
    from wisterialoom.core.notice import BackendServer
    from wisterialoom.core.requests.request import Classified

__all__ = ["Router"]

DEFAULT_SERVICE_S = 2.0
"""Assumed time of one request before any was seen, in seconds."""

SERVICE_SMOOTHING = 0.1
"""Weight of the newest request in the smoothed service time."""

BLOCK_PREFILL_S = 0.01
"""Assumed saving of one cached prefix block, in seconds."""

SERVICE_SLOTS = 64
"""Requests at once at a plain service whose group names no slots."""

MAX_REPORTS = 4_096
"""Load reports that are kept, of servers not listed yet among others."""

REPORTED_TRUST_S = 3.0


@dataclass
class Router:
    """Views of all backend servers, and the choice among them.

    Attributes:
        availability_zone: Of this instance.
        policy: How in-flight limits are found.
        choice: How a server is chosen among those with room.
        rng: For choices at random.
        views: Views by server name.
        sharing_instances: Entry instances that share the servers.
        delays_s: One-way delay to other availability zones, in seconds.
        service_s: Smoothed time of one request by lane, in seconds.
        first_s: Smoothed time from dispatch to first output by lane, in seconds.
        first_priority: The best priority of any traffic class.
        reports: Last load report by server, listed or not, and when it came.
        prefixes: Prompt prefixes by server.
    """

    availability_zone: str
    policy: WindowPolicy = field(default_factory=FixedShare)
    choice: Choice = field(default_factory=LeastCost)
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    views: dict[str, ServerView] = field(default_factory=dict)
    sharing_instances: int = 1
    delays_s: dict[str, float] = field(default_factory=dict)
    service_s: dict[str, float] = field(default_factory=dict)
    first_s: dict[str, float] = field(default_factory=dict)
    first_priority: int = 0
    reports: dict[str, tuple[float, ServerLoad]] = field(default_factory=dict)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    groups: dict[str, ServerGroup] = field(default_factory=dict)
    service_selectors: tuple[str, ...] = ()
    versions: dict[str, str] = field(default_factory=dict)
    bases: dict[str, str] = field(default_factory=dict)

    def configure(self, document: Document) -> None:
        """Take a document into use."""
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
            self._refresh(view)

    def set_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Take the backend servers that are known now."""
        names = {server.name for server in servers}
        for name in [name for name in self.views if name not in names]:
            self._close(name)
        for server in servers:
            self._set_server(server)

    def _close(self, name: str) -> None:
        view = self.views[name]
        view.seen_leaving = True
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
            self.views[server.name] = view
            self.prefixes.forget(server.name)
        view.server = server
        self._apply_report(view)
        self._refresh(view)

    def _apply_report(self, view: ServerView) -> None:
        """Take a report over that came before its server was listed."""
        found = self.reports.get(view.server.name)
        if found is None or view.load is not None:
            return
        at, load = found
        if load.incarnation in ("", view.server.incarnation):
            view.load = load
            view.load_at = at

    def _slots(self, server: BackendServer) -> int:
        group = self.groups.get(server.group)
        return group.slots if group is not None else SERVICE_SLOTS

    def _refresh(self, view: ServerView) -> None:
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

    def set_sharing_instances(self, sharing_instances: int) -> None:
        """Take the number of entry instances that share the servers."""
        self.sharing_instances = max(1, sharing_instances)
        for view in self.views.values():
            view.window.resize(self._slots(view.server), self.sharing_instances)

    def report(self, now: float, load: ServerLoad) -> ServerView | None:
        """Take a load report; return the view that it changed."""
        view = self.views.get(load.server)
        self.reports[load.server] = (now, load)
        while len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]
        if view is None:
            return None
        view.load = load
        view.load_at = now
        view.window.report(now, load.running, load.waiting)
        self._refresh(view)
        return view

    def candidates(self, now: float, lane: str) -> list[ServerView]:
        """Return the servers that serve a lane, room or not."""
        return [view for view in self.views.values() if view.serves(now, lane)]

    def choose(
        self, now: float, classified: Classified, avoid: frozenset[str] = frozenset()
    ) -> ServerView | None:
        """Return the best server with room, or `None`.

        Args:
            now: Monotonic time in seconds.
            classified: The request.
            avoid: Servers that failed it before; used only if no other is left.
        """
        fill = self.fill(now, classified)
        with_room = [
            view
            for view in self.candidates(now, classified.lane)
            if view.has_capacity(now, fill)
        ]
        fresh = [view for view in with_room if view.server.name not in avoid]
        return self._choose(now, classified, fresh or with_room)

    def _choose(
        self, now: float, classified: Classified, views: list[ServerView]
    ) -> ServerView | None:
        if not views:
            return None
        match self.choice:
            case RandomChoice():
                return self.rng.choice(views)
            case PowerOfTwoChoices():
                two = self.rng.sample(views, min(2, len(views)))
                return min(two, key=lambda view: (_reported(view), view.server.name))
        return min(
            views,
            key=lambda view: (self.cost_s(now, classified, view), view.server.name),
        )

    def adapter_of(self, classified: Classified) -> str:
        """Return the adapter that a request names; empty if it names a model."""
        name = classified.request.model
        return name if name in self.bases else ""

    def cost_s(self, now: float, classified: Classified, view: ServerView) -> float:
        """Return the expected time to first output there, in seconds."""
        window = view.window
        busy = window.in_flight
        if view.load is not None and now - view.load_at < REPORTED_TRUST_S:
            reported = view.load.running + view.load.waiting
            busy = max(busy, reported - window.reported_own + busy)
        wait = self.lane_service_s(classified.lane) * busy / max(window.slots, 1)
        delay = self.delays_s.get(view.server.availability_zone, 0.0)
        hashes = classified.request.prefix_hashes
        saved = self.prefixes.matched(view.server.name, hashes) * BLOCK_PREFILL_S
        return wait + 2 * delay - saved

    def fill(self, now: float, classified: Classified) -> float:
        """Return the share of a server's slots that a request's class may fill."""
        if effective_priority(now, classified) <= self.first_priority:
            return FIRST_FILL
        if classified.may_wait:
            return WAITING_FILL
        return OVERSUBSCRIPTION

    def latest_dispatch(self, classified: Classified) -> float:
        """Return the moment after which the first output would be too late."""
        return classified.deadline - self.first_s.get(classified.lane, 0.0)

    def note_first(self, lane: str, seconds: float) -> None:
        """Take the time from a dispatch to its first output."""
        _smooth(self.first_s, lane, seconds)

    def lane_service_s(self, lane: str) -> float:
        """Return the smoothed time of one request of a lane, in seconds."""
        return self.service_s.get(lane, DEFAULT_SERVICE_S)

    def note_service(self, lane: str, seconds: float) -> None:
        """Take the time that one request of a lane took."""
        _smooth(self.service_s, lane, seconds)

    def estimate_wait_s(
        self, now: float, classified: Classified, ahead_of: dict[str, int]
    ) -> float | None:
        """Return the expected wait of a new request, in seconds.

        Args:
            now: Monotonic time in seconds.
            classified: The request.
            ahead_of: Waiting requests that go before it, by lane.

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
        rate = 0.0
        ahead: float = 1.0
        counted: set[str] = set()
        for view in serving:
            rate += view.window.current_limit(now, fill) / self.lane_service_s(lane)
            shared = [name for name in view.lanes if name in ahead_of]
            ahead += sum(ahead_of[name] for name in shared if name not in counted)
            counted.update(shared)
        return ahead / max(rate, 1e-9)


def _reported(view: ServerView) -> int:
    return view.load.running + view.load.waiting if view.load is not None else 0


def _smooth(times: dict[str, float], lane: str, seconds: float) -> None:
    before = times.get(lane, seconds)
    times[lane] = before + SERVICE_SMOOTHING * (seconds - before)
