"""A deployment of real processes on the loopback address, with callers and faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import signal
import sys
from pathlib import Path
from typing import assert_never, TYPE_CHECKING

import aiohttp

from tests.platform.standin import (
    addresses,
    config,
    FRONT_PORT,
    PEER_PORT,
    READY_PORT,
    StandinStore,
)
from tests.soak import faults as f
from tests.soak.chaos import ChaosProxy, Harm
from tests.soak.judge import EVENTS, Judge, JudgedModelServer, JudgedPlainServer

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Soak"]

ROOT = Path(__file__).resolve().parents[2]

Server = JudgedModelServer | JudgedPlainServer

CALLERS = 8
CALL_PAUSE_S = 0.02
DEADLINE_MS = 3000

RECOVER_S = 12.0
"""Time after the last fault until every instance must serve every kind of request."""

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
    """One process of the role, with its own way to the store."""

    def __init__(self, number: int, store: str, ip: str, folder: Path) -> None:
        self.ip = ip
        self.proxy = ChaosProxy(store)
        self.number = number
        self.peer, self.front, self.ready = PEER_PORT, FRONT_PORT, READY_PORT
        self.path = folder / f"front-{number}.toml"
        self.log = folder / f"front-{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.slack = 50
        self.lock = asyncio.Lock()

    def write_settings(self) -> None:
        """Write the settings file."""
        text = SETTINGS.format(store=self.proxy.address, **self.__dict__)
        self.path.write_text(text)

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "run_instance.py"),
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


class Soak:
    """Plays one seed.

    Attributes:
        judge: Checks what callers and servers see.
        numbers: Counts requests and servers, for their ids.
        servers: Backend servers by place.
        doors: The proxy before each.
        retired: Servers that were replaced.
        harms: Count of harms done to each proxy.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.folder = folder
        self.judge = Judge()
        self.store = StandinStore()
        self.rng = random.Random(seed)
        self.numbers: Iterator[int] = itertools.count()
        self.version = 1
        self.servers: dict[int, Server] = {}
        self.doors: dict[int, ChaosProxy] = {}
        self.retired: list[tuple[Server, ChaosProxy]] = []
        self.instances: list[Instance] = []
        self.harms: dict[ChaosProxy, int] = {}

    async def play(self) -> Judge:
        """Start everything, play the faults under load, and judge."""
        await self.store.start()
        await self.store.put("config", "main", config())
        for number in range(f.MODEL_SERVERS + f.PLAIN_SERVERS):
            await self.add_server(number)
        for number, ip in enumerate(addresses()[: f.INSTANCES]):
            instance = Instance(number, self.store.address, ip, self.folder)
            await instance.proxy.start()
            await instance.start()
            self.instances.append(instance)
        try:
            await self.check_all_serve("start")
            callers = [asyncio.create_task(self.call_on()) for _ in range(CALLERS)]
            await self.play_faults()
            await self.check_all_serve("recovery")
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self.check_work_ends()
            self.check_logs()
        finally:
            await self.stop()
        return self.judge

    async def stop(self) -> None:
        """End what was started."""
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
            if instance.process is not None:
                await instance.process.wait()
            await instance.proxy.stop()
        places = [(self.servers[place], self.doors[place]) for place in self.servers]
        for server, door in (*places, *self.retired):
            await door.stop()
            await server.stop()
        await self.store.stop()

    # Backend servers.

    async def add_server(self, place: int) -> None:
        """Start a server at a place, and list it."""
        server_id = f"i-{place}-{next(self.numbers)}"
        server: Server
        if place < f.MODEL_SERVERS:
            server = JudgedModelServer(
                server_id, judge=self.judge, events=EVENTS, step_s=0.01
            )
            server.models = {f"m{place}": []}
        else:
            server = JudgedPlainServer(server_id, judge=self.judge)
        await server.start()
        door = ChaosProxy(server.address)
        await door.start()
        server.address = door.address
        self.servers[place] = server
        self.doors[place] = door
        await self.store.put("servers", server_id, server.entry())

    async def replace_server(self, place: int, *, announced: bool) -> None:
        """Let a server leave, and another one come."""
        server, door = self.servers[place], self.doors[place]
        self.retired.append((server, door))
        if announced:
            await self.store.put("servers", server.server_id, server.entry("draining"))
        else:
            door.set_harm(Harm.RESET)
        await self.add_server(place)
        await asyncio.sleep(1.5)
        await self.store.remove("servers", server.server_id)
        await asyncio.sleep(1.0)
        await door.stop()

    # Faults.

    async def play_faults(self) -> None:
        """Play the faults of the seed; they overlap."""
        started = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for at, fault in f.draw(self.seed):
                now = asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, started + at - now))
                group.create_task(self.play_fault(fault))

    async def play_fault(self, fault: f.Fault) -> None:
        """Play one fault to its end."""
        match fault:
            case f.Kill(instance=number, down_s=down_s):
                await self.instances[number].restart(signal.SIGKILL, down_s)
            case f.KillAll(down_s=down_s):
                await asyncio.gather(
                    *(one.restart(signal.SIGKILL, down_s) for one in self.instances)
                )
            case f.Stop(instance=number):
                await self.instances[number].restart(signal.SIGTERM, 0.0)
            case f.Pause(instance=number, for_s=for_s):
                instance = self.instances[number]
                async with instance.lock:
                    instance.send(signal.SIGSTOP)
                    await asyncio.sleep(for_s)
                    instance.send(signal.SIGCONT)
            case f.Reload(instance=number):
                instance = self.instances[number]
                instance.slack += 1
                instance.write_settings()
                instance.send(signal.SIGHUP)
            case f.HarmStore(instance=number, harm=harm, for_s=for_s):
                await self.harm(self.instances[number].proxy, harm, for_s)
            case f.StoreMode(mode=mode, for_s=for_s):
                self.store.mode = mode
                await asyncio.sleep(for_s)
                self.store.mode = "ok"
            case f.ForgetHistory():
                await self.store.forget_history()
            case f.HarmServer(server=place, harm=harm, for_s=for_s):
                await self.harm(self.doors[place], harm, for_s)
            case f.Replace(server=place, announced=announced):
                await self.replace_server(place, announced=announced)
            case f.Configure():
                self.version += 1
                await self.store.put("config", "main", config(self.version))
            case _:
                assert_never(fault)

    async def harm(self, proxy: ChaosProxy, harm: Harm, for_s: float) -> None:
        """Harm connections for a while; the newest harm holds."""
        self.harms[proxy] = turn = self.harms.get(proxy, 0) + 1
        proxy.set_harm(harm)
        await asyncio.sleep(for_s)
        if self.harms[proxy] == turn:
            proxy.set_harm(Harm.NONE)

    # Callers.

    async def call_on(self) -> None:
        """Send requests one after another, on open connections while they last."""
        async with aiohttp.ClientSession() as session:
            while True:
                instance = self.rng.choice(self.instances)
                route = self.rng.choice(["deposit", "look", "draft", "once"])
                leaves = self.rng.random() < 0.1
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    async with asyncio.timeout(0.05 if leaves else None):
                        await self.call(session, instance, route)
                await asyncio.sleep(CALL_PAUSE_S)

    async def call(
        self, session: aiohttp.ClientSession, instance: Instance, route: str
    ) -> int:
        """Send one request; return the status of its answer."""
        request_id = f"{route}-{next(self.numbers)}"
        headers = {
            "Host": "desk.example",
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Model": f"m{self.rng.randrange(5)}",
        }
        url = f"http://{instance.ip}:{instance.front}/{route}/?q={request_id}"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1e3 + 1.0)
        body = bytearray()
        async with session.post(url, headers=headers, timeout=timeout) as got:
            whole = True
            try:
                async for piece in got.content.iter_any():
                    body += piece
            except aiohttp.ClientError:
                whole = False
            self.judge.note_answer(request_id, got.status, bytes(body), whole)
            return got.status if whole else 0

    # Promises at the end.

    async def check_all_serve(self, when: str) -> None:
        """Every instance serves every kind of request after a while."""
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
        """An instance serves a kind of request."""
        try:
            async with asyncio.timeout(RECOVER_S):
                while True:
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        if await self.call(session, instance, route) == 200:
                            return
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.judge.say(f"serves after {when}", f"front-{instance.number} {route}")

    async def check_work_ends(self) -> None:
        """No server is at work for callers that are gone."""
        models = [
            one for one in self.servers.values() if isinstance(one, JudgedModelServer)
        ]
        for _ in range(100):
            if not any(server.running for server in models):
                return
            await asyncio.sleep(0.02)
        self.judge.say("work ends with its caller", "a stream still runs")

    def check_logs(self) -> None:
        """No process reports a defect of its own."""
        for instance in self.instances:
            for line in instance.log.read_text().splitlines():
                if "report this as a bug" in line or "Traceback" in line:
                    self.judge.say("no defects", f"front-{instance.number}: {line}")
