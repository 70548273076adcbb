"""What really ran on a stand-in, so that checks can ask it."""

from __future__ import annotations

import hashlib
from dataclasses import asdict, dataclass, field
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Run", "RunRecord"]

REQUEST_ID_HEADER = "X-Request-Id"
KEY_HEADER = "Idempotency-Key"
RUN_ONCE_HEADER = "X-Run-Once"
"""Marks a non-idempotent operation."""


@dataclass
class Run:
    """One run of one request.

    Attributes:
        request_id: As sent along.
        operation: Idempotency key or, without one, the request's id.
        digest: Hex hash of method, path and body.
        run_once: The operation is not idempotent.
        at: Monotonic time of its start, in seconds.
        ended: `running`, `done` or `cancelled`.
        server: Backend server, where one record serves several.
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
    """Every run, and those that should not have been.

    Attributes:
        runs: Runs in the order of their start.
        doubles: Descriptions of non-idempotent operations that ran again.
        seen: Non-idempotent operations that ran.
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
            target: Method and path.
            headers: Headers of the request.
            body: Body of the request.
        """
        request_id = headers.get(REQUEST_ID_HEADER, "")
        run = Run(
            request_id=request_id,
            operation=headers.get(KEY_HEADER, "") or request_id,
            digest=hashlib.sha256(f"{target}\n".encode() + body).hexdigest(),
            run_once=RUN_ONCE_HEADER in headers,
            at=now,
            method=target.partition(" ")[0],
        )
        self.add(run)
        return run

    def add(self, run: Run) -> None:
        """Record a run; note a non-idempotent operation that ran before."""
        self.runs.append(run)
        if not run.run_once:
            return
        identity = (run.operation, run.digest)
        if identity in self.seen:
            self.doubles.append(
                f"{run.operation} ran for {run.request_id} after {self.seen[identity]}"
            )
        self.seen.setdefault(identity, run.request_id)

    def to_json(self) -> dict[str, Any]:
        """Return the record as plain JSON values."""
        return {"runs": [asdict(run) for run in self.runs], "doubles": self.doubles}
