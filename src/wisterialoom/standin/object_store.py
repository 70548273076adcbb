"""A stand-in for the platform's object API, sans I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from wisterialoom.core.object_store import (
    MAX_OBJECT_BYTES,
    ObjectTooLargeError,
    StoredObject,
    VersionConflictError,
)

__all__ = ["ObjectStore", "ObjectTooLargeError", "StoredObject", "VersionConflictError"]


@dataclass
class ObjectStore:
    """Versioned objects with conditional updates.

    Attributes:
        objects: Live objects by key.
        version: Last version given out; strictly increasing over the store.
        history: Every write in order, for checks of what really happened.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    version: int = 0
    history: list[tuple[str, StoredObject]] = field(default_factory=list)

    def read(self, key: str) -> StoredObject:
        """Return the object, or one at version `ABSENT`."""
        return self.objects.get(key, StoredObject())

    def list(self, prefix: str) -> tuple[str, ...]:
        """Return the sorted keys below a prefix."""
        return tuple(sorted(key for key in self.objects if key.startswith(prefix)))

    def write(self, key: str, body: bytes, expected: int) -> StoredObject:
        """Write if the object has the expected version.

        Raises:
            VersionConflictError: It has another one.
            ObjectTooLargeError: The body is too large.
        """
        if len(body) > MAX_OBJECT_BYTES:
            raise ObjectTooLargeError(
                f"{key} would take {len(body)} bytes; keep it under {MAX_OBJECT_BYTES}"
            )
        self._check(key, expected)
        self.version += 1
        stored = StoredObject(self.version, body)
        self.objects[key] = stored
        self.history.append((key, stored))
        return stored

    def delete(self, key: str, expected: int) -> int:
        """Delete if the object has the expected version; return the new one.

        Raises:
            VersionConflictError: It has another one.
        """
        self._check(key, expected)
        self.version += 1
        self.objects.pop(key, None)
        self.history.append((key, StoredObject(self.version)))
        return self.version

    def _check(self, key: str, expected: int) -> None:
        current = self.read(key).version
        if current != expected:
            raise VersionConflictError(key, current)
