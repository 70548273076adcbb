"""Runs one stand-in as a process of its own, until SIGTERM or SIGINT.

Each prints one JSON line with its address once it listens.
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
"""Longest time that a leaving stand-in waits for its requests in progress."""

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
    """Run a platform: object API, instance list and weight store.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 lets the system choose.
        reads_per_s: Reads of the object API a second.
        writes_per_s: Changes a second.
        loads_per_s: Model loads that may start each second.
        full_speed_loads: Model loads at once before they slow each other.
        adapter_full_speed_loads: The same for adapters.
    """
    weights = WeightStore(loads_per_s, full_speed_loads, adapter_full_speed_loads)

    async def serve(stopping: asyncio.Event) -> None:
        platform = PlatformApp(
            reads_per_s=reads_per_s, writes_per_s=writes_per_s, weights=weights
        )
        async with StandinServer(platform.app, host, port) as server:
            _announce("platform", "platform", server.address)
            await stopping.wait()

    _run(serve)


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
    """Run a model engine.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 lets the system choose.
        name: Identifier of the backend server.
        platform: Base address of the platform; empty to stay unlisted.
        incarnation: Changes with each start; empty for a random one.
        availability_zone: Name of the availability zone.
        labels: The platform's labels; `kind` is added.
        memory_mb: Accelerator memory in all.
        checks_fencing: Refuse orders below the highest fence seen.
        slots: Requests at once before tokens slow down.
        kv_tokens: Tokens that fit into the KV cache.
        first_token_s: Time to the first token of an empty prompt.
        token_gap_s: Time between tokens at full speed.
        load_s: Seconds of a model load at full speed.
        adapter_load_s: The same for an adapter.
        load_s_by_name: Exceptions by the name of a model or adapter.
    """
    incarnation = incarnation or uuid4().hex
    listed = _lister("engine", name, incarnation, availability_zone, labels)
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
            _announce("engine", name, server.address)
            await access.register(listed(server.address))
            await stopping.wait()
            engine.fault.leaving = True
            await access.mark_leaving(name)
            await _drain(lambda: engine.in_progress)
        await access.remove(name)

    _run(serve)


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
    """Run a plain service.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 lets the system choose.
        name: Identifier of the backend server.
        platform: Base address of the platform; empty to stay unlisted.
        incarnation: Changes with each start; empty for a random one.
        availability_zone: Name of the availability zone.
        labels: The platform's labels; `kind` is added.
        delay_s: Time of each run.
    """
    incarnation = incarnation or uuid4().hex
    listed = _lister("service", name, incarnation, availability_zone, labels)

    async def serve(stopping: asyncio.Event) -> None:
        access = PlatformAccess(platform)
        service = ServiceApp(name)
        service.fault.delay_s = delay_s
        async with StandinServer(service.app, host, port) as server:
            _announce("service", name, server.address)
            await access.register(listed(server.address))
            await stopping.wait()
            service.fault.leaving = True
            await access.mark_leaving(name)
            await _drain(lambda: service.in_progress)
        await access.remove(name)

    _run(serve)


def _lister(
    kind: str,
    name: str,
    incarnation: str,
    availability_zone: str,
    labels: Mapping[str, str] | None,
) -> Callable[[str], ListedInstance]:
    """Return what lists a backend server once its address is known."""
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


def _announce(kind: str, name: str, address: str) -> None:
    line = orjson.dumps({"kind": kind, "name": name, "address": address})
    sys.stdout.write(line.decode() + "\n")
    sys.stdout.flush()


def _run(serve: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    async def main() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        await serve(stopping)

    main_call: Coroutine[Any, Any, None] = main()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main_call)
