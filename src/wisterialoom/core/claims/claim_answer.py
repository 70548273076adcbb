"""Storage of answers that are too large for a bucket of claims."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TypeAlias

from wisterialoom.core.message import Command
from wisterialoom.core.object_store import (
    ABSENT,
    DeleteObject,
    MAX_OBJECT_BYTES,
    ObjectConflict,
    ObjectEvent,
    ObjectRead,
    ObjectUnavailable,
    ObjectWritten,
    OperationIds,
    ReadObject,
    WriteObject,
)
from wisterialoom.core.requests.request import StoredAnswer

__all__ = [
    "AnswerLoaded",
    "AnswerOutput",
    "AnswerStore",
    "AnswerStored",
    "decode_answer",
    "encode_answer",
    "fits_object",
]


@dataclass(frozen=True, slots=True)
class AnswerStored:
    """The result of writing an answer.

    Attributes:
        nonce: Nonce of the claim that the answer belongs to.
        stored: Whether the object now holds the answer.
    """

    nonce: str
    stored: bool


@dataclass(frozen=True, slots=True)
class AnswerLoaded:
    """The result of reading an answer.

    Attributes:
        nonce: Nonce of the claim attempt that requested the answer.
        answer: The answer, or `None` if it could not be read.
    """

    nonce: str
    answer: StoredAnswer | None


AnswerOutput: TypeAlias = Command | AnswerStored | AnswerLoaded


class AnswerStore:
    """Writes, reads and deletes answer objects.

    Attributes:
        writes: Nonces by the operation id of the write in progress.
        reads: Nonces by the operation id of the read in progress.
        deletions: Keys of objects to delete, by the operation id of the read that
            finds out their version.
    """

    def __init__(self, ops: OperationIds) -> None:
        self.ops = ops
        self.writes: dict[str, str] = {}
        self.reads: dict[str, str] = {}
        self.deletions: dict[str, str] = {}

    def put(self, nonce: str, key: str, answer: StoredAnswer) -> list[AnswerOutput]:
        """Write an answer; the result is an `AnswerStored`."""
        op = self.ops.next()
        self.writes[op] = nonce
        return [WriteObject(op, key, encode_answer(answer), ABSENT)]

    def get(self, nonce: str, key: str) -> list[AnswerOutput]:
        """Read an answer; the result is an `AnswerLoaded`."""
        op = self.ops.next()
        self.reads[op] = nonce
        return [ReadObject(op, key)]

    def drop(self, keys: list[str]) -> list[AnswerOutput]:
        """Delete answers.

        There is no retry: an object that cannot be reached now is left undeleted.
        """
        outputs: list[AnswerOutput] = []
        for key in keys:
            op = self.ops.next()
            self.deletions[op] = key
            outputs.append(ReadObject(op, key))
        return outputs

    def handle(self, event: ObjectEvent) -> list[AnswerOutput]:
        """Process a response of the object API."""
        if event.op in self.writes:
            # The object's key contains the nonce, so that an object which already
            # exists can only hold this same answer.
            stored = isinstance(event, ObjectWritten | ObjectConflict)
            return [AnswerStored(self.writes.pop(event.op), stored)]
        if event.op in self.reads:
            return [AnswerLoaded(self.reads.pop(event.op), _loaded(event))]
        key = self.deletions.pop(event.op, "")
        match event:
            case ObjectRead(version=version) if key and version != ABSENT:
                return [DeleteObject(self.ops.next(), key, version)]
        return []


def _loaded(event: ObjectEvent) -> StoredAnswer | None:
    match event:
        case ObjectRead(version=version, body=body) if version != ABSENT:
            return decode_answer(body)
        case ObjectUnavailable() | _:
            return None


def fits_object(answer: StoredAnswer) -> bool:
    """Return whether an answer is there as a whole and fits into one object."""
    return answer.is_whole and len(encode_answer(answer)) <= MAX_OBJECT_BYTES


def encode_answer(answer: StoredAnswer) -> bytes:
    """Encode status and media type as one line of JSON, followed by the body."""
    head = json.dumps([answer.status, answer.content_type], separators=(",", ":"))
    return head.encode() + b"\n" + answer.body


def decode_answer(data: bytes) -> StoredAnswer:
    """Decode what `encode_answer` returned."""
    head, _, body = data.partition(b"\n")
    status, content_type = json.loads(head)
    return StoredAnswer(status, content_type, body)
