"""Checks that bytes are a response in HTTP/1.1, and finds where it ends.

The parser of the client library is lenient: it takes a status of 000, a field whose
name has blanks, and a folded line. What it makes of them is not what the server sent,
and a caller's parser may make something else of it. So bytes are checked before.
"""

from __future__ import annotations

import re
from enum import Enum

__all__ = ["ResponseCheck", "ResponseFault", "ResponseFaultError"]

MAX_HEADS_BYTES = 65_536
"""Largest size of the head of a response, with the heads of its interim responses."""

MAX_INTERIM = 16
"""Largest number of interim responses; servers send one or two."""

MAX_CHUNK_LINE_BYTES = 1_024
"""Largest line with the size of a chunk; it has 20 bytes without extensions."""

MAX_TRAILER_BYTES = 8_192
"""Largest trailer section, which is not passed on."""

MAX_QUOTED_BYTES = 60
"""Bytes of a faulty line that an error quotes."""

STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t \x21-\x7e\x80-\xff]*)?"
)
FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\t \x21-\x7e\x80-\xff]*)"
)
LENGTH = re.compile(rb"[0-9]{1,18}")
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:;[\t \x21-\x7e\x80-\xff]*|[ \t]*)")

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)


class ResponseFault(Enum):
    """What is wrong with bytes that are no response."""

    STATUS = "status line"
    FIELD = "field line"
    LINE_END = "end of a line"
    LENGTH = "length"
    CODING = "transfer coding"
    CHUNK = "chunk"
    ENDLESS = "size"


class ResponseFaultError(ValueError):
    """Raised if bytes are no response.

    Attributes:
        fault: What is wrong with them.
    """

    def __init__(self, fault: ResponseFault, line: bytes = b"") -> None:
        super().__init__(f"{fault.value}: {line[:MAX_QUOTED_BYTES]!r}")
        self.fault = fault


class Step(Enum):
    """Part of a response that comes next."""

    STATUS = "status line"
    FIELD = "field line"
    BODY = "body with a length"
    REST = "body that ends with the connection"
    CHUNK_LINE = "line with the size of a chunk"
    CHUNK = "chunk"
    CHUNK_END = "line end after a chunk"
    TRAILER = "trailer line"
    DONE = "nothing"


class ResponseCheck:
    """Follows the bytes of one response.

    Attributes:
        answers_head: Whether the request has the method HEAD, so that no body follows.
        step: Part of the response that comes next.
        has_excess: Whether bytes have followed the response.
        line: Bytes of a line whose end has not arrived.
        left: Bytes that are left of a body or a chunk.
        room: Bytes that lines may still have.
        interim: Number of interim responses.
        status: Status of the response; 0 before it is known.
        is_old: Whether the response has the version 1.0.
        lengths: Values of `Content-Length`.
        codings: Values of `Transfer-Encoding`.
    """

    def __init__(self, *, answers_head: bool = False) -> None:
        self.answers_head = answers_head
        self.step = Step.STATUS
        self.has_excess = False
        self.line = b""
        self.left = 0
        self.room = MAX_HEADS_BYTES
        self.interim = 0
        self.status = 0
        self.is_old = False
        self.lengths: list[bytes] = []
        self.codings: list[bytes] = []

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells the end of the body."""
        return self.step is Step.REST

    @property
    def is_success(self) -> bool:
        """Whether the response is one of success."""
        return 200 <= self.status < 300

    def feed(self, data: bytes) -> bytes:
        """Check the next bytes.

        Returns:
            Those that are checked: whole lines, and what has arrived of a body. They
            begin with the line whose end had not arrived before.

        Raises:
            ResponseFaultError: They are none of a response.
        """
        if self.line:
            data, self.line = self.line + data, b""
        start = 0
        while start < len(data):
            match self.step:
                case Step.DONE:
                    self.has_excess = True
                    break
                case Step.REST:
                    return data
                case Step.BODY | Step.CHUNK:
                    start += self._take_body(len(data) - start)
                case _:
                    end = data.find(b"\n", start) + 1
                    self._check_room(data[start : end or None])
                    if not end:
                        self.line = data[start:]
                        break
                    self._take_line(data[start : end - 2])
                    start = end
        return data[:start]

    def _check_room(self, line: bytes) -> None:
        """Check the size of a line, and its end if that has arrived."""
        if len(line) > self.room:
            raise ResponseFaultError(ResponseFault.ENDLESS, line)
        if line.endswith(b"\n"):
            self.room -= len(line)
            if not line.endswith(b"\r\n"):
                raise ResponseFaultError(ResponseFault.LINE_END, line)

    def _take_body(self, size: int) -> int:
        """Take bytes of a body or chunk; return how many of some belong to it."""
        taken = min(self.left, size)
        self.left -= taken
        if not self.left:
            in_chunk = self.step is Step.CHUNK
            self.step = Step.CHUNK_END if in_chunk else Step.DONE
        return taken

    def _take_line(self, line: bytes) -> None:
        match self.step:
            case Step.STATUS:
                self._take_status(line)
            case Step.FIELD if line:
                self._take_field(line)
            case Step.FIELD:
                self._end_head()
            case Step.CHUNK_LINE:
                self._take_chunk_line(line)
            case Step.CHUNK_END:
                if line:
                    raise ResponseFaultError(ResponseFault.CHUNK, line)
                self._expect_chunk_line()
            case Step.TRAILER if line:
                self._match(FIELD_LINE, line, ResponseFault.FIELD)
            case Step.TRAILER:
                self.step = Step.DONE

    def _take_status(self, line: bytes) -> None:
        found = self._match(STATUS_LINE, line, ResponseFault.STATUS)
        self.is_old = found[1] == b"0"
        self.status = int(found[2])
        if self.status == SWITCHING_PROTOCOLS:
            # No request asks for it, and no response follows.
            raise ResponseFaultError(ResponseFault.STATUS, line)
        self.lengths.clear()
        self.codings.clear()
        self.step = Step.FIELD

    def _take_field(self, line: bytes) -> None:
        found = self._match(FIELD_LINE, line, ResponseFault.FIELD)
        match found[1].lower():
            case b"content-length":
                self.lengths.append(found[2].rstrip(b" \t"))
            case b"transfer-encoding":
                self.codings.append(found[2].rstrip(b" \t").lower())

    def _end_head(self) -> None:
        if self.status < FIRST_FINAL_STATUS:
            self.interim += 1
            if self.interim > MAX_INTERIM:
                raise ResponseFaultError(ResponseFault.ENDLESS)
            self.step = Step.STATUS
            return
        for length in self.lengths:
            if len(self.lengths) > 1 or not LENGTH.fullmatch(length):
                raise ResponseFaultError(
                    ResponseFault.LENGTH, b" and ".join(self.lengths)
                )
        if self.codings and (
            self.codings != [b"chunked"] or self.lengths or self.is_old
        ):
            raise ResponseFaultError(ResponseFault.CODING, b" and ".join(self.codings))
        if self.answers_head or self.status in STATUSES_WITHOUT_BODY:
            self.step = Step.DONE
        elif self.codings:
            self._expect_chunk_line()
        elif self.lengths:
            self.left = int(self.lengths[0])
            self.step = Step.BODY if self.left else Step.DONE
        else:
            self.step = Step.REST

    def _expect_chunk_line(self) -> None:
        self.room = MAX_CHUNK_LINE_BYTES
        self.step = Step.CHUNK_LINE

    def _take_chunk_line(self, line: bytes) -> None:
        found = self._match(CHUNK_LINE, line, ResponseFault.CHUNK)
        self.left = int(found[1], 16)
        self.step = Step.CHUNK
        if not self.left:
            self.room = MAX_TRAILER_BYTES
            self.step = Step.TRAILER

    def _match(
        self, pattern: re.Pattern[bytes], line: bytes, fault: ResponseFault
    ) -> re.Match[bytes]:
        found = pattern.fullmatch(line)
        if found is None:
            raise ResponseFaultError(fault, line)
        return found
