"""Cuts a stream of server-sent events into whole events."""

from __future__ import annotations

import re

__all__ = ["EventSplitter"]

ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventSplitter:
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
        complete = data[:end]
        if complete:
            ids = ID_LINE.findall(complete)
            self.count += len(ids)
            if ids:
                self.last_id = ids[-1].decode("latin-1")
        return complete

    def drop_partial(self) -> None:
        """Forget an event that was broken off; the stream goes on elsewhere."""
        self.partial = b""
