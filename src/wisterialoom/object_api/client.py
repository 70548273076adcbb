"""HTTP client of the platform's object API and instance list."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from urllib.parse import quote

import orjson
from aiohttp import ClientError, ClientTimeout
from yarl import URL

from wisterialoom.bounded_read import read_bounded
from wisterialoom.core.error import WisterialoomError
from wisterialoom.core.object_store import (
    ABSENT,
    ObjectTooLargeError,
    StoredObject,
    VersionConflictError,
)
from wisterialoom.no_resend import no_resend, was_never_sent
from wisterialoom.object_api.codec import decode_instances

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import ClientSession

    from wisterialoom.core.fleet.instance_list import InstanceList, ListedInstance

__all__ = [
    "VERSION_HEADER",
    "WATCH_LIMIT_S",
    "PlatformClient",
    "PlatformUnavailableError",
]

logger = logging.getLogger(__name__)

VERSION_HEADER = "X-Version"
"""Header that carries the version of an object in answers about it."""

WATCH_LIMIT_S = 30.0
"""Time after which the platform ends a watch without a change, in seconds."""

MAX_ANSWER_BYTES = 32_000_000
"""Largest answer, in bytes; a list of all keys is the longest."""

NOT_MODIFIED_STATUS = 304
RATE_LIMITED_STATUS = 429


class PlatformUnavailableError(WisterialoomError):
    """Raised if the platform gives no usable answer.

    Attributes:
        ambiguous: Whether the write may have taken effect nevertheless.
    """

    def __init__(self, what: str, cause: str, *, ambiguous: bool) -> None:
        remedy = (
            "read the object to find out whether it changed"
            if ambiguous
            else "try again later"
        )
        super().__init__(f"{what}: the platform is unavailable ({cause}); {remedy}")
        self.ambiguous = ambiguous


class PlatformClient:
    """Calls the object API and the instance list; no call is retried.

    Attributes:
        session: HTTP session shared by all calls; its owner closes it.
        url: Base URL, such as `http://127.0.0.1:8000`.
        timeout_s: Timeout of a call in seconds; for a watch, `WATCH_LIMIT_S` is
            added.
        listed: Instances of the last list by name.
        unreadable: Names of the entries of the last list that described no instance.
    """

    def __init__(self, session: ClientSession, url: str, timeout_s: float) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.listed: dict[str, ListedInstance] = {}
        self.unreadable: set[str] = set()

    async def read(self, key: str, known_version: int = ABSENT) -> StoredObject:
        """Read an object; the result has version `ABSENT` if it does not exist.

        Args:
            key: Key of the object.
            known_version: Version that the caller already has; an object at this
                version is returned without its body.

        Raises:
            PlatformUnavailableError: If there is no usable answer.
        """
        url = self._object_url(key)
        return await self._get_object(url, self.timeout_s, known_version=known_version)

    async def watch(self, key: str, after: int) -> StoredObject:
        """Wait for a version above `after`, and return the object at the end.

        An object that is still at version `after` is returned without its body.

        Raises:
            PlatformUnavailableError: If there is no usable answer.
        """
        url = self._object_url(key).with_query(watch_after=str(after))
        timeout_s = self.timeout_s + WATCH_LIMIT_S
        return await self._get_object(url, timeout_s, known_version=after)

    async def write(self, key: str, body: bytes, expected: int) -> int:
        """Write an object if it has the expected version.

        Args:
            key: Key of the object.
            body: The new body.
            expected: Version that was read; `ABSENT` to create the object.

        Returns:
            The new version.

        Raises:
            VersionConflictError: If the object has another version.
            ObjectTooLargeError: If the body is too large.
            PlatformUnavailableError: If there is no usable answer.
        """
        return await self._change("PUT", key, expected, body)

    async def delete(self, key: str, expected: int) -> int:
        """Delete an object if it has the expected version.

        Returns:
            The new version.

        Raises:
            VersionConflictError: If the object has another version.
            PlatformUnavailableError: If there is no usable answer.
        """
        return await self._change("DELETE", key, expected, None)

    async def list(self, prefix: str) -> tuple[str, ...]:
        """Return the keys that begin with a prefix, sorted.

        Raises:
            PlatformUnavailableError: If there is no usable answer.
        """
        url = URL(f"{self.url}/objects").with_query(prefix=prefix)
        status, _, body = await self._call("GET", url, self.timeout_s)
        self._expect_ok("GET", url, status)
        try:
            return tuple(orjson.loads(body)["keys"])
        except (ValueError, KeyError, TypeError) as error:
            raise _unreadable("GET", url) from error

    async def instances(self) -> InstanceList:
        """Return the instance list, which may lag behind the actual state.

        Raises:
            PlatformUnavailableError: If there is no usable answer.
        """
        url = URL(f"{self.url}/instances")
        status, _, body = await self._call("GET", url, self.timeout_s)
        self._expect_ok("GET", url, status)
        try:
            listing = decode_instances(body, self.listed)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise _unreadable("GET", url) from error
        self.listed = {instance.name: instance for instance in listing.instances}
        for name in listing.unreadable.keys() - self.unreadable:
            logger.warning(
                "entry of the instance list ignored",
                extra={"item": name, "error": listing.unreadable[name]},
            )
        self.unreadable = set(listing.unreadable)
        return listing

    def _object_url(self, key: str) -> URL:
        return URL(f"{self.url}/objects/{quote(key, safe='')}", encoded=True)

    async def _get_object(
        self, url: URL, timeout_s: float, *, known_version: int
    ) -> StoredObject:
        condition = (
            {"If-None-Match": f'"{known_version}"'} if known_version != ABSENT else None
        )
        status, headers, body = await self._call(
            "GET", url, timeout_s, headers=condition
        )
        if status == 404:
            return StoredObject()
        if status == NOT_MODIFIED_STATUS:
            return StoredObject(known_version)
        self._expect_ok("GET", url, status)
        return StoredObject(_read_version("GET", url, headers), body)

    async def _change(
        self, method: str, key: str, expected: int, body: bytes | None
    ) -> int:
        url = self._object_url(key)
        condition = {"If-Match": f'"{expected}"'}
        status, headers, _ = await self._call(
            method, url, self.timeout_s, headers=condition, body=body
        )
        if status == 412:
            raise VersionConflictError(key, _read_version(method, url, headers))
        if status == 413:
            raise ObjectTooLargeError(
                f"object {key} is too large; write a smaller body or split it"
            )
        self._expect_ok(method, url, status)
        return _read_version(method, url, headers)

    def _expect_ok(self, method: str, url: URL, status: int) -> None:
        if status == 200:
            return
        ambiguous = method != "GET" and status != RATE_LIMITED_STATUS
        raise PlatformUnavailableError(
            f"{method} {url.path}", f"status {status}", ambiguous=ambiguous
        )

    async def _call(
        self,
        method: str,
        url: URL,
        timeout_s: float,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> tuple[int, Mapping[str, str], bytes]:
        try:
            async with self.session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=ClientTimeout(total=timeout_s),
                allow_redirects=False,
                middlewares=(no_resend,),
            ) as response:
                answer = await read_bounded(response, MAX_ANSWER_BYTES)
                return response.status, response.headers, answer
        except (ClientError, TimeoutError, OSError) as error:
            ambiguous = method != "GET" and not was_never_sent(error)
            raise PlatformUnavailableError(
                f"{method} {url.path}", type(error).__name__, ambiguous=ambiguous
            ) from error


def _read_version(method: str, url: URL, headers: Mapping[str, str]) -> int:
    text = headers.get(VERSION_HEADER, "")
    if not (text.isascii() and text.isdigit()):
        raise _unreadable(method, url)
    return int(text)


def _unreadable(method: str, url: URL) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"{method} {url.path}", "unreadable answer", ambiguous=method != "GET"
    )
