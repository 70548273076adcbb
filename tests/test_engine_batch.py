"""Tests of the continuous batching of the emulated engine."""

import pytest
from hypothesis import given, settings, strategies as st

from wisterialoom.standin.engine_batch import (
    BatchSettings,
    EngineBatch,
    FirstToken,
    Job,
    LastToken,
)

SMALL = BatchSettings(
    slots=2, max_batch=4, kv_tokens=100, prefix_blocks=3, block_tokens=8
)

arrivals = st.lists(
    st.tuples(
        st.floats(0, 3),  # Seconds since the previous arrival.
        st.integers(0, 2),  # Priority.
        st.integers(0, 40),  # Prompt tokens.
        st.integers(1, 60),  # Output tokens.
        st.lists(st.integers(0, 4), max_size=4),  # Hashes of the prefix blocks.
        st.one_of(st.none(), st.integers(0, 20)),  # Earlier job to remove.
    ),
    max_size=25,
)


def check_limits(batch):
    reserved = sum(run.job.kv_tokens for run in batch.runs.values())
    assert reserved == batch.kv_used <= batch.settings.kv_tokens
    assert len(batch.runs) <= batch.settings.max_batch
    assert len(batch.cache.blocks) <= batch.settings.prefix_blocks


@settings(derandomize=True, deadline=None, max_examples=200)
@given(arrivals)
def test_batch_never_loses_a_job_or_exceeds_its_limits(arrival_plan):
    batch, now, events, removed = EngineBatch(SMALL), 0.0, [], set()
    jobs = {}
    for number, (gap, priority, prompt, output, prefix, removed_number) in enumerate(
        arrival_plan
    ):
        now += gap
        job = Job(str(number), "m", prompt, output, priority, tuple(prefix))
        jobs[job.job_id] = job
        batch.add_job(now, job)
        check_limits(batch)
        events += batch.advance(now)
        if removed_number is not None and str(removed_number) in {
            *batch.runs,
            *batch.waiting,
        }:
            tokens = batch.remove_job(now, str(removed_number))
            assert 0 <= tokens <= jobs[str(removed_number)].output_tokens
            removed.add(str(removed_number))
            check_limits(batch)
    events += batch.advance(now)
    while (at := batch.next_event_at()) is not None:
        assert at >= batch.at
        events += batch.advance(at)
        check_limits(batch)
    first = {e.job_id: e.at for e in events if isinstance(e, FirstToken)}
    last = {e.job_id: e.at for e in events if isinstance(e, LastToken)}
    assert len(events) == len(first) + len(last)
    assert set(last) == set(jobs) - removed
    assert not batch.runs
    assert not batch.waiting
    assert batch.kv_used == 0
    for job_id, at in last.items():
        decode_s = (jobs[job_id].output_tokens - 1) * SMALL.token_gap_s
        slowest = SMALL.max_batch / SMALL.slots
        assert decode_s - 1e-6 <= at - first[job_id] <= decode_s * slowest + 1e-6


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.integers(0, 3), min_size=1, max_size=12))
def test_queue_order_never_deviates_from_priority_then_arrival(priorities):
    batch = EngineBatch(BatchSettings(max_batch=1))
    batch.add_job(0.0, Job("running"))
    for number, priority in enumerate(priorities):
        batch.add_job(0.0, Job(str(number), priority=priority))
    ended = [e.job_id for e in batch.advance(1e6) if isinstance(e, LastToken)]
    expected = sorted(range(len(priorities)), key=lambda n: priorities[n])
    assert ended == ["running", *map(str, expected)]


def test_batch_larger_than_its_slots_does_not_run_at_full_speed():
    single, saturated = EngineBatch(SMALL), EngineBatch(SMALL)
    single.add_job(0.0, Job("a", output_tokens=11))
    for name in "abcd":
        saturated.add_job(0.0, Job(name, output_tokens=11))
    token_counts = []
    for step in range(11):
        now = SMALL.first_token_s + step * SMALL.token_gap_s
        single.advance(now)
        token_counts.append(single.tokens("a") if "a" in single.runs else 11)
    assert token_counts == list(range(1, 12))
    ends = [e.at for e in saturated.advance(1e6) if isinstance(e, LastToken)]
    assert ends[0] == pytest.approx(2 * now)


def test_evicted_prefix_does_not_shorten_the_prefill():
    batch = EngineBatch(SMALL)

    def first_token_s(prefix):
        start = batch.at
        batch.add_job(start, Job("a", "m", 24, 1, prefix_hashes=prefix))
        events = batch.advance(start + 100)
        return events[0].at - start

    cold = first_token_s((1, 2, 3))
    warm = first_token_s((1, 2, 3))
    assert cold - warm == pytest.approx(24 / SMALL.prefill_tokens_per_s)
    first_token_s((7, 8, 9))
    assert first_token_s((1, 2, 3)) == pytest.approx(cold)
    stored = {}
    for event in batch.cache.events:
        assert event.serial == len(stored) + 1
        stored[event.serial] = event.stored


@given(st.floats(0.0, 1e6), st.floats(0.001, 0.1), st.floats(0.001, 0.2))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_rounding_never_puts_the_last_token_before_the_first(at, gap_s, first_s):
    batch = EngineBatch(BatchSettings(token_gap_s=gap_s, first_token_s=first_s), at=at)
    batch.add_job(at, Job("a", output_tokens=1))
    events = []
    for _ in range(5):
        due = batch.next_event_at()
        if due is None:
            break
        events += batch.advance(due)
    assert [type(event) for event in events] == [FirstToken, LastToken]
