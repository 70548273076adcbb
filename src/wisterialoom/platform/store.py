"""Client of the platform's store, which holds objects by kind and name."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, TYPE_CHECKING

import aiohttp
import orjson
from aiohttp import ClientTimeout

from wisterialoom.core.error import WisterialoomError
from wisterialoom.no_resend import no_resend, was_never_sent

if TYPE_CHECKING:
    from aiohttp import ClientSession

__all__ = [
    "CALL_TIMEOUT_S",
    "HistoryGoneError",
    "ObjectConflictError",
    "StoreClient",
    "StoreListing",
    "StoreObject",
    "StoreUnavailableError",
    "WatchAnswer",
]

CALL_TIMEOUT_S = 1.5
"""Timeout of a call; a healthy store answers within some milliseconds."""

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout; about thirty round trips between availability zones."""

PAGE_TIMEOUT_S = 15.0
"""Timeout of one page of a list.

Sending 1 MB to each of 300 instances at 1 Gbit/s takes 2.4 s. A timeout that is too
short adds load, because every aborted list is requested again.
"""

WATCH_SLACK_S = 0.8
"""Time that a watch may exceed its wait before its connection counts as broken."""


class StoreUnavailableError(WisterialoomError):
    """Raised when the store did not answer a call or rejected it.

    Attributes:
        ambiguous: Whether the call may have been or may still be carried out.
    """

    def __init__(self, message: str, *, ambiguous: bool) -> None:
        super().__init__(message)
        self.ambiguous = ambiguous


class HistoryGoneError(WisterialoomError):
    """Raised when the store no longer has the history since a revision."""


class ObjectConflictError(WisterialoomError):
    """Raised when a write conflicts with the current state of an object.

    The object exists already, or has another revision than expected.

    Attributes:
        current: The current object, if the answer included it.
    """

    def __init__(self, message: str, current: StoreObject | None) -> None:
        super().__init__(message)
        self.current = current


@dataclass(frozen=True, slots=True)
class StoreObject:
    """One object of the store.

    Attributes:
        name: Name, unique within its kind.
        revision: Revision of the last change.
        spec: Contents as the object's owner wrote them.
    """

    name: str
    revision: int
    spec: Any

    @classmethod
    def from_wire(cls, item: Any) -> StoreObject:
        """Decode an object; `spec` is not validated, as others write it too."""
        meta = item["metadata"]
        return cls(str(meta["name"]), int(meta["revision"]), item.get("spec"))


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All objects of a kind.

    Attributes:
        objects: The objects.
        revision: Revision from which a watch continues.
    """

    objects: tuple[StoreObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Changes of a kind since an earlier revision.

    Attributes:
        changed: Created and changed objects in their latest version.
        removed: Names of removed objects.
        revision: Revision up to which the changes are complete.
    """

    changed: tuple[StoreObject, ...]
    removed: tuple[str, ...]
    revision: int


class StoreClient:
    """Calls the store; each call has a timeout and is never resent.

    Attributes:
        address: `IP:port` of the store.
        session: HTTP client session.
        calls: Number of calls by purpose, for metrics.
    """

    def __init__(self, address: str, session: ClientSession) -> None:
        self.address = address
        self.session = session
        self.calls: dict[str, int] = {}

    async def read(self, kind: str, name: str) -> StoreObject | None:
        """Return an object, or `None` if it does not exist.

        Raises:
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        status, item = await self._call("read", "GET", f"{kind}/{name}")
        if status == 404:
            return None
        return self._decode_object(status, item)

    async def list(
        self, kind: str, *, read_timeout_s: float = CALL_TIMEOUT_S
    ) -> StoreListing:
        """Return all objects of a kind.

        Args:
            kind: Kind of the objects.
            read_timeout_s: Longest wait for the next bytes; a whole page may take
                longer.

        Raises:
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        found: list[StoreObject] = []
        query = ""
        while True:
            status, item = await self._call(
                "list",
                "GET",
                f"{kind}{query}",
                timeout_s=PAGE_TIMEOUT_S,
                read_timeout_s=read_timeout_s,
            )
            if status != 200:
                raise StoreUnavailableError(
                    f"the store answered a list with status {status}", ambiguous=False
                )
            page = [StoreObject.from_wire(entry) for entry in item["items"]]
            found += page
            # `at` is the revision of the store, from which a watch can continue.
            if not item.get("truncated") or not page:
                return StoreListing(tuple(found), int(item["at"]))
            query = f"?after={page[-1].name}"

    async def watch(self, kind: str, since: int, wait_s: float) -> WatchAnswer:
        """Wait for changes since a revision and return them.

        Args:
            kind: Kind of the objects.
            since: Revision after which changes are returned.
            wait_s: Longest wait in seconds; the answer is empty after it.

        Raises:
            HistoryGoneError: The history does not go back to the revision; list again.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        path = f"{kind}?watch={since}&waitMs={int(wait_s * 1e3)}"
        status, item = await self._call(
            "watch", "GET", path, timeout_s=wait_s + WATCH_SLACK_S
        )
        if status == 410:
            raise HistoryGoneError("the store no longer has this history; list again")
        if status != 200:
            raise StoreUnavailableError(
                f"the store answered a watch with status {status}", ambiguous=False
            )
        changed: list[StoreObject] = []
        removed: list[str] = []
        latest: dict[str, StoreObject | None] = {}
        for event in item.get("events", ()):
            found = StoreObject.from_wire(event["object"])
            latest[found.name] = None if event.get("removed") else found
        for name, entry in latest.items():
            if entry is None:
                removed.append(name)
            else:
                changed.append(entry)
        return WatchAnswer(tuple(changed), tuple(removed), int(item["at"]))

    async def create(self, kind: str, name: str, spec: Any) -> StoreObject:
        """Create an object.

        Raises:
            ObjectConflictError: An object of that name exists.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        status, item = await self._call("create", "POST", kind, body)
        return self._decode_object(status, item)

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: int | None = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoreObject:
        """Replace an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: New contents.
            revision: Revision that the object must have; any if `None`.
            timeout_s: Timeout of the call in seconds.

        Raises:
            ObjectConflictError: The object has another revision.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        meta: dict[str, Any] = {"name": name}
        if revision is not None:
            meta["revision"] = revision
        body = {"metadata": meta, "spec": spec}
        status, item = await self._call(
            "replace", "PUT", f"{kind}/{name}", body, timeout_s=timeout_s
        )
        return self._decode_object(status, item)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; it is not an error if none exists.

        Raises:
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        status, _ = await self._call("delete", "DELETE", f"{kind}/{name}")
        if status not in (200, 202, 204, 404):
            raise StoreUnavailableError(
                f"the store answered a delete with status {status}", ambiguous=False
            )

    def _decode_object(self, status: int, item: Any) -> StoreObject:
        if status == 409:
            current = None
            if isinstance(item, dict) and "metadata" in item:
                current = StoreObject.from_wire(item)
            raise ObjectConflictError(
                "the object exists already or has changed; read it again", current
            )
        if status not in (200, 201):
            raise StoreUnavailableError(
                f"the store answered with status {status}", ambiguous=False
            )
        return StoreObject.from_wire(item)

    async def _call(
        self,
        purpose: str,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        read_timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        self.calls[purpose] = self.calls.get(purpose, 0) + 1
        try:
            async with (
                asyncio.timeout(timeout_s),
                self.session.request(
                    method,
                    f"http://{self.address}/v1/objects/{path}",
                    data=orjson.dumps(body) if body is not None else None,
                    headers={"Content-Type": "application/json"},
                    timeout=ClientTimeout(
                        total=None,
                        sock_connect=CONNECT_TIMEOUT_S,
                        sock_read=read_timeout_s,
                    ),
                    middlewares=(no_resend,),
                ) as response,
            ):
                data = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError(
                f"{purpose} failed: {error!r}", ambiguous=not was_never_sent(error)
            ) from error
        if status in (429, 503):
            raise StoreUnavailableError(
                f"the store answered {purpose} with status {status}", ambiguous=False
            )
        try:
            return status, orjson.loads(data) if data else None
        except orjson.JSONDecodeError as error:
            raise StoreUnavailableError(
                f"the store answered {purpose} with text that is not JSON",
                ambiguous=True,
            ) from error
