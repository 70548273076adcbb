"""Real daemons and stand-ins on loopback, as child processes of a test."""

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
LIMIT_S = 60.0
API_KEY = "demo-key"
ENGINES = (
    ("e1", "drafting", ("--memory-mb", "40000")),
    ("e2", "drafting", ("--memory-mb", "40000")),
    ("e3", "filing", ("--memory-mb", "40000")),
)
"""Name, role and further options of each engine."""
SPEED = ("--load-s", "0.2", "--first-token-s", "0.02", "--token-gap-s", "0.02")
HEADERS = {"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "20000"}


async def until(condition, limit_s=LIMIT_S):
    """Wait for a condition, an async callable."""
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(0.05)


@dataclass
class Child:
    """A child process and the JSON lines that it printed."""

    process: asyncio.subprocess.Process
    lines: list[dict[str, str]] = field(default_factory=list)
    errors: list[dict[str, str]] = field(default_factory=list)
    readers: list[asyncio.Task[None]] = field(default_factory=list)

    def signal(self, number):
        self.process.send_signal(number)

    async def end(self):
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
class Site:
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

    async def standin(self, kind, name, *options):
        named = [] if kind == "platform" else ["--name", name]
        if kind != "platform":
            named += ["--platform", self.urls["platform"]]
        child = await self.spawn(name, "standin", kind, *named, *options)

        async def listens():
            return bool(child.lines)

        await until(listens)
        self.urls[name] = f"http://{child.lines[0]['address']}"

    async def entry(self, name, zone="az-1", seeds=(), *, listed=True):
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'[instance]\nname = "{name}"\navailability_zone = "{zone}"\n'
            '[listen]\ncallers = "127.0.0.1:0"\npeers = "127.0.0.1:0"\n'
            'admin = "127.0.0.1:0"\n'
            f'[platform]\nurl = "{self.urls["platform"]}"\n'
            f"[peers]\nseeds = {json.dumps(list(seeds))}\n"
            'keys = ["a secret of the tests"]\n'
        )
        child = await self.spawn(name, "entry", "--config", str(path))

        async def listens():
            assert child.process.returncode is None, child.errors
            return any(line["message"] == "listening" for line in child.errors)

        await until(listens)
        line = next(x for x in child.errors if x["message"] == "listening")
        for kind in ("callers", "peers", "admin"):
            self.urls[f"{name}/{kind}"] = f"http://{line[kind]}"
        if listed:
            await self.list_entry(name, zone, line["callers"])
        return line["peers"]

    async def list_entry(self, name, zone, address):
        """Have the platform list an entry instance, as it would by itself."""
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

    async def command(self, *arguments):
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
            await child.end()


@contextlib.asynccontextmanager
async def open_site(folder, document, *, entries=2, engines=ENGINES):
    """Start a platform, engines, a service and entry instances."""
    site = Site(folder)
    try:
        await site.standin("platform", "platform")
        path = folder / "document.toml"
        path.write_text(document)
        arguments = ("--platform", site.urls["platform"], "--expect", "0")
        code = await site.command("config", "apply", str(path), *arguments)
        assert code == 0, site.children["command"].errors
        for name, role, options in engines:
            label = ("--label", f"role={role}")
            await site.standin("engine", name, *label, *SPEED, *options)
        await site.standin("service", "registry-1")
        seeds = []
        for number in range(1, entries + 1):
            seeds.append(await site.entry(f"entry-{number}", seeds=seeds))
        async with aiohttp.ClientSession(headers=HEADERS) as session:

            async def ready():
                found = [
                    await site.status(session, f"entry-{number}")
                    for number in range(1, entries + 1)
                ]
                return all(
                    item["fresh"]
                    and not item["unreachable"]
                    and len(item["servers"]) == len(engines) + 1
                    and len(item["members"]) == entries
                    for item in found
                )

            await until(ready)
            yield site, session
    finally:
        await site.close()
