"""Commands to the platform's object API, and the events that answer them.

Every command has an operation id of the form `part/serial`. The answer has the same
id, by which the part that sent the command recognizes it. Versions are positive and
strictly increasing over the whole store; version 0 means "does not exist".
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
"""Maximum size of a body that the platform stores, in bytes."""


class VersionConflictError(WisterialoomError):
    """Raised when a conditional update expects a version that is not the current one.

    Attributes:
        version: Current version of the object.
    """

    def __init__(self, key: str, version: int) -> None:
        super().__init__(f"{key} is at version {version}: read it and try again")
        self.version = version


class ObjectTooLargeError(WisterialoomError):
    """Raised when a body exceeds `MAX_OBJECT_BYTES`."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A body and the version at which it was written."""

    version: int = ABSENT
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ReadObject(Command):
    """Read one object; answered by `ObjectRead` or `ObjectUnavailable`.

    Attributes:
        op: Operation id.
        key: Key of the object.
        known_version: Version that the reader already has. If it is still current, the
            answer may have an empty body. `ABSENT` requests the body in any case.
    """

    op: str
    key: str
    known_version: int = ABSENT


@dataclass(frozen=True, slots=True)
class WatchObject(Command):
    """Wait until an object has a version above `after`.

    Answered by `ObjectRead` or `ObjectUnavailable`. If the platform ends the wait
    early, `ObjectRead` gives the unchanged object.
    """

    op: str
    key: str
    after: int


@dataclass(frozen=True, slots=True)
class WriteObject(Command):
    """Write a body if the object still has the expected version.

    Answered by `ObjectWritten`, `ObjectConflict` or `ObjectUnavailable`.

    Attributes:
        op: Operation id.
        key: Key of the object.
        body: New body.
        expected: Expected current version; `ABSENT` creates the object.
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
    """List the keys with a prefix; answered by `ObjectsListed`."""

    op: str
    prefix: str


@dataclass(frozen=True, slots=True)
class ObjectEvent(Event):
    """An answer from the object API."""

    op: str


@dataclass(frozen=True, slots=True)
class ObjectRead(ObjectEvent):
    """The state of an object when the platform answered.

    Attributes:
        key: Key of the object.
        version: Current version; `ABSENT` if the object does not exist, and the body
            is then empty.
        body: Current body.
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
    """A write was refused because the object has another version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class ObjectsListed(ObjectEvent):
    """The keys with a prefix, sorted."""

    prefix: str
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ObjectUnavailable(ObjectEvent):
    """A call to the object API failed.

    Attributes:
        key: Key of the object.
        ambiguous: Whether a write may have taken effect despite the failure.
    """

    key: str
    ambiguous: bool


class OperationIds:
    """Source of operation ids for one part of the core.

    Attributes:
        part: Name of the part; the prefix of each id.
        serial: Number of ids issued so far.
    """

    def __init__(self, part: str) -> None:
        self.part = part
        self.serial = 0

    def next(self) -> str:
        """Return a new operation id."""
        self.serial += 1
        return f"{self.part}/{self.serial}"

    def owns(self, op: str) -> bool:
        """Return whether an operation id belongs to this part."""
        return op.partition("/")[0] == self.part
