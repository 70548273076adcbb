"""Accepts callers' requests and carries out the dispatcher's decisions."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.caller_memory import CallerMemory, MEMORY_RETRY_S
from wisterialoom.core.serving.request_flow import (
    AttemptResult,
    AttemptVerdict,
    GiveUp,
    GiveUpReason,
    RequestFlow,
    Send,
    Wait,
)
from wisterialoom.core.teams.allowance import Denied
from wisterialoom.counted_connection import MAX_HEAD_BYTES
from wisterialoom.platform._signal import Signal
from wisterialoom.platform.attempt import Attempt
from wisterialoom.platform.exchange import CallerGoneError, Exchange
from wisterialoom.platform.headers import (
    ATTEMPT_ID,
    LAST_EVENT_ID,
    read_own_trait,
    read_profile,
    RESUMES,
)
from wisterialoom.platform.listener import head_bytes
from wisterialoom.platform.log import age_ms
from wisterialoom.platform.notice_recorder import NoticeRecorder
from wisterialoom.platform.team_gate import TeamGate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import ClientSession, web

    from wisterialoom.core.serving.backend import BackendView
    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.core.serving.request_flow import RequestProfile, Step
    from wisterialoom.core.serving.routing import Deployment, Route
    from wisterialoom.platform.attempt import BufferedAnswer
    from wisterialoom.platform.metrics import PlatformMetrics
    from wisterialoom.platform.quota_exchange import QuotaExchange
    from wisterialoom.platform.team_gate import Admission

__all__ = ["Ingress", "Signal"]

logger = logging.getLogger(__name__)

START_S = 1.5
"""Time after the start in which the first view is expected at any moment.

If it takes longer, the store does not answer.
"""

START_WAIT_S = 0.5
"""Longest wait of a request for the first view of configuration and servers."""

STARTING_RETRY_S = 0.5
"""Minimum `Retry-After` of an instance that has no configuration yet.

Also the `Retry-After` for an unknown route while the configuration may be outdated.
"""

OUTAGE_RETRY_S = 3.0
"""Maximum `Retry-After` of an instance that has no configuration yet.

It applies during a store outage; outages last some seconds.
"""

PLAIN_READ_TIMEOUT_TARGETS = 2.5
"""Read timeout of answers that are not streams, in latency targets of the route."""

STREAM_READ_TIMEOUT_S = 1.6
"""Read timeout of streams, after which another server continues the stream.

Callers may close the connection after a pause of two seconds.
"""


OVER_QUOTA = "quota"
"""Why a request is refused whose team has used up its quota."""

MAX_POOLED_BODY_BYTES = 32_768
"""Size of a body above which its request gets a connection of its own.

Servers may refuse a longer one before it was written, and a response that begins before
that is not trusted on a reused connection.
"""

PATH_VERDICTS = (
    AttemptVerdict.NOT_SENT,
    AttemptVerdict.LOST,
    AttemptVerdict.TIMED_OUT,
)
"""Verdicts after which the path to a server may be in doubt."""


class Ingress:
    """Serves callers.

    Attributes:
        dispatcher: Decides the next step of each request.
        signal: Wakes waiting requests.
        pooled_session: Session with reused connections, for idempotent requests.
        single_use_session: Session that opens a connection for each request, for
            requests that must not run twice.
        helper_session: Session for requests that go through another instance.
        is_loaded: Returns whether configuration and servers are known.
        get_config_current_at: Returns the monotonic time at which the configuration was
            last known to be current.
        get_config_limit_s: Returns the time within which a configuration must be in
            force.
        get_view_current_at: Returns the same time for configuration and servers.
        demand_changed: Called when the first request begins to wait for a model.
        rejected: Called with a brittle server that turned a request away.
        connection_opened: Called with a server to which a connection was established.
        path_doubted: Called with a server at which an attempt failed, and whether it
            was reached directly before.
        find_version: Finds the software version that began the stream which a request
            takes up, and sets it.
        get_quotas: Returns what charges requests to the quotas of their teams.
        metrics: Counters and histograms.
        notices: Follows what servers say about themselves.
        team_gate: Checks API keys.
        started_at: Monotonic time at which this instance started.
        draining: Whether the instance is stopping; answers then close their
            connections.
        refusing: Whether new and waiting requests are refused, because the instance
            stops soon.
        active: Number of requests in progress.
        memory: Reads bodies within the memory of the process.
        request_timeouts: Timeouts of the requests in progress.
        unanswered: Requests at servers, by a timeout that aborts the attempt.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        signal: Signal,
        is_loaded: Callable[[], bool],
        get_config_current_at: Callable[[], float],
        get_config_limit_s: Callable[[], float],
        get_view_current_at: Callable[[], float],
        demand_changed: Callable[[], None],
        limit_changed: Callable[[str], None],
        rejected: Callable[[str], None],
        connection_opened: Callable[[str], None],
        path_doubted: Callable[[BackendView, bool], None],
        find_version: Callable[[RequestFlow], Awaitable[None]],
        get_quotas: Callable[[], QuotaExchange],
        metrics: PlatformMetrics,
    ) -> None:
        self.dispatcher = dispatcher
        self.signal = signal
        self.is_loaded = is_loaded
        self.get_config_current_at = get_config_current_at
        self.get_config_limit_s = get_config_limit_s
        self.get_view_current_at = get_view_current_at
        self.demand_changed = demand_changed
        self.rejected = rejected
        self.connection_opened = connection_opened
        self.path_doubted = path_doubted
        self.find_version = find_version
        self.get_quotas = get_quotas
        self.metrics = metrics
        self.notices = NoticeRecorder(dispatcher, limit_changed)
        self.team_gate = TeamGate(
            lambda: self.dispatcher.deployment, lambda: self.is_config_in_doubt
        )
        self.pooled_session: ClientSession | None = None
        self.single_use_session: ClientSession | None = None
        self.helper_session: ClientSession | None = None
        self.started_at = time.monotonic()
        self.draining = False
        self.refusing = False
        self.active = 0
        self.memory = CallerMemory()
        self.request_timeouts: set[asyncio.Timeout] = set()
        self.unanswered: dict[asyncio.Timeout, RequestFlow] = {}

    @property
    def is_config_in_doubt(self) -> bool:
        """Whether a newer configuration could have been promised to be in force."""
        age_s = time.monotonic() - self.get_config_current_at()
        return age_s > self.get_config_limit_s()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        self.active += 1
        try:
            return await self._handle(request)
        finally:
            self.active -= 1

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = time.monotonic()
        deployment = await self._first_deployment(arrived)
        exchange = Exchange(request, b"")
        exchange.closing = self.draining
        if deployment is None:
            exchange.respond(503, "no_configuration", self._start_retry_s())
            return self._final(exchange)
        if self.refusing:
            exchange.respond(503, "stopping", 0.0)
            return self._final(exchange)
        if head_bytes(request) > min(
            MAX_HEAD_BYTES, deployment.limits.max_header_bytes
        ):
            exchange.closing = True
            exchange.respond(431, "the header is too large; send a smaller one")
            return self._final(exchange)
        host = request.headers.get("Host", "").partition(":")[0]
        path = request.raw_path.partition("?")[0]
        route = deployment.find_route(host, path)
        if route is None:
            # A route that was added since the configuration was known to be current is
            # promised after this time, and no caller tries again after a 404.
            if self.is_config_in_doubt:
                exchange.respond(503, "configuration_in_doubt", STARTING_RETRY_S)
            else:
                exchange.respond(404, "no_route")
            return self._final(exchange)
        admission = self.team_gate.admit(exchange, route)
        if admission.status:
            return self._final(exchange)
        limit = deployment.limits.max_body_bytes
        with self.memory.open(arrived) as held:
            body = await self.memory.read(request, held, limit)
            if body is None:
                exchange.closing = True
                if held in self.memory.budget.holders:
                    exchange.respond(413, "the body is too large; send a smaller one")
                else:
                    exchange.respond(503, "memory", MEMORY_RETRY_S)
                return self._final(exchange)
            exchange.body = body
            exchange.hold = lambda count: self.memory.hold_answer(held, count)
            exchange.hold_written = self.memory.write
            return await self._serve_body(exchange, route, admission, arrived)

    async def _serve_body(
        self,
        exchange: Exchange,
        route: Route,
        admission: Admission,
        arrived: float,
    ) -> web.StreamResponse:
        request, body, team = exchange.request, exchange.body, admission.team
        exchange.resumable = route.resumable
        caller = (team.name if team else "") if admission.guarded else None
        own_trait = read_own_trait(
            request.method, exchange.target, request.headers, body, caller
        )
        profile = read_profile(
            request.headers,
            route,
            arrived,
            own_trait,
            team,
            guarded=admission.guarded,
        )
        if not profile.request_id:
            exchange.respond(400, f"the header {ATTEMPT_ID} is missing; send one")
            return self._final(exchange)
        quotas = self.get_quotas()
        charge = await quotas.charge(profile)
        if isinstance(charge, Denied):
            exchange.respond(429, OVER_QUOTA, charge.retry_s)
            return self._final(exchange)
        exchange.charge = charge
        try:
            await self._serve(exchange, profile)
        finally:
            quotas.finish(exchange.charge, not_run=exchange.not_run)
        await exchange.send_large()
        return self._final(exchange)

    def _final(self, exchange: Exchange) -> web.StreamResponse:
        assert exchange.response is not None
        return exchange.response

    async def _serve(self, exchange: Exchange, profile: RequestProfile) -> None:
        flow = RequestFlow(profile, view_current_at=self.get_view_current_at())
        self.dispatcher.record_arrival(profile.arrived, flow)
        limit_s = profile.answer_deadline - time.monotonic()
        try:
            async with asyncio.timeout(limit_s) as timeout:
                self.request_timeouts.add(timeout)
                try:
                    if profile.takes_up is not None:
                        await self.find_version(flow)
                    await self._run_steps(exchange, flow)
                finally:
                    self.request_timeouts.discard(timeout)
        except TimeoutError:
            not_run = not flow.servers or not (flow.may_have_run or flow.in_flight_at)
            self.dispatcher.release_server(flow)
            exchange.refuse(profile, GiveUp(GiveUpReason.DEADLINE, not_run, 0.3))
            flow.outcome = GiveUpReason.DEADLINE.value
        except CallerGoneError:
            exchange.abort()
            flow.outcome = "caller_gone"
        finally:
            self.dispatcher.release_server(flow)
            self._stop_waiting(flow)
            self._record_end(exchange, flow)

    def _record_end(self, exchange: Exchange, flow: RequestFlow) -> None:
        """Record the end of a request in metrics and log."""
        profile = flow.profile
        flow.outcome = flow.outcome or "caller_gone"
        now = time.monotonic()
        deployment = self.dispatcher.deployment
        head_sent_at = exchange.head_sent_at
        first_s = head_sent_at - profile.arrived if head_sent_at else 0.0
        total_s = now - profile.arrived
        self.metrics.record_request(flow, first_s, total_s, exchange.max_gap_s)
        logger.info(
            "request",
            extra={
                "request_id": profile.request_id,
                "route": profile.route.name,
                "wanted": profile.resource,
                "team": profile.team,
                "outcome": flow.outcome,
                "held_trait": self.dispatcher.held_trait(flow),
                "servers": flow.servers,
                "versions": flow.software_versions,
                "resumes": exchange.request.headers.get(RESUMES),
                "last_event_id": exchange.request.headers.get(LAST_EVENT_ID),
                "sends": flow.attempt_count,
                "waited_ms": int(flow.waited_s * 1e3),
                "first_ms": int(first_s * 1e3) if head_sent_at else -1,
                "max_gap_ms": int(exchange.max_gap_s * 1e3),
                "total_ms": int(total_s * 1e3),
                "left_ms": int((profile.answer_deadline - now) * 1e3),
                "config_version": deployment.version if deployment else 0,
                "view_age_ms": age_ms(profile.arrived, flow.view_current_at),
                "placement_age_ms": age_ms(
                    now, self.dispatcher.forecast.holder_seen_at
                ),
            },
        )

    def _next_step(self, exchange: Exchange, flow: RequestFlow) -> Step:
        """Return the next step; a send follows at once, so the key is checked here."""
        refusal = self.team_gate.recheck(exchange.request.headers, flow)
        return refusal or self.dispatcher.next_step(time.monotonic(), flow)

    async def _confirm_charge(self, exchange: Exchange, flow: RequestFlow) -> bool:
        """Return whether a request may be sent; one that may not is refused."""
        charge = await self.get_quotas().send(flow.profile, exchange.charge)
        if isinstance(charge, Denied):
            flow.outcome = OVER_QUOTA
            exchange.respond(429, OVER_QUOTA, charge.retry_s)
            return False
        if charge is exchange.charge:
            return True
        exchange.charge = charge
        # The request may have waited for the charge, so the key is checked again.
        refusal = self.team_gate.recheck(exchange.request.headers, flow)
        if refusal is not None:
            flow.outcome = refusal.reason.value
            exchange.refuse(flow.profile, refusal)
        return refusal is None

    def _finish_answered(
        self, exchange: Exchange, flow: RequestFlow, attempt: Attempt
    ) -> None:
        flow.outcome = "answered"
        self.dispatcher.streams.origins.finish(flow.profile.stream)
        if attempt.answer is not None:
            exchange.send_buffered(attempt.answer)

    async def _run_steps(self, exchange: Exchange, flow: RequestFlow) -> None:
        failure: BufferedAnswer | None = None
        while True:
            match step := self._next_step(exchange, flow):
                case Send():
                    self._stop_waiting(flow)
                    if not await self._confirm_charge(exchange, flow):
                        return
                    attempt, result = await self._attempt(exchange, flow, step)
                    if result.verdict is AttemptVerdict.ANSWERED:
                        self._finish_answered(exchange, flow, attempt)
                        return
                    if exchange.head_sent and not exchange.resumable:
                        flow.outcome = result.verdict.value
                        exchange.abort()
                        return
                    if result.verdict is AttemptVerdict.FAILED:
                        failure = attempt.answer
                        if not flow.profile.route.idempotent:
                            assert failure is not None
                            flow.outcome = "server_error"
                            exchange.send_buffered(failure)
                            return
                        flow.may_have_run = True
                case Wait() if self.refusing:
                    not_run = not flow.may_have_run
                    stopping = GiveUp(GiveUpReason.STOPPING, not_run, 0.0)
                    exchange.refuse(flow.profile, stopping)
                    flow.outcome = GiveUpReason.STOPPING.value
                    return
                case Wait(until=until):
                    self._start_waiting(flow)
                    wait_started = time.monotonic()
                    await self.signal.wait(max(0.005, until - wait_started))
                    flow.waited_s += time.monotonic() - wait_started
                case GiveUp() if failure is not None and not exchange.head_sent:
                    flow.outcome = "server_error"
                    exchange.send_buffered(failure)
                    return
                case GiveUp(reason=reason):
                    flow.outcome = reason.value
                    exchange.refuse(flow.profile, step)
                    return

    async def _attempt(
        self, exchange: Exchange, flow: RequestFlow, step: Send
    ) -> tuple[Attempt, AttemptResult]:
        profile = flow.profile
        route = profile.route
        reusable = route.idempotent and len(exchange.body) <= MAX_POOLED_BODY_BYTES
        session = self.pooled_session if reusable else self.single_use_session
        if step.via:
            session = self.helper_session
        assert session is not None
        remaining_s = profile.answer_deadline - time.monotonic()
        read_timeout_s = remaining_s
        if route.idempotent:
            read_timeout_s = STREAM_READ_TIMEOUT_S
            if not route.stream:
                read_timeout_s = PLAIN_READ_TIMEOUT_TARGETS * route.target_s
            read_timeout_s = min(remaining_s, read_timeout_s)
        attempt = Attempt(
            exchange,
            profile,
            step,
            read_timeout_s,
            lambda: self.dispatcher.can_retry_elsewhere(time.monotonic(), flow),
            lambda notice: self.notices.record_head(flow, notice),
            lambda: self.connection_opened(step.server_id),
            lambda: self.dispatcher.record_output(time.monotonic(), flow),
            # There may be a list of teams since the request was admitted.
            guarded=profile.guarded or self.team_gate.needs_key,
        )
        hold = asyncio.timeout(None)
        self.unanswered[hold] = flow
        result = AttemptResult(step.server_id, AttemptVerdict.CANCELLED)
        try:
            async with hold:
                result = await attempt.run(session)
        except TimeoutError:
            # The request is held back now; it may have run.
            pass
        finally:
            del self.unanswered[hold]
            now = time.monotonic()
            cancelled = result.verdict is AttemptVerdict.CANCELLED
            if flow.in_flight_at and not cancelled:
                self._end_attempt(now, flow, result)
            elif flow.in_flight_at:
                flow.may_have_run = True
        exchange.event_splitter.drop_partial()
        self.metrics.record_attempt(result)
        if result.verdict is not AttemptVerdict.ANSWERED:
            logger.info(
                "attempt failed",
                extra={
                    "request_id": profile.request_id,
                    "route": route.name,
                    "server": step.server_id,
                    "verdict": result.verdict.value,
                    "detail": result.detail,
                    "had_output": result.had_output,
                    "traits": profile.traits,
                },
            )
        return attempt, result

    async def _first_deployment(self, now: float) -> Deployment | None:
        """Return the deployment; wait for the first view while the instance starts."""
        limit = min(now + START_WAIT_S, self.started_at + START_S)
        while now < limit and not self.is_loaded():
            await self.signal.wait(limit - now)
            now = time.monotonic()
        return self.dispatcher.deployment

    def _start_retry_s(self) -> float:
        """Return the `Retry-After` in seconds while there is no configuration yet."""
        waited_s = time.monotonic() - self.started_at
        return max(STARTING_RETRY_S, min(waited_s, OUTAGE_RETRY_S))

    def _end_attempt(
        self, now: float, flow: RequestFlow, result: AttemptResult
    ) -> None:
        view = self.dispatcher.views.get(result.server_id)
        until = view.ejection.until if view is not None else 0.0
        was_direct = view is not None and self.dispatcher.ways.is_direct(view)
        self.dispatcher.end_attempt(now, flow, result)
        if result.verdict is AttemptVerdict.REFUSED_FULL:
            service = flow.profile.service
            if self.dispatcher.brittle.is_brittle(now, service):
                self.dispatcher.record_rejection(now, result.server_id)
                self.rejected(result.server_id)
        if view is not None and result.verdict in PATH_VERDICTS:
            self.path_doubted(view, was_direct)
        if view is not None and view.ejection.until != until:
            logger.warning(
                "server ejected",
                extra={
                    "server": result.server_id,
                    "for_ms": int((view.ejection.until - now) * 1e3),
                    "verdict": result.verdict.value,
                    "request_id": flow.profile.request_id,
                },
            )

    def end_held(self) -> None:
        """Abort attempts of requests that are held back now, and refuse waiting ones.

        A server that has not begun to answer them may yet be spared.
        """
        now = asyncio.get_running_loop().time()
        for hold, flow in self.unanswered.items():
            if not flow.output_begun and self.dispatcher.is_held(flow):
                hold.reschedule(now)
        self.signal.wake()

    def refuse_new(self) -> None:
        """Refuse new and waiting requests from now on."""
        self.refusing = True
        self.signal.wake()

    def end_all(self) -> None:
        """Let the timeouts of all requests in progress expire now."""
        now = asyncio.get_running_loop().time()
        for timeout in tuple(self.request_timeouts):
            timeout.reschedule(now)

    def _start_waiting(self, flow: RequestFlow) -> None:
        if flow.waiting:
            return
        flow.waiting = True
        resource = flow.profile.resource
        waiting = self.dispatcher.waiting
        waiting[resource] = waiting.get(resource, 0) + 1
        if waiting[resource] == 1:
            self.demand_changed()

    def _stop_waiting(self, flow: RequestFlow) -> None:
        if not flow.waiting:
            return
        flow.waiting = False
        resource = flow.profile.resource
        waiting = self.dispatcher.waiting
        waiting[resource] -= 1
        if waiting[resource] <= 0:
            del waiting[resource]
