"""Tests of `wisterialoom.core.engine_control.lease`."""

from wisterialoom.core.engine_control.lease import Holder, Lease, LeaseChange
from wisterialoom.core.ledger import Ledger
from wisterialoom.core.object_store import (
    ObjectRead,
    ObjectUnavailable,
    ObjectWritten,
    OperationIds,
)

LEASE_S = 10.0
KEY = "ledgers/s"


def make_lease():
    return Lease("s", Holder("me", "boot"), OperationIds("stewards"), LEASE_S)


def take(lease, now=0.0):
    lease.read(now)
    lease.handle(now, ObjectRead(lease.op, KEY, 0, b""))
    lease.take(now)
    return lease.handle(now + 1, ObjectWritten(lease.op, KEY, 1))


def test_counts_from_before_the_write_was_sent():
    lease = make_lease()
    assert take(lease, now=5.0) is LeaseChange.TAKEN
    assert lease.is_valid(14.9)
    assert not lease.is_valid(15.0)


def test_candidate_waits_until_the_ledger_stands_still_for_a_lease():
    lease = make_lease()
    body = Ledger(holder="other", boot_id="x", epoch=3, released=False).encode()
    lease.read(0.0)
    lease.handle(1.0, ObjectRead(lease.op, KEY, 7, body))
    assert not lease.is_open(1.0 + LEASE_S, 0)
    assert lease.is_open(1.0 + LEASE_S * 1.2, 0)
    assert not lease.is_open(1.0 + LEASE_S * 1.2, 1)


def test_unanswered_takeover_is_read_back():
    lease = make_lease()
    lease.read(0.0)
    lease.handle(0.0, ObjectRead(lease.op, KEY, 0, b""))
    written = lease.take(0.0)
    lease.handle(1.0, ObjectUnavailable(lease.op, KEY, ambiguous=True))
    lease.read(2.0)
    change = lease.handle(2.0, ObjectRead(lease.op, KEY, 1, written.body))
    assert change is LeaseChange.TAKEN
    assert lease.holding
    assert not lease.is_valid(2.0)


def test_never_holds_again_what_it_let_go():
    lease = make_lease()
    take(lease)
    lease.renew(2.0, (), ())
    lease.bar(lease.epoch)
    lease.handle(3.0, ObjectWritten(lease.op, KEY, 2))
    assert not lease.holding


def test_epoch_of_an_earlier_object_of_this_process_is_not_taken_up():
    lease = make_lease()
    body = Ledger(holder="me", boot_id="boot", epoch=3, released=False).encode()
    lease.read(0.0)
    change = lease.handle(0.0, ObjectRead(lease.op, KEY, 7, body))
    assert change is LeaseChange.NONE
    assert not lease.holding
    assert Ledger.decode(lease.take(0.1).body).epoch == 4
