"""Runs instances of the deployed program beside stand-ins, for the cases in review/.

The stand-ins of the store and of the servers run in the process of the case. Each
instance is a process of its own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
for folder in (ROOT, ROOT / "src", ROOT / "target" / "deps"):
    sys.path.insert(0, str(folder))

import aiohttp  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes: the rule was broken, the rule held, the case could not run."""

METRICS = 9464
"""Port of the metrics, as in the deploy file."""


def find_ports(count: int) -> int:
    """Return the first of some ports that are free on loopback."""
    for first in random.sample(range(18_000, 30_000, 32), 300):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        stack.enter_context(socket.socket(type=kind)).bind(
                            ("127.0.0.1", port)
                        )
            except OSError:
                continue
        return first
    raise RuntimeError("no free ports")


FRONT = find_ports(20)
READY, PEER = FRONT + 1, FRONT + 2
"""Ports of each instance, the same on all addresses."""

SETTINGS = """
nodeName = "{name}"
role = "instance"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-1"
internalPorts = [{peer}, {peer_last}]
seeds = []
bootstrap = {bootstrap}
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet",
    "stream", "engine", "platform"]
[zones]
zone-a = "region-1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {memory_mb}
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
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
fencingEnforced = true
leaseMs = 3000
thawSlackMs = 300
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, case: Path) -> None:
        self.file = (case / "record.txt").open("w", buffering=1)
        self.began = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file)
        print(line)


class Instance:
    """One instance of the deployed program in a process of its own."""

    def __init__(
        self,
        name: str,
        ip: str,
        store: str,
        folder: Path,
        *,
        memory_mb: int = 300,
        bootstrap: bool = True,
    ) -> None:
        self.name = name
        self.ip = ip
        self.path = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                store=store,
                memory_mb=memory_mb,
                bootstrap="true" if bootstrap else "false",
                front=FRONT,
                ready=READY,
                peer=PEER,
                peer_last=PEER + 15,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/run_instance.py",
                "--metrics-port",
                str(METRICS),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "WISTERIALOOM_CONFIG": str(self.path),
                },
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Wait for the readiness check to answer 200.

        Raises:
            TimeoutError: It did not in time.
        """
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{self.ip}:{READY}/v1/ready") as got,
            ):
                return got.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    def rss_mb(self) -> float:
        """Return the resident size in MB of 1,000,000 bytes; 0 if it has ended."""
        if self.process is None or self.ended:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and not self.ended:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and not self.ended:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def logged(instances: list[Instance], words: tuple[str, ...]) -> list[str]:
    """Return lines of the instances' logs with any of some words, in order of time."""
    found = []
    for instance in instances:
        for line in instance.log.read_text(errors="replace").splitlines():
            if any(word in line for word in words):
                found.append(line)
    return sorted(found)


def addresses(count: int) -> list[str]:
    """Return loopback addresses that other runs on this machine hardly use."""
    pid = os.getpid()
    block = f"127.{1 + pid % 250}.{pid // 250 % 250}"
    return [f"{block}.{10 + number}" for number in range(count)]


def trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Path, play: Any, limit_s: float = 110.0) -> None:
    """Play a case and exit with its result.

    Args:
        case: Folder of the case.
        play: Called with the record, a temporary folder and a list to which it adds
            the instances that it starts; returns an exit code.
        limit_s: Time in seconds after which the case counts as not run.
    """
    record = Record(case)
    instances: list[Instance] = []

    async def main() -> int:
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with asyncio.timeout(limit_s):
                    return await play(record, Path(folder), instances)
            except Exception as error:
                record.note(f"the case could not run: {error!r}")
                for instance in instances:
                    if instance.log.exists():
                        tail = instance.log.read_text(errors="replace")[-1500:]
                        record.note(f"log of {instance.name}: {tail}")
                return NOT_RUN
            finally:
                for instance in instances:
                    instance.send_signal(signal.SIGCONT)
                    await instance.kill()

    code = asyncio.run(main())
    record.note(f"exit code {code}")
    sys.exit(code)
