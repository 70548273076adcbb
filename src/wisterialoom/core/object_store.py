"""Commands to the platform's object API, and the events that answer them.

Every command carries an operation id of the form `part/serial`; the answer
carries the same id, and `EntryCore` routes it back to the part that asked.
Versions are positive and strictly increasing over the whole store; version 0
stands for "does not exist".
"""

from __future__ import annotations

from dataclasses import dataclass

from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.message import Command, Event

__all__ = [
    "ABSENT",
    "MAX_OBJECT_BYTES",
    "DeleteObject",
    "ListObjects",
    "ObjectConflict",
    "ObjectEvent",
    "ObjectRead",
    "ObjectTooLargeError",
    "ObjectUnavailable",
    "ObjectWritten",
    "ObjectsListed",
    "OperationIds",
    "ReadObject",
    "StoredObject",
    "VersionConflictError",
    "WatchObject",
    "WriteObject",
]

ABSENT = 0
"""Version of an object that does not exist."""

MAX_OBJECT_BYTES = 1_000_000
"""Largest body that the platform stores, in bytes."""


class VersionConflictError(WisterialoomError):
    """Raised when a conditional update names another version.

    Attributes:
        version: The version that the object has.
    """

    def __init__(self, key: str, version: int) -> None:
        super().__init__(f"{key} is at version {version}: read it and try again")
        self.version = version


class ObjectTooLargeError(WisterialoomError):
    """Raised when a body exceeds what the platform stores."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A body and the version at which it was written."""

    version: int = ABSENT
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ReadObject(Command):
    """Read one object; answered by `ObjectRead` or `ObjectUnavailable`.

    Attributes:
        unless: Version already held; an answer at this very version may come
            with an empty body. `ABSENT` asks for the body in any case.
    """

    op: str
    key: str
    unless: int = ABSENT


@dataclass(frozen=True, slots=True)
class WatchObject(Command):
    """Wait for a version above `after`.

    Answered by `ObjectRead` (also, unchanged, when the platform ends the wait)
    or `ObjectUnavailable`.
    """

    op: str
    key: str
    after: int


@dataclass(frozen=True, slots=True)
class WriteObject(Command):
    """Write a body if the object still has the expected version.

    Answered by `ObjectWritten`, `ObjectConflict` or `ObjectUnavailable`.

    Attributes:
        expected: The version that was read; `ABSENT` creates.
    """

    op: str
    key: str
    body: bytes
    expected: int


@dataclass(frozen=True, slots=True)
class DeleteObject(Command):
    """Delete an object if it still has the expected version."""

    op: str
    key: str
    expected: int


@dataclass(frozen=True, slots=True)
class ListObjects(Command):
    """List keys below a prefix; answered by `ObjectsListed`."""

    op: str
    prefix: str


@dataclass(frozen=True, slots=True)
class ObjectEvent(Event):
    """An answer from the object API."""

    op: str


@dataclass(frozen=True, slots=True)
class ObjectRead(ObjectEvent):
    """An object as it was when the platform answered.

    Attributes:
        version: `ABSENT` if it does not exist; the body is then empty.
    """

    key: str
    version: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ObjectWritten(ObjectEvent):
    """A write or delete took effect at this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class ObjectConflict(ObjectEvent):
    """A write was refused: the object has another version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class ObjectsListed(ObjectEvent):
    """Keys below a prefix, sorted."""

    prefix: str
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ObjectUnavailable(ObjectEvent):
    """The call failed.

    Attributes:
        ambiguous: A write may have taken effect all the same.
    """

    key: str
    ambiguous: bool


class OperationIds:
    """Source of operation ids for one part of the core.

    Attributes:
        part: Name of the part, the prefix of each id.
    """

    def __init__(self, part: str) -> None:
        self.part = part
        self.serial = 0

    def next(self) -> str:
        """Return an id that this part has not used yet."""
        self.serial += 1
        return f"{self.part}/{self.serial}"

    def owns(self, op: str) -> bool:
        """Tell whether an operation id was given out by this part."""
        return op.partition("/")[0] == self.part
