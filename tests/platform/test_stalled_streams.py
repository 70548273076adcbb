"""Streams of servers that send a byte now and then, but no whole event.

Each byte began the read timeout anew, so the stream was never continued elsewhere.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.platform.fakes import FakeModelServer
from tests.platform.test_app import harness
from wisterialoom.platform import attempt, ingress

if TYPE_CHECKING:
    import pytest

MODELS: dict[str, list[str]] = {"m1": []}


class DrippingServer(FakeModelServer):
    """A server that sends comment bytes without a line end after two events."""

    def event(self, number: int) -> bytes:
        return super().event(number) if number <= 2 else b": x"


async def test_stream_that_gets_bytes_but_no_event_goes_on_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(ingress, "STREAM_READ_TIMEOUT_S", 0.2)
    dripping = DrippingServer("i-1", models=MODELS, events=100, step_s=0.05)
    sound = FakeModelServer("i-2", models=MODELS, events=4)
    async with harness(dripping, sound) as site:
        expected = b"".join(sound.event(number) for number in range(1, 5))
        for number in range(6):
            began = time.monotonic()
            status, _, body = await site.call(
                "/draft/", Model="m1", Attempt_Id=f"b{number}"
            )
            assert (status, body) == (200, expected)
            assert time.monotonic() - began < 0.2 * attempt.EVENT_TIMEOUTS + 0.5
        assert dripping.runs
        assert any("Last-Event-Id" in headers for headers in sound.seen)


async def test_slow_stream_of_whole_events_is_not_cut(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(ingress, "STREAM_READ_TIMEOUT_S", 0.2)
    servers = [
        FakeModelServer(f"i-{n}", models=MODELS, events=12, step_s=0.15) for n in (1, 2)
    ]
    async with harness(*servers) as site:
        status, _, body = await site.call("/draft/", Model="m1")
        assert status == 200
        assert body.count(b"data: ") == 12
        assert sum(len(server.runs) for server in servers) == 1
