"""State of one request between its arrival and its outcome."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.requests.request import Attempt, Classified, Reason

__all__ = ["InFlightRequest", "Stage"]


class Stage(enum.Enum):
    """Stage of a request in progress."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"


@dataclass
class InFlightRequest:
    """A request in progress.

    Attributes:
        classified: The request and the rules that apply to it.
        stage: Current stage of the request.
        claimed: Whether the request holds the claim of its idempotency key.
        claim_until: Monotonic time after which the claim may have been dropped.
        attempt: The attempt in progress, if dispatched.
        attempts: Number of attempts so far.
        server: Backend server of the last attempt; empty before the first.
        dispatched_at: Monotonic time of the last dispatch.
        first_byte: Whether output has been relayed, which rules out a retry.
        tried: Servers at which an attempt failed.
        retries: Reason of each retry, in order.
        may_have_run: Whether an earlier attempt was lost after bytes were sent.
        job: Whether the request is an attempt at a job; no caller waits for it on a
            connection.
        answered: Whether the caller has its final answer or has disconnected.
        timed_out: Whether the attempt was cancelled because of its timeout.
        limit_named: Whether the answer to the attempt names a request rate.
        brittle_named: Whether it says that the server is brittle.
        on_trial: Whether the request is sent to see whether servers still crash on it.
    """

    classified: Classified
    stage: Stage = Stage.QUEUED
    claimed: bool = False
    claim_until: float = math.inf
    attempt: Attempt | None = None
    attempts: int = 0
    server: str = ""
    dispatched_at: float = 0.0
    first_byte: bool = False
    tried: frozenset[str] = frozenset()
    retries: list[Reason] = field(default_factory=list)
    may_have_run: bool = False
    job: bool = False
    answered: bool = False
    timed_out: bool = False
    limit_named: bool = False
    brittle_named: bool = False
    on_trial: bool = False

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self.classified.request.request_id
