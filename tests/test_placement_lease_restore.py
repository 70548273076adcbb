"""The placement lease while its store is restored from copies, on a virtual clock."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field

import pytest
from hypothesis import given, strategies as st

from wisterialoom.core.fleet import (
    LeaseRecord,
    PlacementLease,
    ReadLease,
    TakeLease,
    WriteLease,
)

LEASE_S = 3.0
STEP_S = 0.1
NAMES = ("one", "two", "three")


@dataclass
class Contents:
    """Lease records by era, and the revision of the last change."""

    records: dict[int, tuple[LeaseRecord, int]] = field(default_factory=dict)
    revision: int = 0


@dataclass
class RestorableStore:
    """Store of lease records that can be restored from a copy."""

    era: int = 1
    now: Contents = field(default_factory=Contents)
    copies: list[Contents] = field(default_factory=list)

    def make_copy(self) -> None:
        self.copies.append(copy.deepcopy(self.now))

    def restore(self) -> None:
        """Go back to the oldest copy; its revisions are assigned again."""
        if self.copies:
            self.now = copy.deepcopy(self.copies.pop(0))
            self.copies.clear()
        self.era += 1

    def read(self, era: int) -> tuple[LeaseRecord | None, int]:
        return self.now.records.get(era, (None, 0))

    def write(self, era: int, record: LeaseRecord, revision: int) -> int | None:
        """Write the record of an era, if it has the revision that is expected."""
        if self.read(era)[1] != revision:
            return None
        self.now.revision += 1
        self.now.records[era] = (record, self.now.revision)
        return self.now.revision


def make(name: str, *, fenced: bool = True, boot: str = "b1") -> PlacementLease:
    return PlacementLease(name, boot, "10.0.0.1", LEASE_S, fenced=fenced)


def play(lease: PlacementLease, store: RestorableStore, now: float) -> None:
    """Run one step of a lease against a store that answers at once."""
    step = lease.step(now)
    if step is None:
        return
    era = lease.era
    written = None
    if isinstance(step, TakeLease | WriteLease):
        written = store.write(era, step.record, step.revision)
    if lease.record_era(now, store.era):
        # The answer names a later era than the call refers to.
        return
    if isinstance(step, ReadLease):
        lease.record_read(now, *store.read(era))
    elif written is not None:
        lease.record_write(now, now, step.record, written)
    else:
        lease.record_conflict(now)


def play_until_held(
    lease: PlacementLease, store: RestorableStore, now: float, limit_s: float
) -> float:
    end = now + limit_s
    while not lease.is_valid(now):
        assert now < end, "the lease was not taken in time"
        now += STEP_S
        play(lease, store, now)
    return now


def test_holder_stops_at_once_and_takes_the_lease_again():
    lease, store = make("one"), RestorableStore()
    now = play_until_held(lease, store, 0.0, 10.0)
    before = lease.epoch
    store.restore()
    assert lease.record_era(now, store.era)
    assert not lease.is_valid(now)
    retaken = play_until_held(lease, store, now, 10.0)
    assert retaken - now <= 3 * STEP_S
    assert lease.epoch > before


@pytest.mark.parametrize("fenced", [True, False])
def test_another_instance_waits_until_the_lost_lease_has_expired(fenced: bool):
    store = RestorableStore()
    store.make_copy()
    one, two = make("one", fenced=fenced), make("two", fenced=fenced)
    two.record_era(0.0, store.era)
    now = play_until_held(one, store, 0.0, 10.0)
    two.record_holder(now, one.epoch, 0)
    store.restore()
    two.record_era(now, store.era)
    taken = play_until_held(two, store, now, 10.0)
    gap_s = 0.15 if fenced else 1.1
    assert taken - now > (0.55 + gap_s) * LEASE_S
    assert two.epoch > one.epoch


def test_fencing_number_rises_though_nobody_remembers_the_last_one():
    """The processes that knew the last number have ended; the copy has an older one."""
    store = RestorableStore()
    now = play_until_held(make("one"), store, 0.0, 10.0)
    store.make_copy()
    seen = []
    for number in range(5):
        taker = make(f"taker-{number}")
        now = play_until_held(taker, store, now, 20.0)
        seen.append(taker.epoch)
    store.restore()
    after = make("after")
    play_until_held(after, store, now, 20.0)
    assert after.epoch > max(seen)


def test_holder_that_a_copy_brings_back_is_not_believed():
    store = RestorableStore()
    old = make("old")
    now = play_until_held(old, store, 0.0, 10.0)
    store.make_copy()
    new = make("new")
    now = play_until_held(new, store, now + 10.0, 20.0)
    store.restore()
    # The copy names the process that held the lease before.
    now += STEP_S
    old.record_era(now, store.era)
    assert not old.is_valid(now)
    new.record_era(now, store.era)
    retaken = play_until_held(new, store, now, 10.0)
    old.record_holder(retaken, new.epoch, 0)
    play(old, store, retaken)
    assert not old.is_valid(retaken)


def test_expired_holder_does_not_retake_ahead_of_one_that_it_has_not_heard_of():
    """Another process may have taken the lease, and the copy lost that."""
    store = RestorableStore()
    one = make("one", fenced=False)
    now = play_until_held(one, store, 0.0, 10.0)
    now += LEASE_S
    store.restore()
    one.record_era(now, store.era)
    retaken = play_until_held(one, store, now, 20.0)
    assert retaken - now > 1.65 * LEASE_S


def test_messages_of_an_earlier_era_do_not_keep_others_from_the_lease():
    store = RestorableStore()
    two = make("two")
    store.restore()
    two.record_era(0.0, store.era)
    now = 0.0
    while not two.is_valid(now):
        now += STEP_S
        two.record_holder(now, (1 << 20) + 1, int(now * 10))
        play(two, store, now)
        assert now < 2 * LEASE_S


def test_first_start_takes_a_lease_without_record_at_once():
    lease = PlacementLease(
        "one", "b1", "10.0.0.1", LEASE_S, fenced=False, first_start=True
    )
    store = RestorableStore()
    assert play_until_held(lease, store, 0.0, 1.0) <= 4 * STEP_S


class Fleet:
    """Instances that step in any order, and the promises about their orders."""

    def __init__(self, *, fenced: bool) -> None:
        self.fenced = fenced
        self.store = RestorableStore()
        self.boots = dict.fromkeys(NAMES, 0)
        self.leases = {name: make(name, fenced=fenced, boot="b0") for name in NAMES}
        self.late: list[tuple[int, LeaseRecord, int]] = []
        self.owners: dict[int, str] = {}
        self.last_order: dict[str, float] = {}
        self.highest = 0
        self.now = 0.0

    def play(self, action: str, name: str) -> None:
        self.now += STEP_S
        match action:
            case "step":
                play(self.leases[name], self.store, self.now)
            case "run":
                self.run(3.0)
            case "lose" | "delay":
                self.call_without_answer(self.leases[name], delayed=action == "delay")
            case "late" if self.late:
                self.store.write(*self.late.pop(0))
            case "restart":
                self.boots[name] += 1
                boot = f"b{self.boots[name]}"
                self.leases[name] = make(name, fenced=self.fenced, boot=boot)
            case "hear":
                self.announce(self.leases[name])
            case "copy":
                self.store.make_copy()
            case "restore":
                self.store.restore()
        self.check_orders()

    def run(self, for_s: float) -> None:
        """Let all instances step for a while."""
        end = self.now + for_s
        while self.now < end:
            self.now += STEP_S
            for lease in self.leases.values():
                play(lease, self.store, self.now)
            self.check_orders()

    def call_without_answer(self, lease: PlacementLease, *, delayed: bool) -> None:
        step = lease.step(self.now)
        if isinstance(step, TakeLease | WriteLease):
            call = (lease.era, step.record, step.revision)
            if delayed:
                self.late.append(call)
            else:
                self.store.write(*call)
        if step is not None:
            lease.record_failure(self.now)

    def announce(self, holder: PlacementLease) -> None:
        for lease in self.leases.values():
            if lease is not holder and holder.is_valid(self.now):
                lease.record_holder(self.now, holder.epoch, 0)

    def check_orders(self) -> None:
        for name, lease in self.leases.items():
            if not lease.is_valid(self.now):
                continue
            assert self.owners.setdefault(lease.epoch, name) == name
            if self.fenced:
                continue
            assert lease.epoch >= self.highest
            self.highest = lease.epoch
            for other, at in self.last_order.items():
                assert other == name or self.now - at >= LEASE_S
            self.last_order[name] = self.now


NAMED_ACTIONS = ("step", "step", "lose", "delay", "restart", "hear")
OTHER_ACTIONS = ("run", "run", "late", "copy", "restore")
ACTIONS = st.one_of(
    st.tuples(st.sampled_from(NAMED_ACTIONS), st.sampled_from(NAMES)),
    st.tuples(st.sampled_from(OTHER_ACTIONS), st.just("")),
)


@pytest.mark.parametrize("fenced", [True, False])
@given(steps=st.lists(ACTIONS, min_size=10, max_size=120))
def test_orders_keep_their_promises_through_restores(
    fenced: bool, steps: list[tuple[str, str]]
):
    """Answers are lost, writes take effect late, processes restart, copies come back.

    Each fencing number belongs to one instance. Instances that are not checked by the
    servers give orders a lease length apart, and their numbers never go back.
    """
    fleet = Fleet(fenced=fenced)
    for action, name in steps:
        fleet.play(action, name)
