"""Tests of the emulated weight store, alone and in the simulation."""

import random

import pytest

from wisterialoom.core.engine import (
    Fence,
    LoadAdapter,
    LoadModel,
    ModelKey,
    Order,
    OrderDone,
    SendOrder,
)
from wisterialoom.lab.order_port import FakeEngine, OrderPort
from wisterialoom.lab.schedule import Schedule
from wisterialoom.lab.weight_store import SimulatedWeightStore
from wisterialoom.standin.engine_memory import EngineMemory
from wisterialoom.standin.weight_store import WeightStore


def test_concurrent_model_loads_do_not_all_start_at_once_or_run_at_full_speed():
    store = WeightStore(loads_per_s=2.0, full_speed_loads=2)
    ends = [store.begin(10.0, 4.0, adapter=False) for _ in range(3)]
    assert ends == pytest.approx([4.0, 4.5, 1.0 + 4.0 * 3 / 2])
    assert store.begin(100.0, 4.0, adapter=False) == pytest.approx(4.0)


def test_model_loads_do_not_slow_down_adapter_loads():
    store = WeightStore(full_speed_loads=1, adapter_full_speed_loads=2)
    store.begin(0.0, 4.0, adapter=False)
    ends = [store.begin(0.0, 0.01, adapter=True) for _ in range(4)]
    assert ends == pytest.approx([0.01, 0.01, 0.015, 0.02])


def test_simulated_engines_do_not_bypass_the_shared_weight_store():
    schedule = Schedule()
    port = OrderPort(schedule, random.Random(1))
    port.weight_store = SimulatedWeightStore(
        schedule, WeightStore(loads_per_s=1.0), load_s={"slow": 9.0}
    )
    durations_s = {}

    def send(server, action):
        start = schedule.now
        order = Order(f"{server}-{action}", Fence(1, len(durations_s)), action)

        def record_result(event):
            assert isinstance(event, OrderDone)
            durations_s[server] = schedule.now - start

        port.send("entry", SendOrder(server, order, start + 99), record_result)

    for name in ("one", "two", "three"):
        engine = FakeEngine(EngineMemory(1_000), load_s=5.0)
        engine.fault.timeout_s = 60.0
        engine.fault.delay_s = 0.0
        port.engines[name] = engine
    model = ModelKey("m", "1")
    send("one", LoadModel(model, 10))
    send("two", LoadModel(model, 10))
    send("three", LoadModel(ModelKey("slow", "1"), 10))
    schedule.run_until(schedule.now + 30)
    assert durations_s == pytest.approx({"one": 5.0, "two": 6.0, "three": 11.0})
    send("one", LoadAdapter(ModelKey("a", "1"), model, 5))
    schedule.run_until(schedule.now + 30)
    assert durations_s["one"] == pytest.approx(port.engines["one"].adapter_load_s)
