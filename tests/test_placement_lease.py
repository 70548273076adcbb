"""Tests of the placement lease on a virtual clock."""

from __future__ import annotations

from hypothesis import given, strategies as st

from wisterialoom.core.fleet import (
    LeaseRecord,
    LinkClass,
    PlacementLease,
    ReadLease,
    TakeLease,
    WriteLease,
)

LEASE_S = 3.0


class Store:
    """Fake store with one record and conditional writes."""

    def __init__(self) -> None:
        self.record: LeaseRecord | None = None
        self.revision = 0

    def write(self, record: LeaseRecord, revision: int) -> bool:
        if revision != self.revision:
            return False
        self.record = record
        self.revision += 1
        return True


def make(
    name: str, *, fenced: bool = True, boot: str = "b1", first_start: bool = True
) -> PlacementLease:
    return PlacementLease(
        name, boot, "10.0.0.1", LEASE_S, fenced=fenced, first_start=first_start
    )


def play(lease: PlacementLease, store: Store, now: float) -> None:
    """Run one step of a lease against a store that answers at once."""
    step = lease.step(now)
    match step:
        case ReadLease():
            lease.record_read(now, store.record, store.revision)
        case (
            TakeLease(record=record, revision=revision)
            | WriteLease(record=record, revision=revision)
        ):
            if store.write(record, revision):
                lease.record_write(now, now, record, store.revision)
            else:
                lease.record_conflict(now)


def test_first_instance_reads_then_takes():
    lease, store = make("one"), Store()
    play(lease, store, 0.0)
    play(lease, store, 0.05)
    assert lease.is_valid(0.1)
    assert lease.epoch == 1


def test_conflict_is_followed_by_a_read_before_the_next_take():
    """Without the read, a lost race was retried thousands of times."""
    lease, store = make("two"), Store()
    play(lease, store, 0.0)
    store.write(LeaseRecord("one", "b1", 1, "10.0.0.2"), 0)
    play(lease, store, 0.05)
    assert isinstance(lease.step(0.1), ReadLease)
    lease.record_read(0.1, store.record, store.revision)
    assert lease.step(0.15) is None


def test_expired_lease_is_taken_with_a_higher_epoch():
    one, two, store = make("one"), make("two"), Store()
    for now in (0.0, 0.05):
        play(one, store, now)
    now = 0.1
    while not two.is_holder:
        play(two, store, now)
        now += 0.05
        assert now < 3 * LEASE_S
    assert two.epoch == 2
    assert now > 0.05 + 0.55 * LEASE_S


def test_announced_renewals_count_from_their_first_receipt():
    one, two, store = make("one"), make("two"), Store()
    for now in (0.0, 0.05):
        play(one, store, now)
    two.record_holder(0.1, 1, 0)
    two.record_holder(1.7, 1, 0)
    now = 1.75
    while not two.is_holder:
        play(two, store, now)
        now += 0.05
        assert now < 1.75 + LEASE_S
    assert now < 0.1 + LEASE_S + 0.3


def test_fenced_holder_continues_without_renewals_until_another_takes_over():
    one, store = make("one"), Store()
    for now in (0.0, 0.05):
        play(one, store, now)
    for tick in range(200):
        one.step(0.1 + tick * 0.05)
        one.record_failure(0.1 + tick * 0.05)
    assert one.is_valid(10.1)
    one.record_holder(10.1, 2, 0)
    assert not one.is_valid(10.1)


def test_holder_sends_no_order_after_a_suspend():
    one, store = make("one"), Store()
    for now in (0.0, 0.05):
        play(one, store, now)
    one.step(0.1)
    assert not one.is_valid(7.0)
    one.step(7.0)
    assert not one.is_valid(7.05)


def test_unfenced_holder_stops_when_its_lease_expires():
    one, store = make("one", fenced=False), Store()
    for now in (0.0, 0.05):
        play(one, store, now)
    for tick in range(60):
        one.step(0.1 + tick * 0.05)
        one.record_failure(0.1 + tick * 0.05)
    assert not one.is_valid(0.05 + 0.56 * LEASE_S)


def test_restarted_holder_retakes_its_lease_at_once_with_a_new_epoch():
    one, store = make("one"), Store()
    for now in (0.0, 0.05):
        play(one, store, now)
    again = make("one", boot="b2")
    for now in (1.0, 1.05):
        play(again, store, now)
    assert again.is_valid(1.1)
    assert again.epoch == 2


def test_write_whose_answer_was_lost_is_recognized():
    one, store = make("one"), Store()
    play(one, store, 0.0)
    step = one.step(0.05)
    assert isinstance(step, TakeLease)
    store.write(step.record, step.revision)
    one.record_failure(0.05)
    now = 0.1
    while not one.is_valid(now):
        play(one, store, now)
        now += 0.05
        assert now < LEASE_S
    assert one.epoch == 1


def test_released_lease_is_taken_without_waiting_for_expiry():
    one, two, store = make("one"), make("two"), Store()
    for now in (0.0, 0.05):
        play(one, store, now)
    release = one.release()
    assert release is not None
    assert not one.is_valid(0.1)
    store.write(release.record, release.revision)
    now = 0.1
    while not two.is_holder:
        play(two, store, now)
        now += 0.05
        assert now < LEASE_S


@given(
    st.lists(
        st.tuples(st.sampled_from(["one", "two", "three"]), st.booleans()),
        min_size=20,
        max_size=300,
    )
)
def test_orders_of_two_unfenced_holders_are_a_lease_length_apart(steps):
    """Instances step in any order; the answer of a step may be lost."""
    store = Store()
    leases = {name: make(name, fenced=False) for name in ("one", "two", "three")}
    last_order: dict[str, float] = {}
    now = 0.0
    for name, answered in steps:
        now += 0.1
        lease = leases[name]
        if answered:
            play(lease, store, now)
        else:
            step = lease.step(now)
            if isinstance(step, TakeLease | WriteLease):
                store.write(step.record, step.revision)
            lease.record_failure(now)
        if lease.is_valid(now):
            for other, at in last_order.items():
                assert other == name or now - at >= LEASE_S
            last_order[name] = now


def test_instance_with_a_slow_link_takes_the_lease_after_others():
    """A holder's messages to 77 instances delayed its renewals; it lost the lease."""
    slow = PlacementLease(
        "s",
        "b1",
        "10.0.0.1",
        LEASE_S,
        fenced=True,
        link=LinkClass.SLOW,
        first_start=True,
    )
    store = Store()
    play(slow, store, 0.0)
    assert isinstance(slow.step(0.5), ReadLease) or slow.step(0.5) is None
    assert store.record is None
    fast = make("f")
    play(fast, store, 0.55)
    play(fast, store, 0.6)
    assert store.record is not None
    assert store.record.holder == "f"


def test_instance_with_a_slow_link_takes_the_lease_if_no_other_does():
    slow = PlacementLease(
        "s",
        "b1",
        "10.0.0.1",
        LEASE_S,
        fenced=True,
        link=LinkClass.SLOW,
        first_start=True,
    )
    store = Store()
    now = 0.0
    while store.record is None and now < 2.0:
        play(slow, store, now)
        now += 0.05
    assert store.record is not None


class LargeFleet:
    """195 instances before one store; hints of the holder reach those that it knows."""

    COUNT = 195
    STEP_S = 0.05

    def __init__(self, *, first_start: bool) -> None:
        self.store = Store()
        self.calls = 0
        self.now = 0.0
        self.alive = [
            PlacementLease(
                f"front-{n}",
                "b1",
                "10.0.0.1",
                LEASE_S,
                fenced=True,
                first_start=first_start,
                start_spread_s=0.8,
            )
            for n in range(self.COUNT)
        ]

    def play(self, for_s: float, *, known: bool) -> None:
        """Play a while; all steps of a tick begin before any call has an effect."""
        end = self.now + for_s
        while self.now < end:
            self.now += self.STEP_S
            for lease in self.alive:
                step = lease.step(self.now)
                self.calls += step is not None
                match step:
                    case ReadLease():
                        lease.record_read(
                            self.now, self.store.record, self.store.revision
                        )
                    case TakeLease() | WriteLease():
                        if self.store.write(step.record, step.revision):
                            revision = self.store.revision
                            lease.record_write(
                                self.now, self.now, step.record, revision
                            )
                        else:
                            lease.record_conflict(self.now)
            if known or self.store.record is not None:
                self.announce()

    def announce(self) -> None:
        for holder in self.alive:
            if holder.is_valid(self.now) and holder.record is not None:
                for lease in self.alive:
                    if lease is not holder:
                        lease.record_holder(
                            self.now, holder.epoch, holder.record.serial
                        )


def test_start_of_many_instances_makes_few_calls_for_the_lease():
    """All 195 used to read the record and to write it at once."""
    fleet = LargeFleet(first_start=True)
    fleet.play(3.0, known=False)
    assert sum(lease.is_holder for lease in fleet.alive) == 1
    assert fleet.calls < 2 * LargeFleet.COUNT


def test_loss_of_the_holder_makes_few_calls():
    """All 194 others used to read the record every 0.75 s until one had taken it."""
    fleet = LargeFleet(first_start=True)
    fleet.play(3.0, known=True)
    holder = next(lease for lease in fleet.alive if lease.is_holder)
    fleet.alive.remove(holder)
    fleet.calls = 0
    began = fleet.now
    while not any(lease.is_valid(fleet.now) for lease in fleet.alive):
        fleet.play(LargeFleet.STEP_S, known=True)
        assert fleet.now - began < 1.1 * LEASE_S
    assert fleet.calls < LargeFleet.COUNT / 5
