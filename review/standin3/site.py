"""Instances as processes, plain workers, and the frame of a case."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from typing import Any, TYPE_CHECKING

from review.standin3.http import Answer, call, HttpServer, Request
from review.standin3.store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    "BROKEN",
    "HELD",
    "Instance",
    "NOT_RUN",
    "PlainWorker",
    "Record",
    "ROOT",
    "run_case",
]

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes: the rule held, was broken, or the case could not run."""

FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 21001, 21002, 21003, 21010
METRICS_PORT = 9464
READY_TIMEOUT_S = 25.0

SETTINGS = """
nodeName = "{name}"
role = "instance"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internalPorts = [{peer}, {peer_end}]
seeds = []
bootstrap = {first_start}
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = {contracts}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
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
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
fencingEnforced = true
leaseMs = 3000
{bounds}
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Record:
    """What was sent, answered and run, line by line, in `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def free_ips(count: int) -> list[str]:
    """Return loopback addresses on which the ports of an instance are free."""
    found: list[str] = []
    pid = os.getpid()
    for last in range(1, 250):
        ip = f"127.{60 + pid % 60}.{pid // 60 % 250}.{last}"
        if all(_is_free(ip, port) for port in (FRONT_PORT, READY_PORT, METRICS_PORT)):
            found.append(ip)
        if len(found) == count:
            return found
    raise RuntimeError("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Instance:
    """One process of the deploy file's role.

    Attributes:
        name: Its `nodeName`.
        ip: Its address.
        log: Standard output and error.
        process: The process, once started.
    """

    def __init__(self, name: str, ip: str, folder: Path, **settings: Any) -> None:
        self.name, self.ip = name, ip
        self.log = folder / f"{name}.log"
        self.path = folder / f"{name}.toml"
        self.settings = {
            "name": name,
            "ip": ip,
            "zone": "zone-a",
            "contracts": '["base", "drain", "config", "retry", "platform"]',
            "bounds": "",
            "front": FRONT_PORT,
            "ready": READY_PORT,
            "control": CONTROL_PORT,
            "peer": PEER_PORT,
            "peer_end": PEER_PORT + 5,
            **settings,
        }
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address for callers."""
        return f"{self.ip}:{FRONT_PORT}"

    def launch(self, *, first_start: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        text = SETTINGS.format(first_start=str(first_start).lower(), **self.settings)
        self.path.write_text(text)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WISTERIALOOM_CONFIG": str(self.path),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["instance"]["run"]),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            try:
                found = await call(
                    f"{self.ip}:{READY_PORT}", "GET", "/v1/ready", {"Host": "x"}
                )
            except (OSError, EOFError):
                found = Answer(0)
            if found.status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log.read_text()[-500:]}")

    def end(self) -> None:
        """Kill the process, also one that is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class PlainWorker:
    """A sound worker without models.

    Attributes:
        worker_id: Its id.
        runs: Headers of the requests that it ran, by `Attempt-Id`.
    """

    def __init__(self, worker_id: str, service: str, work_s: float = 0.02) -> None:
        self.worker_id, self.service, self.work_s = worker_id, service, work_s
        self.runs: dict[str, dict[str, str]] = {}
        self.born = int(time.time() * 1e3)
        self.running = 0
        self.started_at = 0.0
        self.server = HttpServer(self._handle)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _handle(self, request: Request) -> Answer:
        expected = request.headers.get("expect-instance", self.worker_id)
        if expected != self.worker_id:
            return Answer(421, {"Instance-Id": self.worker_id, "Not-Executed": "1"})
        attempt = request.headers.get("attempt-id", "")
        if not attempt:
            return Answer(400, {"Not-Executed": "1"})
        self.runs[attempt] = request.headers
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        headers = {
            "Attempt-Id": attempt,
            "Response-Stamp": f"{self.worker_id}.{attempt}",
            "Server-Load": f"{self.running},0,6",
        }
        return Answer(200, headers, b"done")


def run_case(
    folder: Path,
    case: Callable[[Record, Store, list[Instance], bool], Awaitable[int]],
    instances: int,
    limit_s: float = 110.0,
    **settings: Any,
) -> int:
    """Run a case against a store and some instances, and end all processes.

    Args:
        folder: Folder of the case.
        case: Returns the exit code; it starts the instances itself.
        instances: Number of instances.
        limit_s: Time after which the case counts as not run.
        settings: Further fields of the instances' settings.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    processes: list[Instance] = []

    async def run() -> int:
        store = Store()
        with tempfile.TemporaryDirectory(prefix="review-3-") as temp:
            try:
                first, *ips = free_ips(instances + 1)
                await store.server.start(first)
                processes.extend(
                    Instance(
                        f"front-{number}",
                        ip,
                        Path(temp),
                        store=store.server.address,
                        **settings,
                    )
                    for number, ip in enumerate(ips, 1)
                )
                async with asyncio.timeout(limit_s):
                    return await case(record, store, processes, trouble)
            finally:
                for instance in processes:
                    instance.end()
                store.server.stop()

    try:
        code = asyncio.run(run())
    except Exception:
        record.write("the case could not run")
        traceback.print_exc(file=sys.stdout)
        traceback.print_exc(file=record.file)
        code = NOT_RUN
    record.write(f"trouble={int(trouble)} exit={code}")
    return code
