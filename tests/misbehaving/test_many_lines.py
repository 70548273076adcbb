"""Requests of legal size that consist of very many short or odd lines.

A parsed field takes a hundred times its bytes. Heads of 16 KB took a process of 300 MB
to 550 MB, whether they were complete or not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.misbehaving import entry as own
from tests.misbehaving.crowd import Crowd
from tests.misbehaving.entry import crowded_entry
from tests.misbehaving.front import (
    CHUNKED,
    crowded_front,
    front,
    head,
    HELP_FOR,
    NO_BODY,
    USUAL,
)
from tests.misbehaving.lines import LEGAL_BYTES, LINES, lines, mixed_lines
from tests.misbehaving.process_watch import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

pytestmark = [pytest.mark.processes, pytest.mark.alone]

COUNT = 250
"""Callers of one listener; each sends at most 16 KB of lines."""

MANY = 950
"""Callers of an instance on a usual machine."""

TURNS = 4
"""Requests on one connection, one after the other."""

CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n"

ENTRY_LINES = 100
ENTRY_LINE_BYTES = 16_000
"""Lines of a head on the own interface, which takes 128 fields of 16 KB each."""

EACH_SHAPE = pytest.mark.parametrize("shape", LINES)


def of_shape(start: Callable[[int], bytes], shape: str, end: bytes = b""):
    """Return what each caller sends: a start, lines of one shape, and an end."""
    rest = lines(shape) + end
    return lambda number: [start(number) + rest]


def waiting(number: int) -> bytes:
    return head(b"/wait/", number, NO_BODY)


def refused(number: int) -> bytes:
    return head(b"/none/", number, NO_BODY)


def helped(number: int) -> bytes:
    return waiting(number) + HELP_FOR % b"i-2"


@EACH_SHAPE
async def test_heads_that_stop_short_of_their_end(tmp_path: Path, shape: str):
    async with crowded_front(tmp_path, "front", COUNT) as (_, crowd):
        await crowd.send(of_shape(waiting, shape))


@EACH_SHAPE
async def test_whole_requests_that_wait_at_a_slow_server(tmp_path: Path, shape: str):
    async with crowded_front(tmp_path, "front", COUNT) as (process, crowd):
        await crowd.send(of_shape(waiting, shape, b"\r\n"))
        await wait_until(lambda: bool(process.slow.runs))


@EACH_SHAPE
async def test_whole_requests_that_are_refused(tmp_path: Path, shape: str):
    """The connections stay open, and with them what they hold."""
    async with crowded_front(tmp_path, "front", COUNT) as (_, crowd):
        await crowd.send(of_shape(refused, shape, b"\r\n"))


@EACH_SHAPE
async def test_whole_requests_of_many_callers_that_are_refused(
    tmp_path: Path, shape: str
):
    """Guards against memory that is given to others before it is free."""
    async with crowded_front(tmp_path, "front", MANY, USUAL) as (_, crowd):
        await crowd.send(of_shape(refused, shape, b"\r\n"))


@pytest.mark.parametrize("path", [b"/none/", b"/look/"])
async def test_requests_one_after_the_other_on_a_connection(
    tmp_path: Path, path: bytes
):
    async with crowded_front(tmp_path, "front", COUNT) as (_, crowd):
        await crowd.exchange(
            lambda number: head(path, number, NO_BODY) + mixed_lines(number) + b"\r\n",
            TURNS,
        )


@pytest.mark.parametrize("end", [b"", b"\r\n"], ids=["unfinished", "whole"])
@pytest.mark.parametrize("path", [b"/wait/", b"/none/"])
async def test_trailers(tmp_path: Path, path: bytes, end: bytes):
    async with crowded_front(tmp_path, "front", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                head(path, number, CHUNKED) + b"\r\n" + CHUNK,
                LAST_CHUNK + mixed_lines(number) + end,
            ]
        )


@pytest.mark.parametrize("end", [b"", b"\r\n"], ids=["unfinished", "whole"])
async def test_heads_on_the_readiness_listener(tmp_path: Path, end: bytes):
    async with crowded_front(tmp_path, "ready", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                head(b"/v1/ready", number, NO_BODY) + mixed_lines(number) + end
            ]
        )


async def test_trailers_on_the_readiness_listener(tmp_path: Path):
    async with crowded_front(tmp_path, "ready", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                head(b"/v1/ready", number, CHUNKED) + b"\r\n" + CHUNK,
                LAST_CHUNK + mixed_lines(number),
            ]
        )


async def test_requests_one_after_the_other_on_the_readiness_listener(tmp_path: Path):
    async with crowded_front(tmp_path, "ready", COUNT) as (_, crowd):
        await crowd.exchange(
            lambda number: (
                head(b"/v1/ready", number, NO_BODY) + mixed_lines(number) + b"\r\n"
            ),
            TURNS,
        )


@pytest.mark.parametrize("end", [b"", b"\r\n"], ids=["unfinished", "whole"])
async def test_heads_that_another_instance_passes_on(tmp_path: Path, end: bytes):
    async with crowded_front(tmp_path, "peer", COUNT) as (_, crowd):
        await crowd.send(lambda number: [helped(number) + mixed_lines(number) + end])


async def test_trailers_that_another_instance_passes_on(tmp_path: Path):
    async with crowded_front(tmp_path, "peer", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                head(b"/wait/", number, CHUNKED) + HELP_FOR % b"i-2" + b"\r\n",
                CHUNK + LAST_CHUNK + mixed_lines(number),
            ]
        )


async def test_heads_on_all_listeners_at_once(tmp_path: Path):
    """Guards against a bound for each listener, of which the sum is too large."""
    third = COUNT // 3
    async with (
        front(tmp_path) as process,
        Crowd(process.address("front"), third) as callers,
        Crowd(process.address("ready"), third) as checks,
        Crowd(process.address("peer"), third) as instances,
    ):
        for crowd in (callers, checks, instances):
            await crowd.send(of_shape(helped, "empty values"))
        await process.answer_ordinary()


@pytest.mark.parametrize(
    "lists", [b"Prompt-Prefix: ", b"Connection: ", b"Cookie: ", b"X-List: "]
)
async def test_values_that_are_long_lists(tmp_path: Path, lists: bytes):
    """Guards against values that take a hundred times their bytes once split."""
    field = lists + b"a," * (LEGAL_BYTES // 2)
    async with crowded_front(tmp_path, "front", COUNT) as (_, crowd):
        await crowd.send(lambda number: [waiting(number) + field + b"\r\n\r\n"])


def entry_lines(number: int) -> bytes:
    """Return the lines of a head that the own interface takes."""
    shapes = tuple(LINES)
    if number % 2:
        return lines(shapes[number % len(shapes)], 110 * 5)
    field = b"a: ".ljust(ENTRY_LINE_BYTES, b"b") + b"\r\n"
    return field * ENTRY_LINES


@pytest.mark.parametrize("end", [b"", b"\r\n"], ids=["unfinished", "whole"])
@pytest.mark.parametrize("path", [b"/slow/x", b"/none/x"])
async def test_heads_on_the_own_interface(tmp_path: Path, path: bytes, end: bytes):
    async with crowded_entry(tmp_path, "callers", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                own.head(path, NO_BODY),
                entry_lines(number) + end,
            ]
        )


async def test_trailers_on_the_own_interface(tmp_path: Path):
    async with crowded_entry(tmp_path, "callers", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                own.head(b"/slow/x", CHUNKED) + b"\r\n" + CHUNK + LAST_CHUNK,
                entry_lines(number),
            ]
        )


async def test_requests_one_after_the_other_on_the_own_interface(tmp_path: Path):
    async with crowded_entry(tmp_path, "callers", COUNT) as (_, crowd):
        await crowd.exchange(
            lambda number: (
                own.head(b"/none/x", NO_BODY) + entry_lines(number) + b"\r\n"
            ),
            TURNS,
        )


@pytest.mark.parametrize("end", [b"", b"\r\n"], ids=["unfinished", "whole"])
async def test_heads_on_the_operators_listener(tmp_path: Path, end: bytes):
    async with crowded_entry(tmp_path, "admin", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                own.head(b"/readyz", NO_BODY),
                entry_lines(number) + end,
            ]
        )
