"""Client of the platform's store, which holds objects by kind and name."""

from __future__ import annotations

import asyncio
import logging
import time
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any, TYPE_CHECKING
from urllib.parse import quote

import aiohttp
import orjson
from aiohttp import ClientTimeout

from wisterialoom.bounded_read import AnswerTooLargeError, read_bounded
from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.fleet import Revision, StoreProgress
from wisterialoom.no_resend import no_resend, was_never_sent
from wisterialoom.platform.fields import DECODE_ERRORS, describe
from wisterialoom.platform.store_json import decode_answer
from wisterialoom.platform.unreadable import UnreadableInput

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from aiohttp import ClientSession

__all__ = [
    "CALL_TIMEOUT_S",
    "HistoryGoneError",
    "ObjectConflictError",
    "StoreClient",
    "StoreListing",
    "StoreObject",
    "StoreRestoredError",
    "StoreUnavailableError",
    "WatchAnswer",
    "WatchCutError",
]

logger = logging.getLogger(__name__)

ERA_HEADER = "Store-Era"
"""Number of times that the store was restored from a copy."""

MAX_ERA = 2**31 - 1
"""Largest era that is believed; fencing numbers made from it fit into 53 bits."""

CALL_TIMEOUT_S = 1.5
"""Timeout of a call; a healthy store answers within some milliseconds."""

MAX_REVISION = 2**53 - 1
"""Largest revision that is believed; numbers up to it are exact in any JSON reader."""

MAX_ANSWER_BYTES = 32_000_000
"""Largest answer; a page of a list has about 1 MB, and an object at most as much."""

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout; about thirty round trips between availability zones."""


PAGE_TIMEOUT_S = 15.0
"""Timeout of one page of a list.

Sending 1 MB to each of 300 instances at 1 Gbit/s takes 2.4 s. A timeout that is too
short adds load, because every aborted list is requested again.
"""


class StoreUnavailableError(WisterialoomError):
    """Raised when the store did not answer a call or rejected it.

    Attributes:
        ambiguous: Whether the call may have been or may still be carried out.
    """

    def __init__(self, message: str, *, ambiguous: bool) -> None:
        super().__init__(message)
        self.ambiguous = ambiguous


class WatchCutError(StoreUnavailableError):
    """Raised when the connection of a watch ended while the watch waited.

    The store may do so at any time; only the next call shows whether it is away.
    """


class StoreRestoredError(WisterialoomError):
    """Raised when the store was restored after the revision that a call refers to.

    A write that is answered with this may have been carried out in the new era.
    """


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
    revision: Revision
    spec: Any

    @classmethod
    def from_wire(cls, era: int, item: Any) -> StoreObject:
        """Decode an object; `spec` is not validated, as others write it too.

        Raises:
            KeyError: The name or the revision is missing.
            TypeError: They have another type.
            ValueError: They are out of range.
        """
        revision = _decode_revision(era, item["metadata"]["revision"])
        return cls(_decode_name(item), revision, item.get("spec"))


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All objects of a kind.

    Attributes:
        objects: The objects.
        revision: Revision from which a watch continues, which is that of the first
            page; objects of later pages may be newer.
        unreadable: Names of objects that exist, but whose revision cannot be decoded.
    """

    objects: tuple[StoreObject, ...]
    revision: Revision
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Changes of a kind since an earlier revision.

    Attributes:
        changed: Created and changed objects. Of one that changed repeatedly, each
            version in order, as the latest may turn out to be unreadable.
        removed: Names of removed objects.
        revision: Revision up to which the changes are complete.
        created_again: Names in `changed` of objects that had been removed before.
    """

    changed: tuple[StoreObject, ...]
    removed: tuple[str, ...]
    revision: Revision
    created_again: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _Answer:
    """Status, era and decoded body of an answer of the store."""

    status: int
    era: int
    item: Any


class StoreClient:
    """Calls the store; each call has a timeout and is never resent.

    Attributes:
        address: `IP:port` of the store.
        session: HTTP client session.
        calls: Number of calls by purpose, for metrics.
        era: Latest era of the store that an answer or another instance named; 0 if
            the store names none.
        progress: Revisions that the store is known to have reached.
        answered_event: Set once the store has answered a call.
        restores: Number of restores of the store that were noticed, for metrics.
        on_restore: Called when the store is found to be restored.
        on_restore_answered: Called after that, if an answer of the store showed it.
        unreadable: Objects that could not be decoded.
        bad_era_logged: Whether an era that cannot be read was logged.
    """

    def __init__(self, address: str, session: ClientSession) -> None:
        self.address = address
        self.session = session
        self.calls: dict[str, int] = {}
        self.era = 0
        self.progress = StoreProgress()
        self.answered_event = asyncio.Event()
        self.restores = 0
        self.on_restore: list[Callable[[], None]] = []
        self.on_restore_answered: list[Callable[[], None]] = []
        self.unreadable = UnreadableInput()
        self.bad_era_logged = False

    def record_era(self, era: int) -> None:
        """Record an era of the store, which an answer or another instance named."""
        if era <= self.era:
            return
        previous, self.era = self.era, era
        if not self.answered_event.is_set():
            return
        self.restores += 1
        logger.warning("store restored", extra={"era": era, "previous_era": previous})
        for notify in self.on_restore:
            notify()

    def record_revision(self, revision: Revision) -> None:
        """Record a revision that the store has reached, by another instance's word."""
        self.record_era(revision.era)
        self.progress.record_report(revision)

    def _check_revision(self, purpose: str, known: Revision, found: Revision) -> None:
        """Reject an answer about a past state of the store.

        Args:
            purpose: Purpose of the call.
            known: Latest revision that was known when the call was sent.
            found: Revision that the answer is current for.

        Raises:
            StoreUnavailableError: The answer is from before the known revision.
        """
        if self.progress.is_past(time.monotonic(), known, found):
            raise StoreUnavailableError(
                f"the store answered {purpose} for revision {found.number}, before "
                f"revision {known.number} that it had reached; the answer is ignored",
                ambiguous=False,
            )
        if found < known:
            logger.error(
                "store went back without naming another era, its answers count again",
                extra={"revision": found, "known": known},
            )

    async def read(
        self, kind: str, name: str, *, era: int | None = None
    ) -> StoreObject | None:
        """Return an object, or `None` if it does not exist.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            era: Era in which it must be read; any if `None`.

        Raises:
            StoreRestoredError: The store is in another era.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        answer = await self._call("read", "GET", f"{kind}/{name}", era=era)
        if answer.status == 404:
            return None
        return self._decode_object(answer)

    async def list(
        self, kind: str, *, read_timeout_s: float = CALL_TIMEOUT_S
    ) -> StoreListing:
        """Return all objects of a kind.

        Args:
            kind: Kind of the objects.
            read_timeout_s: Longest wait for the next bytes; a whole page may take
                longer.

        Raises:
            StoreRestoredError: The store was restored between two pages.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        found: list[StoreObject] = []
        unreadable: list[str] = []
        after = ""
        first: Revision | None = None
        era: int | None = None
        known = self.progress.latest
        while True:
            answer = await self._call(
                "list",
                "GET",
                f"{kind}?after={quote(after, safe='')}" if after else kind,
                timeout_s=PAGE_TIMEOUT_S,
                read_timeout_s=read_timeout_s,
                era=era,
            )
            era = answer.era
            if answer.status != 200:
                raise StoreUnavailableError(
                    f"the store answered a list with status {answer.status}",
                    ambiguous=False,
                )
            with _malformed_as_unavailable("list"):
                items = _decode_items(answer.item["items"])
                # `at` is the revision of the store, from which a watch can continue.
                revision = _decode_revision(era, answer.item["at"])
                truncated = bool(answer.item.get("truncated"))
            self._check_revision("list", known, revision)
            # Changes to earlier pages after this revision are in no later page.
            first = first or revision
            last_name = ""
            for item in items:
                entry, name = self._decode_entry(kind, era, item)
                last_name = name or last_name
                if entry is not None:
                    found.append(entry)
                elif name:
                    unreadable.append(name)
            if not truncated or not items:
                return StoreListing(tuple(found), first, tuple(unreadable))
            if last_name in ("", after):
                raise StoreUnavailableError(
                    f"a page of a list of {kind} names no object to continue after",
                    ambiguous=False,
                )
            after = last_name

    async def watch(
        self,
        kind: str,
        since: Revision,
        wait_s: float,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> WatchAnswer:
        """Wait for changes since a revision and return them.

        Args:
            kind: Kind of the objects.
            since: Revision after which changes are returned.
            wait_s: Longest wait in seconds; the answer is empty after it.
            timeout_s: Time beyond the wait after which the connection counts as broken.

        Raises:
            HistoryGoneError: The history does not go back to the revision; list again.
            StoreRestoredError: The store was restored since then; list again.
            WatchCutError: The connection ended while the watch waited.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        known = max(self.progress.latest, since)
        path = f"{kind}?watch={since.number}&waitMs={int(wait_s * 1e3)}"
        try:
            answer = await self._call(
                "watch", "GET", path, timeout_s=wait_s + timeout_s, era=since.era
            )
        except StoreUnavailableError as error:
            if isinstance(error.__cause__, AnswerTooLargeError):
                # It would not become smaller; a list is sent in pages.
                raise HistoryGoneError(
                    "the watch brings too much; list again"
                ) from error
            if wait_s > 0 and _was_cut(error):
                raise WatchCutError(str(error), ambiguous=False) from error
            raise
        if answer.status == 410:
            raise HistoryGoneError("the store no longer has this history; list again")
        if answer.status != 200:
            raise StoreUnavailableError(
                f"the store answered a watch with status {answer.status}",
                ambiguous=False,
            )
        versions: dict[str, list[StoreObject]] = {}
        removed: set[str] = set()
        with _malformed_as_unavailable("watch"):
            events = _decode_items(answer.item.get("events", []))
            revision = _decode_revision(answer.era, answer.item["at"])
        for event in events:
            fields = event if isinstance(event, dict) else {}
            entry, name = self._decode_entry(kind, answer.era, fields.get("object"))
            if name and fields.get("removed"):
                removed.add(name)
                versions.pop(name, None)
            elif entry is not None:
                versions.setdefault(name, []).append(entry)
        self._check_revision("watch", known, revision)
        return WatchAnswer(
            changed=tuple(entry for found in versions.values() for entry in found),
            removed=tuple(removed - versions.keys()),
            revision=revision,
            created_again=frozenset(removed & versions.keys()),
        )

    async def create(
        self, kind: str, name: str, spec: Any, *, era: int | None = None
    ) -> StoreObject:
        """Create an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: Contents.
            era: Era in which it must be created; any if `None`.

        Raises:
            ObjectConflictError: An object of that name exists.
            StoreRestoredError: The store is in another era.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        return self._decode_object(
            await self._call("create", "POST", kind, body, era=era)
        )

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: Revision | None = None,
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
            StoreRestoredError: The store was restored since the revision.
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        meta: dict[str, Any] = {"name": name}
        if revision is not None:
            meta["revision"] = revision.number
        answer = await self._call(
            "replace",
            "PUT",
            f"{kind}/{name}",
            {"metadata": meta, "spec": spec},
            timeout_s=timeout_s,
            era=revision.era if revision is not None else None,
        )
        return self._decode_object(answer)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; it is not an error if none exists.

        Raises:
            StoreUnavailableError: The store did not answer, or rejected the call.
        """
        answer = await self._call("delete", "DELETE", f"{kind}/{name}")
        if answer.status not in (200, 202, 204, 404):
            raise StoreUnavailableError(
                f"the store answered a delete with status {answer.status}",
                ambiguous=False,
            )

    def _decode_entry(
        self, kind: str, era: int, item: Any
    ) -> tuple[StoreObject | None, str]:
        """Decode one of several objects.

        Returns:
            The object, or `None` if it cannot be decoded, and its name, which is empty
            if that cannot be decoded either.
        """
        try:
            found = StoreObject.from_wire(era, item)
        except DECODE_ERRORS as error:
            name = ""
            with suppress(*DECODE_ERRORS):
                name = _decode_name(item)
            self.unreadable.record(kind, name, repr(error))
            return None, name
        return found, found.name

    def _decode_object(self, answer: _Answer) -> StoreObject:
        item = answer.item
        if answer.status == 409:
            current = None
            if isinstance(item, dict) and "metadata" in item:
                with _malformed_as_unavailable("conflict"):
                    current = StoreObject.from_wire(answer.era, item)
            raise ObjectConflictError(
                "the object exists already or has changed; read it again", current
            )
        if answer.status not in (200, 201):
            raise StoreUnavailableError(
                f"the store answered with status {answer.status}", ambiguous=False
            )
        with _malformed_as_unavailable("object"):
            found = StoreObject.from_wire(answer.era, item)
        self.progress.record_answer(time.monotonic(), found.revision)
        return found

    async def _call(
        self,
        purpose: str,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        read_timeout_s: float | None = None,
        era: int | None = None,
    ) -> _Answer:
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
                data = await read_bounded(response, MAX_ANSWER_BYTES)
                status = response.status
                answer_era = self._read_era(response.headers)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError(
                f"{purpose} failed: {error!r}", ambiguous=not was_never_sent(error)
            ) from error
        if answer_era < self.era:
            raise StoreUnavailableError(
                f"the store answered {purpose} in era {answer_era}, before its "
                f"restore that began era {self.era}; the answer is ignored",
                ambiguous=True,
            )
        restores = self.restores
        self.record_era(answer_era)
        self.answered_event.set()
        if self.restores > restores:
            for notify in self.on_restore_answered:
                notify()
        if status in (429, 503):
            raise StoreUnavailableError(
                f"the store answered {purpose} with status {status}", ambiguous=False
            )
        if era is not None and answer_era != era:
            raise StoreRestoredError(
                f"the store was restored: {purpose} refers to era {era} and was "
                f"answered in era {answer_era}; read again"
            )
        try:
            item = await decode_answer(data) if data else None
        except ValueError as error:
            raise StoreUnavailableError(
                f"the store answered {purpose} with text that is not JSON",
                ambiguous=True,
            ) from error
        return _Answer(status, answer_era, item)

    def _read_era(self, headers: Mapping[str, str]) -> int:
        """Return the era that an answer names, or the latest known one if unusable."""
        text = headers.get(ERA_HEADER)
        if text is None:
            return self.era
        if text.isascii() and text.isdigit() and len(text) <= len(str(MAX_ERA)):
            era = int(text)
            if era <= MAX_ERA:
                return era
        if not self.bad_era_logged:
            self.bad_era_logged = True
            logger.error(
                "era of the store cannot be read, taken as unchanged",
                extra={"header": text[:40], "era": self.era},
            )
        return self.era


def _was_cut(error: StoreUnavailableError) -> bool:
    """Return whether a connection ended after a call was sent, before its answer."""
    cause = error.__cause__
    return (
        isinstance(cause, (aiohttp.ClientError, OSError))
        and not isinstance(cause, TimeoutError)
        and not was_never_sent(cause)
    )


@contextmanager
def _malformed_as_unavailable(purpose: str) -> Iterator[None]:
    """Treat an answer that lacks fields, or has them of another type, as none."""
    try:
        yield
    except DECODE_ERRORS as error:
        raise StoreUnavailableError(
            f"the store answered {purpose} with fields that cannot be read: "
            f"{error!r:.200}",
            ambiguous=True,
        ) from error


def _decode_items(items: Any) -> Iterable[Any]:
    if not isinstance(items, list):
        raise TypeError(f"{type(items).__name__} instead of a list")
    return items


def _decode_name(item: Any) -> str:
    name = item["metadata"]["name"]
    if not isinstance(name, str) or not name:
        raise TypeError(f"{describe(name)} is not a name")
    return name


def _decode_revision(era: int, value: Any) -> Revision:
    number = int(value)
    if not 0 <= number <= MAX_REVISION:
        raise ValueError(f"{number} is not a revision")
    return Revision(era, number)
