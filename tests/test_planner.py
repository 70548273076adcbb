"""Tests of `wisterialoom.core.engine_control.planner` together with the controllers."""

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from tests.fleet import CAPACITY_MB, Fleet, make_document
from wisterialoom.core.configuration.document import Adapter, Deployment, Model
from wisterialoom.core.configuration.selector import Selector
from wisterialoom.core.engine import ModelKey
from wisterialoom.core.engine_control.demand import Demand, ModelDemand
from wisterialoom.core.engine_control.engine_controllers import EngineControllers
from wisterialoom.core.engine_control.planner import Planner
from wisterialoom.core.engine_control.planner_input import EngineSnapshot, PlanInput
from wisterialoom.core.engine_control.planner_placement import place
from wisterialoom.core.notice import DemandMeasured, LoadReported

INSTANCES = ("entry-0", "entry-1", "entry-2")
NAMES = ("a", "b", "c", "d", "e", "f")
RESIDENT_LIMIT_S = 120.0


def make_parts(name, boot):
    return [EngineControllers(name, boot), Demand(name), Planner(name)]


class PlannedFleet(Fleet):
    """A fleet with planners, where load reports reach every instance.

    Requests for a model wait until some engine holds it.
    """

    def __init__(self, seed, **options):
        super().__init__(seed, make_parts=make_parts, **options)
        self.served_models = set()

    def run(self, seconds, demand):
        """Apply demand to the first instance for some seconds."""
        for _ in range(int(seconds * 2)):
            self.world.run_for(0.5)
            self.share_loads()
            resident = set().union(*(self.resident(x) for x in self.engines))
            self.served_models |= {x for x in demand if f"{x}@1" in resident}
            waiting = {x: 3 for x in demand if f"{x}@1" not in resident}
            for name in INSTANCES[:1]:
                self.world.send(name, DemandMeasured(dict(demand), waiting))

    def share_loads(self):
        hosts = {x: h for x, h in self.world.hosts.items() if h.alive}
        for name, host in hosts.items():
            notices, host.core.notices = host.core.notices, []
            for notice in notices:
                if isinstance(notice, LoadReported) and notice.own:
                    for other in hosts.keys() - {name}:
                        self.world.send(other, LoadReported(notice.load, own=False))

    @property
    def moves(self):
        return sum(sum(e.memory.moves.values()) for e in self.engines.values())


@pytest.mark.parametrize("group", ["checking", "trusting"])
@settings(derandomize=True, deadline=None, max_examples=4)
@given(seed=st.integers(0, 1000))
def test_every_model_that_is_waited_for_becomes_resident(group, seed):
    sizes = dict.fromkeys(NAMES, 60)
    fleet = PlannedFleet(
        seed, document=make_document(sizes), engines={"s0": group, "s1": group}
    )
    fleet.run(RESIDENT_LIMIT_S * 3, dict.fromkeys(NAMES, 1.0))
    assert fleet.served_models == set(NAMES)
    assert fleet.violations == []


def test_models_stay_reachable_when_an_engine_takes_no_orders():
    fleet = PlannedFleet(
        5,
        document=make_document({"a": 60, "b": 60, "c": 60}),
        engines={"s0": "trusting", "s1": "checking"},
    )
    fleet.engines["s0"].fault.lose_order = 1.0
    fleet.run(3 * RESIDENT_LIMIT_S, {"a": 1.0, "b": 1.0, "c": 1.0})
    assert fleet.served_models == {"a", "b", "c"}
    assert fleet.resident("s0") == set()


def test_stable_demand_that_fits_causes_no_moves():
    sizes = dict.fromkeys(NAMES[:4], 50)
    adapters = [Adapter("x", "a", "1", 10), Adapter("y", "b", "1", 10)]
    fleet = PlannedFleet(
        3,
        document=make_document(sizes, adapters=adapters),
        engines={"s0": "checking", "s1": "trusting"},
    )
    demand = {"a": 1.0, "b": 0.5, "c": 0.2, "d": 2.0, "x": 0.4, "y": 0.3}
    fleet.run(60, demand)
    assert fleet.served_models == set(demand)
    before = fleet.moves
    fleet.run(60, demand)
    fleet.kill("entry-1")
    fleet.run(60, demand)
    fleet.start("entry-1")
    fleet.run(120, demand)
    assert fleet.moves == before


def test_new_version_serves_before_the_old_one_is_unloaded():
    fleet = PlannedFleet(
        4,
        document=make_document({"a": 50}),
        engines={"s0": "checking", "s1": "checking"},
    )
    fleet.run(20, {"a": 1.0})
    old = fleet.document.models[0]
    fleet.document = replace(
        fleet.document, models=(replace(old, version="2", memory_mb=60),)
    )
    fleet.refresh()
    held = []
    for _ in range(60):
        fleet.run(0.5, {"a": 1.0})
        held.append(fleet.resident("s0") | fleet.resident("s1"))
    assert all(held)
    assert held[-1] == {"a@2"}


@pytest.mark.parametrize(("weight", "held"), [(1.0, "b"), (100.0, "a")])
def test_greater_moves_weight_keeps_the_resident_model(weight, held):
    document = make_document({"a": 60, "b": 60})
    document = replace(document, deployment=Deployment("d", moves_weight=weight))
    kept = ModelKey("a", "1")
    view = EngineSnapshot("s", "z", {}, CAPACITY_MB, 20, 8, {kept: 100.0}, (kept,))
    demand = {"a": ModelDemand(1.0, 1.0), "b": ModelDemand(3.0, 3.0)}
    placed = place(PlanInput(document, (view,), demand, allowance=8))
    assert placed == {"s": (ModelKey(held, "1"),)}


demands = st.builds(
    ModelDemand,
    fast=st.sampled_from([0.0, 0.1, 3.0, 20.0]),
    slow=st.sampled_from([0.0, 0.1, 3.0]),
    waiting=st.integers(0, 5),
    waiting_s=st.sampled_from([0.0, 1.0, 10.0]),
)
models = st.builds(
    Model,
    name=st.sampled_from(NAMES),
    version=st.sampled_from(["1", "2"]),
    memory_mb=st.sampled_from([20, 50, 60, 100, 200]),
    servers=st.sampled_from(["", "tier=new", "tier!=new"]),
    min_replicas=st.integers(0, 2),
)
keys = st.builds(ModelKey, st.sampled_from(NAMES), st.sampled_from(["1", "2"]))
views = st.builds(
    EngineSnapshot,
    name=st.sampled_from(["s0", "s1", "s2", "s3"]),
    availability_zone=st.sampled_from(["z0", "z1"]),
    labels=st.sampled_from([{"tier": "new"}, {"tier": "old"}]),
    model_budget_mb=st.sampled_from([CAPACITY_MB, 60]),
    adapter_budget_mb=st.just(20),
    resident=st.dictionaries(keys, st.sampled_from([1.0, 100.0]), max_size=3),
    planned=st.none() | st.lists(keys, max_size=3, unique=True).map(tuple),
    usable=st.booleans(),
    serving=st.booleans(),
    blocked=st.frozensets(keys, max_size=1),
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    declared_models=st.lists(models, max_size=6, unique_by=lambda x: x.name),
    servers=st.lists(views, max_size=4, unique_by=lambda x: x.name),
    demand=st.dictionaries(st.sampled_from(NAMES), demands),
    allowance=st.integers(0, 4),
)
def test_a_plan_fits_memory_and_respects_selectors(
    declared_models, servers, demand, allowance
):
    document = make_document({})
    document = type(document)(document.deployment, models=tuple(declared_models))
    plan_input = PlanInput(document, tuple(servers), demand, allowance)
    placed = place(plan_input)
    assert placed == place(plan_input)
    declared = {model.name: model for model in declared_models}
    load_count = 0
    for view in servers:
        plan = placed[view.name]
        assert sum(declared[x.name].memory_mb for x in plan) <= view.model_budget_mb
        for chosen in plan:
            model = declared[chosen.name]
            assert Selector.parse(model.servers).matches(view.labels)
            assert chosen.version == model.version or chosen in view.resident
            known = chosen in view.resident or chosen in (view.planned or ())
            assert known or (view.usable and chosen not in view.blocked)
            load_count += not known
    assert load_count <= allowance
