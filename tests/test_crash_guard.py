"""Requests that crash backend servers, on the product's own interface."""

from __future__ import annotations

from dataclasses import replace

from tests.documents import make_server
from tests.test_attempt_control import lookup
from tests.test_request_path import arrive, make_path, only
from wisterialoom.core.message import Tick
from wisterialoom.core.notice import ServersChanged
from wisterialoom.core.quarantine import TRIALS_AFTER_S
from wisterialoom.core.requests.attempt_control import MAX_ATTEMPTS
from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    Dispatch,
    Outcome,
    Reason,
    Refuse,
)

SERVERS = 8
ARRIVALS_ALLOWED = 3
"""Requests that may reach servers after three have ended under them."""


class Site:
    """A request path before servers of which some crash on one digest of a body.

    Attributes:
        crashes: Number of crashes so far.
        refusals: Refusals of the deadly request.
        served: Number of sound requests that were served.
    """

    def __init__(self) -> None:
        self.path = make_path()
        self.servers = [make_server(f"registry-{n}", "service") for n in range(SERVERS)]
        self.down: dict[str, float] = {}
        self.crashes = 0
        self.refusals: list[Refuse] = []
        self.served = 0
        self.starts = 0
        self.path.handle(0.5, ServersChanged(tuple(self.servers)))

    def send(self, now: float, serial: int, *, deadly: bool) -> None:
        """Send a request, and play what the servers do until it has ended."""
        digest = "deadly" if deadly else f"sound{serial}"
        request = replace(lookup(serial), body_sha256=digest)
        self.play(now, arrive(self.path, now, request), deadly=deadly)

    def play(self, now: float, outputs: list[object], *, deadly: bool) -> None:
        """Answer dispatched requests, or crash on them."""
        while outputs:
            output = outputs.pop(0)
            if isinstance(output, Refuse):
                self.refusals += [output] if deadly else []
            if not isinstance(output, Dispatch):
                continue
            now += 0.01
            attempt = output.attempt
            if now < self.down.get(attempt.server, 0.0):
                result = AttemptResult.NOT_SENT
            elif deadly:
                self.crash(now, attempt.server)
                result = AttemptResult.LOST
            else:
                self.served += 1
                outputs += self.path.handle(now, AttemptFirstByte(attempt))
                result = AttemptResult.COMPLETED
            outputs += self.path.handle(now, AttemptEnded(attempt, result))

    def crash(self, now: float, name: str) -> None:
        """Crash a server; it is listed as started again 2 s later."""
        self.crashes += 1
        self.down[name] = now + 2.0

    def restart(self, now: float) -> None:
        """List servers that are up again with a new start."""
        for number, server in enumerate(self.servers):
            if now >= self.down.get(server.name, float("inf")):
                del self.down[server.name]
                self.starts += 1
                started = replace(server, incarnation=f"start-{self.starts}")
                self.servers[number] = started
        self.path.handle(now, ServersChanged(tuple(self.servers)))
        self.path.handle(now, Tick())


def play(site: Site, start: float, for_s: float) -> None:
    """Send sound and deadly requests, one of each a second, and ten sound ones."""
    now = start
    serial = int(start * 100)
    while now < start + for_s:
        site.restart(now)
        site.send(now, serial, deadly=True)
        for step in range(1, 11):
            site.send(now + step * 0.05, serial + step, deadly=False)
        serial += 20
        now += 1.0


def test_request_that_comes_again_crashes_few_servers():
    """Each of them ended up to MAX_ATTEMPTS servers, without any limit."""
    site = Site()
    play(site, 1.0, 20.0)
    assert site.crashes <= MAX_ATTEMPTS + ARRIVALS_ALLOWED
    last = site.refusals[-1].refusal
    assert (last.reason, last.outcome) == (Reason.HELD_BACK, Outcome.NOT_RUN)
    assert (last.status, last.retry_after_s) == (400, None)
    assert site.served >= 0.9 * 200
    before = site.crashes
    play(site, 21.0, 3.0)
    assert site.crashes == before


def test_held_request_is_tried_again_and_served_once_it_runs_well():
    site = Site()
    play(site, 1.0, 10.0)
    before = site.crashes
    site.restart(12.0)
    due = 12.0 + TRIALS_AFTER_S[0]
    outputs = arrive(
        site.path, due, replace(lookup(9001), body_sha256="deadly", deadline_s=20.0)
    )
    attempt = only(outputs, Dispatch).attempt
    assert site.path.handle(due + 0.1, AttemptFirstByte(attempt)) == []
    site.path.handle(due + 0.2, AttemptEnded(attempt, AttemptResult.COMPLETED))
    outputs = arrive(site.path, due + 1.0, replace(lookup(9002), body_sha256="deadly"))
    assert only(outputs, Dispatch)
    assert site.crashes == before


def test_broken_connections_to_servers_that_are_up_hold_nothing_back():
    site = Site()
    for serial in range(1, 30):
        now = float(serial)
        outputs = arrive(site.path, now, replace(lookup(serial), body_sha256="same"))
        dispatched = [item for item in outputs if isinstance(item, Dispatch)]
        while dispatched:
            now += 0.01
            lost = AttemptEnded(dispatched.pop().attempt, AttemptResult.LOST)
            outputs = site.path.handle(now, lost)
            dispatched += [item for item in outputs if isinstance(item, Dispatch)]
    assert not site.path.crash_guard.watch.quarantine.held_count
