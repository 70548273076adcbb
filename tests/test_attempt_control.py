"""Tests of `wisterialoom.core.requests.attempt_control`."""

from dataclasses import replace

import pytest

from tests.documents import make_load, make_server
from tests.test_request_path import arrive, chat, make_path, only, registration
from wisterialoom.core.ejection import FIRST_COOLDOWN_S
from wisterialoom.core.fleet.peer import MemberStatus
from wisterialoom.core.message import Tick
from wisterialoom.core.notice import (
    ClaimGranted,
    Member,
    MembersChanged,
    ServerLeavingSeen,
    ServersChanged,
)
from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    Dispatch,
    Outcome,
    Reason,
    Refuse,
    Request,
    ServerNoticed,
)


def test_late_end_of_an_earlier_attempt_does_not_settle_the_request():
    path = make_path(make_load("e1", "drafting"), make_load("e2", "drafting"))
    first = only(arrive(path, 1.0, chat(1)), Dispatch).attempt
    lost = AttemptEnded(first, AttemptResult.LOST)
    second = only(path.handle(1.1, lost), Dispatch).attempt
    assert path.handle(1.2, AttemptEnded(first, AttemptResult.COMPLETED)) == []
    assert path.late_events == 1
    assert path.in_flight_requests[second.request_id].attempt == second


@pytest.mark.parametrize(
    ("result", "outcome"),
    [(AttemptResult.LOST, Outcome.UNKNOWN), (AttemptResult.NOT_SENT, None)],
)
def test_non_idempotent_request_is_retried_only_if_it_was_not_sent(result, outcome):
    path = make_path()
    services = [make_server(f"registry-{n}", "service") for n in (1, 2)]
    path.handle(0.5, ServersChanged(tuple(services)))
    arrive(path, 1.0, registration(1))
    attempt = only(path.handle(1.1, ClaimGranted("r1")), Dispatch).attempt
    outputs = path.handle(1.2, AttemptEnded(attempt, result))
    if outcome is None:
        assert only(outputs, Dispatch).attempt.server != attempt.server
    else:
        assert only(outputs, Refuse).refusal.outcome is outcome
        assert not any(isinstance(item, Dispatch) for item in outputs)


def test_server_that_says_in_an_answer_that_it_leaves_gets_nothing_during_that_answer():
    """It was believed only at the end of the answer, which may be a long stream."""
    path = make_path(make_load("e1", "drafting"), make_load("e2", "drafting"))
    first = only(arrive(path, 1.0, chat(1)), Dispatch).attempt
    seen = only(path.handle(1.1, ServerNoticed(first, leaving=True)), ServerLeavingSeen)
    assert seen.server == first.server
    for serial in range(2, 6):
        sent = only(arrive(path, 1.2, chat(serial)), Dispatch).attempt
        assert sent.server != first.server


def lookup(serial, deadline_s=20.0):
    fields = {"api_key_sha256": "d", "deadline_s": deadline_s}
    return Request(f"r{serial}", "GET", "/registry/deposits", **fields)


def test_server_gets_nothing_before_the_time_that_its_refusal_names():
    path = make_path()
    first = only(arrive(path, 1.0, lookup(1)), Dispatch).attempt
    path.handle(1.1, ServerNoticed(first, hold_off_s=3.0))
    path.handle(1.1, AttemptEnded(first, AttemptResult.COMPLETED))
    assert not any(isinstance(x, Dispatch) for x in arrive(path, 1.2, lookup(2)))
    assert not any(isinstance(x, Dispatch) for x in path.handle(4.0, Tick()))
    assert only(path.handle(4.2, Tick()), Dispatch).attempt.request_id == "r2"


def test_servers_are_used_soon_after_the_links_to_all_of_them_are_back():
    """The cooldown had grown to a minute while no connection could be made."""
    path = make_path()
    back_at, now, serial = 40.0, 1.0, 0
    outputs, served_at = [], None
    while served_at is None and now < 120.0:
        if serial < now:
            serial += 1
            outputs += arrive(path, now, lookup(serial))
        outputs += path.handle(now, Tick())
        dispatched = [x.attempt for x in outputs if isinstance(x, Dispatch)]
        outputs = []
        if dispatched and now >= back_at:
            served_at = now
        for attempt in dispatched:
            ended = AttemptEnded(attempt, AttemptResult.NOT_SENT)
            outputs += path.handle(now + 0.05, ended)
        now += 0.1
    assert served_at is not None
    assert served_at <= back_at + FIRST_COOLDOWN_S + 0.2


def test_request_that_no_server_wants_in_time_is_refused_at_once():
    path = make_path()
    first = only(arrive(path, 1.0, lookup(1)), Dispatch).attempt
    waiting = only(arrive(path, 1.0, lookup(2)), Dispatch).attempt
    path.handle(1.1, ServerNoticed(first, hold_off_s=60.0))
    refusal = only(arrive(path, 1.2, lookup(3)), Refuse).refusal
    assert (refusal.outcome, refusal.reason) == (Outcome.NOT_RUN, Reason.OVERLOAD)
    assert refusal.retry_after_s == pytest.approx(59.9 - 20.0, abs=2.1)
    ended = AttemptEnded(waiting, AttemptResult.NOT_SENT)
    refusal = only(path.handle(1.3, ended), Refuse).refusal
    assert refusal.retry_after_s == pytest.approx(59.8 - 19.7)


def test_request_in_the_queue_is_refused_once_no_server_wants_it_in_time():
    path = make_path()
    sent, waiting = [], []
    for serial in range(40):
        outputs = arrive(path, 1.0, lookup(serial))
        dispatched = [x for x in outputs if isinstance(x, Dispatch)]
        (sent if dispatched else waiting).append(outputs)
    assert path.queue.waiting
    attempt = only(sent[0], Dispatch).attempt
    path.handle(1.1, ServerNoticed(attempt, hold_off_s=60.0))
    refused = [x for x in path.handle(1.2, Tick()) if isinstance(x, Refuse)]
    assert not path.queue.waiting
    assert {item.refusal.reason for item in refused} == {Reason.OVERLOAD}


def name_limit(path, now, attempt, limit_per_s):
    notice = ServerNoticed(attempt, names_limit=True, limit_per_s=limit_per_s)
    path.handle(now, notice)
    answer(path, now, attempt)


def answer(path, now, attempt):
    path.handle(now, AttemptFirstByte(attempt))
    return path.handle(now, AttemptEnded(attempt, AttemptResult.COMPLETED))


def test_server_that_names_a_limit_gets_no_more_than_this_instance_may_send():
    path = make_path()
    members = [
        Member(name, "", "az-1", 1, MemberStatus.ALIVE) for name in ("", "a", "b", "c")
    ]
    path.handle(0.0, MembersChanged(tuple(members)))
    first = only(arrive(path, 1.0, lookup(0)), Dispatch).attempt
    name_limit(path, 1.1, first, 4.0)
    sent = []
    for step in range(1, 41):
        now = 1.1 + step * 0.1
        outputs = arrive(path, now, lookup(step)) + path.handle(now, Tick())
        for item in outputs:
            if isinstance(item, Dispatch):
                sent.append(now)
                name_limit(path, now, item.attempt, 4.0)
    # One request a second is the share of one of four instances.
    assert 3 <= len(sent) <= 5


def test_limit_ends_with_an_answer_that_names_none():
    path = make_path()
    first = only(arrive(path, 1.0, lookup(1)), Dispatch).attempt
    name_limit(path, 1.1, first, 0.5)
    waiting = arrive(path, 1.2, lookup(2))
    assert not any(isinstance(item, Dispatch) for item in waiting)
    second = only(path.handle(11.2, Tick()), Dispatch).attempt
    answer(path, 11.3, second)
    for serial in range(3, 8):
        answer(path, 11.4, only(arrive(path, 11.4, lookup(serial)), Dispatch).attempt)


def test_unreadable_limit_does_not_end_one():
    path = make_path()
    first = only(arrive(path, 1.0, lookup(1)), Dispatch).attempt
    name_limit(path, 1.1, first, 0.5)
    arrive(path, 1.2, lookup(2))
    second = only(path.handle(11.2, Tick()), Dispatch).attempt
    name_limit(path, 11.3, second, None)
    assert not any(isinstance(x, Dispatch) for x in arrive(path, 11.4, lookup(3)))


def test_limit_of_a_server_is_known_while_it_is_not_listed():
    path = make_path()
    first = only(arrive(path, 1.0, lookup(1)), Dispatch).attempt
    name_limit(path, 1.1, first, 0.5)
    server = make_server("registry-1", "service")
    path.handle(1.2, ServersChanged(()))
    path.handle(1.3, ServersChanged((server,)))
    assert not any(isinstance(x, Dispatch) for x in arrive(path, 1.4, lookup(2)))


def test_brittle_server_gets_no_more_than_its_part_of_the_slots_from_this_instance():
    """A full server is found out by a rejection, of which it stands only a few."""
    path = make_path()
    members = [Member(name, "", "az-1", 1, MemberStatus.ALIVE) for name in ("", "a")]
    path.handle(0.0, MembersChanged(tuple(members)))
    first = only(arrive(path, 1.0, lookup(0)), Dispatch).attempt
    path.handle(1.1, ServerNoticed(first, brittle_rejections=3.0))
    path.handle(1.1, AttemptEnded(first, AttemptResult.COMPLETED))
    sent = [
        item.attempt
        for serial in range(1, 5)
        for item in arrive(path, 1.2, lookup(serial))
        if isinstance(item, Dispatch)
    ]
    # It has two slots, and there are two instances.
    assert len(sent) == 1
    refused = AttemptEnded(sent[0], AttemptResult.NOT_STARTED)
    outputs = path.handle(1.3, refused) + path.handle(1.5, Tick())
    assert not any(isinstance(item, Dispatch) for item in outputs)


def test_service_is_no_longer_brittle_after_an_answer_that_does_not_say_so():
    path = make_path()
    first = only(arrive(path, 1.0, lookup(0)), Dispatch).attempt
    path.handle(1.1, ServerNoticed(first, brittle_rejections=3.0))
    path.handle(1.1, AttemptEnded(first, AttemptResult.COMPLETED))
    group = path.router.views["registry-1"].server.group
    second = only(arrive(path, 1.2, lookup(1)), Dispatch).attempt
    assert path.router.brittle.is_brittle(1.2, group)
    answer(path, 1.3, second)
    assert not path.router.brittle.is_brittle(1.3, group)


def test_rest_is_forgotten_when_a_server_is_not_listed_for_a_moment():
    path = make_path()
    sent = only(arrive(path, 1.0, lookup(1)), Dispatch).attempt
    path.handle(1.1, ServerNoticed(sent, hold_off_s=60.0))
    path.handle(1.1, AttemptEnded(sent, AttemptResult.NOT_STARTED))
    listed = make_server("registry-1", "service")
    path.handle(1.2, ServersChanged(()))
    path.handle(1.3, ServersChanged((listed,)))
    assert only(arrive(path, 1.4, lookup(2)), Refuse).refusal.reason is Reason.OVERLOAD
    path.handle(1.5, ServersChanged((replace(listed, incarnation="again"),)))
    only(arrive(path, 1.6, lookup(3)), Dispatch)


def test_server_that_is_not_listed_for_a_moment_serves_again_beside_a_request():
    path = make_path()
    only(arrive(path, 1.0, lookup(1)), Dispatch)
    path.handle(1.2, ServersChanged(()))
    path.handle(1.3, ServersChanged((make_server("registry-1", "service"),)))
    only(arrive(path, 1.4, lookup(2)), Dispatch)
