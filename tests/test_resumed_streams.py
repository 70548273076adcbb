"""Streams that have begun take precedence over new ones at servers of their version."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest

from tests.test_dispatcher import end, flow, make, make_route, server, stream_route
from wisterialoom.core.placement.fleet_demand import version_key
from wisterialoom.core.serving.backend import ResidentModel
from wisterialoom.core.serving.request_flow import (
    AttemptResult,
    AttemptVerdict,
    GiveUp,
    GiveUpReason,
    RequestFlow,
    Send,
    Wait,
)
from wisterialoom.core.serving.retry_budget import RetryLimits

STEP_S = 0.01
FIRST_OUTPUT_S = 2.0
RUN_S = 2.5
SLOTS = 4
QUEUE = 6
"""Requests that wait at a server, the most urgent first; further ones are refused."""

SERVERS = 4
"""Servers of each version; two of the older version crash."""

CRASH_AT = 6.0
UNTIL_S = 14.0
ARRIVALS_PER_S = 14.0


@dataclass
class Play:
    """Servers of two versions behind one instance, and callers that resume streams.

    Attributes:
        began: Whether each new stream began that came after the crash.
        resumed: Whether each stream went on that was taken up.
        waiting: Requests that wait at the instance, with the time of their next step.
        running: Requests that run, with the time at which they end.
        queued: Requests that wait at a server, by urgency and time.
        versions: Versions that each stream had events of.
    """

    seed: int
    now: float = 0.0
    began: list[bool] = field(default_factory=list)
    resumed: list[bool] = field(default_factory=list)
    waiting: list[tuple[float, RequestFlow]] = field(default_factory=list)
    running: list[tuple[float, RequestFlow]] = field(default_factory=list)
    versions: set[tuple[str, str]] = field(default_factory=set)
    queued: list[tuple[int, float, RequestFlow]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.listed = {
            f"{version}-{number}": server(
                f"{version}-{number}",
                software_version=version,
                slots=SLOTS,
                models=(ResidentModel("m0"),),
            )
            for version in ("v1", "v2")
            for number in range(SERVERS)
        }
        self.dispatcher = make(*self.listed.values(), models=True)
        self.dispatcher.set_retry_limits(RetryLimits(0.2, 50.0, 500.0))

    def arrive(self, request_id: str, version: str | None = None) -> None:
        request = flow(
            stream_route(),
            model="m0",
            request_id=request_id,
            takes_up=None if version is None else request_id.removesuffix("-again"),
            arrived=self.now,
            answer_deadline=self.now + 3 * RUN_S,
        )
        request.profile = replace(
            request.profile, first_output_deadline=self.now + FIRST_OUTPUT_S
        )
        request.stream_version = version
        self.dispatcher.record_arrival(self.now, request)
        self.waiting.append((self.now, request))

    def run(self) -> None:
        number = 0
        while self.now < UNTIL_S:
            self.now += STEP_S
            if self.rng.random() < ARRIVALS_PER_S * STEP_S:
                number += 1
                self.arrive(f"q{number}")
            if self.now - STEP_S < CRASH_AT <= self.now:
                self.crash()
            for until, request in list(self.running):
                if self.now >= until:
                    self.finish(request, AttemptVerdict.ANSWERED)
            self.leave()
            due = [item for item in self.waiting if item[0] <= self.now]
            for item in due:
                if item in self.waiting:
                    self.waiting.remove(item)
                    self.step(item[1])

    def step(self, request: RequestFlow) -> None:
        decided = self.dispatcher.next_step(self.now, request)
        match decided:
            case Wait(until=until):
                self.waiting.append((until, request))
            case GiveUp():
                self.count(request, served=False)
            case Send(server_id=server_id):
                if len(self.running_at(server_id)) < SLOTS:
                    self.start(request)
                elif len(self.queued_at(server_id)) < QUEUE:
                    self.queued.append((decided.urgency, self.now, request))
                else:
                    full = AttemptVerdict.REFUSED_FULL
                    result = AttemptResult(server_id, full, saturated=True)
                    self.dispatcher.end_attempt(self.now, request, result)
                    self.waiting.append((self.now, request))

    def running_at(self, server_id: str) -> list[RequestFlow]:
        return [x for _, x in self.running if x.in_flight_at == server_id]

    def queued_at(self, server_id: str) -> list[tuple[int, float, RequestFlow]]:
        return [item for item in self.queued if item[2].in_flight_at == server_id]

    def start(self, request: RequestFlow) -> None:
        """Run a request at its server; its first event comes at once."""
        self.dispatcher.record_output(self.now, request)
        self.versions.add((request.profile.stream, request.in_flight_version))
        run_s = RUN_S * self.rng.uniform(0.6, 1.4)
        self.running.append((self.now + run_s, request))
        self.count(request, served=True)

    def leave(self) -> None:
        """Let callers leave who have waited for their first event for too long."""
        for item in list(self.queued):
            if self.now >= item[2].profile.first_output_deadline:
                self.queued.remove(item)
                self.dispatcher.release_server(item[2])
                self.count(item[2], served=False)

    def count(self, request: RequestFlow, *, served: bool) -> None:
        if request.profile.takes_up is not None:
            self.resumed.append(served)
        elif request.profile.arrived >= CRASH_AT:
            self.began.append(served)

    def finish(self, request: RequestFlow, verdict: AttemptVerdict) -> None:
        server_id = request.in_flight_at
        self.running = [item for item in self.running if item[1] is not request]
        end(self.dispatcher, request, verdict, self.now)
        queued = self.queued_at(server_id)
        if queued and verdict is AttemptVerdict.ANSWERED:
            first = min(queued, key=lambda item: item[:2])
            self.queued.remove(first)
            self.start(first[2])

    def crash(self) -> None:
        """End two servers of the older version; callers come back in a second."""
        for name in ("v1-0", "v1-1"):
            del self.listed[name]
            for request in self.running_at(name):
                version = request.stream_version
                self.finish(request, AttemptVerdict.LOST)
                self.back(request.profile.stream, version or "")
            for item in self.queued_at(name):
                self.queued.remove(item)
                end(self.dispatcher, item[2], AttemptVerdict.LOST, self.now)
                self.waiting.append((self.now, item[2]))
        self.dispatcher.set_servers(self.listed)

    def back(self, stream: str, version: str) -> None:
        at = self.now + self.rng.uniform(0.1, 1.0)
        before = self.now
        self.now = at
        self.arrive(f"{stream}-again", version)
        self.now = before


@pytest.mark.parametrize("seed", range(12))
def test_streams_taken_up_after_crashes_go_on_while_new_ones_begin(seed: int):
    """As few as one of eight went on, as new streams stood before them everywhere."""
    play = Play(seed)
    play.run()
    assert len(play.resumed) >= 4
    share = sum(play.resumed) / len(play.resumed)
    assert share >= 0.5 * sum(play.began) / len(play.began)
    streams = [stream for stream, _ in play.versions]
    assert len(streams) == len(set(streams))
    # New streams still begin at the other version.
    assert sum(play.began) >= 0.5 * len(play.began)


def taken_up(**changes: object) -> RequestFlow:
    request = flow(
        stream_route(), takes_up="q0", request_id="q0-again", model="m0", **changes
    )
    request.stream_version = "v1"
    return request


def test_stream_taken_up_waits_until_its_own_deadline_for_a_slot():
    holder = server("a", software_version="v1", models=(ResidentModel("m0"),))
    d = make(holder, models=True)
    request = taken_up()
    d.views["a"].record_full(0.79)
    assert isinstance(d.next_step(0.8, request), Wait)
    new = flow(stream_route(), model="m0")
    assert isinstance(d.next_step(0.8, new), GiveUp)


def test_next_slot_is_kept_for_a_stream_that_waits_and_given_up_when_it_is_gone():
    holder = server("a", software_version="v1", models=(ResidentModel("m0"),))
    d = make(holder, models=True)
    d.views["a"].record_full(0.0)
    request = taken_up()
    wait = d.next_step(0.1, request)
    assert isinstance(wait, Wait)
    new = flow(stream_route(), model="m0")
    assert isinstance(d.next_step(wait.until, new), Wait)
    sent = d.next_step(wait.until, request)
    assert isinstance(sent, Send)
    assert sent.urgency == 0
    assert isinstance(d.next_step(wait.until + 0.3, new), Send)


def test_stream_whose_model_has_no_holder_of_its_version_waits_until_its_deadline():
    servers = [
        server("a", software_version="v1"),
        server("b", software_version="v2", models=(ResidentModel("m0"),)),
    ]
    d = make(*servers, models=True)
    request = taken_up()
    assert isinstance(d.next_step(0.9, request), Wait)
    left = d.next_step(0.97, request)
    assert isinstance(left, GiveUp)
    assert left.reason in (GiveUpReason.NO_MODEL, GiveUpReason.DEADLINE)


def test_model_is_reported_as_wanted_at_the_version_that_began_a_stream():
    servers = [
        server("a", software_version="v1"),
        server("b", software_version="v2", models=(ResidentModel("m0"),)),
    ]
    d = make(*servers, models=True)
    assert isinstance(d.next_step(0.5, taken_up()), Wait)
    assert d.wanted_versions(0.6) == {version_key("m0", "v1"): 1}
    assert d.wanted_versions(2.0) == {}


def test_request_that_is_no_stream_keeps_no_slot():
    d = make(server("a"), models=False)
    d.views["a"].record_full(0.0)
    plain = flow(make_route())
    plain.stream_version = "v1"
    d.next_step(0.1, plain)
    assert d.views["a"].kept_until == float("-inf")
