"""Tests of `wisterialoom.core.memory_budget`, on the patterns it is for."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, strategies as st

from wisterialoom.caller_memory import CallerMemory
from wisterialoom.core.memory_budget import max_connections, MemoryBudget

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
