"""Cuts a stream of server-sent events into whole events."""

from __future__ import annotations

import re

__all__ = ["EventCutter"]

ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventCutter:
    """Passes on whole events only, so that a stream can go on elsewhere.

    Attributes:
        partial: Bytes of an event whose end has not come.
        last_id: Id of the last whole event; `None` before the first.
        count: Count of whole events.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.partial = b""
        self.last_id = last_id
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events that they complete."""
        data = self.partial + data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
        self.partial = data[end:]
        whole = data[:end]
        if whole:
            ids = ID_LINE.findall(whole)
            self.count += len(ids)
            if ids:
                self.last_id = ids[-1].decode("latin-1")
        return whole

    def drop_partial(self) -> None:
        """Forget an event that was broken off; the stream goes on elsewhere."""
        self.partial = b""
