"""A claim of an idempotency key and its serialized form."""

from __future__ import annotations

import base64
import enum
import hashlib
import json
from dataclasses import dataclass

from wisterialoom.core.requests.request import StoredAnswer

__all__ = ["ClaimEntry", "ClaimState", "bucket_of", "claim_key", "short_hash"]

HASH_HEX_DIGITS = 32
"""Length of the stored hashes, which have 128 bits."""


class ClaimState(enum.IntEnum):
    """State of the request that holds a claim.

    Attributes:
        CLAIMED: The request has not ended, or its end is not recorded yet.
        DONE: The request was answered.
        UNKNOWN: The request may have run; its answer was lost.
    """

    CLAIMED = 0
    DONE = 1
    UNKNOWN = 2


@dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A claim as it is stored in a bucket.

    Attributes:
        key: Hash of caller and idempotency key.
        nonce: Identity of the claim attempt that holds the claim. It begins with
            the boot id of the owner's process.
        digest: Hash of the request's content.
        owner: Instance that received the request.
        expiry: Wall-clock time after which the claim is removed, in seconds.
        state: State of the request.
        answer: The whole answer, if it is small.
        answer_object: Key of the object that holds the answer, if it is large.
    """

    key: str
    nonce: str
    digest: str
    owner: str
    expiry: int
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None
    answer_object: str = ""

    def encode(self) -> bytes:
        """Encode the entry as one line of JSON."""
        fields: list[object] = [
            self.key,
            self.nonce,
            self.digest,
            self.owner,
            self.expiry,
            int(self.state),
        ]
        if self.answer is not None:
            body = base64.b64encode(self.answer.body).decode()
            fields.append([self.answer.status, self.answer.content_type, body])
        elif self.answer_object:
            fields.append(self.answer_object)
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, line: bytes) -> ClaimEntry:
        """Decode what `encode` returned."""
        key, nonce, digest, owner, expiry, state, *rest = json.loads(line)
        answer, answer_object = None, ""
        match rest:
            case [[status, content_type, body]]:
                answer = StoredAnswer(status, content_type, base64.b64decode(body))
            case [str(name)]:
                answer_object = name
        return cls(
            key,
            nonce,
            digest,
            owner,
            expiry,
            ClaimState(state),
            answer,
            answer_object,
        )


def short_hash(text: str) -> str:
    """Return a 128-bit hash of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()[:HASH_HEX_DIGITS]


def claim_key(caller: str, idempotency_key: str) -> str:
    """Return the hash of a caller and an idempotency key."""
    return short_hash(f"{len(caller)}:{caller}:{idempotency_key}")


def bucket_of(key: str, buckets: int) -> int:
    """Return the number of the bucket that stores a key."""
    return int(key, 16) % buckets
