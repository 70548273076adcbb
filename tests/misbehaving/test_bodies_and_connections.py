"""Bodies that stop short of their end, and more connections than there is room for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.misbehaving import entry as own
from tests.misbehaving.entry import crowded_entry
from tests.misbehaving.front import CHUNKED, crowded_front, head, HELP_FOR

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.processes, pytest.mark.alone]

COUNT = 50
"""Callers that send a body."""

BODY_BYTES = 4_000_000
LENGTH = b"Content-Length: %d" % BODY_BYTES
BODY = b"x" * (BODY_BYTES - 5)
CHUNKS = (b"1000\r\n" + b"x" * 4_096 + b"\r\n") * (BODY_BYTES // 4_096)

MANY = 900
"""Connections to one listener, more than descriptors that its process may have."""

EACH_END = pytest.mark.parametrize("end", [b"", b"12345"], ids=["unfinished", "whole"])
EACH_START = pytest.mark.parametrize("start", [b"", b"POST /wait/ HTTP/1.1\r\nHost: d"])


@EACH_END
async def test_bodies_that_another_instance_passes_on(tmp_path: Path, end: bytes):
    async with crowded_front(tmp_path, "peer", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                head(b"/wait/", number, LENGTH) + HELP_FOR % b"i-2" + b"\r\n",
                BODY + end,
            ]
        )


async def test_chunks_that_another_instance_passes_on(tmp_path: Path):
    async with crowded_front(tmp_path, "peer", COUNT) as (_, crowd):
        await crowd.send(
            lambda number: [
                head(b"/wait/", number, CHUNKED) + HELP_FOR % b"i-2" + b"\r\n",
                CHUNKS,
            ]
        )


@EACH_END
async def test_bodies_on_the_own_interface(tmp_path: Path, end: bytes):
    async with crowded_entry(tmp_path, "callers", COUNT) as (_, crowd):
        await crowd.send(lambda _: [own.head(b"/slow/x", LENGTH) + b"\r\n", BODY + end])


async def test_chunks_on_the_own_interface(tmp_path: Path):
    async with crowded_entry(tmp_path, "callers", COUNT) as (_, crowd):
        await crowd.send(lambda _: [own.head(b"/slow/x", CHUNKED) + b"\r\n", CHUNKS])


@EACH_START
@pytest.mark.parametrize("listener", ["front", "ready", "peer"])
async def test_more_connections_than_descriptors(
    tmp_path: Path, listener: str, start: bytes
):
    async with crowded_front(tmp_path, listener, MANY) as (_, crowd):
        await crowd.send(lambda _: [start])


@EACH_START
@pytest.mark.parametrize("listener", ["callers", "admin"])
async def test_more_connections_than_descriptors_on_the_own_interface(
    tmp_path: Path, listener: str, start: bytes
):
    async with crowded_entry(tmp_path, listener, MANY) as (_, crowd):
        await crowd.send(lambda _: [start])
