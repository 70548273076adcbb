"""Client of the platform's store: objects by kind and name, with watches."""

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
    "ObjectExistsError",
    "StoreClient",
    "StoreListing",
    "StoreObject",
    "StoreUnavailableError",
    "WatchAnswer",
]

CALL_TIMEOUT_S = 1.5
"""Longest wait for an answer; a healthy store takes some milliseconds."""

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a connection; some thirty round trips between zones."""

PAGE_TIMEOUT_S = 15.0
"""Longest time for a page of a list; 1 MB to each of 300 instances at 1 Gbit/s takes
2.4 s, and repeats of a list that is cut short add to the load."""

WATCH_SLACK_S = 0.8
"""Time that a watch may overrun before its connection is taken for silent."""


class StoreUnavailableError(WisterialoomError):
    """Raised when a call got no answer, or was turned away.

    Attributes:
        ambiguous: The call may still be carried out.
    """

    def __init__(self, message: str, *, ambiguous: bool) -> None:
        super().__init__(message)
        self.ambiguous = ambiguous


class HistoryGoneError(WisterialoomError):
    """Raised when the store no longer has the changes since a revision."""


class ObjectExistsError(WisterialoomError):
    """Raised when a condition on an object did not hold.

    Attributes:
        current: The object as it is, if the store told.
    """

    def __init__(self, message: str, current: StoreObject | None) -> None:
        super().__init__(message)
        self.current = current


@dataclass(frozen=True, slots=True)
class StoreObject:
    """One object.

    Attributes:
        name: Its name, unique in its kind.
        revision: Revision of its last change.
        spec: What its owner wrote.
    """

    name: str
    revision: int
    spec: Any

    @classmethod
    def from_wire(cls, item: Any) -> StoreObject:
        """Decode an object; a foreign one may have any `spec`."""
        meta = item["metadata"]
        return cls(str(meta["name"]), int(meta["revision"]), item.get("spec"))


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All objects of a kind at one revision."""

    objects: tuple[StoreObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Changes of a kind up to a revision; removed objects are in `removed`."""

    changed: tuple[StoreObject, ...]
    removed: tuple[str, ...]
    revision: int


class StoreClient:
    """Calls the store; each call has a timeout and is sent once.

    Attributes:
        address: `IP:port` of the store.
        session: Connections to the store.
        calls: Count of calls by purpose, for metrics.
    """

    def __init__(self, address: str, session: ClientSession) -> None:
        self.address = address
        self.session = session
        self.calls: dict[str, int] = {}

    async def read(self, kind: str, name: str) -> StoreObject | None:
        """Return one object, or `None` if there is none.

        Raises:
            StoreUnavailableError: No answer, or turned away.
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
            kind: The kind.
            read_timeout_s: Longest wait for the next bytes; a large page may take longer.

        Raises:
            StoreUnavailableError: No answer, or turned away.
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
                raise StoreUnavailableError(f"list got {status}", ambiguous=False)
            page = [StoreObject.from_wire(entry) for entry in item["items"]]
            found += page
            # `at` is the store's revision; watches continue from there.
            if not item.get("truncated") or not page:
                return StoreListing(tuple(found), int(item["at"]))
            query = f"?after={page[-1].name}"

    async def watch(self, kind: str, since: int, wait_s: float) -> WatchAnswer:
        """Return what has changed since a revision, once something has.

        Raises:
            HistoryGoneError: List again.
            StoreUnavailableError: No answer, or turned away.
        """
        path = f"{kind}?watch={since}&waitMs={int(wait_s * 1e3)}"
        status, item = await self._call(
            "watch", "GET", path, timeout_s=wait_s + WATCH_SLACK_S
        )
        if status == 410:
            raise HistoryGoneError("the store has dropped this history; list again")
        if status != 200:
            raise StoreUnavailableError(f"watch got {status}", ambiguous=False)
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
            ObjectExistsError: There is one of that name.
            StoreUnavailableError: No answer, or turned away.
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
        """Replace an object, if it still has a revision.

        Raises:
            ObjectExistsError: It has another revision.
            StoreUnavailableError: No answer, or turned away.
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
        """Remove an object; one that is not there is no error.

        Raises:
            StoreUnavailableError: No answer, or turned away.
        """
        status, _ = await self._call("delete", "DELETE", f"{kind}/{name}")
        if status not in (200, 202, 204, 404):
            raise StoreUnavailableError(f"delete got {status}", ambiguous=False)

    def _decode_object(self, status: int, item: Any) -> StoreObject:
        if status == 409:
            current = None
            if isinstance(item, dict) and "metadata" in item:
                current = StoreObject.from_wire(item)
            raise ObjectExistsError("the object has changed; read it again", current)
        if status not in (200, 201):
            raise StoreUnavailableError(f"the store said {status}", ambiguous=False)
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
            raise StoreUnavailableError(f"{purpose} got {status}", ambiguous=False)
        try:
            return status, orjson.loads(data) if data else None
        except orjson.JSONDecodeError as error:
            raise StoreUnavailableError(
                f"{purpose} got an answer that is no JSON", ambiguous=True
            ) from error
