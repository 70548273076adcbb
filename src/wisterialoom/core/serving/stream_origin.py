"""Which software version began each stream."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["StreamOrigin", "StreamOrigins"]

MAX_STREAMS = 50_000
"""Streams that are remembered, the latest ones; each takes about 300 bytes."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: Service of the server that brought its first event.
        version: Version of that server's software; not empty.
    """

    service: str
    version: str


@dataclass
class StreamOrigins:
    """Remembers which software version began each stream.

    A stream is named by the caller's attempt that brought its first event.

    Attributes:
        entries: Origin by stream, with the monotonic time of the last record; the
            oldest ones first.
        unfinished: Streams that began or went on here and that callers may still take
            up, or that are in progress, with the monotonic time of the last record.
        on_begin: Called with a stream that begins or goes on here, and its origin.
        revision: Increases with each change of `unfinished`.
    """

    entries: dict[str, tuple[StreamOrigin, float]] = field(default_factory=dict)
    unfinished: dict[str, float] = field(default_factory=dict)
    on_begin: Callable[[str, StreamOrigin], None] = lambda _, __: None
    revision: int = 0

    def begin(self, now: float, stream: str, origin: StreamOrigin) -> None:
        """Record a stream of which an event is about to be passed on here."""
        self.record(now, stream, origin)
        self.unfinished[stream] = now
        self.revision += 1
        self.on_begin(stream, origin)

    def finish(self, stream: str) -> None:
        """Record that a stream has reached its caller completely."""
        if self.unfinished.pop(stream, None) is not None:
            self.revision += 1

    def record(self, now: float, stream: str, origin: StreamOrigin) -> None:
        """Record where a stream began, whichever instance served it."""
        self.entries.pop(stream, None)
        self.entries[stream] = (origin, now)
        if len(self.entries) > MAX_STREAMS:
            self.entries.pop(next(iter(self.entries)))

    def find(self, stream: str) -> StreamOrigin | None:
        """Return where a stream began; `None` if that is not known here."""
        found = self.entries.get(stream)
        return found[0] if found is not None else None

    def forget_old(self, now: float, retention_s: float) -> None:
        """Drop streams that no caller can take up any more."""
        for stream, (_, recorded_at) in list(self.entries.items()):
            if now - recorded_at < retention_s:
                break
            del self.entries[stream]
        old = [
            stream
            for stream, recorded_at in self.unfinished.items()
            if now - recorded_at >= retention_s
        ]
        for stream in old:
            self.finish(stream)

    def unfinished_origins(self) -> Iterator[tuple[str, StreamOrigin]]:
        """Yield the streams that callers may take up, with their origins."""
        for stream in self.unfinished:
            origin = self.find(stream)
            if origin is not None:
                yield stream, origin
