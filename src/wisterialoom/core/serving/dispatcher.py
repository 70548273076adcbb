"""Decides each next step of a request: send, wait, or give up.

How long a request waits, and when a refused caller returns, are modules named for the
load that they answer: `rare_models`, `crowded_servers`, `returning_callers`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.serving.backend import BackendServer, BackendView
from wisterialoom.core.serving.crowded_servers import wait_for_room
from wisterialoom.core.serving.forecast import PlacementForecast
from wisterialoom.core.serving.rare_models import (
    MIN_RUN_S,
    wait_for_model,
    wait_for_same_server,
)
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
from wisterialoom.core.serving.retry_budget import RetryBudget, RetryLimits
from wisterialoom.core.serving.returning_callers import retry_after_s

if TYPE_CHECKING:
    from wisterialoom.core.serving.balancer import Balancer
    from wisterialoom.core.serving.routing import Deployment, EngineProfile

__all__ = ["Dispatcher"]

ABSENT_BACKOFF_S = 0.3
"""Time a server is passed over after it lacked a model; one lag of its reports."""

ORDER_BACKOFF_S = 0.08
"""Time a server is passed over for a model that an order is about."""

MAX_URGENCY = 9


@dataclass
class Dispatcher:
    """Backend servers of every service, and the decisions that need them.

    Attributes:
        balancer: Chooses among servers.
        retry_limits: What all instances may repeat at one service.
        deployment: Declared routes and services; `None` before the first.
        views: Backend servers by id.
        retry_budgets: Repeats left, by service.
        sharing_instances: Instances that share the fixed part of the repeats.
        forecast: Loads in progress.
        waiting: Flows that wait, by model and adapter they want.
        arrivals: Count of requests by model and adapter since the start.
        running_counts: Attempts in progress, by server, then model and adapter.
    """

    balancer: Balancer
    retry_limits: RetryLimits
    deployment: Deployment | None = None
    views: dict[str, BackendView] = field(default_factory=dict)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    sharing_instances: int = 8
    forecast: PlacementForecast = field(default_factory=PlacementForecast)
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
        if view is None or view.server.started_ms != server.started_ms:
            view = BackendView(server)
            self.views[server_id] = view
        changed = view.server != server
        view.server = server
        models = {model.name: frozenset(model.adapters) for model in server.models}
        return view.set_placement(server.order_count, models) or changed

    def set_sharing_instances(self, count: int) -> None:
        """Take the count of instances that share the fixed part of the repeats."""
        self.sharing_instances = max(1, count)
        for retry_budget in self.retry_budgets.values():
            retry_budget.sharing_instances = self.sharing_instances

    def set_retry_limits(self, limits: RetryLimits) -> None:
        """Take new limits on what all instances may repeat."""
        self.retry_limits = limits
        for retry_budget in self.retry_budgets.values():
            retry_budget.limits = limits

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the repeats of a service."""
        found = self.retry_budgets.get(service)
        if found is None:
            found = RetryBudget(self.retry_limits, self.sharing_instances)
            self.retry_budgets[service] = found
        return found

    # One request.

    def record_arrival(self, now: float, flow: RequestFlow) -> None:
        """Count a request that has just arrived."""
        profile = flow.profile
        self.retry_budget(profile.service).note_request(now)
        if profile.model:
            resource = profile.resource
            self.arrivals[resource] = self.arrivals.get(resource, 0) + 1

    def next_step(self, now: float, flow: RequestFlow) -> Step:
        """Decide what to do with a request now."""
        profile = flow.profile
        if now >= profile.answer_deadline - MIN_RUN_S / 2:
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
                decided = wait_for_same_server(now, flow, candidates)
            else:
                decided = wait_for_model(
                    now, profile, engine, self.forecast, candidates
                )
            return self.wait_or_give_up(now, flow, decided)
        free = [view for view in pool if self.is_free(now, view)]
        if not free:
            decided = wait_for_room(now, profile, pool)
            return self.wait_or_give_up(now, flow, decided)
        return self.send(now, flow, free)

    def may_move(self, now: float, flow: RequestFlow) -> bool:
        """Tell whether a request whose server is silent can go on elsewhere now."""
        profile = flow.profile
        route = profile.route
        if not route.idempotent:
            return False
        if flow.reached >= route.max_attempts:
            return False
        if self.retry_budget(profile.service).left(now) < 1.0:
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
            view for view in pool if view.can_serve(now, profile.model, profile.adapter)
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
        if flow.reached and not self.retry_budget(profile.service).spend(now):
            return self.give_up(now, flow, GiveUpReason.RETRY_BUDGET)
        view = self.balancer.choose(now, profile, free)
        assert view is not None
        self.balancer.note_sent(profile, view.server.id)
        self.begin_attempt(flow, view)
        if view.server.id not in flow.servers:
            flow.servers.append(view.server.id)
        urgency = min(MAX_URGENCY, max(0, profile.route.priority))
        return Send(view.server.id, view.server.address, urgency)

    def wait_or_give_up(
        self, now: float, flow: RequestFlow, decided: Wait | GiveUpReason
    ) -> Step:
        """Return the step that a decision about waiting asks for."""
        if isinstance(decided, Wait):
            return decided
        return self.give_up(now, flow, decided)

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
        flow.pending_prefill_tokens = flow.profile.prompt_tokens
        view.pending_prefill_tokens += flow.pending_prefill_tokens
        flow.in_flight_at = view.server.id
        flow.sends += 1
        counts = self.running_counts.setdefault(view.server.id, {})
        resource = flow.profile.resource
        counts[resource] = counts.get(resource, 0) + 1

    def release_server(self, flow: RequestFlow) -> None:
        """Count the attempt of a request, if any, as no longer in progress."""
        self.record_prefill_done(flow)
        server_id, flow.in_flight_at = flow.in_flight_at, ""
        if not server_id:
            return
        view = self.views.get(server_id)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)
        counts = self.running_counts.get(server_id, {})
        resource = flow.profile.resource
        counts[resource] = counts.get(resource, 0) - 1
        if counts[resource] <= 0:
            counts.pop(resource)
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
        self.forecast.holder_seen_at = now
        self.forecast.ready_at = {
            resource: now + left_s for resource, left_s in ready_in_s.items()
        }

    def record_prefill_done(self, flow: RequestFlow) -> None:
        """Count the prompt of a request as read by its server."""
        view = self.views.get(flow.in_flight_at)
        tokens, flow.pending_prefill_tokens = flow.pending_prefill_tokens, 0
        if view is not None:
            view.pending_prefill_tokens = max(0, view.pending_prefill_tokens - tokens)

    def record_response_head(
        self, now: float, flow: RequestFlow, running: int, waiting: int, *, told: bool
    ) -> None:
        """Take the head of an answer: its server is alive, and may tell its load."""
        self.record_prefill_done(flow)
        view = self.views.get(flow.in_flight_at)
        if view is None:
            return
        view.ejection.succeed(now)
        if told:
            view.note_report(now, running, waiting)

    def end_attempt(self, now: float, flow: RequestFlow, result: AttemptResult) -> None:
        """Take the end of an attempt."""
        profile = flow.profile
        self.release_server(flow)
        view = self.views.get(result.server_id)
        if result.verdict in (AttemptVerdict.LOST, AttemptVerdict.TIMED_OUT):
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
            case AttemptVerdict.REFUSED_FULL if result.saturated or not profile.model:
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
        retry_s = retry_after_s(now, flow.profile, reason, self.forecast)
        return GiveUp(reason, not_run, retry_s)
