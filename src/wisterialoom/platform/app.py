"""Application of one instance; the platform runs one process per front machine."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import time
from collections import Counter
from dataclasses import replace
from typing import Any, cast, TYPE_CHECKING

from aiohttp import web

from wisterialoom.caller_server import CallerServer, stop_listening, wait_until_sent
from wisterialoom.client_session import open_session
from wisterialoom.core.fleet import PlacementLease
from wisterialoom.core.memory_budget import (
    max_connections,
    max_passed_on,
    MemoryBudget,
)
from wisterialoom.core.request_limit import ASSUMED_INSTANCES, LimitShares
from wisterialoom.core.serving.balancer import Balancer
from wisterialoom.core.serving.dispatcher import Dispatcher
from wisterialoom.core.serving.helper_choice import HelperChoice
from wisterialoom.core.serving.retry_budget import RetryLimits
from wisterialoom.core.serving.routing import IngressLimits
from wisterialoom.counted_connection import CallerLimits, MAX_HEAD_BYTES
from wisterialoom.platform._tasks import TaskGroup
from wisterialoom.platform.app_metrics import (
    register_caller_metrics,
    register_metrics,
)
from wisterialoom.platform.attempt import trace_connections
from wisterialoom.platform.catalog import Catalog
from wisterialoom.platform.crash_exchange import CrashExchange
from wisterialoom.platform.fleet import Fleet
from wisterialoom.platform.headers import ATTEMPT_ID
from wisterialoom.platform.helper_server import HelperServer
from wisterialoom.platform.ingress import Ingress, Signal
from wisterialoom.platform.key_exchange import KeyExchange
from wisterialoom.platform.limit_exchange import LimitExchange
from wisterialoom.platform.listener import answer_refused, listen
from wisterialoom.platform.metrics import PlatformMetrics
from wisterialoom.platform.orders import OrderClient
from wisterialoom.platform.path_prober import PathProber
from wisterialoom.platform.peers import PeerLink
from wisterialoom.platform.placement_controller import PlacementController
from wisterialoom.platform.placement_view import PlacementView
from wisterialoom.platform.quota_exchange import QuotaExchange
from wisterialoom.platform.relay import Relay
from wisterialoom.platform.settings import (
    PlatformSettings,
    settings_path,
    SettingsError,
)
from wisterialoom.platform.store import StoreClient
from wisterialoom.platform.stream_exchange import StreamExchange
from wisterialoom.server_connection import ServerConnector

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import ClientSession, TCPConnector


__all__ = ["PlatformApp"]

logger = logging.getLogger(__name__)

SERVER_KEEPALIVE_S = 2.0
"""Idle time after which a connection to a backend server is not reused."""

SETTINGS_CHECK_S = 1.0
"""Interval between checks of the settings file; changes are rare and not urgent."""

READY_SHARE = 0.1
"""Connections for readiness checks, as a share of those for callers."""

EXTRA_HEAD_BYTES = 2_048
"""Size of the headers that an instance adds when it asks another one for help."""

TICK_S = 0.25
"""Interval between checks for missing servers, timed-out members and new settings."""

REFUSE_AFTER_S = 2.6
"""Time after SIGTERM for which new requests are still served.

The platform sends new connections elsewhere after two failed readiness checks, which
are one second apart.
"""

REFUSE_AFTER_GRACE_SHARE = 0.33
"""Upper limit of `REFUSE_AFTER_S`, as a fraction of the grace period."""

END_AFTER_GRACE_SHARE = 0.88
"""Fraction of the grace period after which the requests in progress are ended."""

SENT_AFTER_GRACE_SHARE = 0.94
"""Fraction of the grace period for which callers may read the rest of their answers."""

EXIT_S = 0.4
"""Least part of the grace period that is kept for the end of the process.

With 0.24 s, a process on a busy machine ended 0.06 s after its grace period.
"""

LAST_REQUESTS_S = 0.3
"""Time for the answers to requests that arrive as the listener is closed."""


START_SPREAD_S = 0.3
"""Time over which instances read the placement lease at the first start of the system.

The first of them takes it and the others then find its record, so that they need not
compete for it. At later starts there is a record, and callers are waiting.
"""


class PlatformApp:
    """Creates, connects, starts and stops the components of the process.

    Attributes:
        settings: Settings of the process.
        dispatcher: Selects the backend server for each request.
        signal: Wakes the requests that wait for a change.
        metrics: Counters, gauges and histograms.
        stopping: Set once the process is to stop.
        watch_settings: Whether the settings come from a file that may change.
        settings_changed_at: Modification time of the settings file in nanoseconds;
            0 before the first check.
        settings_due: Monotonic time of the next check of the settings file.
        runners: Listeners for callers, readiness checks and metrics.
        front_server: Connections of callers.
        peer_server: Connections of other instances.
        ready_server: Connections of readiness checks.
        sessions: HTTP client sessions to close at the end.
        response_faults: Number of responses that were malformed or cut, by fault.
        tasks: Background tasks.
        catalog: Configuration and backend servers, as read from the store.
        placement_controller: Competes for the placement lease and, while it holds
            the lease, orders loads and unloads of models.
        fleet: Members, demand and placement.
        relay: Distributes the store's contents among instances.
        key_exchange: Messages about the age of the configuration.
        peers: Datagrams between instances.
        path_prober: Probes servers that this instance may not reach.
        helper_server: Passes requests of other instances on.
        limit_exchange: Messages about servers that limit requests.
        quota_exchange: Charges requests to quotas, and messages about allowance.
        crash_exchange: Messages about crashes, and requests that cause them.
        stream_exchange: Messages and records about the versions that began streams.
        orders: Client for loads and unloads at backend servers.
        ingress: Serves callers.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        bounds = settings.bounds
        self.dispatcher = Dispatcher(
            Balancer(settings.availability_zone),
            RetryLimits(bounds.retry_ratio, bounds.retry_fixed, bounds.retry_window_s),
            limit_shares=LimitShares(settings.instance, assumed=ASSUMED_INSTANCES),
        )
        self.dispatcher.measures_capacity = settings.shares_servers
        self.dispatcher.crash_watch.me = settings.instance
        self.dispatcher.ways.helpers = HelperChoice(
            settings.instance, settings.peer_port
        )
        if settings.first_start:
            # There were no servers before, so no earlier versions either.
            self.dispatcher.streams.history.record_earlier(time.monotonic(), {})
        self.signal = Signal()
        self.metrics = PlatformMetrics()
        self.stopping = asyncio.Event()
        self.watch_settings = False
        self.settings_changed_at = 0
        self.settings_due = 0.0
        self.runners: list[web.ServerRunner] = []
        self.front_server: CallerServer
        self.peer_server: CallerServer
        self.ready_server: CallerServer
        self.sessions: list[ClientSession] = []
        self.response_faults: Counter[str] = Counter()
        self.tasks = TaskGroup()
        self.catalog: Catalog
        self.placement_controller: PlacementController
        self.fleet: Fleet
        self.relay: Relay
        self.key_exchange: KeyExchange
        self.peers: PeerLink
        self.limit_exchange: LimitExchange
        self.quota_exchange: QuotaExchange
        self.crash_exchange: CrashExchange
        self.stream_exchange: StreamExchange
        self.path_prober: PathProber
        self.helper_server: HelperServer
        self.orders: OrderClient
        self.ingress: Ingress

    @classmethod
    def from_environment(cls, metrics_port: int = 0) -> PlatformApp:
        """Create the application from the settings file.

        Args:
            metrics_port: Port on which metrics are served; none if 0.

        Raises:
            SettingsError: The settings cannot be used.
        """
        return cls(PlatformSettings.from_environment(metrics_port))

    async def run(self) -> None:
        """Start, serve until SIGTERM, drain and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.on_reload)
        self.watch_settings = True
        await self.on_start()
        await self.stopping.wait()
        await self.on_drain()
        await self.on_stop()

    async def on_start(self) -> None:
        """Open sessions and listeners and begin to follow the store."""
        settings = self.settings
        store = StoreClient(settings.store, self._session(self._connector()))
        self.catalog = Catalog(
            store, self.dispatcher, self.signal.wake, settings.bounds.promise
        )
        self.ingress = Ingress(
            self.dispatcher,
            self.signal,
            lambda: self.catalog.is_loaded,
            lambda: self.catalog.config_current_at,
            lambda: self.settings.bounds.config_apply_s,
            lambda: self.catalog.current_at,
            lambda: self.fleet.demand_changed(),
            lambda server_id: self.limit_exchange.announce(server_id),
            lambda server_id: self.limit_exchange.tell_rejection(server_id),
            lambda server_id: self.path_prober.record_opened(server_id),
            lambda view, was_direct: self.path_prober.log_loss(
                view, was_direct=was_direct
            ),
            lambda flow: self.stream_exchange.find(flow),
            lambda: self.quota_exchange,
            self.metrics,
        )
        self.ingress.memory.budget = MemoryBudget.from_memory(
            settings.memory_mb, IngressLimits().max_body_bytes, MAX_HEAD_BYTES
        )
        self.ingress.pooled_session = self._session(
            self._connector(
                keepalive_timeout=SERVER_KEEPALIVE_S, echo_header=ATTEMPT_ID
            )
        )
        self.ingress.single_use_session = self._session(
            self._connector(force_close=True, echo_header=ATTEMPT_ID)
        )
        # Other instances recognize this one by its address.
        self.ingress.helper_session = self._session(
            self._connector(
                force_close=True,
                local_addr=(settings.ip, 0),
                echo_header=ATTEMPT_ID,
            )
        )
        await self._start_fleet(store)
        register_metrics(self, store)
        if settings.metrics_port:
            await self._listen(
                f"{settings.ip}:{settings.metrics_port}",
                self.metrics.answer,
                self._caller_limits(READY_SHARE),
            )
        self.ready_server = await self._listen(
            settings.ready, self.answer_ready, self._caller_limits(READY_SHARE)
        )
        self.front_server = await self._listen(
            settings.front, self.ingress.handle, self._caller_limits(1.0)
        )
        register_caller_metrics(self)
        self.catalog.start()
        self.tasks.supervise("tick", self._tick)
        logger.info("started", extra={"front": settings.front})

    async def _start_fleet(self, store: StoreClient) -> None:
        settings = self.settings
        boot_id = os.urandom(8).hex()
        peers = PeerLink(
            settings.peer_port, lambda hint, ip: fleet.handle_hint(hint, ip)
        )
        placement = PlacementView(self.dispatcher, self.signal.wake)
        fleet = Fleet(
            settings.instance,
            boot_id,
            settings.ip,
            peers,
            self.dispatcher,
            placement,
        )

        orders = OrderClient(
            settings.instance,
            self._session(self._connector(force_close=True)),
            self._session(self._connector()),
            self.ingress.notices.record,
            lambda server_id: self.path_prober.record_doubt(server_id),
        )
        self.orders = orders
        self.placement_controller = PlacementController(
            PlacementLease(
                settings.instance,
                boot_id,
                settings.ip,
                settings.bounds.lease_s,
                fenced=settings.bounds.fenced,
                link=settings.link,
                first_start=settings.first_start,
                start_spread_s=START_SPREAD_S if settings.first_start else 0.0,
            ),
            store,
            orders,
            peers,
            self.dispatcher,
            placement,
            fleet.record_holder,
        )
        fleet.placement_controller = self.placement_controller
        self.relay = Relay(
            settings.instance,
            self.catalog,
            peers,
            store,
            fleet.holder_to_ask,
            lambda: self.placement_controller.holds_lease,
            lambda: self.settings.bounds.promise,
            link=settings.link,
        )
        fleet.relay = self.relay
        self.key_exchange = KeyExchange(
            settings.instance,
            self.catalog,
            peers,
            lambda: self.settings.bounds,
            lambda: list(self.relay.role.watchers),
            fleet.holder_to_ask,
            lambda: self.relay.heard_version,
            first_start=settings.first_start,
        )
        fleet.key_exchange = self.key_exchange
        self.ingress.team_gate.can_vouch = self.key_exchange.can_vouch
        self.ingress.team_gate.may_lack_teams = self.key_exchange.may_lack_teams
        self.limit_exchange = LimitExchange(
            settings.instance, peers, self.dispatcher, self.signal.wake
        )
        fleet.limit_exchange = self.limit_exchange
        self.quota_exchange = QuotaExchange(
            settings.instance,
            fleet,
            self.placement_controller.lease,
            lambda: self.dispatcher.deployment,
            lambda: self.settings.bounds.quota,
        )
        fleet.quota_exchange = self.quota_exchange
        self.crash_exchange = CrashExchange(
            settings.instance, peers, self.dispatcher.crash_watch, self.ingress.end_held
        )
        fleet.crash_exchange = self.crash_exchange
        self.stream_exchange = StreamExchange(
            settings.instance,
            peers,
            store,
            self.dispatcher,
            self.catalog,
            self.placement_controller.lease_manager.read_versions,
            lambda: self.placement_controller.holds_lease,
        )
        fleet.stream_exchange = self.stream_exchange
        self.path_prober = PathProber(
            settings.instance, self.dispatcher, peers, self.signal.wake
        )
        assert self.ingress.pooled_session is not None
        assert self.ingress.single_use_session is not None
        self.helper_server = HelperServer(
            self.dispatcher,
            peers,
            self.ingress.memory,
            max_passed_on(settings.memory_mb, settings.max_fds),
            self.ingress.pooled_session,
            self.ingress.single_use_session,
            self.ingress.notices.record,
            self.path_prober.record_not_opened,
            self.path_prober.record_doubt,
        )
        self.peer_server = await self._listen(
            f"{settings.ip}:{settings.peer_port}",
            self.helper_server.handle,
            self._peer_limits(),
        )
        self.peers = peers
        self.fleet = fleet
        await peers.start(settings.ip)
        fleet.start()
        self.relay.start()
        self.key_exchange.start()
        self.limit_exchange.start()
        self.quota_exchange.start()
        self.crash_exchange.start()
        self.stream_exchange.start()
        self.path_prober.start()
        self.placement_controller.start()

    async def answer_ready(self, _: web.BaseRequest) -> web.StreamResponse:
        """Answer the platform's readiness check."""
        ready = (
            self.catalog.is_loaded
            and self.ingress.team_gate.is_vouching
            and not self.ingress.draining
        )
        return web.Response(status=200 if ready else 503)

    def on_reload(self) -> None:
        """Reload the settings file.

        Only the values of `bounds` take effect; the others need a restart.
        """
        try:
            settings = PlatformSettings.from_environment(self.settings.metrics_port)
        except SettingsError as error:
            logger.error("settings not reloaded", extra={"error": str(error)})
            return
        changed = settings != self.settings
        self.settings = replace(self.settings, bounds=settings.bounds)
        bounds = settings.bounds
        self.dispatcher.set_retry_limits(
            RetryLimits(bounds.retry_ratio, bounds.retry_fixed, bounds.retry_window_s)
        )
        logger.info("settings reloaded", extra={"changed": changed})

    def check_settings_file(self, now: float) -> None:
        """Reload the settings if their file has changed, also without SIGHUP."""
        if now < self.settings_due:
            return
        self.settings_due = now + SETTINGS_CHECK_S
        try:
            changed_at = settings_path().stat().st_mtime_ns
        except OSError as error:
            logger.warning(
                "cannot check the settings file", extra={"error": str(error)}
            )
            return
        if self.settings_changed_at not in (0, changed_at):
            self.on_reload()
        self.settings_changed_at = changed_at

    async def on_drain(self) -> None:
        """Report not ready, refuse new requests after a while, then end the rest.

        New requests are served as usual at first, as the platform still sends some.
        """
        self.ingress.draining = True
        await self.placement_controller.stop()
        started = time.monotonic()
        grace_s = self.settings.bounds.grace_s
        servers = (self.front_server, self.peer_server)
        logger.info("draining", extra={"active": self.ingress.active})
        await asyncio.sleep(min(REFUSE_AFTER_S, REFUSE_AFTER_GRACE_SHARE * grace_s))
        self.ingress.refuse_new()
        self.helper_server.stopping = True
        limit = started + END_AFTER_GRACE_SHARE * grace_s
        await wait_until_sent(servers, limit)
        logger.info("ending requests", extra={"active": self.ingress.active})
        self.ingress.end_all()
        limit = started + min(SENT_AFTER_GRACE_SHARE * grace_s, grace_s - EXIT_S)
        await wait_until_sent(servers, limit)
        for runner in self.runners:
            if runner.server is self.front_server:
                await stop_listening(runner)
        limit = min(limit, time.monotonic() + LAST_REQUESTS_S)
        await wait_until_sent(servers, limit)

    async def on_stop(self) -> None:
        """Stop all components and close listeners and sessions."""
        logger.info("stopping", extra={"active": self.ingress.active})
        await self.tasks.stop()
        await self.placement_controller.stop()
        await self.fleet.stop()
        await self.relay.stop()
        await self.key_exchange.stop()
        await self.limit_exchange.stop()
        await self.quota_exchange.stop()
        await self.crash_exchange.stop()
        await self.stream_exchange.stop()
        await self.path_prober.stop()
        self.peers.stop()
        await self.catalog.stop()
        for runner in self.runners:
            await runner.cleanup()
        for session in self.sessions:
            await session.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            self.catalog.drop_missing_servers(now)
            self.fleet.drop_unresponsive(now)
            self.front_server.check(now)
            self.ready_server.check(now)
            self.peer_server.check(now)
            if self.watch_settings:
                self.check_settings_file(now)

    def _limits(self) -> CallerLimits:
        return CallerLimits(
            self.ingress.memory,
            get_max_head_bytes=self._max_head_bytes,
            answer_refused=answer_refused,
        )

    def _peer_limits(self) -> CallerLimits:
        """Return the limits of the listener for other instances.

        Their connections are not timed: they read as slowly as their callers.
        """
        settings = self.settings
        limits = self._limits()
        if settings.max_fds is not None:
            count = max_passed_on(settings.memory_mb, settings.max_fds)
            limits.max_connections = count
        return limits

    def _caller_limits(self, share: float) -> CallerLimits:
        """Return the limits of a listener for callers.

        Connections are neither counted nor timed if the settings name no limit.
        """
        settings = self.settings
        limits = self._limits()
        count = max_connections(settings.memory_mb, settings.max_fds)
        if count is not None:
            limits.max_connections = max(16, int(share * count))
            limits.get_timeouts = self._caller_timeouts
        return limits

    def _caller_timeouts(self) -> tuple[float, float]:
        deployment = self.dispatcher.deployment
        limits = deployment.limits if deployment else IngressLimits()
        return limits.header_timeout_s, limits.idle_timeout_s

    async def _listen(
        self,
        address: str,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: CallerLimits,
    ) -> CallerServer:
        runner = await listen(address, handler, limits)
        self.runners.append(runner)
        return cast("CallerServer", runner.server)

    def _max_head_bytes(self) -> int:
        """Return the size of a request's head above which its connection is closed.

        Callers get an answer at the configured limit. Requests of other instances have
        a few headers more.
        """
        deployment = self.dispatcher.deployment
        limits = deployment.limits if deployment is not None else IngressLimits()
        return min(MAX_HEAD_BYTES, limits.max_header_bytes + EXTRA_HEAD_BYTES)

    def _connector(self, **options: Any) -> ServerConnector:
        return ServerConnector(limit=0, faults=self.response_faults, **options)

    def _session(self, connector: TCPConnector) -> ClientSession:
        session = open_session(connector, [trace_connections()])
        self.sessions.append(session)
        return session
