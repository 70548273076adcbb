"""Tests of `wisterialoom.core.memory_budget`, on the patterns it is for."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, strategies as st

from wisterialoom.caller_memory import CallerMemory
from wisterialoom.core.memory_budget import (
    HeldBytes,
    max_connections,
    max_passed_on,
    MemoryBudget,
    parsed_bytes,
)

MAX_BODY = 4_194_304


def make_budget() -> MemoryBudget:
    return MemoryBudget.from_memory(200, MAX_BODY)


def test_uploads_that_stop_short_do_not_keep_ordinary_requests_out():
    """All of them arrive at once, and each is within the limits."""
    budget = make_budget()
    assert budget.limit is not None
    stalled = [budget.open(0.0) for _ in range(60)]
    refused: set[int] = set()
    for at in range(64):
        for held in stalled:
            if held in budget.holders:
                victims = budget.reserve(0.001 * at, held, MAX_BODY // 64)
                refused.update(map(id, victims))
    assert budget.used <= budget.limit
    assert len(refused) > 30
    for number in range(1_000):
        now = 1.0 + number / 100
        ordinary = budget.open(now)
        assert ordinary not in budget.reserve(now, ordinary, 2_000)
        ordinary.complete = True
        budget.release(ordinary)


def test_stalled_upload_makes_room_for_one_that_is_arriving():
    budget = MemoryBudget(2 * MAX_BODY)
    stalled = budget.open(0.0)
    assert budget.reserve(0.0, stalled, MAX_BODY) == []
    arriving = budget.open(5.0)
    refused = budget.reserve(5.01, arriving, MAX_BODY)
    assert refused == [stalled]
    assert budget.used == MAX_BODY


def test_complete_requests_are_not_refused_in_favor_of_others():
    budget = MemoryBudget(2 * MAX_BODY)
    complete = budget.open(0.0)
    budget.reserve(0.0, complete, MAX_BODY)
    complete.complete = True
    late = budget.open(9.0)
    assert budget.reserve(9.0, late, MAX_BODY) == [late]
    assert complete in budget.holders


def test_single_request_at_the_limit_has_room_on_the_smallest_machine():
    for memory_mb in (1, 200, 552):
        budget = MemoryBudget.from_memory(memory_mb, MAX_BODY)
        assert budget.reserve(0.0, budget.open(0.0), MAX_BODY) == []


def test_nothing_is_limited_without_a_setting():
    budget = MemoryBudget.from_memory(None, MAX_BODY)
    assert budget.reserve(0.0, budget.open(0.0), 10**12) == []
    assert max_connections(None, None) is None


def test_connections_follow_the_scarcer_of_memory_and_descriptors():
    assert max_connections(200, None) == max_connections(200, 100_000)
    assert max_connections(552, 1_000) == 400
    assert max_connections(1, 1_000_000) == 64


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 3_000_000))))
def test_limit_holds_and_released_bytes_are_free_again(steps):
    budget = MemoryBudget(8_000_000)
    assert budget.limit is not None
    open_requests = {}
    clock = itertools.count()
    for index, count in steps:
        now = float(next(clock))
        held = open_requests.get(index)
        if held is None or held not in budget.holders:
            held = open_requests[index] = budget.open(now)
        budget.reserve(now, held, count)
        assert budget.used <= budget.limit
        assert budget.used == sum(held.count for held in budget.holders)
    for held in tuple(budget.holders):
        budget.release(held)
    assert budget.used == 0


def test_answers_leave_room_to_small_requests():
    """Guards against ordinary callers that are refused beside answers nobody reads."""
    budget = MemoryBudget(1_000_000)
    assert budget.has_room(875_000)
    assert not budget.has_room(875_001)
    answer = budget.open(0.0)
    answer.complete = True
    assert budget.reserve(0.0, answer, 870_000) == []
    small = budget.open(1.0)
    assert budget.reserve(1.0, small, 50_000) == []


async def test_answer_that_waits_longest_for_its_caller_is_ended_first():
    """Guards against memory that grows with the callers that do not read."""
    reader = CallerMemory(MemoryBudget(600_000))
    ended: list[str] = []
    with (
        reader.write(70_000, lambda: ended.append("first")),
        reader.write(70_000, lambda: ended.append("second")),
    ):
        # Bytes that a connection takes at once are not those of a slow caller.
        with reader.write(10_000, lambda: ended.append("small")):
            assert ended == []
        with reader.write(70_000, lambda: ended.append("third")):
            assert ended == ["first"]
    assert reader.budget.used == 0
    assert reader.endings == {}


async def test_answer_without_memory_is_ended():
    reader = CallerMemory(MemoryBudget(100_000))
    with (
        pytest.raises(ConnectionResetError),
        reader.write(70_000, lambda: None),
    ):
        pytest.fail("written without memory")
    assert reader.budget.used == 0


def test_head_of_the_shortest_lines_counts_as_much_more_than_its_bytes():
    lines = parsed_bytes(b"a:\r\n" * 4_000)
    assert lines > 60 * 16_000
    assert parsed_bytes(b"a: " + b"b" * 16_000 + b"\r\n") < 17_000
    # A list is split into its items.
    assert parsed_bytes(b"a: " + b"b," * 8_000 + b"\r\n") > 400_000


def test_largest_head_and_the_largest_body_have_room_on_the_smallest_machine():
    for memory_mb in (1, 160, 552):
        budget = MemoryBudget.from_memory(memory_mb, MAX_BODY, 65_536)
        head, body = budget.open(0.0), budget.open(0.0)
        assert budget.reserve(0.0, head, parsed_bytes(b"a:\r\n" * 16_384)) == []
        assert budget.reserve(0.0, body, MAX_BODY) == []


CLIENTS = st.integers(0, 11)
SIZES = st.one_of(st.just(0), st.integers(1, 70_000), st.integers(1, 3_000_000))
STEPS = st.one_of(
    st.tuples(st.just("resize"), CLIENTS, SIZES),
    st.tuples(st.just("reserve"), CLIENTS, SIZES),
    st.tuples(st.just("arrive"), CLIENTS, st.just(0)),
    st.tuples(st.just("answer"), CLIENTS, st.just(0)),
    st.tuples(st.just("leave"), CLIENTS, st.just(0)),
)
"""What clients of every kind do: heads that grow or are parsed, bodies, whole requests
that wait, answers after which a connection stays, and connections that end."""


@given(st.lists(STEPS, max_size=60))
def test_bound_holds_for_crowds_of_every_mixture(steps):
    """Whole requests stay; of others, the one that holds most for longest goes."""
    budget = MemoryBudget(8_000_000)
    assert budget.limit is not None
    clients = [HeldBytes(0.0) for _ in range(12)]
    for number, (what, index, size) in enumerate(steps):
        now = float(number)
        held = clients[index]
        before = {
            other: (other.count * (now - other.since), other.count)
            for other in budget.holders
            if not other.complete and other is not held
        }
        whole = {other for other in budget.holders if other.complete}
        refused: list[HeldBytes] = []
        match what:
            case "resize":
                refused = budget.resize(now, held, size)
            case "reserve" if held in budget.holders:
                refused = budget.reserve(now, held, size)
            case "arrive":
                held.complete = True
            case "answer":
                held.complete = False
            case "leave":
                budget.release(held)
                clients[index] = HeldBytes(now)
        assert budget.used == sum(other.count for other in budget.holders)
        assert budget.used <= budget.limit
        assert not whole & set(refused) - {held}
        others = [other for other in refused if other is not held]
        spared = [before[other] for other in before if other in budget.holders]
        assert all(
            before[other] >= held_most for other in others for held_most in spared
        )


@given(st.lists(st.integers(1, 3_000_000), min_size=1, max_size=30))
def test_ordinary_request_has_room_beside_any_crowd_that_is_incomplete(sizes):
    budget = MemoryBudget(8_000_000)
    for number, size in enumerate(sizes):
        budget.resize(float(number), HeldBytes(0.0), size)
    ordinary = HeldBytes(0.0)
    assert ordinary not in budget.resize(100.0, ordinary, 5_000)


@given(st.lists(st.integers(70_000, 3_000_000), min_size=1, max_size=30))
def test_ordinary_request_has_room_beside_large_requests_that_wait(sizes):
    budget = MemoryBudget(8_000_000)
    for number, size in enumerate(sizes):
        whole = HeldBytes(0.0, complete=True)
        budget.resize(float(number), whole, size)
    ordinary = HeldBytes(0.0)
    assert ordinary not in budget.resize(100.0, ordinary, 5_000)


@pytest.mark.parametrize("max_fds", [700, 1_000, 4_200, 20_000])
@pytest.mark.parametrize("memory_mb", [160, 300, 4_000])
def test_all_connections_together_stay_under_the_descriptors(memory_mb, max_fds):
    """A third of the connections of other instances may be closing."""
    count = max_connections(memory_mb, max_fds)
    passed_on = max_passed_on(memory_mb, max_fds)
    assert 16 <= passed_on <= 400
    assert 2 * count + 3 * passed_on < max_fds


def test_requests_of_other_instances_are_bounded_without_settings():
    assert max_passed_on(None, None) == max_passed_on(300, 4_200) == 400
