"""The application object of one entry instance, and its life cycle."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import signal
import time
from typing import Any, TYPE_CHECKING

import uvloop
from aiohttp import ClientSession, DummyCookieJar, TCPConnector, web

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
from wisterialoom.driver import Driver
from wisterialoom.engine.client import EngineClient
from wisterialoom.engine.port import EnginePort
from wisterialoom.http.admin import Admin
from wisterialoom.http.dispatcher import Dispatcher
from wisterialoom.http.front import Front
from wisterialoom.log import set_up_logs
from wisterialoom.metrics import Metrics
from wisterialoom.object_api.client import PlatformClient
from wisterialoom.object_api.port import PlatformPort
from wisterialoom.peer.link import PeerLinks
from wisterialoom.settings import Settings, split_address
from wisterialoom.status import Status

if TYPE_CHECKING:
    from wisterialoom.core.message import Command
    from wisterialoom.core.requests.request import Refusal

__all__ = ["App", "run"]

logger = logging.getLogger(__name__)

ANSWER_FLUSH_S = 5.0
"""Time that answers already decided have to leave at exit, in seconds."""


class App:
    """Owns everything that lives in one entry instance.

    What it starts, it stops. The hooks `on_start`, `on_ready`, `on_drain` and
    `on_stop` are there for programs that embed it.

    Attributes:
        settings: The instance's own settings.
        metrics: What `/metrics` shows.
        callers_address: `IP:port` of the callers' server once it listens.
        admin_address: `IP:port` of the operators' server once it listens.
        peer_address: `IP:port` of the peer links once they listen.
        drained: Set when nothing is in progress and the instance may exit.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.callers_address = ""
        self.admin_address = ""
        self.peer_address = ""
        self.drained = asyncio.Event()
        self.runners: list[web.AppRunner] = []
        self.boot_id = secrets.token_hex(8)
        self.serial = 0
        self.links = PeerLinks(
            settings.instance.name,
            self.deliver,
            address=settings.peers.advertise,
            keys=tuple(key.encode() for key in settings.peers.keys),
        )
        self.front = Front(self.deliver, self.next_id, self.list_models)
        self.dispatcher = Dispatcher(
            self.front, self.address_of, self.deliver, self.metrics
        )

    @classmethod
    def from_settings(cls, settings: Settings) -> App:
        """Build from an instance's settings."""
        return cls(settings)

    # Hooks.

    async def on_start(self) -> None:
        """Run before anything is opened."""

    async def on_ready(self) -> None:
        """Run when every address listens."""

    async def on_drain(self) -> None:
        """Run when the instance was asked to stop."""

    async def on_stop(self) -> None:
        """Run after everything was closed."""

    # Life cycle.

    async def run(self) -> None:
        """Serve until a signal asks to stop and nothing is in progress."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_drain)
        await self.start()
        await self.drained.wait()
        await self.stop()

    async def start(self) -> None:
        """Open everything, in the order in which the parts need each other."""
        await self.on_start()
        listen = self.settings.listen
        self.peer_address = await self.links.start(listen.peers)
        self.parts = self._build_parts()
        self.driver = Driver(self.parts.core, self.carry_out)
        self.status = Status(self)
        self.session = ClientSession(
            connector=TCPConnector(limit=0), cookie_jar=DummyCookieJar()
        )
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
        self.admin_address = await self._serve(admin.make_app(), listen.admin)
        app = self.front.make_app(self.settings.limits.max_body_bytes)
        self.callers_address = await self._serve(app, listen.callers)
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

    async def _serve(self, app: web.Application, listen: str) -> str:
        limits = self.settings.limits
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=ANSWER_FLUSH_S,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
        )
        await runner.setup()
        self.runners.append(runner)
        host, port = split_address(listen)
        await web.TCPSite(runner, host, port).start()
        bound = runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    def request_drain(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
        if self.parts.core.draining:
            return
        logger.info("draining")
        loop = asyncio.get_running_loop()
        self.drain_hook = loop.create_task(self.on_drain())
        self.deliver(DrainRequested())

    async def stop(self) -> None:
        """Close everything, the callers' side first."""
        for runner in reversed(self.runners):
            await runner.cleanup()
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
        """Hand an event to the core."""
        self.driver.deliver(event)

    def carry_out(self, command: Command) -> None:
        """Hand a command to the port that carries it out."""
        match command:
            case (
                Dispatch()
                | CancelAttempt()
                | Refuse()
                | ReplayAnswer()
                | ReportJob()
                | AttachBody()
            ):
                self.dispatcher.carry_out(command)
            case RequestSettled():
                self._record(command)
            case SendPeer():
                self.links.send(command)
            case SendOrder() | ReadState():
                self.engine_port.carry_out(command)
            case (
                ReadObject()
                | WatchObject()
                | WriteObject()
                | DeleteObject()
                | ListObjects()
                | ReadInstanceList()
            ):
                self.platform_port.carry_out(command)
            case LogWarning(reason=reason, message=message):
                self.metrics.warnings.inc({"reason": reason})
                logger.warning(message)
            case Drained():
                self.drained.set()
            case _:
                logger.error("no port carries out %s; report this", command)

    def _record(self, settled: RequestSettled) -> None:
        self.metrics.settled(settled)
        exchange = self.front.exchanges.get(settled.request_id)
        if exchange is not None and exchange.gone:
            del self.front.exchanges[settled.request_id]
        level = logging.INFO
        if settled.outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            level = logging.WARNING
        logger.log(
            level,
            "request settled",
            extra={
                "request_id": settled.request_id,
                "caller": settled.caller,
                "model": settled.model,
                "server": settled.server,
                "outcome": settled.outcome.value,
                "reason": settled.reason.value if settled.reason else None,
                "traffic_class": settled.traffic_class,
                "waited_s": round(settled.waited_s, 4),
                "attempts": settled.attempts,
            },
        )

    # What the shell needs to know of the core.

    def next_id(self) -> str:
        """Return a request id that no other process gives out."""
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
        """Tell whether the balancer may send work."""
        path = self.parts.path
        configured = path.classifier is not None and path.fresh
        return configured and self.parts.directory.listed and not path.draining

    def addresses(self) -> dict[str, str]:
        """Return every address that listens, by its name in the settings."""
        return {
            "callers": self.callers_address,
            "peers": self.peer_address,
            "admin": self.admin_address,
        }


def run(settings: Settings) -> None:
    """Run one entry instance until it has drained.

    Args:
        settings: The instance's own settings.
    """
    set_up_logs(settings.log.level, settings.instance.name)
    uvloop.run(_run(settings))


async def _run(settings: Settings) -> None:
    await App.from_settings(settings).run()
