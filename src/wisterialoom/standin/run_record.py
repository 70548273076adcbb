"""Record of the requests that ran on an emulator, for checks by tests."""

from __future__ import annotations

import hashlib
from dataclasses import asdict, dataclass, field
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Run", "RunRecord"]

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
RUN_ONCE_HEADER = "X-Run-Once"
"""Header that marks a non-idempotent operation."""


@dataclass
class Run:
    """One run of one request.

    Attributes:
        request_id: Request id as sent with the request.
        operation: Idempotency key or, without a key, the request id.
        digest: SHA-256 of method, path and body in hexadecimal.
        run_once: Whether the operation is not idempotent.
        at: Monotonic start time in seconds.
        ended: `running`, `done` or `cancelled`.
        server: Name of the backend server, if several share one record.
        method: HTTP method.
    """

    request_id: str
    operation: str
    digest: str
    run_once: bool
    at: float
    ended: str = "running"
    server: str = ""
    method: str = ""


@dataclass
class RunRecord:
    """Record of every run, and of runs that repeated a non-idempotent operation.

    Attributes:
        runs: Runs in the order of their start.
        doubles: One description per repeated run of a non-idempotent operation.
        seen: Request id of the first run of each non-idempotent operation, by
            operation and digest.
    """

    runs: list[Run] = field(default_factory=list)
    doubles: list[str] = field(default_factory=list)
    seen: dict[tuple[str, str], str] = field(default_factory=dict)

    def begin(
        self, now: float, target: str, headers: Mapping[str, str], body: bytes
    ) -> Run:
        """Record the start of a run.

        Args:
            now: Monotonic time in seconds.
            target: Method and path of the request.
            headers: Headers of the request.
            body: Body of the request.
        """
        request_id = headers.get(REQUEST_ID_HEADER, "")
        run = Run(
            request_id=request_id,
            operation=headers.get(IDEMPOTENCY_KEY_HEADER, "") or request_id,
            digest=hashlib.sha256(f"{target}\n".encode() + body).hexdigest(),
            run_once=RUN_ONCE_HEADER in headers,
            at=now,
            method=target.partition(" ")[0],
        )
        self.add(run)
        return run

    def add(self, run: Run) -> None:
        """Record a run, and whether it repeats a non-idempotent operation."""
        self.runs.append(run)
        if not run.run_once:
            return
        operation_key = (run.operation, run.digest)
        if operation_key in self.seen:
            self.doubles.append(
                f"{run.operation} ran for {run.request_id} "
                f"after {self.seen[operation_key]}"
            )
        self.seen.setdefault(operation_key, run.request_id)

    def to_json(self) -> dict[str, Any]:
        """Return the record as plain JSON values."""
        return {"runs": [asdict(run) for run in self.runs], "doubles": self.doubles}
