"""Simulated deployments of any size, on a virtual clock."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.configuration.document_check import read_document
from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    Request,
    StoredAnswer,
)
from wisterialoom.lab.deployment import Deployment, FleetServer
from wisterialoom.slopes.meter import Meter, MeteredCore

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.message import Event
    from wisterialoom.core.requests.request import CancelAttempt, Dispatch
    from wisterialoom.lab.schedule import Schedule

__all__ = ["Site", "SiteSize", "make_document"]

CALLER_KEY_SHA256 = hashlib.sha256(b"slopes").hexdigest()
ZONES = tuple(f"zone-{number}" for number in range(1, 6))
MODEL_MB = 16_000
ENGINE_MB = 64_000
POOL_MB = 8_000
FIRST_BYTE_S = 0.2
SERVICE_S = 1.0
ANSWER = StoredAnswer(200, "application/json", b'{"registration": "2026-000001"}')


@dataclass(frozen=True, slots=True)
class SiteSize:
    """Size of a simulated deployment.

    Attributes:
        entries: Number of entry instances.
        engines: Number of backend servers that serve models.
        models: Number of models.
        services: Number of backend servers that serve other requests.
        buckets: Number of claim buckets.
    """

    entries: int = 6
    engines: int = 12
    models: int = 24
    services: int = 2
    buckets: int = 8


def make_document(size: SiteSize) -> bytes:
    """Return the configuration document of a deployment as TOML."""
    parts = [
        '[deployment]\nname = "slopes"',
        "[deployment.store]\nloads_per_s = 20.0\nfull_speed_loads = 200",
        f"[deployment.claims]\nbuckets = {size.buckets}",
    ]
    parts += [
        f'[[availability_zones]]\nname = "{zone}"\nregion = "region-{number % 2}"'
        for number, zone in enumerate(ZONES)
    ]
    parts += [
        f'[[models]]\nname = "quarterly-notes-{number:03}"\nversion = "2026-11-07"\n'
        f'memory_mb = {MODEL_MB}\nload_s = 5.0\nservers = "kind=engine"'
        for number in range(size.models)
    ]
    parts += [
        f'[[server_groups]]\nname = "writer"\nselector = "kind=engine"\n'
        f"memory_mb = {ENGINE_MB}\nadapter_pool_mb = {POOL_MB}\nslots = 64",
        '[[server_groups]]\nname = "filing"\nselector = "kind=service"\n'
        'kind = "service"\nslots = 64',
        '[[traffic_classes]]\nname = "urgent"\npriority = 0',
        f'[[callers]]\nname = "desk"\napi_key_sha256 = "{CALLER_KEY_SHA256}"\n'
        'traffic_class = "urgent"\nmax_concurrent = 100000',
        '[[traffic]]\nname = "registrations"\npath = "/registry/*"\n'
        'methods = ["POST"]\nservers = "kind=service"\nidempotent = false',
    ]
    return ("\n\n".join(parts) + "\n").encode()


class ConstantTimeServing:
    """Fake backend that answers every attempt after a constant time."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule

    def dispatch(
        self, caller: str, command: Dispatch, reply: Callable[[Event], None]
    ) -> None:
        """Schedule the first byte and the end of an attempt."""
        attempt = command.attempt
        answer = None if command.classified.idempotent else ANSWER
        ended = AttemptEnded(attempt, AttemptResult.COMPLETED, answer, tokens=200)
        first = AttemptFirstByte(attempt)
        self.schedule.after(FIRST_BYTE_S, lambda: reply(first))
        self.schedule.after(SERVICE_S, lambda: reply(ended))

    def cancel(self, caller: str, command: CancelAttempt) -> None:
        """Ignore the cancellation; the attempt ends at its usual time."""


@dataclass
class Site:
    """A simulated deployment whose costs are counted.

    Attributes:
        size: Size of the deployment.
        meter: Totals over all entry instances.
        deployment: The simulated deployment.
        serial: Number of requests sent so far.
    """

    size: SiteSize
    meter: Meter = field(default_factory=Meter)
    deployment: Deployment = field(init=False)
    serial: int = 0

    def __post_init__(self) -> None:
        body = make_document(self.size)
        servers = [
            self._server("engine", number) for number in range(self.size.engines)
        ]
        servers += [
            self._server("service", number) for number in range(self.size.services)
        ]
        by_name = {server.name: server for server in servers}
        document = read_document(body)
        self.deployment = Deployment(
            document, body, by_name, ZONES, seed=1, keep_trace=False
        )
        world = self.deployment.world
        world.serving = ConstantTimeServing(world.schedule)
        for number in range(1, self.size.entries + 1):
            name = f"entry-{number}"
            self.deployment.start_entry(name)
            host = world.hosts[name]
            core = self.deployment.entries[name].core
            host.core = MeteredCore(name, core, self.meter)

    def _server(self, kind: str, number: int) -> FleetServer:
        zone = ZONES[number % len(ZONES)]
        memory_mb = ENGINE_MB if kind == "engine" else 0
        return FleetServer(f"{kind}-{number:03}", zone, {"kind": kind}, memory_mb)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.deployment.world.run_for(seconds)

    def run_under_load(
        self, seconds: float, requests_per_s: float, *, claims: bool = False
    ) -> None:
        """Advance the virtual time while requests arrive at a constant rate.

        Args:
            seconds: Virtual time to run.
            requests_per_s: Rate of requests.
            claims: Send requests that need a claim instead of model requests.
        """
        for _ in range(int(seconds * requests_per_s)):
            self.run(1.0 / requests_per_s)
            self.deployment.send(self._request(claims=claims))

    def _request(self, *, claims: bool) -> Request:
        self.serial += 1
        number = self.serial
        if claims:
            return Request(
                f"r{number}",
                path="/registry/deposit",
                api_key_sha256=CALLER_KEY_SHA256,
                idempotency_key=f"key-{number}",
                body_sha256=f"{number:064x}",
            )
        return Request(
            f"r{number}",
            api_key_sha256=CALLER_KEY_SHA256,
            model=f"quarterly-notes-{number % self.size.models:03}",
            body_sha256=f"{number:064x}",
            prompt_tokens=500,
            max_tokens=400,
        )
