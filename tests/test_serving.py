"""Tests of the simulated backend servers in `wisterialoom.lab.serving`."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from wisterialoom.core.engine import ModelKey
from wisterialoom.core.requests.request import (
    Attempt,
    AttemptEnded,
    AttemptFirstByte,
    AttemptResult,
    CancelAttempt,
    Classified,
    Dispatch,
    Request,
)
from wisterialoom.lab.order_port import FakeEngine, OrderPort
from wisterialoom.lab.schedule import Schedule
from wisterialoom.lab.serving import Serving
from wisterialoom.lab.serving_fault import ServingFault
from wisterialoom.standin.engine_batch import BatchSettings
from wisterialoom.standin.engine_memory import EngineMemory

NEVER_RAN = {AttemptResult.NOT_SENT, AttemptResult.NOT_STARTED}
FAULTS = ["cut_before", "cut_midway", "cut_after", "late", "error"]


class Bench:
    """One engine, one service without models, and the events of each attempt."""

    def __init__(self, seed=1, batch=None):
        self.schedule = Schedule()
        orders = OrderPort(self.schedule, random.Random(seed))
        self.serving = Serving(self.schedule, random.Random(seed), orders)
        self.engine = orders.engines["e"] = FakeEngine(EngineMemory(1_000))
        self.engine.memory.models[ModelKey("m", "1")] = 10
        self.server = self.serving.add_engine("e", batch)
        self.service = self.serving.add_service("s")
        self.events = {}

    def dispatch(self, name, server="e", *, model="m", number=1, **options):
        fields = {"stream": True, "max_tokens": 20, "prompt_tokens": 10}
        request = Request(name, model=model, **(fields | options))
        idempotent = not request.idempotency_key
        classified = Classified(request, "c", "t", idempotent, "", 0.0, 0.0)
        attempt = Attempt(name, number, server)
        events = self.events[attempt] = []
        self.serving.dispatch("entry", Dispatch(attempt, classified), events.append)
        return attempt

    def run(self, seconds=100.0):
        self.schedule.run_until(self.schedule.now + seconds)

    def result(self, attempt):
        events = self.events[attempt]
        assert isinstance(events[-1], AttemptEnded)
        assert len([e for e in events if isinstance(e, AttemptEnded)]) == 1
        assert len([e for e in events if isinstance(e, AttemptFirstByte)]) <= 1
        return events[-1].result

    def runs_of(self, name):
        return [run for run in self.serving.runs if run.request_id == name]


steps = st.lists(
    st.tuples(
        st.floats(0, 1),
        st.sampled_from(["e", "s", "none"]),
        st.sampled_from(["m", "other"]),
        st.booleans(),
        st.sampled_from(["", "", "cancel", "kill", "leave", "cut off", *FAULTS]),
    ),
    max_size=25,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(steps, st.integers(0, 9))
def test_each_attempt_ends_once_and_result_matches_its_runs(plan, seed):
    bench = Bench(seed, BatchSettings(slots=2, max_batch=3))
    cancelled = set()
    for number, (gap, server, model, stream, fault) in enumerate(plan):
        bench.run(gap)
        bench.server.fault = ServingFault()
        bench.service.fault = ServingFault()
        for target in (bench.server, bench.service):
            target.fault.leaving = fault == "leave"
            target.fault.cut_off = {"entry"} if fault == "cut off" else set()
            if fault in FAULTS:
                setattr(target.fault, fault, 0.5)
        if fault == "kill":
            bench.serving.kill("e")
            bench.serving.revive("e", str(number))
            bench.engine.memory.models[ModelKey("m", "1")] = 10
        attempt = bench.dispatch(f"r{number}", server, model=model, stream=stream)
        if fault == "cancel":
            bench.run(gap)
            bench.serving.cancel("entry", CancelAttempt(attempt))
            cancelled.add(attempt)
        memory = bench.engine.memory
        assert sum(memory.busy.values()) == len(bench.server.active)
    bench.run(200)
    for attempt in bench.events:
        result, runs = bench.result(attempt), bench.runs_of(attempt.request_id)
        assert len(runs) <= 1
        if result in NEVER_RAN:
            assert runs == []
        if result is AttemptResult.COMPLETED:
            assert runs[0].ended == "done"
        if attempt in cancelled:
            assert result is not None
    assert not bench.engine.memory.busy
    assert not bench.server.active
    assert not bench.serving.exchanges
    assert (bench.engine.running, bench.engine.waiting) == (0, 0)
    assert bench.server.batch.kv_used == 0


def test_cancelled_attempt_is_lost_at_once_and_removed_from_batch():
    bench = Bench()
    attempt = bench.dispatch("r", max_tokens=1_000)
    bench.run(1)
    assert bench.engine.running == 1
    bench.serving.cancel("entry", CancelAttempt(attempt))
    bench.run(0.01)
    assert bench.result(attempt) is AttemptResult.LOST
    assert bench.engine.running == 0
    assert bench.runs_of("r")[0].ended == "cancelled"


@pytest.mark.parametrize(
    ("fault", "result", "ended"),
    [
        ("cut_before", AttemptResult.LOST, None),
        ("cut_midway", AttemptResult.LOST, "cancelled"),
        ("cut_after", AttemptResult.LOST, "done"),
        ("error", AttemptResult.SERVER_ERROR, "done"),
    ],
)
def test_each_fault_ends_the_attempt_and_its_run_as_declared(fault, result, ended):
    bench = Bench()
    setattr(bench.server.fault, fault, 1.0)
    attempt = bench.dispatch("r")
    bench.run()
    assert bench.result(attempt) is result
    assert [run.ended for run in bench.runs_of("r")] == ([ended] if ended else [])


def test_late_answer_after_cancel_is_not_reported():
    bench = Bench()
    bench.server.fault.late, bench.server.fault.late_s = 1.0, 50.0
    attempt = bench.dispatch("r", idempotency_key="k")
    bench.run(2)
    assert bench.runs_of("r")[0].ended == "done"
    assert len(bench.events[attempt]) == 1
    bench.serving.cancel("entry", CancelAttempt(attempt))
    bench.run()
    assert bench.result(attempt) is AttemptResult.LOST
    assert bench.events[attempt][-1].answer is None


def test_second_run_of_a_key_is_recorded_on_any_server():
    bench = Bench()
    for server in ("e", "s"):
        attempt = bench.dispatch(server, server, idempotency_key="k")
        bench.run()
        assert bench.events[attempt][-1].answer is not None
    assert len(bench.serving.record.doubles) == 1


def test_recorded_times_match_batch_settings():
    batch = BatchSettings(first_token_s=0.2, token_gap_s=0.05, slots=1)
    bench = Bench(batch=batch)
    bench.dispatch("r", prompt_tokens=0, max_tokens=11)
    bench.run()
    (record,) = bench.serving.attempts
    assert record.first_token_s == pytest.approx(0.202)
    assert record.token_gap_s == pytest.approx(0.05)
    assert record.ended - record.sent == pytest.approx(0.2 + 0.5 + 0.004)


def test_scheduled_calls_do_not_grow_with_answer_length():
    calls = {}
    for tokens in (10, 1_000):
        bench = Bench()
        for number in range(50):
            bench.dispatch(str(number), max_tokens=tokens)
        before = next(bench.schedule.serials)
        bench.run(1_000)
        calls[tokens] = next(bench.schedule.serials) - before
    assert calls[1_000] <= calls[10] + 50
