"""Accelerator memory must never be overcommitted, whatever fails.

It would be if a load were sent while an earlier one, of this or of a former lease
holder, could still take effect without being counted.
"""

import random

from hypothesis import given, Phase, settings, strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
    run_state_machine_as_test,
)

from tests.fleet import CAPACITY_MB, Fleet, LEASE_S, LIFETIME_S, LOAD_S, make_document
from wisterialoom.core.configuration.document import Adapter
from wisterialoom.lab.fault import OrderFault, StoreFault

SIZES = {"a": 60, "b": 60, "c": 40, "d": 50, "e": 100}
ADAPTERS = (Adapter("x", "a", "1", 15), Adapter("y", "c", "1", 15))
ENGINES = {
    "engine-0": "checking",
    "engine-1": "checking",
    "engine-2": "trusting",
    "engine-3": "trusting",
}
INSTANCES = ("entry-0", "entry-1", "entry-2")
ORDER_TIMEOUT_S = 4.0
LATE_S = 16.0
SLOW_LOAD_S = 6.0  # Longer than ORDER_TIMEOUT_S, so that answers come too late.
BURST_STEPS = 30
BURSTS = 2
RECOVERY_LIMIT_S = 8 * LEASE_S + LIFETIME_S + 3 * ORDER_TIMEOUT_S + 6 * LOAD_S

engines = st.sampled_from(sorted(ENGINES))
instances = st.sampled_from(INSTANCES)
ORDER_FAULTS = {
    "none": {},
    "lost": {"lose_order": 0.5},
    "unanswered": {"lose_answer": 0.7},
    "late": {"late": 0.7},
    "double": {"double": 0.8},
    "all": {"lose_order": 0.2, "lose_answer": 0.3, "late": 0.4, "double": 0.5},
}
STORE_FAULTS = {
    "none": {},
    "down": {"down": True},
    "slow": {"delay_s": 2.0, "jitter_s": 1.0},
    "unanswered": {"lose_answer": 0.5},
    "lost": {"lose_call": 0.5},
}
plans = st.permutations([*SIZES, "x", "y"])


def fitting(names):
    """Return models of a plan that fit together, and at most one adapter of them."""
    chosen, used = [], 0
    for name in names:
        if name in SIZES and used + SIZES[name] <= CAPACITY_MB:
            used += SIZES[name]
            chosen.append(name)
    adapters = [x.name for x in ADAPTERS if x.model in chosen and x.name in names]
    return chosen, adapters[:1]


class Memory(RuleBasedStateMachine):
    """Single and combined faults, checked against the memory that engines use."""

    @initialize(seed=st.integers(0, 10_000))
    def start_fleet(self, seed):
        document = make_document(SIZES, adapters=ADAPTERS)
        self.fleet = Fleet(seed, document=document, engines=ENGINES)
        self.world = self.fleet.world
        self.fleet.engines["engine-1"].load_s = SLOW_LOAD_S
        self.incarnations = 1
        self.world.run_for(LEASE_S)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0, 12.0, 40.0]))
    def pass_time(self, seconds):
        self.world.run_for(seconds)

    @rule(server=engines, names=plans, greedy=st.booleans())
    def plan(self, server, names, greedy):
        models, adapters = fitting(names)
        if greedy:
            models, adapters = [x for x in names if x in SIZES], ["x", "y"]
        self.fleet.plan_one(server, models, adapters)

    @rule(fault=st.sampled_from(sorted(ORDER_FAULTS)))
    def inject_order_faults(self, fault):
        for engine in self.fleet.engines.values():
            engine.fault = OrderFault(
                **ORDER_FAULTS[fault], late_s=LATE_S, timeout_s=ORDER_TIMEOUT_S
            )

    @rule(server=engines, name=instances)
    def cut_off_engine(self, server, name):
        self.fleet.engines[server].fault.cut_off.add(name)

    @rule(server=engines)
    def restart_engine(self, server):
        self.incarnations += 1
        self.fleet.engines[server].memory.restart(str(self.incarnations))

    @rule(server=engines, name=st.sampled_from(sorted(SIZES)), busy=st.booleans())
    def make_busy(self, server, name, busy):
        self.fleet.set_busy(server, name, busy=busy)

    @rule(fault=st.sampled_from(sorted(STORE_FAULTS)))
    def inject_store_faults(self, fault):
        self.world.store_port.fault = StoreFault(**STORE_FAULTS[fault])

    @rule(name=instances)
    def cut_off_store(self, name):
        self.world.store_port.fault.cut_off.add(name)

    @rule(name=instances, hold_sends=st.booleans(), past_checks=st.booleans())
    def freeze(self, name, hold_sends, past_checks):
        if not self.world.hosts[name].frozen:
            self.world.freeze(name, hold_sends=hold_sends, past_checks=past_checks)

    @rule(name=instances, past_checks=st.booleans())
    def freeze_at_load(self, name, past_checks):
        host = self.world.hosts[name]
        if host.alive and not host.frozen:
            self.fleet.freeze_at_load(name, past_checks=past_checks)

    @rule(name=instances)
    def thaw(self, name):
        self.world.thaw(name)

    @rule(name=instances, same_name=st.booleans())
    def kill(self, name, same_name):
        self.fleet.kill(name)
        if same_name:
            self.fleet.start(name)

    @rule(name=instances)
    def start(self, name):
        if not self.world.hosts[name].alive:
            self.fleet.start(name)

    @rule()
    def refresh_members(self):
        self.fleet.refresh()

    @rule(server=engines)
    def flap_in_listing(self, server):
        self.fleet.unlisted ^= {server}
        self.fleet.refresh()

    @rule(left=instances, right=instances)
    def cut_link(self, left, right):
        self.world.links.cut({left}, {right})

    @rule()
    def restore_links(self):
        self.world.links.restore_links()

    @rule(seed=st.integers(0, 1_000_000))
    def fault_burst(self, seed):
        """Inject many faults in quick succession."""
        rng = random.Random(seed)
        for _ in range(BURST_STEPS):
            self._inject_one(rng)
            self.world.run_for(rng.choice([0.02, 0.3, 1.0, 3.0, 6.0, 12.0, 25.0]))
            assert self.fleet.violations == [], self.world.format_trace()

    def _inject_one(self, rng):
        server = rng.choice(sorted(ENGINES))
        name = rng.choice(INSTANCES)
        match rng.randrange(20):
            case 0 | 1 | 2 | 3 | 4 | 5:
                self._shuffle_plans(rng)
            case 6:
                self.inject_order_faults(rng.choice(sorted(ORDER_FAULTS)))
            case 7:
                self.inject_store_faults(rng.choice(sorted(STORE_FAULTS)))
            case 8:
                self.inject_store_faults("none")
            case 9 | 10 | 11:
                self.freeze_at_load(name, rng.random() < 0.8)
                self._shuffle_plans(rng)
            case 12:
                self.freeze(name, rng.random() < 0.5, rng.random() < 0.5)
            case 13:
                self.thaw(name)
            case 14:
                self.restart_engine(server)
                self.thaw(name)
            case 15:
                self.kill(name, rng.random() < 0.5)
            case 16 | 17:
                self.start(name)
                self.refresh_members()
            case 18 | 19:
                self.flap_in_listing(server)

    def _shuffle_plans(self, rng):
        for server in ENGINES:
            names = [*SIZES, "x", "y"]
            rng.shuffle(names)
            self.plan(server, names, rng.random() < 0.1)

    @invariant()
    def memory_is_never_overcommitted(self):
        if hasattr(self, "fleet"):
            assert self.fleet.violations == [], self.world.format_trace()

    @precondition(lambda self: hasattr(self, "fleet"))
    @rule(names=st.lists(plans, min_size=4, max_size=4))
    def recover(self, names):
        self.fleet.recover(INSTANCES)
        wanted = {}
        for server, order in zip(sorted(ENGINES), names, strict=True):
            models, adapters = fitting(order)
            self.fleet.plan_one(server, models, adapters)
            wanted[server] = {f"{x}@1" for x in models + adapters}

        def missing():
            return {x: y - self.fleet.resident(x) for x, y in wanted.items()}

        recovered = self.world.run_while(
            lambda: any(missing().values()), RECOVERY_LIMIT_S
        )
        assert self.fleet.violations == [], self.world.format_trace()
        assert recovered, (missing(), self.world.format_trace())
        fences = self.fleet.fences()
        assert len(fences) == len(set(fences))


def test_memory_is_never_overcommitted_and_plans_are_met():
    run_state_machine_as_test(
        Memory,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=40,
            phases=[Phase.generate],
            report_multiple_bugs=False,
            stateful_step_count=25,
        ),
    )


@settings(derandomize=True, deadline=None, max_examples=40, phases=[Phase.generate])
@given(seed=st.integers(0, 1_000_000))
def test_bursts_of_faults_never_overcommit_memory(seed):
    run_fault_bursts(seed)


def run_fault_bursts(seed):
    machine = Memory()
    machine.start_fleet(seed)
    for number in range(BURSTS):
        machine.fault_burst(seed + number)
    rng = random.Random(seed)
    orders = [rng.sample([*SIZES, "x", "y"], len(SIZES) + 2) for _ in ENGINES]
    machine.recover(orders)
