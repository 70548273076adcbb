"""Tests of `wisterialoom.http.listener`: early refusals, and bodies as they are."""

import asyncio
import gzip

import aiohttp
import orjson
import pytest

from wisterialoom.counted_connection import InputRefusal
from wisterialoom.http.caller_api import CallerApi
from wisterialoom.http.listener import answer_refused, Listeners
from wisterialoom.settings import Limits


@pytest.mark.parametrize(
    ("refusal", "status", "code"),
    [
        (InputRefusal.MALFORMED, b"400 Bad Request", "bad_request"),
        (
            InputRefusal.HEAD_TOO_LARGE,
            b"431 Request Header Fields Too Large",
            "bad_request",
        ),
        (InputRefusal.MEMORY, b"503 Service Unavailable", "memory"),
    ],
)
def test_refusal_names_its_reason_and_that_nothing_was_run(refusal, status, code):
    head, _, body = answer_refused(refusal, "r1").partition(b"\r\n\r\n")
    line, *fields = head.split(b"\r\n")
    headers = dict(field.split(b": ", 1) for field in fields)
    assert line == b"HTTP/1.1 " + status
    assert headers[b"X-Request-Id"] == b"r1"
    assert headers[b"X-Outcome"] == b"not_run"
    assert headers[b"X-Reason"] == code.encode()
    assert headers[b"Connection"] == b"close"
    assert int(headers[b"Content-Length"]) == len(body)
    assert (b"Retry-After" in headers) is (refusal is InputRefusal.MEMORY)
    error = orjson.loads(body)["error"]
    assert (error["code"], error["outcome"]) == (code, "not_run")
    assert "send" in error["message"]


async def test_body_is_not_decompressed():
    """Its header was passed on with it, so that servers could not read it."""
    body = gzip.compress(b"x" * 500, mtime=0)
    events = []
    caller_api = CallerApi(events.append, lambda: "r1", lambda _: [])
    listeners = Listeners(Limits(), lambda: "r2")
    app = caller_api.make_app(Limits().max_body_bytes)
    address = await listeners.start("callers", app, "127.0.0.1:0")
    headers = {"Content-Encoding": "gzip"}
    async with asyncio.timeout(10.0), aiohttp.ClientSession() as session:
        call = session.post(f"http://{address}/x", data=body, headers=headers)
        running = asyncio.create_task(call)
        while not events:
            await asyncio.sleep(0.01)
        assert caller_api.exchanges["r1"].received_request.body == body
        running.cancel()
    await listeners.stop()
