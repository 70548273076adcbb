"""Decides each next step of a request: send, wait, or give up.

The modules `model_wait` and `capacity_wait` decide how long a request waits;
`retry_hint` chooses the `Retry-After` of a refused request.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.brittle_services import BrittleServices
from wisterialoom.core.crash_watch import CrashWatch, InProgress
from wisterialoom.core.placement.fleet_demand import version_key
from wisterialoom.core.request_limit import LimitMemory, LimitShares
from wisterialoom.core.serving.backend import BackendServer, BackendView
from wisterialoom.core.serving.capacity_wait import wait_for_capacity, wait_for_share
from wisterialoom.core.serving.forecast import PlacementForecast
from wisterialoom.core.serving.measured_capacity import MeasuredCapacity, ServiceSpeed
from wisterialoom.core.serving.model_wait import (
    wait_for_model,
    wait_for_same_server,
)
from wisterialoom.core.serving.request_flow import (
    AttemptResult,
    AttemptVerdict,
    GiveUp,
    GiveUpReason,
    MAX_RECHECK_S,
    MIN_RECHECK_S,
    MIN_RUN_S,
    RequestFlow,
    RequestProfile,
    Send,
    Step,
    Wait,
)
from wisterialoom.core.serving.retry_budget import RetryBudget, RetryLimits
from wisterialoom.core.serving.retry_hint import retry_after_s
from wisterialoom.core.serving.server_notices import ServerNotices
from wisterialoom.core.serving.stream_versions import StreamVersions
from wisterialoom.core.serving.team_fairness import TeamFairness
from wisterialoom.core.serving.way_finder import WayFinder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialoom.core.serving.balancer import Balancer
    from wisterialoom.core.serving.routing import Deployment, EngineProfile

__all__ = ["Dispatcher"]

ABSENT_BACKOFF_S = 0.3
"""Time a server is skipped after it lacked a model; about the delay of its reports."""

ORDER_BACKOFF_S = 0.08
"""Time a server is skipped for a model while it carries out an order about it."""

FINAL_REASONS = frozenset(
    {
        GiveUpReason.UNKNOWN_MODEL,
        GiveUpReason.HELD_BACK,
        GiveUpReason.VERSION_UNKNOWN,
        GiveUpReason.VERSION_LEFT,
    }
)
"""Reasons for which the same request is of no use later, so that none is advised."""

UNSERVED_VERDICTS = (
    AttemptVerdict.NOT_SENT,
    AttemptVerdict.NO_HELP,
    AttemptVerdict.REFUSED_FULL,
    AttemptVerdict.REFUSED_ABSENT,
    AttemptVerdict.REFUSED_IDENTITY,
)
"""Verdicts of attempts that took no room at a server."""

MAX_URGENCY = 9
"""Highest `Send.urgency`, which is served last."""


@dataclass
class Dispatcher:
    """Tracks the backend servers of every service and decides how requests proceed.

    Attributes:
        balancer: Chooses among eligible servers.
        retry_limits: Retries that all instances together may send to one service.
        deployment: Declared routes and services; `None` until a deployment is loaded.
        views: Backend servers by id.
        retry_budgets: Retry budget of this instance, by service.
        sharing_instances: Number of instances that share the fixed number of retries.
        forecast: Forecast of when models that are being loaded become resident.
        waiting: Number of waiting requests, by requested model and adapter.
        wanted_until: Monotonic time until which a model counts as wanted at a software
            version, by both.
        arrivals: Requests since the process started, by declared model and adapter.
        running_counts: Attempts in progress, by server, then model and adapter.
        in_progress: Requests with an attempt in progress, by identity.
        notices: What servers have said about themselves in answers.
        limit_shares: Divides the limits that servers name among the instances.
        limits: Remembers the limits that servers named.
        brittle: Spares servers that fall over if they turn many requests away.
        crash_watch: Decides which requests are held back, as they crash servers.
        ways: Chooses the way to each server.
        streams: Keeps each stream at the software version that began it.
        fairness: Divides the room between teams while servers are full.
        measures_capacity: Whether it is measured what each server takes well.
        speeds: Measured work times of the servers of each service.
    """

    balancer: Balancer
    retry_limits: RetryLimits
    deployment: Deployment | None = None
    views: dict[str, BackendView] = field(default_factory=dict)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    sharing_instances: int = 8
    forecast: PlacementForecast = field(default_factory=PlacementForecast)
    waiting: dict[str, int] = field(default_factory=dict)
    wanted_until: dict[tuple[str, str], float] = field(default_factory=dict)
    arrivals: dict[str, int] = field(default_factory=dict)
    running_counts: dict[str, dict[str, int]] = field(default_factory=dict)
    in_progress: dict[int, RequestFlow] = field(default_factory=dict)
    notices: ServerNotices = field(default_factory=ServerNotices)
    limit_shares: LimitShares = field(default_factory=LimitShares)
    limits: LimitMemory = field(default_factory=LimitMemory)
    brittle: BrittleServices = field(default_factory=BrittleServices)
    crash_watch: CrashWatch = field(default_factory=CrashWatch)
    streams: StreamVersions = field(default_factory=StreamVersions)
    fairness: TeamFairness = field(default_factory=TeamFairness)
    measures_capacity: bool = False
    speeds: dict[str, ServiceSpeed] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ways = WayFinder(self.views, self.crash_watch)
        self.crash_watch.in_progress = self.attempts_in_progress

    # Updates of servers and limits.

    def set_servers(self, servers: dict[str, BackendServer]) -> bool:
        """Replace the set of servers; return whether waiting requests may proceed."""
        changed = False
        for server_id in list(self.views):
            if server_id not in servers:
                view = self.views.pop(server_id)
                self.crash_watch.record_down(view.start)
                if view.capacity is not None:
                    view.capacity.forget()
                changed = True
        for server_id, server in servers.items():
            changed |= self.set_server(server_id, server)
        self.ways.set_servers()
        return changed

    def set_server(self, server_id: str, server: BackendServer) -> bool:
        """Add or update one server; return whether waiting requests may proceed."""
        view = self.views.get(server_id)
        if view is None or view.server.started_ms != server.started_ms:
            if view is not None:
                self.crash_watch.record_down(view.start)
                self.ways.paths.record_restarted(server_id)
            if view is not None and view.capacity is not None:
                view.capacity.forget()
            view = BackendView(server)
            if self.measures_capacity:
                speed = self.speeds.setdefault(server.service, ServiceSpeed())
                view.capacity = MeasuredCapacity(server_id, speed)
                if speed.work_s:
                    view.capacity.record_joined()
            view.notices = self.notices.of(view.start)
            view.limit = self.limits.limit_of(
                server_id, server.started_ms, self.limit_shares
            )
            self.views[server_id] = view
        changed = view.server != server
        view.server = server
        models = {model.name: frozenset(model.adapters) for model in server.models}
        return view.set_placement(server.order_count, models) or changed

    def record_leaving(self, server_id: str) -> bool:
        """Record a server's own word that it is leaving; return whether it is news."""
        notices = self.notices.find(server_id)
        if notices is None or notices.leaving:
            return False
        notices.leaving = True
        return True

    def record_rest(self, now: float, server_id: str, for_s: float) -> None:
        """Record that a server wants nothing for some time, listed or not."""
        notices = self.notices.find(server_id)
        if notices is not None:
            notices.hold_off(now, for_s)

    def record_taken(self, server_id: str) -> None:
        """Record that a server has answered a request without asking for rest."""
        notices = self.notices.find(server_id)
        if notices is not None:
            notices.record_taken()

    def record_limit(
        self, now: float, server_id: str, limit_per_s: float | None, as_of: float
    ) -> bool:
        """Record the request rate that a server named, or that it names none.

        It holds for this start of the server, also while the server is not listed.

        Args:
            now: Monotonic time.
            server_id: Id of the server.
            limit_per_s: Requests a second that it accepts from all instances.
            as_of: Monotonic time up to which this is known: of the answer that named
                the limit, or of the request whose answer named none.

        Returns:
            Whether the limit changed.
        """
        view = self.views.get(server_id)
        if view is None or not view.limit.merge(now, limit_per_s, as_of):
            return False
        self.limits.remember(server_id, view.server.started_ms, view.limit)
        return True

    def set_instances(self, now: float, names: Iterable[str]) -> None:
        """Set the instances that share retry budgets and the limits of servers."""
        self.limit_shares.set_instances(now, names)
        self.crash_watch.instances = self.limit_shares.names
        self.set_sharing_instances(len(self.limit_shares.names))

    def set_sharing_instances(self, count: int) -> None:
        """Set the number of instances that share the fixed number of retries."""
        self.sharing_instances = max(1, count)
        for retry_budget in self.retry_budgets.values():
            retry_budget.sharing_instances = self.sharing_instances

    def set_retry_limits(self, limits: RetryLimits) -> None:
        """Set the limits on the retries of all instances."""
        self.retry_limits = limits
        for retry_budget in self.retry_budgets.values():
            retry_budget.limits = limits

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this instance's retry budget for a service."""
        found = self.retry_budgets.get(service)
        if found is None:
            found = RetryBudget(self.retry_limits, self.sharing_instances)
            self.retry_budgets[service] = found
        return found

    # Steps of one request.

    def record_arrival(self, now: float, flow: RequestFlow) -> None:
        """Count a request that has just arrived."""
        profile = flow.profile
        self.retry_budget(profile.service).record_request(now)
        if self.deployment is not None:
            self.fairness.set_teams(self.deployment.teams)
        self.fairness.record_arrival(now, profile)
        engine = self.engine_of(profile.service)
        if engine is not None and engine.declares(profile.model, profile.adapter):
            resource = profile.resource
            self.arrivals[resource] = self.arrivals.get(resource, 0) + 1

    def next_step(self, now: float, flow: RequestFlow) -> Step:
        """Return what to do with a request now."""
        profile = flow.profile
        if now >= profile.answer_deadline - MIN_RUN_S / 2:
            return self.give_up(now, flow, GiveUpReason.DEADLINE)
        ended = self.end_early(now, flow)
        if ended is not None:
            return ended
        engine = self.engine_of(profile.service)
        if engine is not None and profile.model not in engine.models:
            return self.give_up(now, flow, GiveUpReason.UNKNOWN_MODEL)
        pool = self.pool(flow)
        if not pool:
            return self.give_up(now, flow, GiveUpReason.NO_SERVER)
        pool = [view for view in pool if self.ways.exists(now, view)]
        if not pool:
            return self.give_up(now, flow, GiveUpReason.NO_PATH)
        candidates, pool = pool, self.holders(now, profile, pool)
        if not pool and engine is not None:
            self.want_at_version(flow, candidates, now)
            if flow.attempts_used >= profile.route.max_attempts:
                decided = wait_for_same_server(now, flow, candidates)
            else:
                decided = wait_for_model(
                    now,
                    profile,
                    engine,
                    self.forecast,
                    candidates,
                    flow.waits_until,
                )
            return self.resolve_wait(now, flow, decided)
        free = self.free_for(now, flow, pool)
        if not free:
            return self.wait_for_room(now, flow, pool, candidates)
        # A request that may have run already took its share.
        if not (flow.may_have_run or self.fairness.allows(now, profile)):
            return self.resolve_wait(now, flow, wait_for_share(now, profile))
        return self.send(now, flow, free)

    def wait_for_room(
        self,
        now: float,
        flow: RequestFlow,
        pool: list[BackendView],
        candidates: list[BackendView],
    ) -> Step:
        """Return what to do with a request for which no server is free.

        Args:
            now: Monotonic time.
            flow: The request.
            pool: Servers that have its model resident.
            candidates: Servers that it may be sent to, once they have it.
        """
        profile = flow.profile
        self.fairness.record_short(now, profile)
        for view in pool:
            if not view.limit.allows(now):
                view.limit.record_held_back(now)
        has_models = self.engine_of(profile.service) is not None
        decided = wait_for_capacity(
            now,
            profile,
            pool,
            can_move=has_models and self.can_move(now, candidates),
            ahead=0 if flow.waiting else self.waiting.get(profile.resource, 0),
            until=flow.waits_until,
        )
        self.keep_slots(flow, pool, decided)
        if decided is GiveUpReason.FULL:
            # Another try may go to a server that this request may not be sent to.
            others = self.holders(now, profile, self.open_views(profile.service))
            wanted_at = min(view.wanted_at(now) for view in others)
            return self.give_up(now, flow, decided, not_before=wanted_at)
        return self.resolve_wait(now, flow, decided)

    def record_latency(
        self, now: float, flow: RequestFlow, result: AttemptResult
    ) -> None:
        """Record what an attempt tells of a server's capacity.

        Latencies at model servers depend on the prompt, so only their stated pace
        counts.
        """
        view = self.views.get(result.server_id)
        if view is None or view.capacity is None or flow.profile.model:
            return
        match result.verdict:
            case AttemptVerdict.ANSWERED:
                view.capacity.record_answer(
                    now, now - flow.sent_at, flow.busy_when_sent, view.server.slots
                )
            case AttemptVerdict.REFUSED_FULL if result.saturated:
                view.capacity.record_rejected(now)

    def held_trait(self, flow: RequestFlow) -> str | None:
        """Return the trait for which a request is held back; `None` if it is not."""
        return self.crash_watch.quarantine.held_trait(flow.profile.traits)

    def is_held(self, flow: RequestFlow) -> bool:
        """Return whether a request is held back, and not on trial."""
        return self.held_trait(flow) not in (None, flow.trial_of)

    def must_hold(self, now: float, flow: RequestFlow) -> bool:
        """Return whether a request must not be sent, as it may crash its server.

        One whose trial is due is sent, once.
        """
        trait = self.held_trait(flow)
        if trait is None or (trait == flow.trial_of and not flow.may_have_run):
            return False
        if flow.attempt_count or not self.crash_watch.begin_trial(now, trait):
            return True
        flow.trial_of = trait
        return False

    def can_retry_elsewhere(self, now: float, flow: RequestFlow) -> bool:
        """Return whether a request with an unresponsive server can be retried now.

        A retry needs an idempotent route, an unused attempt, retry budget and another
        server that can take the request.
        """
        profile = flow.profile
        route = profile.route
        if not route.idempotent:
            return False
        if flow.attempts_used >= route.max_attempts:
            return False
        if self.retry_budget(profile.service).left(now) < 1.0:
            return False
        tried = set(flow.servers)
        return any(
            view.server.id not in tried
            and self.is_free(now, view)
            and self.ways.exists(now, view)
            for view in self.holders(now, profile, self.pool(flow))
        )

    def holders(
        self, now: float, profile: RequestProfile, pool: list[BackendView]
    ) -> list[BackendView]:
        """Return the servers of a pool that have a request's model resident.

        At a service that runs no models, these are all servers of the pool.
        """
        if self.engine_of(profile.service) is None:
            return pool
        return [
            view for view in pool if view.can_serve(now, profile.model, profile.adapter)
        ]

    def model_holders(self, profile: RequestProfile) -> list[BackendView]:
        """Return the servers that have a request's model resident, free or not.

        Adapters are left out of account, as loading one takes little time.
        """
        views = self.open_views(profile.service)
        if self.engine_of(profile.service) is None:
            return views
        return [view for view in views if view.is_resident(profile.model, "")]

    def can_move(self, now: float, candidates: list[BackendView]) -> bool:
        """Return whether a model may become resident where requests are wanted."""
        return any(not view.is_restricted(now) for view in candidates)

    def is_free(self, now: float, view: BackendView) -> bool:
        """Return whether a server is neither full nor ejected, and wants requests."""
        if now < max(view.full_until, view.wanted_at(now)):
            return False
        brittle = self.brittle
        if brittle.services and not brittle.allows(now, view.use(), self.limit_shares):
            return False
        return view.ejection.allows(now, view.in_flight)

    def record_rejection(self, now: float, server_id: str) -> None:
        """Stay away from a brittle server that turned a request of anyone away."""
        view = self.views.get(server_id)
        if view is not None:
            instances = len(self.limit_shares.names)
            self.brittle.record_rejection(
                now, server_id, view.server.service, instances
            )

    def engine_of(self, service: str) -> EngineProfile | None:
        """Return the engine profile of a service; `None` if it runs no models."""
        if self.deployment is None:
            return None
        found = self.deployment.services.get(service)
        return found.engine if found else None

    def open_views(self, service: str) -> list[BackendView]:
        """Return the servers of a service that are not leaving."""
        return [
            view
            for view in self.views.values()
            if view.server.service == service and not view.draining
        ]

    def pool(self, flow: RequestFlow) -> list[BackendView]:
        """Return the servers that a request may still be sent to."""
        views = [
            view
            for view in self.open_views(flow.profile.service)
            if self.streams.can_go_on(flow, view)
        ]
        tried = set(flow.servers)
        tried_views = [view for view in views if view.server.id in tried]
        if flow.attempts_used >= flow.profile.route.max_attempts:
            # The attempts are used up: only servers that were already tried, and
            # refused, may be tried again.
            return tried_views
        return [view for view in views if view.server.id not in tried] or tried_views

    def send(self, now: float, flow: RequestFlow, free: list[BackendView]) -> Step:
        """Send a request to the best free server, if the retry budget allows it."""
        profile = flow.profile
        if flow.reached and not self.retry_budget(profile.service).spend(now):
            return self.give_up(now, flow, GiveUpReason.RETRY_BUDGET)
        if flow.trial_of:
            # If it crashes the server, the fewest others are in progress there.
            free = [min(free, key=lambda view: view.busy(now))]
        free = self.streams.prefer_settled(now, flow, free)
        self.streams.mark_lone(flow, free, self.model_holders)
        for view in free:
            view.relayed = not self.ways.is_direct(view)
        chosen = self.balancer.choose(now, profile, free)
        assert chosen is not None
        view = chosen
        self.balancer.record_sent(profile, view.server.id)
        view.limit.record_sent(now)
        view.notices.record_sent(now)
        flow.sent_at = now
        self.fairness.record_sent(now, profile)
        flow.busy_when_sent = view.busy(now)
        flow.in_flight_via = self.ways.choose(now, view)
        self.begin_attempt(flow, view)
        if view.server.id not in flow.servers:
            flow.servers.append(view.server.id)
            flow.software_versions.append(view.server.software_version)
        urgency = min(MAX_URGENCY, max(0, profile.priority))
        if flow.waits_until is not None:
            # Its caller loses what it has got if the stream does not go on.
            urgency = 0
        via = self.ways.helpers.address(flow.in_flight_via)
        return Send(view.server.id, view.server.address, urgency, via)

    def free_for(
        self, now: float, flow: RequestFlow, pool: list[BackendView]
    ) -> list[BackendView]:
        """Return the servers of a pool that can take a request now.

        Slots that are kept for streams that have begun are not free for others.
        """
        has_begun = flow.waits_until is not None
        return [
            view
            for view in pool
            if self.is_free(now, view) and (has_begun or now >= view.kept_until)
        ]

    def keep_slots(
        self, flow: RequestFlow, pool: list[BackendView], decided: Wait | GiveUpReason
    ) -> None:
        """Keep the next free slots of servers for a waiting stream that has begun.

        New requests can go to servers of any version. The stream renews this while it
        waits, so no slot is kept for long once it has gone.
        """
        if flow.waits_until is None or not isinstance(decided, Wait):
            return
        for view in pool:
            view.kept_until = max(view.kept_until, decided.until + MIN_RECHECK_S)

    def want_at_version(
        self, flow: RequestFlow, candidates: list[BackendView], now: float
    ) -> None:
        """Record that no server of a stream's version has its model.

        The stream renews this while it waits.
        """
        profile = flow.profile
        if flow.waits_until is None or any(
            view.is_resident(profile.model, "") for view in candidates
        ):
            return
        key = (profile.model, flow.stream_version or "")
        self.wanted_until[key] = now + 2 * MAX_RECHECK_S

    def wanted_versions(self, now: float) -> dict[str, int]:
        """Return the models that streams wait for at a version, for the planner."""
        self.wanted_until = {
            key: until for key, until in self.wanted_until.items() if now < until
        }
        return {version_key(*key): 1 for key in self.wanted_until}

    def resolve_wait(
        self, now: float, flow: RequestFlow, decided: Wait | GiveUpReason
    ) -> Step:
        """Return the decided wait, or give up for the decided reason."""
        if isinstance(decided, Wait):
            return decided
        return self.give_up(now, flow, decided)

    def end_early(self, now: float, flow: RequestFlow) -> GiveUp | None:
        """Return a final `GiveUp` if a request must not be sent, or not once more."""
        route = flow.profile.route
        if flow.may_have_run and not route.idempotent:
            return self.give_up(now, flow, GiveUpReason.LOST)
        if self.must_hold(now, flow):
            return self.give_up(now, flow, GiveUpReason.HELD_BACK)
        if flow.may_have_run and flow.attempts_used >= route.max_attempts:
            return self.give_up(now, flow, GiveUpReason.ATTEMPTS)
        reason = self.streams.give_up_reason(
            flow, self.open_views(flow.profile.service)
        )
        return None if reason is None else self.give_up(now, flow, reason)

    def begin_attempt(self, flow: RequestFlow, view: BackendView) -> None:
        """Count an attempt as in progress."""
        view.in_flight += 1
        if flow.in_flight_via:
            self.ways.helpers.begin(flow.in_flight_via)
        flow.pending_prefill_tokens = flow.profile.prompt_tokens
        view.pending_prefill_tokens += flow.pending_prefill_tokens
        flow.in_flight_at = view.server.id
        flow.in_flight_version = view.server.software_version
        flow.attempt_count += 1
        flow.output_begun = False
        self.in_progress[id(flow)] = flow
        counts = self.running_counts.setdefault(view.server.id, {})
        resource = flow.profile.resource
        counts[resource] = counts.get(resource, 0) + 1

    def release_server(self, flow: RequestFlow) -> None:
        """Count a request's attempt, if it has one, as no longer in progress."""
        self.record_prefill_done(flow)
        server_id, flow.in_flight_at = flow.in_flight_at, ""
        if not server_id:
            return
        self.in_progress.pop(id(flow), None)
        flow.reached_servers.add(server_id)
        if flow.in_flight_via:
            # Nothing is known of how the attempt ended.
            self.ways.helpers.end(0.0, flow.in_flight_via, helped=None)
            flow.in_flight_via = ""
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

    def attempts_in_progress(self) -> list[InProgress]:
        """Return the attempts in progress at servers that are listed."""
        return [
            InProgress(view.start, flow.sent_at, flow.profile.traits)
            for flow in self.in_progress.values()
            if (view := self.views.get(flow.in_flight_at)) is not None
        ]

    def running(self) -> dict[str, dict[str, int]]:
        """Return the attempts in progress at servers that run models."""
        return {
            server_id: dict(counts)
            for server_id, counts in self.running_counts.items()
            if server_id in self.views and "" not in counts
        }

    def record_loads(self, now: float, ready_in_s: dict[str, float]) -> None:
        """Record the loads in progress, as the placement lease holder announced them.

        Args:
            now: Monotonic time.
            ready_in_s: Seconds until each loading model or adapter is resident.
        """
        self.forecast.holder_seen_at = now
        self.forecast.ready_at = {
            resource: now + left_s for resource, left_s in ready_in_s.items()
        }

    def record_prefill_done(self, flow: RequestFlow) -> None:
        """Count the prompt of a request as processed by its server."""
        view = self.views.get(flow.in_flight_at)
        tokens, flow.pending_prefill_tokens = flow.pending_prefill_tokens, 0
        if view is not None:
            view.pending_prefill_tokens = max(0, view.pending_prefill_tokens - tokens)

    def record_response_head(
        self,
        now: float,
        flow: RequestFlow,
        running: int,
        waiting: int,
        *,
        has_load: bool,
        pace: float | None = None,
    ) -> None:
        """Record the head of an answer, which shows that its server is alive.

        Args:
            now: Monotonic time.
            flow: The request.
            running: Running requests that the server reported.
            waiting: Waiting requests that the server reported.
            has_load: Whether the answer reported a load.
            pace: How long work takes at the server now, 1 as usual, if it says so.
        """
        self.record_prefill_done(flow)
        view = self.views.get(flow.in_flight_at)
        if view is None:
            return
        view.ejection.record_success(now)
        if has_load:
            view.record_report(now, running, waiting)
        if pace is not None and view.capacity is not None:
            view.capacity.record_pace(now, pace)

    def record_output(self, now: float, flow: RequestFlow) -> None:
        """Record that a whole event of a stream is about to be passed on."""
        self.record_answered(now, flow)
        self.streams.record_output(now, flow)

    def record_answered(self, now: float, flow: RequestFlow) -> None:
        """Record that a server has answered a request, or begun to."""
        flow.output_begun = True
        self.crash_watch.record_output(now, flow.profile.traits)

    def end_attempt(self, now: float, flow: RequestFlow, result: AttemptResult) -> None:
        """Record how an attempt ended, for its request and its server."""
        was_reached = result.server_id in flow.reached_servers
        self.record_latency(now, flow, result)
        view = self.views.get(result.server_id)
        if view is not None:
            self.watch_for_crash(now, flow, view, result)
            via, flow.in_flight_via = flow.in_flight_via, ""
            if self.ways.record_end(now, view, via, result.verdict):
                view = None
        self.release_server(flow)
        flow.record_end(result, was_reached=was_reached)
        if result.verdict in UNSERVED_VERDICTS:
            self.fairness.record_refused(now, flow.profile)
        if view is not None:
            self.record_verdict(now, flow, view, result)

    def watch_for_crash(
        self, now: float, flow: RequestFlow, view: BackendView, result: AttemptResult
    ) -> None:
        """Suspect a request that was lost without output of having crashed its server.

        Servers that leave break connections off as well.
        """
        match result.verdict:
            case AttemptVerdict.LOST if not (result.had_output or view.draining):
                traits = flow.profile.traits
                # Servers that have crashed are listed for some time.
                crashes = self.crash_watch.suspects.crashes
                servers = sum(
                    other is view or other.start not in crashes
                    for other in self.model_holders(flow.profile)
                )
                self.crash_watch.record_loss(
                    now, view.start, flow.sent_at, traits, servers
                )
            case AttemptVerdict.ANSWERED | AttemptVerdict.FAILED:
                self.record_answered(now, flow)

    def record_verdict(
        self,
        now: float,
        flow: RequestFlow,
        view: BackendView,
        result: AttemptResult,
    ) -> None:
        """Update a server's health and backoff from the result of an attempt."""
        profile = flow.profile
        match result.verdict:
            case AttemptVerdict.ANSWERED | AttemptVerdict.FAILED:
                view.ejection.record_success(now)
            case AttemptVerdict.REFUSED_FULL if result.saturated or not profile.model:
                view.record_full(now)
                self.fairness.record_short(now, profile)
            case AttemptVerdict.REFUSED_FULL:
                # The server has free slots, so an order about this model must be in
                # progress there; it still serves other models.
                view.record_absent(now, profile.model, profile.adapter, ORDER_BACKOFF_S)
            case AttemptVerdict.REFUSED_ABSENT:
                view.record_absent(
                    now, profile.model, profile.adapter, ABSENT_BACKOFF_S
                )
            case verdict:
                silent = verdict is AttemptVerdict.TIMED_OUT
                view.ejection.record_failure(now, flow.sent_at, silent=silent)

    def give_up(
        self,
        now: float,
        flow: RequestFlow,
        reason: GiveUpReason,
        *,
        not_before: float = float("-inf"),
    ) -> GiveUp:
        """Return the step that ends a request without a backend server's answer.

        Args:
            now: Monotonic time.
            flow: The request.
            reason: Why it ends.
            not_before: Monotonic time before which another try is of no use.
        """
        not_run = not flow.may_have_run
        if reason in FINAL_REASONS:
            return GiveUp(reason, not_run=not_run)
        retry_s = retry_after_s(now, flow.profile, reason, self.forecast)
        retry_s = max(retry_s, not_before - now)
        return GiveUp(reason, not_run, retry_s)
