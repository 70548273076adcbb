"""Takes callers' requests and carries out what the dispatcher decides."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import (
    AttemptResult,
    AttemptVerdict,
    GiveUp,
    GiveUpReason,
    RequestFlow,
    Send,
    Wait,
)
from wisterialoom.platform.attempt import Attempt
from wisterialoom.platform.exchange import Exchange
from wisterialoom.platform.headers import ATTEMPT_ID, read_profile

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientSession, web

    from wisterialoom.core.serving.dispatcher import Dispatcher
    from wisterialoom.core.serving.request_flow import RequestProfile
    from wisterialoom.platform.attempt import WholeAnswer
    from wisterialoom.platform.headers import ServerLoad
    from wisterialoom.platform.metrics import PlatformMetrics

__all__ = ["Ingress", "Signal"]

logger = logging.getLogger(__name__)

CONFIG_DOUBT_S = 4.0
"""Age of the configuration above which an unknown route may just be a new one."""

FRESH_INSTANCE_RETRY_S = 0.5
"""When to come back to an instance that has no configuration yet."""

OUTAGE_RETRY_S = 3.0
"""That time at most, while the store stays away; outages last some seconds."""

PLAIN_SILENCE_FACTOR = 2.5
"""Silence of a plain server, in latency targets, after which it is given up."""

STREAM_SILENCE_S = 1.6
"""Silence of a stream after which it goes on elsewhere; callers leave after two."""


class Signal:
    """Wakes every request that waits for something to change."""

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()

    def wake(self) -> None:
        """Wake all that wait."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Return when woken, or after a time."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            pass
        finally:
            self.waiters.discard(waiter)


class Ingress:
    """Serves callers.

    Attributes:
        dispatcher: Decides each next step.
        signal: Wakes waiting requests.
        pooled: Session for what may be repeated.
        single: Session that opens a connection for each other request.
        config_checked: Returns when the configuration was last known to be current.
        demand_changed: Called when a request begins to wait for a model.
        metrics: Counters and histograms.
        created: Monotonic time at which this instance started.
        draining: This instance is stopping; answers close their connections.
        refusing: New and waiting requests are refused, as the instance stops soon.
        active: Requests in progress.
        limits: Time limits of the requests in progress.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        signal: Signal,
        config_checked: Callable[[], float],
        demand_changed: Callable[[], None],
        metrics: PlatformMetrics,
    ) -> None:
        self.dispatcher = dispatcher
        self.signal = signal
        self.config_checked = config_checked
        self.demand_changed = demand_changed
        self.metrics = metrics
        self.pooled: ClientSession | None = None
        self.single: ClientSession | None = None
        self.created = time.monotonic()
        self.draining = False
        self.refusing = False
        self.active = 0
        self.limits: set[asyncio.Timeout] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Carry one request to its answer."""
        self.active += 1
        try:
            return await self._handle(request)
        finally:
            self.active -= 1

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = time.monotonic()
        deployment = self.dispatcher.deployment
        exchange = Exchange(request, b"")
        exchange.closing = self.draining
        if deployment is None:
            exchange.respond(503, "no_configuration", self._start_retry_s())
            return self._final(exchange)
        if self.refusing:
            exchange.respond(503, "stopping", 0.0)
            return self._final(exchange)
        host = request.headers.get("Host", "").partition(":")[0]
        path = request.raw_path.partition("?")[0]
        route = deployment.find_route(host, path)
        if route is None:
            if arrived - self.config_checked() > CONFIG_DOUBT_S:
                exchange.respond(503, "configuration_in_doubt", FRESH_INSTANCE_RETRY_S)
            else:
                exchange.respond(404, "no_route")
            return self._final(exchange)
        body = await _read_body(request, deployment.limits.max_body_bytes)
        if body is None:
            exchange.respond(413, "the body is too large; send a smaller one")
            return self._final(exchange)
        exchange.body = body
        exchange.resumable = route.resumable
        profile = read_profile(request.headers, route, arrived)
        if not profile.request_id:
            exchange.respond(400, f"the header {ATTEMPT_ID} is missing; send one")
            return self._final(exchange)
        await self._carry(exchange, profile)
        return self._final(exchange)

    def _final(self, exchange: Exchange) -> web.StreamResponse:
        assert exchange.response is not None
        return exchange.response

    async def _carry(self, exchange: Exchange, profile: RequestProfile) -> None:
        flow = RequestFlow(profile)
        self.dispatcher.record_arrival(profile.arrived, flow)
        limit_s = profile.answer_deadline - time.monotonic()
        try:
            async with asyncio.timeout(limit_s) as limit:
                self.limits.add(limit)
                try:
                    await self._steps(exchange, flow)
                finally:
                    self.limits.discard(limit)
        except TimeoutError:
            not_run = not flow.servers or not (flow.may_have_run or flow.in_flight_at)
            self.dispatcher.release_server(flow)
            exchange.refuse(profile, GiveUp(GiveUpReason.DEADLINE, not_run, 0.3))
            flow.outcome = GiveUpReason.DEADLINE.value
        except ConnectionError:
            exchange.cut()
            flow.outcome = "caller_gone"
        finally:
            self.dispatcher.release_server(flow)
            self._stop_waiting(flow)
            self._tell_end(exchange, flow)

    def _tell_end(self, exchange: Exchange, flow: RequestFlow) -> None:
        """Count and log the end of a request."""
        profile = flow.profile
        flow.outcome = flow.outcome or "caller_gone"
        now = time.monotonic()
        deployment = self.dispatcher.deployment
        begun_at = exchange.begun_at
        first_s = begun_at - profile.arrived if begun_at else 0.0
        total_s = now - profile.arrived
        self.metrics.note_request(flow, first_s, total_s, exchange.max_gap_s)
        logger.info(
            "request",
            extra={
                "request_id": profile.request_id,
                "route": profile.route.name,
                "wanted": profile.resource,
                "outcome": flow.outcome,
                "servers": flow.servers,
                "sends": flow.sends,
                "waited_ms": int(flow.waited_s * 1e3),
                "first_ms": int(first_s * 1e3) if begun_at else -1,
                "max_gap_ms": int(exchange.max_gap_s * 1e3),
                "total_ms": int(total_s * 1e3),
                "left_ms": int((profile.answer_deadline - now) * 1e3),
                "config_version": deployment.version if deployment else 0,
                "placement_age_ms": int(
                    min(1e6, (now - self.dispatcher.forecast.holder_seen_at) * 1e3)
                ),
            },
        )

    async def _steps(self, exchange: Exchange, flow: RequestFlow) -> None:
        failure: WholeAnswer | None = None
        while True:
            step = self.dispatcher.next_step(time.monotonic(), flow)
            match step:
                case Send():
                    self._stop_waiting(flow)
                    attempt, result = await self._attempt(exchange, flow, step)
                    if result.verdict is AttemptVerdict.ANSWERED:
                        flow.outcome = "answered"
                        if attempt.answer is not None:
                            exchange.send_whole(attempt.answer)
                        return
                    if exchange.begun and not exchange.resumable:
                        flow.outcome = result.verdict.value
                        exchange.cut()
                        return
                    if result.verdict is AttemptVerdict.FAILED:
                        failure = attempt.answer
                        if not flow.profile.route.idempotent:
                            assert failure is not None
                            flow.outcome = "server_error"
                            exchange.send_whole(failure)
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
                    began = time.monotonic()
                    await self.signal.wait(max(0.005, until - began))
                    flow.waited_s += time.monotonic() - began
                case GiveUp() if failure is not None and not exchange.begun:
                    flow.outcome = "server_error"
                    exchange.send_whole(failure)
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
        session = self.pooled if route.idempotent else self.single
        assert session is not None
        left_s = profile.answer_deadline - time.monotonic()
        silence_s = left_s
        if route.idempotent:
            silence_s = STREAM_SILENCE_S
            if not route.stream:
                silence_s = PLAIN_SILENCE_FACTOR * route.target_s
            silence_s = min(left_s, silence_s)
        attempt = Attempt(
            exchange,
            profile,
            step,
            silence_s,
            lambda: self.dispatcher.may_move(time.monotonic(), flow),
            lambda load: self._note_head(flow, load),
        )
        result = AttemptResult(step.server_id, AttemptVerdict.CANCELLED)
        try:
            result = await attempt.run(session)
        finally:
            now = time.monotonic()
            cancelled = result.verdict is AttemptVerdict.CANCELLED
            if flow.in_flight_at and not cancelled:
                self._end_attempt(now, flow, result)
            elif flow.in_flight_at:
                flow.may_have_run = True
        exchange.cutter.drop_partial()
        self.metrics.note_attempt(result)
        if result.verdict is not AttemptVerdict.ANSWERED:
            logger.info(
                "attempt failed",
                extra={
                    "request_id": profile.request_id,
                    "route": route.name,
                    "server": step.server_id,
                    "verdict": result.verdict.value,
                    "detail": result.detail,
                },
            )
        return attempt, result

    def _start_retry_s(self) -> float:
        """Return when to come back to an instance that has no configuration yet."""
        waited_s = time.monotonic() - self.created
        return max(FRESH_INSTANCE_RETRY_S, min(waited_s, OUTAGE_RETRY_S))

    def _end_attempt(
        self, now: float, flow: RequestFlow, result: AttemptResult
    ) -> None:
        view = self.dispatcher.views.get(result.server_id)
        until = view.ejection.until if view is not None else 0.0
        self.dispatcher.end_attempt(now, flow, result)
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

    def _note_head(self, flow: RequestFlow, load: ServerLoad | None) -> None:
        now = time.monotonic()
        running, waiting = (load.running, load.waiting) if load else (0, 0)
        self.dispatcher.record_response_head(
            now, flow, running, waiting, told=load is not None
        )

    def refuse_new(self) -> None:
        """Refuse new and waiting requests from now on."""
        self.refusing = True
        self.signal.wake()

    def end_all(self) -> None:
        """Give every request in progress its final answer now."""
        now = asyncio.get_running_loop().time()
        for limit in tuple(self.limits):
            limit.reschedule(now)

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


async def _read_body(request: web.BaseRequest, limit: int) -> bytes | None:
    """Return a request's body, or `None` if it is larger than a limit in bytes."""
    if not request.can_read_body:
        return b""
    body = bytearray()
    async for piece in request.content.iter_any():
        body += piece
        if len(body) > limit:
            return None
    return bytes(body)
