"""What a server has said holds for its start, whatever becomes of its entry."""

from __future__ import annotations

from hypothesis import given, strategies as st

from tests.test_dispatcher import flow, make, server
from wisterialoom.core.crash_suspects import ServerStart
from wisterialoom.core.serving.request_flow import Send
from wisterialoom.core.serving.server_notices import (
    MAX_STARTS,
    PROBE_S,
    ServerNotices,
    StartNotices,
)

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("rest"), st.floats(0.01, 5.0)),
        st.tuples(st.just("wait"), st.floats(0.01, 3.0)),
        st.tuples(st.just("lapse"), st.just(0.0)),
        st.tuples(st.just("list"), st.just(0.0)),
        st.tuples(st.just("copy of the entry before"), st.just(0.0)),
        st.tuples(st.just("start again"), st.just(0.0)),
        st.tuples(st.just("leave"), st.just(0.0)),
    ),
    max_size=30,
)


@given(STEPS)
def test_no_request_goes_to_a_start_of_a_server_before_it_wants_one(steps):
    """Its entry lapses, returns, comes as an old copy, or the server starts again."""
    d = make(server("a"))
    now, started_ms = 0.0, 1
    listed: int | None = 1
    until: dict[int, float] = {}
    leaving: set[int] = set()
    for number, (step, seconds) in enumerate(steps):
        match step:
            case "wait":
                now += seconds
            case "lapse":
                listed = None
            case "list":
                listed = started_ms
            case "copy of the entry before" if started_ms > 1:
                listed = started_ms - 1
            case "start again":
                started_ms += 1
                listed = started_ms
            case "rest":
                start = d.notices.latest["a"].started_ms
                until[start] = max(until.get(start, 0.0), now + seconds)
                d.record_rest(now, "a", seconds)
            case "leave":
                leaving.add(d.notices.latest["a"].started_ms)
                d.record_leaving("a")
        entries = {} if listed is None else {"a": server("a", started_ms=listed)}
        d.set_servers(entries)
        request = flow(
            request_id=f"q{number}",
            arrived=now,
            answer_deadline=now + 1.0,
            caller_deadline=now + 1.0,
        )
        sent = isinstance(d.next_step(now, request), Send)
        if listed is not None and (now < until.get(listed, 0.0) or listed in leaving):
            assert not sent
        d.release_server(request)


def test_one_request_goes_alone_after_a_rest():
    notices = StartNotices()
    notices.hold_off(0.0, 3.0)
    assert notices.wanted_at() == 3.0
    notices.record_sent(3.0)
    assert notices.wanted_at() == 3.0 + PROBE_S
    notices.record_taken()
    assert notices.wanted_at() <= 3.0


def test_further_requests_follow_if_the_first_one_after_a_rest_is_not_refused():
    notices = StartNotices()
    notices.hold_off(0.0, 3.0)
    notices.record_sent(3.0)
    notices.record_sent(3.0 + PROBE_S)
    assert notices.wanted_at() <= 3.0


def test_refusal_of_the_first_request_after_a_rest_begins_another():
    notices = StartNotices()
    notices.hold_off(0.0, 3.0)
    notices.record_sent(3.0)
    notices.hold_off(3.01, 3.0)
    assert notices.wanted_at() == 6.01
    notices.record_sent(6.01)
    assert notices.wanted_at() == 6.01 + PROBE_S


def test_shorter_rest_does_not_shorten_the_one_before():
    notices = StartNotices()
    notices.hold_off(0.0, 3.0)
    notices.hold_off(0.1, 1.0)
    assert notices.wanted_at() == 3.0


def test_starts_that_are_long_gone_are_forgotten():
    notices = ServerNotices()
    for number in range(2 * MAX_STARTS):
        notices.of(ServerStart(f"i-{number}", 1))
    assert len(notices.starts) == len(notices.latest) == MAX_STARTS
    assert notices.find("i-0") is None
