"""A deployment of real processes on the loopback address, with callers and faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import signal
import sys
import time
import zlib
from collections import deque
from dataclasses import dataclass, replace
from pathlib import Path
from typing import assert_never, TYPE_CHECKING

import aiohttp

from tests.platform.fakes import (
    addresses,
    config,
    FakeStore,
    FRONT_PORT,
    PEER_PORT,
    READY_PORT,
)
from tests.soak import faults
from tests.soak.fault_proxy import ConnectionFault, FaultProxy
from tests.soak.promise_checker import (
    CheckedModelServer,
    CheckedPlainServer,
    EVENT,
    EVENTS,
    PromiseChecker,
)
from tests.soak.roles import EVERYBODY, find_holder, find_role, ViewAges

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.platform.fakes import StoreCopy

__all__ = ["SoakRun"]

ROOT = Path(__file__).resolve().parents[2]

Server = CheckedModelServer | CheckedPlainServer

CALLERS = 8
CALL_PAUSE_S = 0.02
DEADLINE_MS = 3000

COPY_INTERVAL_S = 0.25
COPIES = int(faults.MAX_COPY_AGE_S / COPY_INTERVAL_S) + 1

LAG_CHECK_S = 0.05
MAX_LAG_S = 0.1
"""Delay of a timer here above which the machine is too busy to judge views' ages."""

HEIR_TIMEOUT_S = 8.0
"""Time to wait for the next holder of the placement lease."""

RECOVERY_TIMEOUT_S = 12.0
"""Time after the last fault within which all instances must serve all routes again."""

SETTINGS = """
nodeName = "front-{number}"
ip = "{ip}"
zone = "zone-a"
internalPorts = [{peer}, {peer}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[bounds]
graceS = 3
leaseMs = 1000
fencingEnforced = true
retryBudgetRatio = 0.2
retryBudgetSlack = {slack}
budgetWindowS = 10
"""


class Instance:
    """One instance process, with a proxy of its own in front of the store.

    Attributes:
        builds: Checkouts to run from; each start takes the next one in turn.
    """

    def __init__(
        self, number: int, store: str, ip: str, folder: Path, builds: tuple[Path, ...]
    ) -> None:
        self.builds = itertools.cycle(builds)
        self.ip = ip
        self.proxy = FaultProxy(store)
        self.number = number
        self.peer, self.front, self.ready = PEER_PORT, FRONT_PORT, READY_PORT
        self.path = folder / f"front-{number}.toml"
        self.log = folder / f"front-{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.slack = 50
        self.lock = asyncio.Lock()

    def write_settings(self) -> None:
        """Replace the settings file as a whole, as a process may be reading it."""
        text = SETTINGS.format(store=self.proxy.address, **self.__dict__)
        written = self.path.with_suffix(".new")
        written.write_text(text)
        written.replace(self.path)

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(next(self.builds) / "deploy" / "run_instance.py"),
                env={**os.environ, "WISTERIALOOM_CONFIG": str(self.path)},
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number: signal.Signals, down_s: float) -> None:
        """End the process by a signal and start it again."""
        async with self.lock:
            self.send(number)
            assert self.process is not None
            async with asyncio.timeout(20.0):
                await self.process.wait()
            await asyncio.sleep(down_s)
            await self.start()


@dataclass
class Stream:
    """What a caller has of a stream, over its tries.

    Attributes:
        first_id: Id of the try that brought the first event.
        model: Model of the request.
        events: The whole events of all tries.
        is_broken: Whether the last try broke off after some events.
    """

    first_id: str = ""
    model: str = ""
    events: bytes = b""
    is_broken: bool = False

    def add(self, request_id: str, body: bytes, *, complete: bool) -> None:
        """Add what a try brought; half an event at its end is dropped."""
        self.events += body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""
        self.first_id = self.first_id or request_id
        self.is_broken = not complete and bool(self.events)

    def resume_headers(self) -> dict[str, str]:
        """Return the headers of a try that takes the stream up."""
        last = EVENT.findall(self.events)[-1][0].decode()
        return {"Last-Event-Id": last, "Resumes": self.first_id, "Model": self.model}


class SoakRun:
    """Runs the soak test with the faults of one seed.

    Attributes:
        checker: Checks what callers and servers observe.
        numbers: Numbers for the ids of requests and servers.
        servers: Backend server by position.
        proxies: Proxy in front of each server by position.
        retired: Servers that were replaced, with their proxies.
        fault_counts: Number of faults injected into each proxy.
        restores: Whether the store is also restored from copies.
        builds: Checkouts that the instances run from, in turn.
        roles: Whether faults also hit all instances with a role.
        view_ages: Checks the age of the instances' views.
        copies: Copies of the store with the times at which they were made.
        store_lock: Held while a fault takes the whole store away.
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        *,
        restores: bool = False,
        roles: bool = False,
        old_build: Path | None = None,
    ) -> None:
        self.seed = seed
        self.builds = (ROOT,) if old_build is None else (old_build, ROOT)
        self.roles = roles
        self.view_ages = ViewAges()
        self.restores = restores
        self.copies: deque[tuple[float, StoreCopy]] = deque(maxlen=COPIES)
        self.store_lock = asyncio.Lock()
        self.folder = folder
        self.checker = PromiseChecker()
        self.store = FakeStore()
        self.rng = random.Random(seed)
        self.retry_rng = random.Random(seed)
        self.checker.checks_versions = old_build is None
        self.numbers: Iterator[int] = itertools.count()
        self.version = 1
        self.servers: dict[int, Server] = {}
        self.proxies: dict[int, FaultProxy] = {}
        self.retired: list[tuple[Server, FaultProxy]] = []
        self.instances: list[Instance] = []
        self.fault_counts: dict[FaultProxy, int] = {}

    async def run(self) -> PromiseChecker:
        """Start all processes, inject the faults under load, and check the promises."""
        await self.store.start()
        await self.store.put("config", "main", config())
        for number in range(faults.MODEL_SERVERS + faults.PLAIN_SERVERS):
            await self.add_server(number)
        for number, ip in enumerate(addresses()[: faults.INSTANCES]):
            instance = Instance(
                number, self.store.address, ip, self.folder, self.builds
            )
            await instance.proxy.start()
            await instance.start()
            self.instances.append(instance)
        try:
            await self.check_all_serve("start")
            callers = [
                asyncio.create_task(self.call_repeatedly()) for _ in range(CALLERS)
            ]
            copying = asyncio.create_task(self.copy_store_repeatedly())
            watching = asyncio.create_task(self.watch_lag())
            await self.inject_faults()
            copying.cancel()
            await self.check_all_serve("recovery")
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            watching.cancel()
            await self.check_work_ends()
            self.check_logs()
            self.check_view_ages()
        finally:
            await self.stop()
        return self.checker

    async def stop(self) -> None:
        """Stop all processes, proxies and servers."""
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
            if instance.process is not None:
                await instance.process.wait()
            await instance.proxy.stop()
        current = [
            (self.servers[position], self.proxies[position])
            for position in self.servers
        ]
        for server, proxy in (*current, *self.retired):
            await proxy.stop()
            await server.stop()
        await self.store.stop()

    # Backend servers.

    async def add_server(self, position: int) -> None:
        """Start a server at a position and register it in the store."""
        server_id = f"i-{position}-{next(self.numbers)}"
        server: Server
        if position < faults.MODEL_SERVERS:
            server = CheckedModelServer(
                server_id,
                checker=self.checker,
                events=EVENTS,
                step_s=0.01,
                version=f"v{1 + zlib.crc32(server_id.encode()) % 2}",
            )
            server.models = {f"m{position}": []}
        else:
            server = CheckedPlainServer(server_id, checker=self.checker)
        await server.start()
        proxy = FaultProxy(server.address)
        await proxy.start()
        server.address = proxy.address
        self.servers[position] = server
        self.proxies[position] = proxy
        await self.store.put("servers", server_id, server.entry())

    async def replace_server(self, position: int, *, announced: bool) -> None:
        """Replace a server, with or without announcing its removal."""
        server, proxy = self.servers[position], self.proxies[position]
        self.retired.append((server, proxy))
        if announced:
            await self.store.put("servers", server.server_id, server.entry("draining"))
        else:
            proxy.set_fault(ConnectionFault.RESET)
        await self.add_server(position)
        await asyncio.sleep(1.5)
        await self.store.remove("servers", server.server_id)
        await asyncio.sleep(1.0)
        await proxy.stop()

    # Faults.

    async def inject_faults(self) -> None:
        """Inject the faults of the seed, which may overlap."""
        started = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            drawn = faults.draw_faults(
                self.seed, restores=self.restores, roles=self.roles
            )
            for at, fault in drawn:
                now = asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, started + at - now))
                group.create_task(self.inject_recorded(fault))

    async def inject_recorded(self, fault: faults.Fault) -> None:
        """Inject one fault, and record whom it has disturbed and for how long."""
        numbers: set[int] = set()
        match fault:
            case (
                faults.Kill(instance=number)
                | faults.Stop(instance=number)
                | faults.Pause(instance=number)
                | faults.StoreConnectionFault(instance=number)
            ):
                numbers = {number}
            case faults.RoleFault(role=role):
                numbers = find_role(role, self.logs())
                fault = replace(fault, numbers=tuple(numbers))
            case (
                faults.KillAll()
                | faults.StoreMode()
                | faults.RestoreStore()
                | faults.ForgetHistory()
            ):
                numbers = {EVERYBODY}
        with self.view_ages.disturbed(numbers):
            await self.inject_fault(fault)

    def logs(self) -> dict[int, Path]:
        """Return the log of each instance by its number."""
        return {instance.number: instance.log for instance in self.instances}

    async def watch_lag(self) -> None:
        """Record when the machine was too busy for timers to be on time."""
        while True:
            began = time.time()
            await asyncio.sleep(LAG_CHECK_S)
            if time.time() - began > LAG_CHECK_S + MAX_LAG_S:
                self.view_ages.record(EVERYBODY, began, time.time())

    async def inject_fault(self, fault: faults.Fault) -> None:
        """Inject one fault and wait until it ends."""
        match fault:
            case faults.Kill(instance=number, down_s=down_s):
                await self.instances[number].restart(signal.SIGKILL, down_s)
            case faults.KillAll(down_s=down_s):
                await asyncio.gather(
                    *(
                        instance.restart(signal.SIGKILL, down_s)
                        for instance in self.instances
                    )
                )
            case faults.Stop(instance=number):
                await self.instances[number].restart(signal.SIGTERM, 0.0)
            case faults.Pause(instance=number, for_s=for_s):
                instance = self.instances[number]
                async with instance.lock:
                    instance.send(signal.SIGSTOP)
                    await asyncio.sleep(for_s)
                    instance.send(signal.SIGCONT)
            case faults.Reload(instance=number):
                instance = self.instances[number]
                instance.slack += 1
                instance.write_settings()
                instance.send(signal.SIGHUP)
            case faults.StoreConnectionFault(
                instance=number, fault_kind=fault_kind, for_s=for_s
            ):
                await self.inject_connection_fault(
                    self.instances[number].proxy, fault_kind, for_s
                )
            case faults.RoleFault() | faults.RoleKill():
                await self.inject_role_fault(fault)
            case faults.StoreMode() | faults.RestoreStore() | faults.ForgetHistory():
                await self.inject_store_fault(fault)
            case faults.ServerConnectionFault(
                server=position, fault_kind=fault_kind, for_s=for_s
            ):
                await self.inject_connection_fault(
                    self.proxies[position], fault_kind, for_s
                )
            case faults.Replace(server=position, announced=announced):
                await self.replace_server(position, announced=announced)
            case faults.Configure():
                self.version += 1
                await self.store.put("config", "main", config(self.version))
            case _:
                assert_never(fault)

    async def inject_role_fault(
        self, fault: faults.RoleFault | faults.RoleKill
    ) -> None:
        """Hit all instances with a role."""
        match fault:
            case faults.RoleFault():
                await self.cut_from_store(fault)
            case faults.RoleKill(down_s=down_s):
                await self.kill_holder_and_heir(down_s)

    async def cut_from_store(self, fault: faults.RoleFault) -> None:
        """Cut the instances of a role from the store, and change the configuration."""
        async with asyncio.TaskGroup() as group:
            for number in fault.numbers:
                proxy = self.instances[number].proxy
                group.create_task(
                    self.inject_connection_fault(proxy, fault.fault_kind, fault.for_s)
                )
            await asyncio.sleep(fault.change_after_s)
            self.version += 1
            await self.store.put("config", "main", config(self.version))

    async def kill_holder_and_heir(self, down_s: float) -> None:
        """Kill the holder of the lease, and the next one as soon as it has taken it."""
        first = find_holder(self.logs())
        if first is None:
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(self.kill(first, down_s))
            heir = await self.wait_for_heir(first)
            if heir is not None:
                group.create_task(self.kill(heir, down_s))

    async def wait_for_heir(self, first: int) -> int | None:
        """Return the next holder of the lease; `None` if there is none in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEIR_TIMEOUT_S):
                while (heir := find_holder(self.logs())) == first:
                    await asyncio.sleep(0.05)
                return heir
        return None

    async def kill(self, number: int, down_s: float) -> None:
        """Kill an instance and start it again."""
        with self.view_ages.disturbed({number}):
            await self.instances[number].restart(signal.SIGKILL, down_s)

    async def inject_store_fault(
        self, fault: faults.StoreMode | faults.RestoreStore | faults.ForgetHistory
    ) -> None:
        """Inject a fault of the store itself; outages and restores do not overlap."""
        match fault:
            case faults.StoreMode(mode=mode, for_s=for_s):
                async with self.store_lock:
                    self.store.mode = mode
                    await asyncio.sleep(for_s)
                    self.store.mode = "ok"
            case faults.RestoreStore():
                async with self.store_lock:
                    await self.restore_store(fault)
            case faults.ForgetHistory():
                await self.store.forget_history()

    async def copy_store_repeatedly(self) -> None:
        """Make copies of the store from which it can be restored."""
        while True:
            now = asyncio.get_running_loop().time()
            self.copies.append((now, self.store.copy()))
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore_store(self, fault: faults.RestoreStore) -> None:
        """Take the store away, and restore it from a copy of about the given age."""
        newest_at = asyncio.get_running_loop().time() - fault.copy_age_s
        copies = [copy for at, copy in self.copies if at <= newest_at]
        copy = copies[-1] if copies else self.copies[0][1]
        if fault.down_s:
            self.store.mode = "down"
            await asyncio.sleep(fault.down_s)
        lost = await self.store.restore(copy)
        self.copies.clear()
        self.copies.append((newest_at, copy))
        self.store.mode = "ok"
        await asyncio.sleep(fault.write_again_after_s)
        await self.store.write_again(lost)

    async def inject_connection_fault(
        self, proxy: FaultProxy, fault_kind: ConnectionFault, for_s: float
    ) -> None:
        """Inject a connection fault for a while; a later fault replaces it."""
        self.fault_counts[proxy] = fault_number = self.fault_counts.get(proxy, 0) + 1
        proxy.set_fault(fault_kind)
        await asyncio.sleep(for_s)
        if self.fault_counts[proxy] == fault_number:
            proxy.set_fault(ConnectionFault.NONE)

    # Callers.

    async def call_repeatedly(self) -> None:
        """Send requests one after another, reusing connections while they stay open."""
        async with aiohttp.ClientSession() as session:
            while True:
                instance = self.rng.choice(self.instances)
                route = self.rng.choice(["deposit", "look", "draft", "once"])
                disconnects = self.rng.random() < 0.1
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with asyncio.timeout(0.05 if disconnects else None):
                        stream = Stream()
                        await self.call(session, instance, route, stream)
                        if stream.is_broken:
                            other = self.retry_rng.choice(self.instances)
                            await self.call(session, other, route, stream)
                await asyncio.sleep(CALL_PAUSE_S)

    async def call(
        self,
        session: aiohttp.ClientSession,
        instance: Instance,
        route: str,
        stream: Stream | None = None,
    ) -> int:
        """Send one request; return its status, or 0 if the answer is incomplete.

        Args:
            session: Session of the caller.
            instance: Instance to send it to.
            route: Name of the route.
            stream: What the caller has of a stream that it takes up.
        """
        stream = stream or Stream()
        request_id = f"{route}-{next(self.numbers)}"
        headers = {
            "Host": "desk.example",
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": f"m{self.rng.randrange(5)}",
        }
        if stream.is_broken:
            headers |= stream.resume_headers()
        stream.model = headers["Model"]
        url = f"http://{instance.ip}:{instance.front}/{route}/?q={request_id}"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1e3 + 1.0)
        body = bytearray()
        async with session.post(url, headers=headers, timeout=timeout) as response:
            complete = True
            try:
                async for chunk in response.content.iter_any():
                    body += chunk
            except aiohttp.ClientError:
                complete = False
            if response.status == 200 and route == "draft":
                stream.add(request_id, bytes(body), complete=complete)
                body = bytearray(stream.events)
            self.checker.record_answer(
                request_id, response.status, bytes(body), complete
            )
            return response.status if complete else 0

    # Final checks.

    async def check_all_serve(self, when: str) -> None:
        """Check that every instance serves every kind of request within the timeout."""
        async with aiohttp.ClientSession() as session:
            await asyncio.gather(
                *(
                    self.check_serves(session, instance, route, when)
                    for instance in self.instances
                    for route in ("deposit", "look", "draft", "once")
                )
            )

    async def check_serves(
        self,
        session: aiohttp.ClientSession,
        instance: Instance,
        route: str,
        when: str,
    ) -> None:
        """Check that an instance serves one kind of request within the timeout."""
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while True:
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        if await self.call(session, instance, route) == 200:
                            return
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.checker.report(
                f"serves after {when}", f"front-{instance.number} {route}"
            )

    async def check_work_ends(self) -> None:
        """Check that no server still works for callers that have disconnected."""
        models = [
            server
            for server in self.servers.values()
            if isinstance(server, CheckedModelServer)
        ]
        for _ in range(100):
            if not any(server.running for server in models):
                return
            await asyncio.sleep(0.02)
        self.checker.report(
            "work ends when the caller disconnects", "a stream still runs"
        )

    def check_view_ages(self) -> None:
        """Check that undisturbed instances handled requests by a current view."""
        for number, path in self.logs().items():
            for detail in self.view_ages.violations(number, path):
                self.checker.report("view is current", detail)

    def check_logs(self) -> None:
        """Check that no process logged an internal error."""
        for instance in self.instances:
            for line in instance.log.read_text().splitlines():
                if "report this as a bug" in line or "Traceback" in line:
                    self.checker.report(
                        "no internal errors", f"front-{instance.number}: {line}"
                    )
