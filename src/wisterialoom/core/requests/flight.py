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
    """Where a request is on its path."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"


@dataclass
class InFlightRequest:
    """One request in progress.

    Attributes:
        classified: The request and the rules that apply to it.
        stage: Where it is on its path.
        claimed: It holds the claim of its idempotency key.
        claim_until: Monotonic time after which the claim may be forgotten.
        attempt: The attempt in progress, if dispatched.
        attempts: Count of attempts so far.
        server: Backend server of the last attempt; empty before the first.
        dispatched_at: Monotonic time of the last dispatch.
        first_byte: Output has been relayed: no retry from here on.
        tried: Servers that failed it.
        retries: Reason of each retry.
        may_have_run: An earlier attempt was lost after bytes were sent.
        job: It is an attempt at a job; nobody waits on a connection.
        answered: The caller has its final answer, or is gone.
        timed_out: The attempt was cancelled because of its timeout.
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

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.classified.request.request_id
