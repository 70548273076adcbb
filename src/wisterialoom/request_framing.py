"""Finds where the heads, bodies and trailers of a caller's requests end.

A parsed field takes a hundred times its bytes. So heads and trailers are held as bytes
until they are whole, and what they will take is known before they are parsed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Part", "PartKind", "RequestFault", "RequestFaultError", "RequestFraming"]

MAX_PART_BYTES = 16_384
"""Bytes of a body that are passed on at once, so that few are ahead of their reader."""

MAX_CHUNK_LINE_BYTES = 1_024
"""Largest line with the size of a chunk; it has 20 bytes without extensions."""

REQUEST_START = re.compile(rb"[A-Za-z]")
REQUEST_LINE = re.compile(rb"[A-Za-z-]+ [^\r\n]+ HTTP/[0-9]\.[0-9]\r\n")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:;[^\r\n]*)?\r\n")
EMPTY_LINES = re.compile(rb"[\r\n]+")

CRLF_BYTES = 2


class RequestFault(Enum):
    """Why bytes cannot be a request that is served."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    CHUNK_LINE_TOO_LARGE = "chunk_line_too_large"
    TRAILERS_TOO_LARGE = "trailers_too_large"


class RequestFaultError(ValueError):
    """Raised if bytes are no request, or one that is too large.

    Attributes:
        fault: What is wrong with them.
    """

    def __init__(self, fault: RequestFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class PartKind(Enum):
    """What the bytes of a part are."""

    HEAD = "head"
    BODY = "body"
    TRAILERS = "trailers"


@dataclass(frozen=True, slots=True)
class Part:
    """Bytes for the HTTP parser.

    Attributes:
        kind: What they are. A head, or the trailers, are whole.
        data: The bytes.
    """

    kind: PartKind
    data: bytes


class Step(Enum):
    """What comes next on a connection."""

    HEAD = "head"
    BODY = "body with a length"
    CHUNKS = "chunks"
    TRAILERS = "trailers"


class RequestFraming:
    """Follows the bytes of one connection.

    Attributes:
        get_max_head_bytes: Returns the size that a head may have, with empty lines
            before it; the same applies to trailers.
        step: What comes next.
        buffer: Bytes that have arrived and were not taken.
        empty_bytes: Bytes of empty lines before the next request.
        is_line_checked: Whether the next request's line has arrived, and is one.
        searched: Bytes of the buffer in which a head or the trailers do not end.
        left: Bytes that are left of a body, or of a chunk and the line end after it.
    """

    def __init__(self, get_max_head_bytes: Callable[[], int]) -> None:
        self.get_max_head_bytes = get_max_head_bytes
        self.step = Step.HEAD
        self.buffer = bytearray()
        self.empty_bytes = 0
        self.is_line_checked = False
        self.searched = 0
        self.left = 0

    @property
    def is_between(self) -> bool:
        """Whether the last request has been taken completely."""
        return self.step is Step.HEAD

    @property
    def has_begun(self) -> bool:
        """Whether anything of the next request, or before it, has arrived."""
        return bool(self.buffer or self.empty_bytes)

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self.buffer += data

    def begin_body(self, length: int, *, chunked: bool) -> None:
        """Say what follows the head that was taken last.

        Args:
            length: Length of its body; 0 if it has none.
            chunked: Whether its body comes in chunks.
        """
        self.left = 0 if chunked else length
        if chunked:
            self.step = Step.CHUNKS
        elif length:
            self.step = Step.BODY

    def take(self) -> Part | None:
        """Return the next part, or `None` until more bytes have arrived.

        After a head, `begin_body` must be called before the next part is taken.

        Raises:
            RequestFaultError: The bytes are no request, or one that is too large.
        """
        match self.step:
            case Step.HEAD:
                return self._take_head()
            case Step.BODY:
                return self._take_body()
            case Step.CHUNKS:
                return self._take_chunks()
            case Step.TRAILERS:
                return self._take_trailers()

    def _take_head(self) -> Part | None:
        if not self.searched:
            self._skip_empty_lines()
        if self.buffer and not self.is_line_checked:
            self._check_request_line()
        end = self._find_end()
        size = self.empty_bytes + (end or len(self.buffer))
        if size > self.get_max_head_bytes():
            raise RequestFaultError(RequestFault.HEAD_TOO_LARGE)
        if not end:
            return None
        self.empty_bytes = 0
        self.is_line_checked = False
        return Part(PartKind.HEAD, self._cut(end))

    def _skip_empty_lines(self) -> None:
        found = EMPTY_LINES.match(self.buffer)
        if found is not None:
            count = found.end()
            self.empty_bytes += count
            del self.buffer[:count]

    def _check_request_line(self) -> None:
        """Refuse what cannot become a request, however it goes on."""
        if not REQUEST_START.match(self.buffer):
            raise RequestFaultError(RequestFault.MALFORMED)
        end = self.buffer.find(b"\n") + 1
        if end and not REQUEST_LINE.fullmatch(self.buffer, 0, end):
            raise RequestFaultError(RequestFault.MALFORMED)
        self.is_line_checked = end > 0

    def _take_trailers(self) -> Part | None:
        is_empty = self.buffer.startswith(b"\r\n")
        end = CRLF_BYTES if is_empty else self._find_end()
        if (end or len(self.buffer)) > self.get_max_head_bytes():
            raise RequestFaultError(RequestFault.TRAILERS_TOO_LARGE)
        if not end:
            return None
        self.step = Step.HEAD
        return Part(PartKind.TRAILERS, self._cut(end))

    def _find_end(self) -> int:
        """Return the end of the empty line after a head or trailers; 0 if not there.

        Lines that end in LF alone are found, too; the parser refuses them.
        """
        buffer, start = self.buffer, max(0, self.searched - CRLF_BYTES)
        ends = [
            found + len(ending)
            for ending in (b"\n\r\n", b"\n\n")
            if (found := buffer.find(ending, start)) >= 0
        ]
        self.searched = len(buffer)
        return min(ends, default=0)

    def _take_body(self) -> Part | None:
        count = min(self.left, len(self.buffer), MAX_PART_BYTES)
        if not count:
            return None
        self.left -= count
        if not self.left:
            self.step = Step.HEAD
        return Part(PartKind.BODY, self._cut(count))

    def _take_chunks(self) -> Part | None:
        """Return as many chunks, or parts of them, as have arrived."""
        buffer, at = self.buffer, 0
        size = min(len(buffer), MAX_PART_BYTES)
        while at < size:
            if self.left:
                count = min(self.left, size - at)
                self.left -= count
                at += count
                continue
            end = buffer.find(b"\n", at, at + MAX_CHUNK_LINE_BYTES) + 1
            if not end:
                if len(buffer) - at >= MAX_CHUNK_LINE_BYTES:
                    raise RequestFaultError(RequestFault.CHUNK_LINE_TOO_LARGE)
                break
            line = CHUNK_LINE.fullmatch(buffer, at, end)
            if line is None:
                raise RequestFaultError(RequestFault.MALFORMED)
            at = end
            length = int(line[1], 16)
            if not length:
                self.step = Step.TRAILERS
                break
            self.left = length + CRLF_BYTES
        return Part(PartKind.BODY, self._cut(at)) if at else None

    def _cut(self, count: int) -> bytes:
        """Remove bytes from the buffer, and return them."""
        with memoryview(self.buffer) as view:
            data = bytes(view[:count])
        del self.buffer[:count]
        self.searched = 0
        return data
