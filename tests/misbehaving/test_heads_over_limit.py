"""Heads over the limit or without end, and other lines without end."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import pytest

from tests.misbehaving import entry as own
from tests.misbehaving.entry import crowded_entry
from tests.misbehaving.front import CHUNKED, crowded_front, head, HELP_FOR, NO_BODY

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = [pytest.mark.processes, pytest.mark.alone]

COUNT = 40
"""Callers of one listener."""

TOTAL_BYTES = 4_000_000
"""What each of them sends if its connection is not closed."""

PIECE = b"x" * 50_000
FIELDS = b"a: b\r\n" * 8_000
LONG_FIELD = b"a: ".ljust(15_000, b"b") + b"\r\n"


def endless(kind: str, start: bytes, chunked: bytes) -> Iterator[bytes]:
    """Yield pieces of a head or a body without end.

    Args:
        kind: What has no end.
        start: Beginning of a head, whole lines.
        chunked: The same for a body in chunks.
    """
    match kind:
        case "request line":
            first, again = start.partition(b" HTTP/1.1")[0], PIECE
        case "one field":
            first, again = start + b"a: ", PIECE
        case "many short fields":
            first, again = start, FIELDS
        case "many long fields":
            first, again = start, LONG_FIELD
        case "size of a chunk":
            first, again = chunked + b"\r\n1;", PIECE
        case "digits of a chunk's size":
            first, again = chunked + b"\r\n", b"0" * 50_000
        case "short trailers":
            first, again = chunked + b"\r\n1\r\nx\r\n0\r\n", FIELDS
        case "long trailers":
            first, again = chunked + b"\r\n1\r\nx\r\n0\r\n", LONG_FIELD
        case "no request":
            first, again = b"\x16\x03\x01", PIECE
        case "no field":
            first, again = start + b"a b\r\n\r\n", PIECE
        case "no chunk":
            first, again = chunked + b"\r\n", PIECE
        case _:
            raise ValueError(kind)
    yield first
    yield from itertools.repeat(again, TOTAL_BYTES // len(again))


EACH_KIND = pytest.mark.parametrize(
    "kind",
    [
        "request line",
        "one field",
        "many short fields",
        "many long fields",
        "size of a chunk",
        "digits of a chunk's size",
        "short trailers",
        "long trailers",
        "no request",
        "no field",
        "no chunk",
    ],
)


@EACH_KIND
@pytest.mark.parametrize("listener", ["front", "ready", "peer"])
async def test_lines_without_end(tmp_path: Path, listener: str, kind: str):
    asked = HELP_FOR % b"i-2" if listener == "peer" else b""
    async with crowded_front(tmp_path, listener, COUNT) as (_, crowd):
        await crowd.send(
            lambda number: endless(
                kind,
                head(b"/wait/", number, NO_BODY) + asked,
                head(b"/wait/", number, CHUNKED) + asked,
            )
        )


@EACH_KIND
@pytest.mark.parametrize("listener", ["callers", "admin"])
async def test_lines_without_end_on_the_own_interface(
    tmp_path: Path, listener: str, kind: str
):
    async with crowded_entry(tmp_path, listener, COUNT) as (_, crowd):
        await crowd.send(
            lambda _: endless(
                kind,
                own.head(b"/slow/x", NO_BODY),
                own.head(b"/slow/x", CHUNKED),
            )
        )


@pytest.mark.parametrize("listener", ["front", "ready", "peer"])
@pytest.mark.parametrize("size", [17_000, 60_000])
async def test_heads_over_the_limit_that_stop_short_of_their_end(
    tmp_path: Path, listener: str, size: int
):
    fields = b"a:\r\n" * (size // 4)
    async with crowded_front(tmp_path, listener, 3 * COUNT) as (_, crowd):
        await crowd.send(lambda number: [head(b"/wait/", number) + fields])
