"""Emulator of the platform's object API, without I/O."""

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
        version: Last version assigned; strictly increasing across all objects.
        history: Every write and deletion in order, for checks by tests.
    """

    objects: dict[str, StoredObject] = field(default_factory=dict)
    version: int = 0
    history: list[tuple[str, StoredObject]] = field(default_factory=list)

    def read(self, key: str) -> StoredObject:
        """Return the object, or an empty object at version `ABSENT`."""
        return self.objects.get(key, StoredObject())

    def list(self, prefix: str) -> tuple[str, ...]:
        """Return the sorted keys below a prefix."""
        return tuple(sorted(key for key in self.objects if key.startswith(prefix)))

    def write(self, key: str, body: bytes, expected: int) -> StoredObject:
        """Write an object if it has the expected version.

        Raises:
            VersionConflictError: If the object has another version.
            ObjectTooLargeError: If the body exceeds `MAX_OBJECT_BYTES`.
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
        """Delete an object if it has the expected version.

        Returns:
            The version assigned to the deletion.

        Raises:
            VersionConflictError: If the object has another version.
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
