"""Empty lines without end where a request line is due.

A server skips some of them, as earlier clients sent one after a body.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import pytest

from tests.misbehaving import entry as own
from tests.misbehaving.entry import crowded_entry
from tests.misbehaving.front import crowded_front, head, HELP_FOR, NO_BODY

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = [pytest.mark.processes, pytest.mark.alone]

COUNT = 60
"""Callers of one listener."""

AHEAD = 200
"""Callers that send ahead while their requests are in work."""

TOTAL_BYTES = 2_000_000
"""What each of them sends if its connection is not closed."""

LINES = (b"\r\n" * 20_000, b"\n" * 40_000)
"""Lines that end in CR LF, and in LF alone."""

EACH_PHASE = pytest.mark.parametrize(
    "phase", ["before the first request", "between two", "while one is in work"]
)


def empty_lines(number: int, first: bytes) -> Iterator[bytes]:
    """Yield a request, if any, and empty lines after it."""
    again = LINES[number % len(LINES)]
    yield first
    yield from itertools.repeat(again, TOTAL_BYTES // len(again))


@EACH_PHASE
@pytest.mark.parametrize("listener", ["front", "ready", "peer"])
async def test_empty_lines(tmp_path: Path, listener: str, phase: str):
    firsts = {
        "before the first request": b"",
        "between two": head(b"/none/", 0, NO_BODY) + b"\r\n",
        "while one is in work": (
            head(b"/wait/", 0, NO_BODY) + HELP_FOR % b"i-2" + b"\r\n"
        ),
    }
    async with crowded_front(tmp_path, listener, COUNT) as (_, crowd):
        await crowd.send(lambda number: empty_lines(number, firsts[phase]))


async def test_lines_that_are_sent_ahead_stay_with_their_senders(tmp_path: Path):
    """What has arrived and was not read takes memory of the machine, too."""
    first = head(b"/wait/", 0, NO_BODY) + b"\r\n"
    async with crowded_front(tmp_path, "front", AHEAD) as (process, crowd):
        process.watch.ports = {process.front}
        await crowd.send(lambda number: empty_lines(number, first))


@EACH_PHASE
@pytest.mark.parametrize("listener", ["callers", "admin"])
async def test_empty_lines_on_the_own_interface(
    tmp_path: Path, listener: str, phase: str
):
    firsts = {
        "before the first request": b"",
        "between two": own.head(b"/none/x", NO_BODY) + b"\r\n",
        "while one is in work": own.head(b"/slow/x", NO_BODY) + b"\r\n",
    }
    async with crowded_entry(tmp_path, listener, COUNT) as (_, crowd):
        await crowd.send(lambda number: empty_lines(number, firsts[phase]))
