"""Header lines that are legal, and many, in few bytes."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

LEGAL_BYTES = 16_000
"""Size of the lines of a request, which with its own stay below 16,384 bytes."""

LETTERS = b"abcdefghijklmnopqrstuvwxyz"


def _shortest(number: int) -> bytes:
    letter = LETTERS[number % 26 : number % 26 + 1]
    return letter + b":" + letter


def _with_a_name_of_its_own(number: int) -> bytes:
    return b"%x:" % (0xA00 + number)


LINES: dict[str, Callable[[int], bytes]] = {
    "shortest possible": _shortest,
    "empty values": lambda _: b"a:",
    "each with another name": _with_a_name_of_its_own,
    "odd characters": lambda number: b"!#$%%&'*+-.^_`|~%d:\t~\x80\xfe\xff" % number,
    "blanks": lambda _: b"a:   \t",
    "the same name again and again": lambda _: b"ab:cd",
}
"""Returns a line without its end, by its number."""


def lines(shape: str, size: int = LEGAL_BYTES) -> bytes:
    """Return whole lines of a shape, of a total size or a little less."""
    line_of = LINES[shape]

    def take() -> Iterator[bytes]:
        left = size
        for number in itertools.count():
            line = line_of(number) + b"\r\n"
            left -= len(line)
            if left < 0:
                return
            yield line

    return b"".join(take())


def mixed_lines(number: int, size: int = LEGAL_BYTES) -> bytes:
    """Return lines of the shape that falls to the member of a crowd."""
    shapes = tuple(LINES)
    return lines(shapes[number % len(shapes)], size)
