"""A small deployment on loopback: the store, instances as processes, and clients."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standin.http11 import encode, Message, read_head, read_message
from standin.store import Store

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """
nodeName = "{name}"
role = "instance"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internalPorts = [7380, 7395]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream"]
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:8149"
ready = "{ip}:8141"
control = "{ip}:8144"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
recoveryS = 12
passMs = 120
againS = 0
fencingEnforced = true
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingOvershoot = 1.1
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
"""Bounds and limits of the users' small deployments."""


class Record:
    """Writes what happened to a file, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


def own_ip(number: int) -> str:
    """Return a loopback address for one machine of this run."""
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{pid // 200 % 250}.{number}"


def free_port(host: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Instance:
    """One instance of the system, started with the command of the deploy file."""

    def __init__(self, name: str, number: int, store: str, folder: Path) -> None:
        self.name = name
        self.ip = own_ip(number)
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(SETTINGS.format(name=name, ip=self.ip, store=store))
        self.log = (folder / f"{name}.log").open("w")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, limit_s: float = 25.0) -> None:
        """Start the process and wait until its readiness check answers 200."""
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["WISTERIALOOM_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/run_instance.py",
            "--metrics-port",
            "9464",
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=self.log,
        )
        limit = time.monotonic() + limit_s
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > limit:
                raise RuntimeError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8141)
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            async with asyncio.timeout(1.0):
                answer = await read_message(reader)
            return answer is not None and answer.status == 200
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.log.close()


async def call(
    host: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    limit_s: float = 30.0,
) -> Message | None:
    """Send one request on a new connection, and return the whole answer.

    Returns:
        The answer; `None` if the connection ended before its head or time ran out.
    """
    reader, writer = await asyncio.open_connection(host, 8149, limit=4_000_000)
    try:
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        async with asyncio.timeout(limit_s):
            return await read_message(reader)
    except (TimeoutError, ConnectionError):
        return None
    finally:
        writer.close()


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 12000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **more,
    }


def config(
    routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 1
) -> dict[str, Any]:
    """Return a configuration with the limits of the users' example."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a service that runs no models."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 96,
        "protocol": "h1",
        "tls": False,
    }


def entry(service: str, address: str, **more: Any) -> dict[str, Any]:
    """Return what a server writes about itself."""
    return {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 0,
        "born": 1_700_000_000_000,
        **more,
    }


def run_case(case: Any, here: str, *, trouble: bool) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    Args:
        case: Coroutine function that gets the record, the folder for temporary files
            and whether to make trouble; it returns whether the rule was broken.
        here: Path of the script.
        trouble: Whether to make the disruption.
    """
    record = Record(Path(here).resolve().parent / "record.txt")
    record(f"trouble: {trouble}")

    async def main() -> bool:
        with tempfile.TemporaryDirectory() as folder:
            async with asyncio.timeout(115.0):
                return await case(record, Path(folder), trouble)

    try:
        broken = asyncio.run(main())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)


__all__ = [
    "call",
    "config",
    "entry",
    "free_port",
    "Instance",
    "own_ip",
    "plain_service",
    "read_head",
    "Record",
    "route",
    "run_case",
    "Store",
]
