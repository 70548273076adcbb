"""Tests of `wisterialoom.core.engine_control.engine_controllers`."""

import pytest

from tests.fleet import Fleet, LEASE_S, make_document
from wisterialoom.core.engine import OrderDone
from wisterialoom.core.fleet.peer import SendPeer
from wisterialoom.core.notice import DrainRequested, PartDrained


@pytest.mark.parametrize("group", ["checking", "trusting"])
def test_replaces_a_model_when_both_do_not_fit(group):
    fleet = Fleet(1, document=make_document({"a": 60, "b": 60}), engines={"s": group})
    fleet.plan({"s": ["a@1"]})
    assert fleet.world.run_while(lambda: fleet.resident("s") != {"a@1"}, 20)
    fleet.world.run_for(40)
    fleet.plan({"s": ["b@1"]})
    assert fleet.world.run_while(lambda: fleet.resident("s") != {"b@1"}, 20)
    assert fleet.violations == []


def test_checking_engine_that_started_anew_is_proved_before_a_load():
    sizes = {"a": 70, "b": 70}
    fleet = Fleet(2, document=make_document(sizes), engines={"s": "checking"})
    engine, world = fleet.engines["s"], fleet.world
    fleet.plan({"s": ["a@1"]})
    assert world.run_while(lambda: fleet.resident("s") != {"a@1"}, 20)
    fleet.plan({"s": []})
    engine.memory.restart("2")
    world.run_for(2.5)
    engine.memory.restart("3")
    late_copy = fleet.load_orders()[0]
    world.order_port.send("network", late_copy, lambda event: None)
    world.run_for(0.01)
    fleet.plan({"s": ["b@1"]})
    assert world.run_while(lambda: fleet.resident("s") != {"b@1"}, 20)
    assert fleet.violations == []


def test_former_holder_confirms_only_after_its_load_is_answered():
    fleet = Fleet(3, document=make_document({"a": 60}), engines={"s": "trusting"})
    world = fleet.world
    world.run_for(LEASE_S)
    holder = fleet.holder("s")
    fleet.freeze_at_load(holder, past_checks=True)
    fleet.plan({"s": ["a@1"]})
    assert world.run_while(lambda: fleet.holder("s") in (holder, None), 8 * LEASE_S)
    world.thaw(holder)
    world.run_for(20)
    crossed = [x.message for x in world.trace if x.host == holder]
    confirmed = [x for x in crossed if isinstance(x, SendPeer)]
    answered = [x for x in crossed if isinstance(x, OrderDone)]
    assert crossed.index(confirmed[0]) > crossed.index(answered[-1])


def test_stopping_instance_gives_its_leases_up():
    fleet = Fleet(4, document=make_document({"a": 60}), engines={"s": "trusting"})
    fleet.world.run_for(LEASE_S)
    holder = fleet.holder("s")
    fleet.world.send(holder, DrainRequested())
    fleet.world.run_for(1)
    assert PartDrained("stewards") in fleet.world.hosts[holder].core.notices
    fleet.kill(holder)
    assert fleet.world.run_while(lambda: fleet.holder("s") is None, LEASE_S)
