"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

import re

from wisterialoom.core.error import WisterialoomError

__all__ = ["EventSplitter", "EventTooLargeError"]

MAX_EVENT_BYTES = 1_000_000
"""Size above which bytes without the end of an event are no stream of events."""

ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
EVENT_END = re.compile(rb"\r?\n\r?\n")


class EventTooLargeError(WisterialoomError):
    """Raised if a server sends an event that is larger than any answer needs."""


class EventSplitter:
    """Returns complete events only, so that another server can continue the stream.

    Attributes:
        partial: Bytes of an event whose end has not been received.
        last_id: Id of the last complete event. Before the first one, the id that the
            caller resumes from; `None` if it does not resume.
        count: Number of complete events that have an id.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.partial = b""
        self.last_id = last_id
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are complete now.

        Raises:
            EventTooLargeError: The server sends an event without end.
        """
        if len(self.partial) > MAX_EVENT_BYTES:
            self.drop_partial()
            raise EventTooLargeError(
                f"an event has over {MAX_EVENT_BYTES} bytes; check what sends it"
            )
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

    @property
    def inside_event(self) -> bool:
        """Whether bytes of an event without its end were received."""
        return bool(self.partial.strip(b"\r\n"))

    def drop_partial(self) -> None:
        """Discard an incomplete event; another server sends it again in full."""
        self.partial = b""
