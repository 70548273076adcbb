"""Helpers that run daemons and emulators on loopback as child processes of a test."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

import wisterialoom

SOURCE = Path(wisterialoom.__file__).parents[1]
WAIT_LIMIT_S = 60.0
API_KEY = "demo-key"
ENGINES = (
    ("e1", "drafting", ("--memory-mb", "40000")),
    ("e2", "drafting", ("--memory-mb", "40000")),
    ("e3", "filing", ("--memory-mb", "40000")),
)
"""Name, role and further options of each engine."""
ENGINE_SPEED = ("--load-s", "0.2", "--first-token-s", "0.02", "--token-gap-s", "0.02")
HEADERS = {"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "20000"}


@contextlib.contextmanager
def reload_signal_ignored():
    """Ignore SIGHUP, so that processes that are started meanwhile do so from birth.

    A process that is just starting cannot ignore it by itself yet, and would end.
    """
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, before)


async def wait_until(condition, limit_s=WAIT_LIMIT_S):
    """Wait until a condition, an async callable, is true."""
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(0.05)


@dataclass
class Child:
    """A child process, and the JSON lines that it printed and logged."""

    process: asyncio.subprocess.Process
    lines: list[dict[str, str]] = field(default_factory=list)
    errors: list[dict[str, str]] = field(default_factory=list)
    readers: list[asyncio.Task[None]] = field(default_factory=list)

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        await self.process.wait()
        await asyncio.gather(*self.readers)


async def _read_lines(stream, lines):
    while line := await stream.readline():
        with contextlib.suppress(ValueError):
            lines.append(json.loads(line))


@dataclass
class ProcessDeployment:
    """A platform, backend servers and entry instances."""

    folder: Path
    children: dict[str, Child] = field(default_factory=dict)
    urls: dict[str, str] = field(default_factory=dict)

    async def spawn(self, name, *arguments):
        environment = {**os.environ, "PYTHONPATH": str(SOURCE)}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wisterialoom",
            *arguments,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        child = Child(process)
        child.readers = [
            asyncio.create_task(_read_lines(process.stdout, child.lines)),
            asyncio.create_task(_read_lines(process.stderr, child.errors)),
        ]
        self.children[name] = child
        return child

    async def start_standin(self, kind, name, *options):
        named = [] if kind == "platform" else ["--name", name]
        if kind != "platform":
            named += ["--platform", self.urls["platform"]]
        child = await self.spawn(name, "standin", kind, *named, *options)

        async def listens():
            return bool(child.lines)

        await wait_until(listens)
        self.urls[name] = f"http://{child.lines[0]['address']}"

    async def start_entry(
        self, name, zone="az-1", seeds=(), *, listed=True, settings=""
    ):
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[instance]\nname = "{name}"\navailability_zone = "{zone}"\n'
            '[listen]\ncallers = "127.0.0.1:0"\npeers = "127.0.0.1:0"\n'
            'admin = "127.0.0.1:0"\n'
            f'[platform]\nurl = "{self.urls["platform"]}"\n'
            f"[peers]\nseeds = {json.dumps(list(seeds))}\n"
            'keys = ["a secret of the tests"]\n'
            f"{settings}"
        )
        child = await self.spawn(name, "entry", "--config", str(path))

        async def listens():
            assert child.process.returncode is None, child.errors
            return any(line["message"] == "listening" for line in child.errors)

        await wait_until(listens)
        line = next(x for x in child.errors if x["message"] == "listening")
        for kind in ("callers", "peers", "admin"):
            self.urls[f"{name}/{kind}"] = f"http://{line[kind]}"
        if listed:
            await self.list_entry(name, zone, line["callers"])
        return line["peers"]

    async def list_entry(self, name, zone, address):
        """Add an entry instance to the list of the platform emulator.

        A real platform lists its instances by itself.
        """
        item = {
            "name": name,
            "incarnation": str(self.children[name].process.pid),
            "address": address,
            "availability_zone": zone,
            "labels": {"kind": "entry"},
            "state": "live",
        }
        await self.change_instances(register=item)

    async def change_instances(self, **change):
        url = f"{self.urls['platform']}/instances"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=change) as response,
        ):
            return response.status

    async def fault(self, session, name, **changes):
        url = f"{self.urls[name]}/faults"
        async with session.post(url, json=changes) as response:
            assert response.status == 200, await response.text()

    async def run_command(self, *arguments):
        child = await self.spawn("command", *arguments)
        code = await child.process.wait()
        await asyncio.gather(*child.readers)
        return code

    async def status(self, session, name):
        async with session.get(f"{self.urls[name + '/admin']}/status") as response:
            return await response.json()

    async def is_ready(self, session, name):
        url = f"{self.urls[name + '/admin']}/readyz"
        async with session.get(url) as response:
            return response.status == 200

    async def metric(self, session, name, prefix):
        async with session.get(f"{self.urls[name + '/admin']}/metrics") as response:
            text = await response.text()
        lines = [x for x in text.splitlines() if x.startswith(prefix)]
        return sum(float(line.rpartition(" ")[2]) for line in lines)

    async def records(self, session, server):
        async with session.get(f"{self.urls[server]}/records") as response:
            return await response.json()

    async def close(self):
        for child in reversed(list(self.children.values())):
            await child.kill()


@contextlib.asynccontextmanager
async def open_deployment(folder, document, *, entries=2, engines=ENGINES):
    """Start a platform, engines, a service and entry instances."""
    deployment = ProcessDeployment(folder)
    try:
        await deployment.start_standin("platform", "platform")
        path = folder / "document.toml"
        path.write_text(document)
        arguments = ("--platform", deployment.urls["platform"], "--expect", "0")
        code = await deployment.run_command("config", "apply", str(path), *arguments)
        assert code == 0, deployment.children["command"].errors
        for name, role, options in engines:
            label = ("--label", f"role={role}")
            await deployment.start_standin(
                "engine", name, *label, *ENGINE_SPEED, *options
            )
        await deployment.start_standin("service", "registry-1")
        seeds = []
        for number in range(1, entries + 1):
            seeds.append(await deployment.start_entry(f"entry-{number}", seeds=seeds))
        async with aiohttp.ClientSession(headers=HEADERS) as session:

            async def ready():
                found = [
                    await deployment.status(session, f"entry-{number}")
                    for number in range(1, entries + 1)
                ]
                return all(
                    item["fresh"]
                    and not item["unreachable"]
                    and len(item["servers"]) == len(engines) + 1
                    and len(item["members"]) == entries
                    for item in found
                )

            await wait_until(ready)
            yield deployment, session
    finally:
        await deployment.close()
