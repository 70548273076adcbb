"""Stand-in of the platform's store: objects by kind and name, with watches."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standin.http11 import encode, Message, read_message

MAX_PAGE_ITEMS = 500
"""Objects in one page of a list, as the users' page on the protocol has it."""


class Store:
    """Keeps objects and one revision counter; loses nothing.

    Attributes:
        revision: Revision of the last change.
        objects: Objects by kind and name.
        history: Revision, kind, object and removal flag of each change.
        calls: Calls by method and kind.
        page_sent: Called with the kind after each page of a list that is not the last.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Condition()
        self.calls: dict[str, int] = {}
        self.page_sent: Any = None
        self.listener: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.answered_at: dict[str, float] = {}

    async def start(self, host: str) -> str:
        """Listen on a free port; return the address."""
        self.listener = await asyncio.start_server(self.serve, host, 0)
        port = self.listener.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        assert self.listener is not None
        self.listener.close()
        for writer in list(self.connections):
            writer.close()

    async def put(self, kind: str, name: str, spec: Any) -> float:
        """Write an object as the operator or a server does.

        Returns:
            Monotonic time of the acknowledgement.
        """
        async with self.changed:
            known = self.objects.setdefault(kind, {}).get(name)
            if known is not None and known["spec"] == spec:
                return time.monotonic()
            self.revision += 1
            made = known["metadata"]["createRevision"] if known else self.revision
            item = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "createRevision": made,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            self.objects[kind][name] = item
            self.history.append((self.revision, kind, item, False))
            self.changed.notify_all()
        return time.monotonic()

    async def remove(self, kind: str, name: str) -> float:
        """Remove an object; return the monotonic time of the acknowledgement."""
        async with self.changed:
            item = self.objects.get(kind, {}).pop(name, None)
            if item is not None:
                self.revision += 1
                self.history.append((self.revision, kind, item, True))
                self.changed.notify_all()
        return time.monotonic()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, item = await self.answer(request)
                body = json.dumps(item).encode() if item is not None else b""
                head = [("Content-Type", "application/json")]
                writer.write(encode(f"HTTP/1.1 {status} X", head, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request: Message) -> tuple[int, Any]:
        """Return the status and the body of an answer."""
        url = urlsplit(request.target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        key = f"{request.method} {parts[0]}{'?watch' if 'watch' in query else ''}"
        self.calls[key] = self.calls.get(key, 0) + 1
        kind = parts[0]
        if len(parts) > 1:
            return await self.answer_object(request, kind, parts[1], query)
        if request.method == "POST":
            item = json.loads(request.body)
            name = item["metadata"]["name"]
            known = self.objects.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            await self.put(kind, name, item.get("spec"))
            return 201, self.objects[kind][name]
        if "watch" in query:
            return await self.watch(kind, query)
        return await self.list(kind, query)

    async def list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Return one page of a list."""
        after = query.get("after", "")
        names = [name for name in sorted(self.objects.get(kind, {})) if name > after]
        page = [self.objects[kind][name] for name in names[:MAX_PAGE_ITEMS]]
        truncated = len(names) > MAX_PAGE_ITEMS
        answer = {"items": list(page), "truncated": truncated, "at": self.revision}
        if truncated and self.page_sent is not None:
            asyncio.get_running_loop().create_task(self.page_sent(kind))
        return 200, answer

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Return the changes since a revision, as soon as there is one."""
        since = int(query["watch"])
        wait_s = int(query.get("waitMs", "0")) / 1e3

        def events() -> list[dict[str, Any]]:
            return [
                {"object": item, "removed": removed}
                for revision, of_kind, item, removed in self.history
                if revision > since and of_kind == kind
            ]

        if since > self.revision:
            return 410, None
        async with self.changed:
            try:
                async with asyncio.timeout(wait_s):
                    while not events():
                        await self.changed.wait()
            except TimeoutError:
                pass
            return 200, {"events": events(), "at": self.revision}

    async def answer_object(
        self, request: Message, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        """Read, replace or delete one object."""
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            return 404, None
        if request.method == "GET":
            return 200, known
        if request.method == "DELETE":
            await self.remove(kind, name)
            return 200, known
        item = json.loads(request.body)
        expected = item.get("metadata", {}).get("revision")
        if expected is not None and expected != known["metadata"]["revision"]:
            return 409, known
        await self.put(kind, name, item.get("spec"))
        return 200, self.objects[kind][name]
