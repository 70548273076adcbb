"""Tests of `wisterialoom.http.front`: requests that cannot be read."""

import aiohttp
import pytest

from wisterialoom.http.front import Front
from wisterialoom.standin.server import StandinServer

CHAT = "/v1/chat/completions"


@pytest.mark.parametrize(
    ("status", "body", "headers"),
    [
        (413, b"x" * 2_000, {}),
        (400, b"not json", {}),
        (400, b'{"model": 7}', {}),
        (400, b'{"model": "m"}', {"X-Deadline-Ms": "soon"}),
        (400, b'{"model": "m"}', {"Idempotency-Key": "k" * 300}),
    ],
)
async def test_request_that_cannot_be_read_was_not_run(status, body, headers):
    events = []
    front = Front(events.append, lambda: "r1", list)
    server = StandinServer(front.make_app(1_000))
    async with server, aiohttp.ClientSession() as session:
        url = server.url + CHAT
        async with session.post(url, data=body, headers=headers) as response:
            error = (await response.json())["error"]
            assert response.status == status
            assert response.headers["X-Outcome"] == "not_run"
    assert (error["code"], error["outcome"]) == ("bad_request", "not_run")
    assert "send" in error["message"]
    assert events == []
    assert front.bad_requests == 1
