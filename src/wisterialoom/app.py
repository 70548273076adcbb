"""Application object of an entry instance, and its life cycle."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import signal
import time
from typing import Any, TYPE_CHECKING

import uvloop

from wisterialoom.caller_server import (
    CallerServer,
    stop_listening,
    wait_until_sent,
)
from wisterialoom.client_session import open_session
from wisterialoom.core.assembly import EntryParts, InstanceIdentity
from wisterialoom.core.configuration.config_warning import LogWarning
from wisterialoom.core.engine import ReadState, SendOrder
from wisterialoom.core.fleet.instance_list import ReadInstanceList
from wisterialoom.core.fleet.peer import SendPeer
from wisterialoom.core.jobs.job_endpoint import ReportJob
from wisterialoom.core.notice import Drained, DrainRequested
from wisterialoom.core.notice_job import AttachBody
from wisterialoom.core.object_store import (
    DeleteObject,
    ListObjects,
    ReadObject,
    WatchObject,
    WriteObject,
)
from wisterialoom.core.requests.refusal import refuse
from wisterialoom.core.requests.request import (
    CancelAttempt,
    Dispatch,
    Outcome,
    Reason,
    Refuse,
    ReplayAnswer,
    RequestSettled,
)
from wisterialoom.core.short_key import short_key
from wisterialoom.driver import Driver
from wisterialoom.engine.client import EngineClient
from wisterialoom.engine.port import EnginePort
from wisterialoom.http.admin import Admin
from wisterialoom.http.caller_api import CallerApi
from wisterialoom.http.dispatcher import Dispatcher
from wisterialoom.http.listener import Listeners
from wisterialoom.log import configure_logging
from wisterialoom.metrics import Metrics
from wisterialoom.object_api.client import PlatformClient
from wisterialoom.object_api.port import PlatformPort
from wisterialoom.peer.link import PeerLinks
from wisterialoom.server_connection import ServerConnector
from wisterialoom.status import Status

if TYPE_CHECKING:
    from wisterialoom.core.message import Command
    from wisterialoom.core.requests.request import Refusal
    from wisterialoom.settings import Settings

__all__ = ["App", "run"]

logger = logging.getLogger(__name__)

QUIET_S = 1.0
"""Time without a request after which an instance that stops closes its connections.

Callers may be sending on those that were open. Load balancers have learned by then that
it is not ready.
"""

MAX_LINGER_S = 5.0
"""Time after which it closes them in any case."""

MAX_SEND_S = 8.0
"""Time for which callers may read the rest of their answers after that."""

LINGER_CHECK_S = 0.05

ADMIN_SHARE = 0.1
"""Connections for operators, as a share of those for callers."""


class App:
    """Owns, starts and stops all components of an entry instance.

    Programs that embed it can override the hooks `on_start`, `on_ready`, `on_drain`
    and `on_stop`.

    Attributes:
        settings: Settings of the instance.
        metrics: Collectors exposed at `/metrics`.
        callers_address: `IP:port` of the server for callers once it listens.
        admin_address: `IP:port` of the server for operators once it listens.
        peer_address: `IP:port` of the peer links once they listen.
        drained: Set once no request is in progress and the instance may exit.
        listeners: HTTP servers for callers and operators.
        boot_id: Random identifier of this process.
        serial: Number of request ids given out.
        links: Links to the other entry instances.
        caller_api: HTTP server for callers.
        dispatcher: Runs attempts and answers callers.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.callers_address = ""
        self.admin_address = ""
        self.peer_address = ""
        self.drained = asyncio.Event()
        self.boot_id = secrets.token_hex(8)
        self.serial = 0
        self.links = PeerLinks(
            settings.instance.name,
            self.deliver,
            address=settings.peers.advertise,
            keys=tuple(key.encode() for key in settings.peers.keys),
        )
        self.listeners = Listeners(settings.limits, self.next_id)
        self.caller_api = CallerApi(
            self.deliver, self.next_id, self.list_models, self.listeners.memory
        )
        self.dispatcher = Dispatcher(
            self.caller_api, self.address_of, self.deliver, self.metrics
        )

    @classmethod
    def from_settings(cls, settings: Settings) -> App:
        """Build the application from the settings of an instance."""
        return cls(settings)

    # Hooks.

    async def on_start(self) -> None:
        """Run before any component is started."""

    async def on_ready(self) -> None:
        """Run once all servers listen."""

    async def on_drain(self) -> None:
        """Run when a graceful shutdown begins."""

    async def on_stop(self) -> None:
        """Run after all components were stopped."""

    # Life cycle.

    async def run(self) -> None:
        """Serve until a signal requests shutdown and no request is in progress."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_drain)
        await self.start()
        await self.drained.wait()
        await self.linger()
        await self.stop()

    async def linger(self) -> None:
        """Answer what is still sent on open connections of callers, for a while."""
        now = started = time.monotonic()
        callers_runner = self.listeners.runners["callers"]
        server = callers_runner.server
        assert isinstance(server, CallerServer)
        while server.connections and now - started < MAX_LINGER_S:
            if now - max(started, self.caller_api.arrived_at) >= QUIET_S:
                break
            await asyncio.sleep(LINGER_CHECK_S)
            now = time.monotonic()
        await wait_until_sent((server,), started + MAX_SEND_S)
        await stop_listening(callers_runner)
        await wait_until_sent((server,), started + MAX_SEND_S)

    async def start(self) -> None:
        """Start all components in the order of their dependencies."""
        await self.on_start()
        listen = self.settings.listen
        self.peer_address = await self.links.start(listen.peers)
        self.parts = self._build_parts()
        self.driver = Driver(self.parts.core, self.execute)
        self.status = Status(self)
        self.session = open_session(ServerConnector(limit=0))
        platform = self.settings.platform
        client = PlatformClient(self.session, platform.url, platform.timeout_s)
        self.platform_port = PlatformPort(client, self.deliver)
        self.engine_port = EnginePort(
            EngineClient(self.session), self.address_of, self.deliver
        )
        await self.platform_port.start()
        await self.engine_port.start()
        await self.dispatcher.start()
        await self.driver.start()
        admin = Admin(
            self.metrics, self.is_ready, self.status.show, self.status.refresh
        )
        self.admin_address = await self.listeners.start(
            "admin", admin.make_app(), listen.admin, ADMIN_SHARE
        )
        app = self.caller_api.make_app(self.settings.limits.max_body_bytes)
        self.callers_address = await self.listeners.start(
            "callers", app, listen.callers
        )
        logger.info("listening", extra=self.addresses())
        await self.on_ready()

    def _build_parts(self) -> EntryParts:
        instance = self.settings.instance
        identity = InstanceIdentity(
            name=instance.name,
            boot_id=self.boot_id,
            boot_number=time.time_ns() // 1_000_000,
            address=self.peer_address,
            availability_zone=instance.availability_zone,
            seeds=self.settings.peers.seeds,
        )
        parts = EntryParts.from_identity(identity, random.Random(), time.time)
        limits = self.settings.limits
        parts.path.admission.max_concurrent = limits.max_concurrent
        return parts

    def request_drain(self) -> None:
        """Begin a graceful shutdown; further calls have no effect."""
        if self.parts.core.draining:
            return
        logger.info("draining")
        self.caller_api.closing = True
        loop = asyncio.get_running_loop()
        self.drain_hook_task = loop.create_task(self.on_drain())
        self.deliver(DrainRequested())

    async def stop(self) -> None:
        """Stop all components, the HTTP servers first."""
        await self.listeners.stop()
        await self.dispatcher.stop()
        await self.driver.stop()
        await self.engine_port.stop()
        await self.platform_port.stop()
        await self.links.stop()
        await self.session.close()
        await self.on_stop()
        logger.info("stopped")

    # Between the core and the ports.

    def deliver(self, event: Any) -> None:
        """Deliver an event to the core."""
        self.driver.deliver(event)

    def execute(self, command: Command) -> None:
        """Pass a command to the component that executes it."""
        match command:
            case (
                Dispatch()
                | CancelAttempt()
                | Refuse()
                | ReplayAnswer()
                | ReportJob()
                | AttachBody()
            ):
                self.dispatcher.execute(command)
            case RequestSettled():
                self._record_outcome(command)
            case SendPeer():
                self.links.send(command)
            case SendOrder() | ReadState():
                self.engine_port.execute(command)
            case (
                ReadObject()
                | WatchObject()
                | WriteObject()
                | DeleteObject()
                | ListObjects()
                | ReadInstanceList()
            ):
                self.platform_port.execute(command)
            case LogWarning(reason=reason, message=message):
                self.metrics.warnings.inc({"reason": reason})
                logger.warning(message)
            case Drained():
                self.drained.set()
            case _:
                logger.error(
                    "internal error: no component executes %s; report this as a bug",
                    command,
                )

    def _record_outcome(self, settled: RequestSettled) -> None:
        self.metrics.record_settled(settled)
        self.caller_api.record_settled(settled.request_id)
        level = logging.INFO
        if settled.outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            level = logging.WARNING
        logger.log(
            level,
            "request settled",
            extra={
                "request_id": settled.request_id,
                "caller": settled.caller,
                "model": short_key(settled.model),
                "server": settled.server,
                "outcome": settled.outcome.value,
                "reason": settled.reason.value if settled.reason else None,
                "traffic_class": settled.traffic_class,
                "waited_s": round(settled.waited_s, 4),
                "attempts": settled.attempts,
            },
        )

    # State that the servers and clients read.

    def next_id(self) -> str:
        """Return a new request id, unique across processes."""
        self.serial += 1
        return f"{self.settings.instance.name}-{self.boot_id}-{self.serial}"

    def list_models(self, api_key_sha256: str) -> list[str] | Refusal:
        """Return the models and adapters that a caller may name, sorted."""
        classifier = self.parts.path.classifier
        if classifier is None:
            return refuse(Reason.CONFIG_STALE)
        return classifier.list_models(api_key_sha256)

    def address_of(self, server: str) -> str | None:
        """Return a backend server's `IP:port`, or `None` if it is unknown."""
        view = self.parts.path.router.views.get(server)
        return view.server.address if view is not None else None

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        path = self.parts.path
        configured = path.classifier is not None and path.fresh
        return configured and self.parts.directory.listed and not path.draining

    def addresses(self) -> dict[str, str]:
        """Return the addresses of all servers, by their names in the settings."""
        return {
            "callers": self.callers_address,
            "peers": self.peer_address,
            "admin": self.admin_address,
        }


def run(settings: Settings) -> None:
    """Run an entry instance until it has drained.

    Args:
        settings: Settings of the instance.
    """
    configure_logging(settings.log.level, settings.instance.name)
    uvloop.run(_run(settings))


async def _run(settings: Settings) -> None:
    await App.from_settings(settings).run()
