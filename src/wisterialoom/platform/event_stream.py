"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

import re

from wisterialoom.core.error import WisterialoomError

__all__ = ["EventSplitter", "EventTooLargeError"]

MAX_EVENT_BYTES = 1_000_000
"""Size above which bytes without the end of an event are no stream of events."""

ID_LINE = re.compile(rb"\n?id: ?([^\r\n]*)")
EVENT_ENDS = (b"\n\n", b"\n\r\n")
"""Empty line after a line of an event; lines end in LF or CRLF."""

MAX_END_BYTES = 3


class EventTooLargeError(WisterialoomError):
    """Raised if a server sends an event that is larger than any answer needs."""


class EventSplitter:
    """Returns complete events only, so that another server can continue the stream.

    Attributes:
        partial: Bytes of an event whose end has not been received.
        last_id: Id of the last complete event. Before the first one, the id that the
            caller resumes from; `None` if it does not resume.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.partial = b""
        self.last_id = last_id

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
        # The end of an event may have begun in the bytes before.
        start = max(0, len(self.partial) - MAX_END_BYTES)
        data = self.partial + data
        end = max(
            (
                found + len(ending)
                for ending in EVENT_ENDS
                if (found := data.rfind(ending, start)) >= 0
            ),
            default=0,
        )
        self.partial = data[end:]
        complete = data[:end]
        # Only the last line with an id counts.
        line = ID_LINE.match(complete, max(0, complete.rfind(b"\nid:")))
        if line is not None:
            self.last_id = line[1].decode("latin-1")
        return complete

    @property
    def inside_event(self) -> bool:
        """Whether bytes of an event without its end were received."""
        return bool(self.partial.strip(b"\r\n"))

    def drop_partial(self) -> None:
        """Discard an incomplete event; another server sends it again in full."""
        self.partial = b""
