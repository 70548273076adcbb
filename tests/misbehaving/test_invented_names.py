"""Requests that each name something else at length, so that names must not be kept.

Names of undeclared models were kept for good, and took a process to 424 MB of 300 MB.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.misbehaving import entry as own
from tests.misbehaving.crowd import Crowd
from tests.misbehaving.entry import crowded_entry
from tests.misbehaving.front import ANSWERED_S, front, head, NO_BODY
from tests.platform.fakes import config, FakeModelServer, route
from tests.processes import API_KEY

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tests.misbehaving.front import Front

pytestmark = [pytest.mark.processes, pytest.mark.alone]

COUNT = 40
"""Callers of one listener."""

TURNS = 250
"""Requests of each caller, one after the other; each names something else."""

NAME_BYTES = 14_000

STREAM_TURNS = 400
STREAM_NAME_BYTES = 7_900
"""The same for streams, whose server repeats the name in each answer."""


def name(number: int, turn: int) -> bytes:
    return (b"%04d-%04d-" % (number, turn)).ljust(NAME_BYTES, b"n")


class Numbering:
    """Gives each request of each caller a name of its own."""

    def __init__(self, request_of: Callable[[bytes], bytes]) -> None:
        self.request_of = request_of
        self.turns: dict[int, int] = {}

    def __call__(self, number: int) -> bytes:
        self.turns[number] = self.turns.get(number, 0) + 1
        return self.request_of(name(number, self.turns[number]))


async def send_all(
    process: Front, request_of: Callable[[bytes], bytes], turns: int = TURNS
) -> None:
    async with Crowd(process.address("front"), COUNT) as crowd:
        await crowd.exchange(Numbering(request_of), turns)
        await process.answer_ordinary()


async def add_models(process: Front, model: FakeModelServer) -> None:
    """Add a server with models and the routes to it, and wait until one serves."""
    await model.start()
    whole = config(3)
    whole["services"][0]["engine"]["slots"] = model.slots
    whole["routes"] += [
        route("wait", "unsafe", "slow", maxAttempts=1),
        route("long", "safe", "long", maxAttempts=2),
    ]
    whole["services"] += [
        {"name": name, "healthPath": "/health", "maxConnections": 1_000}
        for name in ("slow", "long")
    ]
    await process.store.put("servers", model.server_id, model.entry())
    await process.store.put("config", "main", whole)
    async with asyncio.timeout(ANSWERED_S):
        while (await process.call(process.session, "/draft/", Model="m0"))[0] != 200:
            await asyncio.sleep(0.1)


REQUESTS: dict[str, Callable[[bytes], bytes]] = {
    "path": lambda text: head(b"/none/" + text, 0, NO_BODY),
    "query": lambda text: head(b"/look/?" + text, 0, NO_BODY),
    "host": lambda text: head(b"/look/", 0, NO_BODY).replace(
        b"desk.example", text[:250] + b".example"
    ),
    "attempt": lambda text: head(b"/look/", 0, NO_BODY).replace(b": m0", b": " + text),
    "key": lambda text: head(b"/look/", 0, NO_BODY, b"Authorization: Bearer " + text),
    "field": lambda text: head(b"/look/", 0, NO_BODY, text + b": x"),
    "part of a prompt": lambda text: head(
        b"/look/", 0, NO_BODY, b"Prompt-Prefix: " + text + b":1,s:1"
    ),
    "team": lambda text: head(b"/look/", 0, NO_BODY, b"Tenant: " + text),
}


@pytest.mark.parametrize("kind", REQUESTS)
async def test_names_in_requests(tmp_path: Path, kind: str):
    async with front(tmp_path) as process:
        await send_all(process, lambda text: REQUESTS[kind](text) + b"\r\n")


@pytest.mark.parametrize("prefix", [b"", b"m0/"], ids=["models", "adapters"])
async def test_names_of_undeclared_models(tmp_path: Path, prefix: bytes):
    model = FakeModelServer("i-4", models={"m0": []}, events=1, slots=400)
    async with front(tmp_path) as process:
        await add_models(process, model)
        await send_all(
            process,
            lambda text: (
                head(b"/draft/", 0, NO_BODY, b"Model: " + prefix + text).replace(
                    b"Deadline-Ms: 20000", b"Deadline-Ms: 20"
                )
                + b"\r\n"
            ),
        )
        await model.stop()


async def test_names_of_streams(tmp_path: Path):
    """An instance remembers the streams that it began, for those who take them up."""
    model = FakeModelServer("i-4", models={"m0": []}, events=1, step_s=0.0, slots=400)
    async with front(tmp_path) as process:
        await add_models(process, model)
        await send_all(
            process,
            lambda text: (
                b"POST /draft/ HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 9000\r\n"
                b"Model: m0\r\nContent-Length: 0\r\nConnection: keep-alive\r\n"
                b"Attempt-Id: " + text[:STREAM_NAME_BYTES] + b"\r\n\r\n"
            ),
            STREAM_TURNS,
        )
        assert model.runs
        await model.stop()


async def test_names_of_streams_that_are_taken_up(tmp_path: Path):
    model = FakeModelServer("i-4", models={"m0": []}, events=1, step_s=0.0, slots=400)
    async with front(tmp_path) as process:
        await add_models(process, model)
        await send_all(
            process,
            lambda text: (
                head(b"/draft/", 0, NO_BODY, b"Model: m0", b"Last-Event-Id: 1")
                + b"Resumes: "
                + text
                + b"\r\n\r\n"
            ),
        )
        await model.stop()


OWN_REQUESTS: dict[str, Callable[[bytes], bytes]] = {
    "path": lambda text: own.head(b"/none/" + text, NO_BODY),
    "idempotency key": lambda text: own.head(
        b"/plain/x", NO_BODY, b"Idempotency-Key: " + text
    ),
    "key": lambda text: own.head(b"/plain/x", NO_BODY).replace(API_KEY.encode(), text),
    "class": lambda text: own.head(b"/plain/x", NO_BODY, b"X-Priority: " + text),
    "job": lambda text: own.head(b"/v1/jobs/" + text, NO_BODY).replace(b"POST", b"GET"),
}


@pytest.mark.parametrize("kind", OWN_REQUESTS)
async def test_names_in_requests_of_the_own_interface(tmp_path: Path, kind: str):
    async with crowded_entry(tmp_path, "callers", COUNT) as (_, crowd):
        numbering = Numbering(lambda text: OWN_REQUESTS[kind](text) + b"\r\n")
        await crowd.exchange(numbering, TURNS)


async def test_names_of_models_of_the_own_interface(tmp_path: Path):
    def request(text: bytes) -> bytes:
        body = b'{"model": "%s", "prompt": "x"}' % text
        length = b"Content-Length: %d" % len(body)
        return own.head(b"/v1/completions", length) + b"\r\n" + body

    async with crowded_entry(tmp_path, "callers", COUNT) as (_, crowd):
        await crowd.exchange(Numbering(request), TURNS)
