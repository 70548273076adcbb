"""Tests of `wisterialoom.standin.weight_store` and its place in the lab."""

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
from wisterialoom.lab.weight_store import LabWeightStore
from wisterialoom.standin.engine_memory import EngineMemory
from wisterialoom.standin.weight_store import WeightStore


def test_starts_are_spaced_and_crowds_slow_down():
    store = WeightStore(loads_per_s=2.0, full_speed_loads=2)
    ends = [store.begin(10.0, 4.0, adapter=False) for _ in range(3)]
    assert ends == pytest.approx([4.0, 4.5, 1.0 + 4.0 * 3 / 2])
    assert store.begin(100.0, 4.0, adapter=False) == pytest.approx(4.0)


def test_adapters_have_their_own_limit():
    store = WeightStore(full_speed_loads=1, adapter_full_speed_loads=2)
    store.begin(0.0, 4.0, adapter=False)
    ends = [store.begin(0.0, 0.01, adapter=True) for _ in range(4)]
    assert ends == pytest.approx([0.01, 0.01, 0.015, 0.02])


def test_engines_of_a_world_share_the_weight_store():
    schedule = Schedule()
    port = OrderPort(schedule, random.Random(1))
    port.weight_store = LabWeightStore(
        schedule, WeightStore(loads_per_s=1.0), load_s={"slow": 9.0}
    )
    done = {}

    def send(server, action):
        start = schedule.now
        order = Order(f"{server}-{action}", Fence(1, len(done)), action)

        def note(event):
            assert isinstance(event, OrderDone)
            done[server] = schedule.now - start

        port.send("entry", SendOrder(server, order, start + 99), note)

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
    assert done == pytest.approx({"one": 5.0, "two": 6.0, "three": 11.0})
    send("one", LoadAdapter(ModelKey("a", "1"), model, 5))
    schedule.run_until(schedule.now + 30)
    assert done["one"] == pytest.approx(port.engines["one"].adapter_load_s)
