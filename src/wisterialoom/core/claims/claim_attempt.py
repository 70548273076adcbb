"""One request of this instance on its way to a claim."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.claims.claim_entry import ClaimEntry

__all__ = ["Pursuit", "Stage"]


class Stage(enum.Enum):
    """How far a wanted claim has come."""

    AT_HOME = "at_home"
    COMMITTING = "committing"
    ASKING_OWNER = "asking_owner"
    LOADING_ANSWER = "loading_answer"
    GRANTED = "granted"


@dataclass
class Pursuit:
    """A request of this instance and its claim.

    Attributes:
        request_id: The request.
        key: Hash of caller and idempotency key.
        bucket: Number of the key's bucket.
        nonce: Identity of this attempt; nothing else is dispatched under it.
        digest: Hash of the request's content.
        deadline: Monotonic time by which it is answered.
        valid_until: Monotonic time until which it may be dispatched.
        stage: How far it has come.
        stage_until: Monotonic time at which the stage is given up.
        entry: The claim that was granted, or the earlier one that holds the key.
        sent: Somebody was asked to write the nonce.
    """

    request_id: str
    key: str
    bucket: int
    nonce: str
    digest: str
    deadline: float
    valid_until: float
    stage: Stage = Stage.AT_HOME
    stage_until: float = 0.0
    entry: ClaimEntry | None = None
    sent: bool = False
