"""Decides each next step of a request: send, wait, or give up.

Load patterns that it answers: a burst on one or all kinds (requests wait at the
servers, ordered by urgency), rare models (requests wait here while the model is
loaded), servers that vanish (other servers are tried within the shared budget).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.serving.backend import BackendServer, BackendView
from wisterialoom.core.serving.request_flow import (
    AttemptResult,
    AttemptVerdict,
    GiveUp,
    GiveUpReason,
    RequestFlow,
    RequestProfile,
    Send,
    Step,
    Wait,
)
from wisterialoom.core.serving.retry_allowance import RetryAllowance, RetryLimits

if TYPE_CHECKING:
    from wisterialoom.core.serving.balancer import Balancer
    from wisterialoom.core.serving.routing import Deployment, EngineProfile

__all__ = ["Dispatcher", "PlacementOutlook"]

ABSENT_BACKOFF_S = 0.3
"""Time a server is passed over after it lacked a model; one lag of its reports."""

ORDER_BACKOFF_S = 0.08
"""Time a server is passed over for a model that an order is about."""

MIN_RUN_S = 0.05
"""Least time that a backend server needs to begin an answer."""

NO_SERVER_RETRY_S = 1.0
"""When to come back if a service has no server; half of a server's return time."""

UNPLANNED_SHARE = 0.5
"""Part of a caller's patience after which a model that no load is planned for is
refused, so that its next attempt comes when the model may be there."""

ROOM_SHARE = 0.5
"""Part of a caller's patience that a request waits for room at a server."""

MAX_ABSENT = 3
"""Refusals for lack of the model after which a request asks no more; a load that was
expected to be over ends within two such pauses."""

LOOK_AGAIN_S = 0.25
"""Longest time that a request waits without a look at the servers; changes wake it."""

LOOK_SOON_S = 0.02
"""Shortest wait for a place that is about to be free; one step of a server's queue."""

MAX_URGENCY = 9


@dataclass
class PlacementOutlook:
    """What is known of loads in progress.

    Attributes:
        ready_at: Monotonic time at which a wanted model or adapter will be ready.
        steward_seen: Monotonic time at which the placement leader was last heard.
    """

    ready_at: dict[str, float] = field(default_factory=dict)
    steward_seen: float = float("-inf")


@dataclass
class Dispatcher:
    """Backend servers of every service, and the decisions that need them.

    Attributes:
        balancer: Chooses among servers.
        retry_limits: What all instances may repeat at one service.
        deployment: Declared routes and services; `None` before the first.
        views: Backend servers by id.
        allowances: Repeats left, by service.
        sharers: Instances that share the fixed part of the repeats.
        outlook: Loads in progress.
        waiting: Flows that wait, by model and adapter they want.
        arrivals: Count of requests by model and adapter since the start.
        running_counts: Attempts in progress, by server, then model and adapter.
    """

    balancer: Balancer
    retry_limits: RetryLimits
    deployment: Deployment | None = None
    views: dict[str, BackendView] = field(default_factory=dict)
    allowances: dict[str, RetryAllowance] = field(default_factory=dict)
    sharers: int = 8
    outlook: PlacementOutlook = field(default_factory=PlacementOutlook)
    waiting: dict[str, int] = field(default_factory=dict)
    arrivals: dict[str, int] = field(default_factory=dict)
    running_counts: dict[str, dict[str, int]] = field(default_factory=dict)

    # What changes around requests.

    def set_servers(self, servers: dict[str, BackendServer]) -> bool:
        """Take the listed servers; tell whether requests may be affected."""
        changed = False
        for server_id in list(self.views):
            if server_id not in servers:
                del self.views[server_id]
                changed = True
        for server_id, server in servers.items():
            changed |= self.set_server(server_id, server)
        return changed

    def set_server(self, server_id: str, server: BackendServer) -> bool:
        """Take what one server told; tell whether requests may be affected."""
        view = self.views.get(server_id)
        if view is None or view.server.born_ms != server.born_ms:
            view = BackendView(server)
            self.views[server_id] = view
        changed = view.server != server
        view.server = server
        models = {model.name: frozenset(model.adapters) for model in server.models}
        return view.set_placement(server.order_count, models) or changed

    def set_sharers(self, count: int) -> None:
        """Take the count of instances that share the fixed part of the repeats."""
        self.sharers = max(1, count)
        for allowance in self.allowances.values():
            allowance.sharers = self.sharers

    def set_retry_limits(self, limits: RetryLimits) -> None:
        """Take new limits on what all instances may repeat."""
        self.retry_limits = limits
        for allowance in self.allowances.values():
            allowance.limits = limits

    def allowance(self, service: str) -> RetryAllowance:
        """Return the repeats of a service."""
        found = self.allowances.get(service)
        if found is None:
            found = RetryAllowance(self.retry_limits, self.sharers)
            self.allowances[service] = found
        return found

    # One request.

    def arrive(self, now: float, flow: RequestFlow) -> None:
        """Count a request that has just arrived."""
        profile = flow.profile
        self.allowance(profile.service).note_request(now)
        if profile.model:
            wanted = profile.wanted
            self.arrivals[wanted] = self.arrivals.get(wanted, 0) + 1

    def next_step(self, now: float, flow: RequestFlow) -> Step:
        """Decide what to do with a request now."""
        profile = flow.profile
        if now >= profile.answer_by - MIN_RUN_S / 2:
            return self.give_up(now, flow, GiveUpReason.DEADLINE)
        ended = self.after_failure(now, flow)
        if ended is not None:
            return ended
        engine = self.engine_of(profile.service)
        if engine is not None and profile.model not in engine.models:
            return self.give_up(now, flow, GiveUpReason.UNKNOWN_MODEL)
        pool = self.pool(flow)
        if not pool:
            return self.give_up(now, flow, GiveUpReason.NO_SERVER)
        candidates, pool = pool, self.holders(now, profile, pool)
        if not pool and engine is not None:
            if flow.reached >= profile.route.max_attempts:
                return self.await_same_server(now, flow, candidates)
            return self.await_model(now, flow, engine, candidates)
        free = [view for view in pool if self.is_free(now, view)]
        if not free:
            return self.await_room(now, flow, pool)
        return self.send(now, flow, free)

    def may_move(self, now: float, flow: RequestFlow) -> bool:
        """Tell whether a request whose server is silent can go on elsewhere now."""
        profile = flow.profile
        route = profile.route
        if not route.idempotent:
            return False
        if flow.reached >= route.max_attempts:
            return False
        if self.allowance(profile.service).left(now) < 1.0:
            return False
        tried = set(flow.servers)
        return any(
            view.server.id not in tried and self.is_free(now, view)
            for view in self.holders(now, profile, self.pool(flow))
        )

    def holders(
        self, now: float, profile: RequestProfile, pool: list[BackendView]
    ) -> list[BackendView]:
        """Return the servers of a pool that hold what a request asks for."""
        if self.engine_of(profile.service) is None:
            return pool
        return [
            view for view in pool if view.holds(now, profile.model, profile.adapter)
        ]

    def is_free(self, now: float, view: BackendView) -> bool:
        """Tell whether a server is neither full nor ejected."""
        return now >= view.full_until and view.ejection.allows(now, view.in_flight)

    def engine_of(self, service: str) -> EngineProfile | None:
        """Return the engine of a service; `None` if it runs no models."""
        if self.deployment is None:
            return None
        found = self.deployment.services.get(service)
        return found.engine if found else None

    def pool(self, flow: RequestFlow) -> list[BackendView]:
        """Return the servers that a request may still be sent to."""
        service = flow.profile.service
        views = [
            view
            for view in self.views.values()
            if view.server.service == service and not view.server.draining
        ]
        tried = set(flow.servers)
        again = [view for view in views if view.server.id in tried]
        if flow.reached >= flow.profile.route.max_attempts:
            # A server that refused may be asked again; others may not.
            return again
        return [view for view in views if view.server.id not in tried] or again

    def send(self, now: float, flow: RequestFlow, free: list[BackendView]) -> Step:
        """Send a request to the best of some servers, if the budget allows it."""
        profile = flow.profile
        if flow.reached and not self.allowance(profile.service).spend(now):
            return self.give_up(now, flow, GiveUpReason.RETRY_BUDGET)
        view = self.balancer.choose(now, profile, free)
        assert view is not None
        self.balancer.note_sent(profile, view.server.id)
        self.begin_attempt(flow, view)
        if view.server.id not in flow.servers:
            flow.servers.append(view.server.id)
        urgency = min(MAX_URGENCY, max(0, profile.route.priority))
        return Send(view.server.id, view.server.address, urgency)

    def await_model(
        self,
        now: float,
        flow: RequestFlow,
        engine: EngineProfile,
        candidates: list[BackendView],
    ) -> Step:
        """Let a request wait for its model or adapter, or refuse it at once.

        A request waits only while it can still begin before its caller leaves. One
        that cannot is told when the model will be there.
        """
        profile = flow.profile
        ready_at = self.outlook.ready_at.get(profile.model)
        resident = any(
            profile.model in view.models and profile.model not in view.unloading
            for view in candidates
        )
        # A copy that is being loaded besides others tells nothing: an adapter takes
        # some hundredths of a second, and so does an order that is in progress.
        if ready_at is not None and not resident:
            if ready_at + MIN_RUN_S > profile.first_by:
                return self.give_up(now, flow, GiveUpReason.NO_MODEL)
        elif now - profile.arrived > self.unplanned_wait_s(profile, engine):
            return self.give_up(now, flow, GiveUpReason.NO_MODEL)
        return Wait(min(profile.answer_by, now + LOOK_AGAIN_S))

    def await_same_server(
        self, now: float, flow: RequestFlow, candidates: list[BackendView]
    ) -> Step:
        """Let a request that has no other server left ask the same one again.

        A server whose load ends later than expected lacks the model for a moment.
        """
        profile = flow.profile
        listed = any(view.lists(profile.model, profile.adapter) for view in candidates)
        if not listed or flow.absent >= MAX_ABSENT:
            return self.give_up(now, flow, GiveUpReason.ATTEMPTS)
        again = min(
            view.absent_until.get(profile.key, now + LOOK_SOON_S) for view in candidates
        )
        return Wait(min(profile.answer_by, max(again, now + LOOK_SOON_S)))

    def unplanned_wait_s(self, profile: RequestProfile, engine: EngineProfile) -> float:
        """Return how long a request waits for a model whose load is not yet planned."""
        model = engine.models[profile.model]
        patience_s = profile.first_by - profile.arrived
        return max(UNPLANNED_SHARE * patience_s, patience_s - model.warm_load_s - 1.0)

    def await_room(
        self, now: float, flow: RequestFlow, pool: list[BackendView]
    ) -> Step:
        """Let a request wait for a server that was full or failing."""
        profile = flow.profile
        again = min(max(view.full_until, view.ejection.until) for view in pool)
        again = max(again, now + LOOK_SOON_S)
        patience_s = ROOM_SHARE * (profile.first_by - profile.arrived)
        if now - profile.arrived > patience_s:
            return self.give_up(now, flow, GiveUpReason.FULL)
        if not profile.model and again > profile.arrived + patience_s:
            return self.give_up(now, flow, GiveUpReason.FULL)
        # Of model servers, another may get the model meanwhile.
        return Wait(min(again, now + LOOK_AGAIN_S, profile.answer_by))

    def after_failure(self, now: float, flow: RequestFlow) -> GiveUp | None:
        """Return the end of a request that may not be sent again, if so."""
        route = flow.profile.route
        if not flow.may_have_run:
            return None
        if not route.idempotent:
            return self.give_up(now, flow, GiveUpReason.LOST)
        if flow.reached >= route.max_attempts:
            return self.give_up(now, flow, GiveUpReason.ATTEMPTS)
        return None

    def begin_attempt(self, flow: RequestFlow, view: BackendView) -> None:
        """Count an attempt as in progress."""
        view.in_flight += 1
        flow.unread_tokens = flow.profile.prompt_tokens
        view.unread_tokens += flow.unread_tokens
        flow.in_flight_at = view.server.id
        flow.sends += 1
        counts = self.running_counts.setdefault(view.server.id, {})
        wanted = flow.profile.wanted
        counts[wanted] = counts.get(wanted, 0) + 1

    def leave_server(self, flow: RequestFlow) -> None:
        """Count the attempt of a request, if any, as no longer in progress."""
        self.note_read(flow)
        server_id, flow.in_flight_at = flow.in_flight_at, ""
        if not server_id:
            return
        view = self.views.get(server_id)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)
        counts = self.running_counts.get(server_id, {})
        wanted = flow.profile.wanted
        counts[wanted] = counts.get(wanted, 0) - 1
        if counts[wanted] <= 0:
            counts.pop(wanted)
        if not counts:
            self.running_counts.pop(server_id, None)

    def running(self) -> dict[str, dict[str, int]]:
        """Return the attempts in progress at model servers."""
        return {
            server_id: dict(counts)
            for server_id, counts in self.running_counts.items()
            if server_id in self.views and "" not in counts
        }

    def take_placement(self, now: float, ready_in_s: dict[str, float]) -> None:
        """Take the loads in progress, as the holder of the placement lease told."""
        self.outlook.steward_seen = now
        self.outlook.ready_at = {
            wanted: now + left_s for wanted, left_s in ready_in_s.items()
        }

    def note_read(self, flow: RequestFlow) -> None:
        """Count the prompt of a request as read by its server."""
        view = self.views.get(flow.in_flight_at)
        tokens, flow.unread_tokens = flow.unread_tokens, 0
        if view is not None:
            view.unread_tokens = max(0, view.unread_tokens - tokens)

    def note_head(
        self, now: float, flow: RequestFlow, running: int, waiting: int, *, told: bool
    ) -> None:
        """Take the head of an answer: its server is alive, and may tell its load."""
        self.note_read(flow)
        view = self.views.get(flow.in_flight_at)
        if view is None:
            return
        view.ejection.succeed(now)
        if told:
            view.note_report(now, running, waiting)

    def end_attempt(self, now: float, flow: RequestFlow, result: AttemptResult) -> None:
        """Take the end of an attempt."""
        flow.last = result
        profile = flow.profile
        self.leave_server(flow)
        view = self.views.get(result.server_id)
        if result.verdict in (AttemptVerdict.LOST, AttemptVerdict.SILENT):
            flow.may_have_run = True
        if result.verdict is AttemptVerdict.REFUSED_ABSENT:
            flow.absent += 1
        if result.verdict is AttemptVerdict.NOT_SENT:
            flow.unreached.add(result.server_id)
        if view is not None:
            self.note_verdict(now, profile, view, result)

    def note_verdict(
        self,
        now: float,
        profile: RequestProfile,
        view: BackendView,
        result: AttemptResult,
    ) -> None:
        """Remember what the end of an attempt says about its server."""
        match result.verdict:
            case AttemptVerdict.ANSWERED | AttemptVerdict.FAILED:
                view.ejection.succeed(now)
            case AttemptVerdict.REFUSED_FULL if result.crowded or not profile.model:
                view.note_full(now)
            case AttemptVerdict.REFUSED_FULL:
                # An order about this model is in progress; others are served.
                view.note_absent(now, profile.model, profile.adapter, ORDER_BACKOFF_S)
            case AttemptVerdict.REFUSED_ABSENT:
                view.note_absent(now, profile.model, profile.adapter, ABSENT_BACKOFF_S)
            case _:
                view.ejection.fail(now)

    def give_up(self, now: float, flow: RequestFlow, reason: GiveUpReason) -> GiveUp:
        """End a request without an answer of a backend server."""
        not_run = not flow.may_have_run
        if reason is GiveUpReason.UNKNOWN_MODEL:
            return GiveUp(reason, not_run=not_run)
        return GiveUp(reason, not_run, self.retry_after_s(now, flow, reason))

    def retry_after_s(
        self, now: float, flow: RequestFlow, reason: GiveUpReason
    ) -> float:
        """Return when a place is likely for a request that is refused now."""
        match reason:
            case GiveUpReason.NO_SERVER:
                return NO_SERVER_RETRY_S
            case GiveUpReason.NO_MODEL:
                ready_at = self.outlook.ready_at.get(flow.profile.model)
                if ready_at is None:
                    return UNPLANNED_RETRY_S
                return max(REFUSED_RETRY_S, ready_at - now)
            case _:
                return REFUSED_RETRY_S


UNPLANNED_RETRY_S = 1.0
"""When to come back for a model that no load is planned for; a load from disk."""

REFUSED_RETRY_S = 0.3
"""When to come back after a refusal for lack of room, in seconds."""
