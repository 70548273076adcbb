"""Stand-in of the platform's store: objects by kind and name, watches, conditions."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from review.standin3.http import Answer, CutOffError, HttpServer, Request

__all__ = ["Door", "Store"]

PAGE = 500
PREFIX = "/v1/objects/"


class Door:
    """One more address of the store, which may turn its callers away.

    Attributes:
        is_closed: Whether each call is answered with 503, which means not done.
        server: Listener.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.is_closed = False
        self.server = HttpServer(self._handle)

    async def _handle(self, request: Request) -> Answer:
        if self.is_closed:
            return Answer(503)
        return await self.store.handle(request)


class Store:
    """Keeps objects and answers calls as the platform's pages say.

    Attributes:
        revision: Revision of the last change.
        objects: Objects by kind and name.
        events: Revision, kind, object and removal flag of each change.
        cuts: Number of times that waiting watches were cut off.
        server: Listener.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.cuts = 0
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator or a worker does."""
        async with self.changed:
            self.revision += 1
            kinds = self.objects.setdefault(kind, {})
            old = kinds.get(name)
            created = old["metadata"]["createRevision"] if old else self.revision
            meta = {
                "name": name,
                "revision": self.revision,
                "createRevision": created,
                "finalizers": [],
                "deleting": False,
            }
            kinds[name] = {"metadata": meta, "spec": spec, "status": None}
            self.events.append((self.revision, kind, kinds[name], False))
            self.changed.notify_all()

    async def cut_watches(self) -> None:
        """Cut off all watches that are waiting."""
        async with self.changed:
            self.cuts += 1
            self.changed.notify_all()

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        async with self.changed:
            item = self.objects.get(kind, {}).pop(name, None)
            if item is not None:
                self.revision += 1
                self.events.append((self.revision, kind, item, True))
                self.changed.notify_all()

    async def handle(self, request: Request) -> Answer:
        """Answer a call."""
        parts = urlsplit(request.target)
        if not parts.path.startswith(PREFIX):
            return Answer(404)
        kind, _, name = unquote(parts.path[len(PREFIX) :]).partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if not name:
            return await self._handle_kind(request, kind, query)
        current = self.objects.get(kind, {}).get(name)
        if current is None:
            return Answer(404)
        if request.method == "GET":
            return _json(current)
        body = json.loads(request.body) if request.body else {}
        expected = body.get("metadata", {}).get("revision")
        if expected not in (None, current["metadata"]["revision"]):
            return _json(current, 409)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return Answer(200)
        if body["spec"] != current["spec"]:
            await self.put(kind, name, body["spec"])
        return _json(self.objects[kind][name])

    async def _handle_kind(
        self, request: Request, kind: str, query: dict[str, str]
    ) -> Answer:
        if request.method == "POST":
            body = json.loads(request.body)
            name = body["metadata"]["name"]
            current = self.objects.get(kind, {}).get(name)
            if current is not None:
                return _json(current, 409)
            await self.put(kind, name, body["spec"])
            return _json(self.objects[kind][name], 201)
        if "watch" in query:
            wait_s = int(query.get("waitMs", "0")) / 1e3
            return await self._watch(kind, int(query["watch"]), wait_s)
        after = query.get("after", "")
        items = [
            item
            for name, item in sorted(self.objects.get(kind, {}).items())
            if name > after
        ]
        page = {"items": items[:PAGE], "truncated": len(items) > PAGE}
        return _json({**page, "at": self.revision})

    async def _watch(self, kind: str, since: int, wait_s: float) -> Answer:
        async with self.changed:
            cuts = self.cuts
            try:
                async with asyncio.timeout(wait_s):
                    while not self._events_since(kind, since):
                        await self.changed.wait()
                        if self.cuts != cuts:
                            raise CutOffError
            except TimeoutError:
                pass
        events = self._events_since(kind, since)
        return _json({"events": events, "at": self.revision})

    def _events_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "removed": removed}
            for revision, of_kind, item, removed in self.events
            if revision > since and of_kind == kind
        ]


def _json(value: Any, status: int = 200) -> Answer:
    headers = {"Content-Type": "application/json"}
    return Answer(status, headers, json.dumps(value).encode())
