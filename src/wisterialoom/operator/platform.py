"""The part of the platform's API that operators' commands use."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.fleet.instance_list import InstanceList
    from wisterialoom.core.object_store import StoredObject

__all__ = ["Platform"]


class Platform(Protocol):
    """Versioned objects and the instance list; implemented by `PlatformClient`.

    Every call may raise `PlatformUnavailableError`; changes may also raise
    `VersionConflictError`.
    """

    async def read(self, key: str) -> StoredObject:
        """Return an object; its version is `ABSENT` if it does not exist."""
        ...

    async def write(self, key: str, body: bytes, expected: int) -> int:
        """Write an object if it has the expected version; return the new version."""
        ...

    async def delete(self, key: str, expected: int) -> int:
        """Delete an object if it has the expected version; return the new version."""
        ...

    async def list(self, prefix: str) -> tuple[str, ...]:
        """Return the keys with a prefix, sorted."""
        ...

    async def instances(self) -> InstanceList:
        """Return the instance list."""
        ...
