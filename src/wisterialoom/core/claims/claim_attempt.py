"""The attempt of one request of this instance to acquire its claim."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.claims.claim_entry import ClaimEntry

__all__ = ["ClaimAttempt", "Stage"]


class Stage(enum.Enum):
    """Progress of a claim attempt.

    Attributes:
        AT_COORDINATOR: The coordinator has been asked to commit the claim.
        COMMITTING: This instance commits the claim by itself.
        ASKING_OWNER: The owner of an earlier claim has been asked for its state.
        LOADING_ANSWER: The stored answer of an earlier request is being read.
        GRANTED: The request may be dispatched.
    """

    AT_COORDINATOR = "at_home"
    COMMITTING = "committing"
    ASKING_OWNER = "asking_owner"
    LOADING_ANSWER = "loading_answer"
    GRANTED = "granted"


@dataclass
class ClaimAttempt:
    """The attempt of a request of this instance to acquire its claim.

    Attributes:
        request_id: Id of the request.
        key: Hash of caller and idempotency key.
        bucket: Number of the key's bucket.
        nonce: Unique identity of this attempt; only its request is dispatched
            under this nonce.
        digest: Hash of the request's content.
        deadline: Monotonic time by which the attempt must have a final result.
        valid_until: Monotonic time until which the request may be dispatched.
        stage: Progress of the attempt.
        stage_until: Monotonic time at which the stage times out.
        entry: The claim that was granted, or the earlier claim that holds the key.
        needs_release: Whether the nonce may have been written, so that the key
            must be released if the attempt fails.
    """

    request_id: str
    key: str
    bucket: int
    nonce: str
    digest: str
    deadline: float
    valid_until: float
    stage: Stage = Stage.AT_COORDINATOR
    stage_until: float = 0.0
    entry: ClaimEntry | None = None
    needs_release: bool = False
