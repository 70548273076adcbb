"""Runs one emulator as a separate process until SIGTERM or SIGINT.

Each emulator prints one JSON line with its address once it accepts connections.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import Any, TYPE_CHECKING
from uuid import uuid4

import orjson
import uvloop

from wisterialoom.core.fleet.instance_list import ListedInstance
from wisterialoom.standin.engine_app import EngineApp
from wisterialoom.standin.engine_batch import BatchSettings
from wisterialoom.standin.engine_fault import EngineSettings
from wisterialoom.standin.platform_access import PlatformAccess
from wisterialoom.standin.platform_app import PlatformApp, READS_PER_S, WRITES_PER_S
from wisterialoom.standin.server import StandinServer
from wisterialoom.standin.service_app import ServiceApp
from wisterialoom.standin.weight_store import WeightStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Mapping

    pass

__all__ = ["run_engine", "run_platform", "run_service"]

DRAIN_LIMIT_S = 60.0
"""Maximum time in seconds that shutdown waits for requests in progress."""

DRAIN_POLL_S = 0.05


def run_platform(
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    reads_per_s: float = READS_PER_S,
    writes_per_s: float = WRITES_PER_S,
    loads_per_s: float = 2.0,
    full_speed_loads: int = 8,
    adapter_full_speed_loads: int = 60,
) -> None:
    """Run an emulated platform: object API, instance list and weight store.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 lets the system choose.
        reads_per_s: Reads allowed per second.
        writes_per_s: Changes allowed per second.
        loads_per_s: Model loads that may start per second.
        full_speed_loads: Concurrent model loads above which each slows down.
        adapter_full_speed_loads: Concurrent adapter loads above which each slows down.
    """
    weights = WeightStore(loads_per_s, full_speed_loads, adapter_full_speed_loads)

    async def serve(stopping: asyncio.Event) -> None:
        platform = PlatformApp(
            reads_per_s=reads_per_s, writes_per_s=writes_per_s, weights=weights
        )
        async with StandinServer(platform.app, host, port) as server:
            _print_address("platform", "platform", server.address)
            await stopping.wait()

    _run_until_signal(serve)


def run_engine(
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    name: str = "engine",
    platform: str = "",
    incarnation: str = "",
    availability_zone: str = "",
    labels: Mapping[str, str] | None = None,
    memory_mb: int = 80_000,
    checks_fencing: bool = True,
    slots: int = 8,
    kv_tokens: int = 200_000,
    first_token_s: float = 0.1,
    token_gap_s: float = 0.03,
    load_s: float = 5.0,
    adapter_load_s: float = 0.008,
    load_s_by_name: Mapping[str, float] | None = None,
) -> None:
    """Run an emulated model engine.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 lets the system choose.
        name: Identifier of the backend server.
        platform: Base address of the platform; if empty, the engine is not listed.
        incarnation: Identifier of this start of the engine; random if empty.
        availability_zone: Name of the availability zone.
        labels: Labels in the instance list; `kind` is added.
        memory_mb: Total accelerator memory in MB.
        checks_fencing: Whether orders below the highest fence seen are refused.
        slots: Number of concurrent requests above which token generation slows down.
        kv_tokens: Capacity of the KV cache in tokens.
        first_token_s: Time to the first token for an empty prompt, in seconds.
        token_gap_s: Time between tokens at full speed, in seconds.
        load_s: Duration of a model load at full speed, in seconds.
        adapter_load_s: Duration of an adapter load at full speed, in seconds.
        load_s_by_name: Load durations that differ, by name of the model or adapter.
    """
    incarnation = incarnation or uuid4().hex
    make_listing = _make_listing_factory(
        "engine", name, incarnation, availability_zone, labels
    )
    settings = EngineSettings(
        name=name,
        incarnation=incarnation,
        memory_mb=memory_mb,
        checks_fencing=checks_fencing,
        load_s=load_s,
        adapter_load_s=adapter_load_s,
        load_s_by_name=dict(load_s_by_name or {}),
        batch=BatchSettings(
            slots=slots,
            max_batch=4 * slots,
            kv_tokens=kv_tokens,
            first_token_s=first_token_s,
            token_gap_s=token_gap_s,
        ),
    )

    async def serve(stopping: asyncio.Event) -> None:
        access = PlatformAccess(platform)
        engine = EngineApp(settings, access.load_time)
        async with StandinServer(engine.app, host, port) as server:
            _print_address("engine", name, server.address)
            await access.register(make_listing(server.address))
            await stopping.wait()
            engine.fault.leaving = True
            await access.mark_leaving(name)
            await _drain(lambda: engine.in_progress)
        await access.remove(name)

    _run_until_signal(serve)


def run_service(
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    name: str = "service",
    platform: str = "",
    incarnation: str = "",
    availability_zone: str = "",
    labels: Mapping[str, str] | None = None,
    delay_s: float = 0.0,
) -> None:
    """Run an emulated service that serves no models.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 lets the system choose.
        name: Identifier of the backend server.
        platform: Base address of the platform; if empty, the service is not listed.
        incarnation: Identifier of this start of the service; random if empty.
        availability_zone: Name of the availability zone.
        labels: Labels in the instance list; `kind` is added.
        delay_s: Duration of each run in seconds.
    """
    incarnation = incarnation or uuid4().hex
    make_listing = _make_listing_factory(
        "service", name, incarnation, availability_zone, labels
    )

    async def serve(stopping: asyncio.Event) -> None:
        access = PlatformAccess(platform)
        service = ServiceApp(name)
        service.fault.delay_s = delay_s
        async with StandinServer(service.app, host, port) as server:
            _print_address("service", name, server.address)
            await access.register(make_listing(server.address))
            await stopping.wait()
            service.fault.leaving = True
            await access.mark_leaving(name)
            await _drain(lambda: service.in_progress)
        await access.remove(name)

    _run_until_signal(serve)


def _make_listing_factory(
    kind: str,
    name: str,
    incarnation: str,
    availability_zone: str,
    labels: Mapping[str, str] | None,
) -> Callable[[str], ListedInstance]:
    """Return a function that builds the list entry from the server's address."""
    return lambda address: ListedInstance(
        name=name,
        incarnation=incarnation,
        address=address,
        availability_zone=availability_zone,
        labels={**(labels or {}), "kind": kind},
    )


async def _drain(in_progress: Callable[[], int]) -> None:
    deadline = asyncio.get_running_loop().time() + DRAIN_LIMIT_S
    while in_progress() and asyncio.get_running_loop().time() < deadline:
        await asyncio.sleep(DRAIN_POLL_S)


def _print_address(kind: str, name: str, address: str) -> None:
    line = orjson.dumps({"kind": kind, "name": name, "address": address})
    sys.stdout.write(line.decode() + "\n")
    sys.stdout.flush()


def _run_until_signal(serve: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    async def main() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        await serve(stopping)

    main_coroutine: Coroutine[Any, Any, None] = main()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main_coroutine)
