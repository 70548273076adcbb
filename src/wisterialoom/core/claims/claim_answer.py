"""Objects that hold the answers that are too large for a bucket of claims."""

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
    """A write of an answer ended.

    Attributes:
        nonce: The claim that the answer belongs to.
        stored: The object holds it.
    """

    nonce: str
    stored: bool


@dataclass(frozen=True, slots=True)
class AnswerLoaded:
    """A read of an answer ended.

    Attributes:
        nonce: The claim that asked.
        answer: `None` if it could not be read.
    """

    nonce: str
    answer: StoredAnswer | None


AnswerOutput: TypeAlias = Command | AnswerStored | AnswerLoaded


class AnswerStore:
    """Writes, reads and deletes answer objects.

    Attributes:
        puts: Nonces by operation id of a write.
        gets: Nonces by operation id of a read.
        drops: Keys of objects to delete, by operation id of the read before it.
    """

    def __init__(self, ops: OperationIds) -> None:
        self.ops = ops
        self.puts: dict[str, str] = {}
        self.gets: dict[str, str] = {}
        self.drops: dict[str, str] = {}

    def put(self, nonce: str, key: str, answer: StoredAnswer) -> list[AnswerOutput]:
        """Write an answer; ends in `AnswerStored`."""
        op = self.ops.next()
        self.puts[op] = nonce
        return [WriteObject(op, key, encode_answer(answer), ABSENT)]

    def get(self, nonce: str, key: str) -> list[AnswerOutput]:
        """Read an answer; ends in `AnswerLoaded`."""
        op = self.ops.next()
        self.gets[op] = nonce
        return [ReadObject(op, key)]

    def drop(self, keys: list[str]) -> list[AnswerOutput]:
        """Delete answers; one that cannot be reached now stays behind."""
        outputs: list[AnswerOutput] = []
        for key in keys:
            op = self.ops.next()
            self.drops[op] = key
            outputs.append(ReadObject(op, key))
        return outputs

    def handle(self, event: ObjectEvent) -> list[AnswerOutput]:
        """Take an answer of the object API."""
        if event.op in self.puts:
            # The key holds the nonce: what is there already is this answer.
            stored = isinstance(event, ObjectWritten | ObjectConflict)
            return [AnswerStored(self.puts.pop(event.op), stored)]
        if event.op in self.gets:
            return [AnswerLoaded(self.gets.pop(event.op), _loaded(event))]
        key = self.drops.pop(event.op, "")
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
    """Tell whether an object can hold an answer."""
    return len(encode_answer(answer)) <= MAX_OBJECT_BYTES


def encode_answer(answer: StoredAnswer) -> bytes:
    """Return a line of JSON with status and media type, then the body."""
    head = json.dumps([answer.status, answer.content_type], separators=(",", ":"))
    return head.encode() + b"\n" + answer.body


def decode_answer(data: bytes) -> StoredAnswer:
    """Build from `encode_answer`'s form."""
    head, _, body = data.partition(b"\n")
    status, content_type = json.loads(head)
    return StoredAnswer(status, content_type, body)
