"""Tests of `wisterialoom.core.claims.claim`."""

import itertools
from dataclasses import replace

import pytest

from tests.claim_fleet import Fleet
from wisterialoom.core.claims.claim_bucket import Claim, ClaimBucket, Release, Settle
from wisterialoom.core.claims.claim_commit import BucketCommitter, PendingChange
from wisterialoom.core.claims.claim_entry import claim_key, ClaimState
from wisterialoom.core.fleet.peer import ClaimAnswer, ClaimStateWire, PeerReceived
from wisterialoom.core.notice import (
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    DrainRequested,
    HeldClaimState,
)
from wisterialoom.core.object_store import (
    MAX_OBJECT_BYTES,
    ObjectRead,
    ObjectUnavailable,
    OperationIds,
    WriteObject,
)
from wisterialoom.core.requests.request import Reason, StoredAnswer


@pytest.mark.parametrize("size", [20, 5_000])
def test_second_request_gets_the_first_answer_at_every_instance(size):
    fleet = Fleet(answer_size=size)
    first = fleet.request_claim("a", "k1")
    fleet.world.run_for(1)
    assert isinstance(fleet.final(first), ClaimGranted)
    for name in ("a", "b", "c"):
        later = fleet.request_claim(name, "k1")
        fleet.world.run_for(1)
        answer = fleet.record.answers[first]
        assert fleet.final(later) == ClaimHeld(later, HeldClaimState.DONE, answer)
    other = fleet.request_claim("b", "k1", digest="other")
    fleet.world.run_for(1)
    assert fleet.final(other) == ClaimHeld(other, HeldClaimState.OTHER_CONTENT)
    assert len(fleet.record.runs) == 1


def test_same_key_at_every_instance_at_once_runs_once():
    fleet = Fleet(run_s=1.0)
    requests = [fleet.request_claim(name, "k1") for name in ("a", "b", "c", "a")]
    fleet.world.run_for(3)
    finals = [fleet.final(request) for request in requests]
    assert len(fleet.record.runs) == 1
    assert sum(isinstance(final, ClaimGranted) for final in finals) == 1
    held = {final.held_state for final in finals if isinstance(final, ClaimHeld)}
    assert held == {HeldClaimState.IN_PROGRESS}


def test_claim_is_refused_at_once_while_object_api_is_down():
    fleet = Fleet()
    fleet.world.store_port.fault.down = True
    requests = [fleet.request_claim(name, "k1") for name in ("a", "b", "c")]
    fleet.world.run_for(0.2)
    for request in requests:
        final = fleet.final(request)
        assert isinstance(final, ClaimFailed)
        assert final.reason is Reason.CLAIM_UNAVAILABLE
    assert fleet.record.runs == []


def test_full_bucket_is_refused_and_settlements_still_fit():
    bucket = ClaimBucket()
    entries = []
    for number in itertools.count():
        claim = Claim(f"{number:032x}", f"boot.{number}", "d" * 32, "a", 1)
        verdict, _ = bucket.apply(claim)
        if verdict.state is not ClaimStateWire.GRANTED:
            break
        entries.append(verdict.entry)
    assert verdict.state is ClaimStateWire.FULL
    answer = StoredAnswer(200, "text/plain", b"." * 330)
    for entry in entries:
        done = replace(entry, state=ClaimState.DONE, answer=answer)
        bucket.apply(Settle(entry.key, entry.nonce, done))
    assert len(bucket.encode()) == bucket.size <= MAX_OBJECT_BYTES
    bucket.prune(wall_time=1)
    assert bucket.size == 0


def test_answer_that_was_not_kept_counts_as_completed_without_an_answer():
    """Guards against an empty answer in place of one for which there was no memory."""
    fleet = Fleet()
    fleet.keeps_answers = False
    fleet.request_claim("a", "k1")
    fleet.world.run_for(3.0)
    again = fleet.request_claim("b", "k1")
    fleet.world.run_for(3.0)
    held = fleet.final(again)
    assert held == ClaimHeld(again, HeldClaimState.DONE, answer_stored=False)
    assert len(fleet.record.runs) == 1


def test_drain_waits_for_settlements_through_an_outage():
    fleet = Fleet()
    fleet.request_claim("a", "k1")
    fleet.world.run_for(0.03)
    fleet.world.store_port.fault.down = True
    fleet.world.send("a", DrainRequested())
    fleet.world.run_for(5.0)
    assert fleet.drained == []
    fleet.world.store_port.fault.down = False
    fleet.world.run_for(3.0)
    assert fleet.drained == ["a"]
    assert fleet.world.hosts["a"].core.manager.remaining == 0


def test_coordinator_commits_a_burst_in_few_writes():
    fleet = Fleet()
    for number in range(300):
        fleet.request_claim("abc"[number % 3], f"key{number}")
    fleet.world.run_for(1.5)
    assert len(fleet.record.runs) == 300
    assert fleet.world.store_port.calls["WriteObject"] <= 20


@pytest.mark.parametrize("settled", [True, False])
def test_late_response_to_a_claim_does_not_affect_its_settlement(settled):
    fleet = Fleet()
    world = fleet.world
    first = fleet.request_claim("a", "k1")
    world.run_for(0.04)
    ((_, stored),) = list(world.store_port.store.history[:1])
    (entry,) = ClaimBucket.decode(1, stored.body).entries.values()
    assert entry.state is ClaimState.CLAIMED
    world.store_port.fault.down = not settled
    world.run_for(0.2)
    state = ClaimStateWire.GRANTED
    late = ClaimAnswer(entry.key, entry.nonce, state, entry.encode())
    world.send("a", PeerReceived("b", late))
    world.run_for(0.2)
    world.store_port.fault.down = False
    world.run_for(6.0)
    again = fleet.request_claim("b", "k1")
    world.run_for(1.0)
    answer = fleet.record.answers[first]
    assert fleet.final(again) == ClaimHeld(again, HeldClaimState.DONE, answer)


def test_abandoned_claim_is_released_before_its_owner_fails():
    fleet = Fleet()
    fleet.set_members("a", ("a",))
    for number in range(8):
        fleet.request_claim("a", f"earlier{number}")
    fleet.world.run_for(2.0)
    fleet.world.store_port.fault.lose_answer = 1.0
    first = fleet.request_claim("a", "k1")
    fleet.world.run_for(3.0)
    written = fleet.world.store_port.store.history[-1][1].body
    assert claim_key("caller", "k1").encode() in written
    assert isinstance(fleet.final(first), ClaimFailed)
    fleet.world.store_port.fault.lose_answer = 0.0
    fleet.world.run_for(6.0)
    fleet.world.kill("a")
    for name in ("b", "c"):
        fleet.set_members(name, ("b", "c"), gone=("a",))
    again = fleet.request_claim("b", "k1")
    fleet.world.run_for(1.0)
    assert isinstance(fleet.final(again), ClaimGranted)


def test_only_the_abandoned_nonce_is_replaced():
    bucket = ClaimBucket()
    bucket.apply(Claim("k", "a.1", "d", "a", 1))
    taken, _ = bucket.apply(Claim("k", "b.1", "d", "b", 1, replaces="a.1"))
    late, _ = bucket.apply(Claim("k", "c.1", "d", "c", 1, replaces="a.1"))
    assert taken.state is ClaimStateWire.GRANTED
    assert late.state is ClaimStateWire.HELD
    assert bucket.entries["k"].nonce == "b.1"
    done = replace(bucket.entries["k"], state=ClaimState.DONE)
    bucket.apply(Settle("k", "b.1", done))
    late, _ = bucket.apply(Claim("k", "c.1", "d", "c", 1, replaces="b.1"))
    assert late.state is ClaimStateWire.HELD


def test_claim_committed_after_a_long_pause_is_refused():
    fleet = Fleet()
    fleet.set_members("a", ("a",))
    fleet.world.run_for(0.1)
    fleet.world.freeze("a", hold_sends=True)
    first = fleet.request_claim("a", "k1")
    # Pause for longer than the retention, and resume right after a tick, so that
    # the commit is processed before the next tick.
    fleet.world.run_for(700.02)
    fleet.world.thaw("a")
    fleet.world.run_for(1.0)
    second = fleet.request_claim("b", "k1")
    fleet.world.run_for(1.0)
    assert isinstance(fleet.final(first), ClaimFailed)
    assert isinstance(fleet.final(second), ClaimGranted)
    assert len(fleet.record.runs) == 1


def test_release_voids_a_write_that_may_still_take_effect():
    committer = BucketCommitter("claims/0", OperationIds("claims"), lambda: 0.0)
    claim = PendingChange(Claim("k", "a.1", "d", "a", 9), "", 1.0)
    (read,) = committer.add(0.0, claim)
    (write,) = committer.handle(0.0, ObjectRead(read.op, read.key, 5, b""))
    lost = ObjectUnavailable(write.op, write.key, ambiguous=True)
    (read,) = committer.handle(0.1, lost)
    (ended,) = committer.tick(1.0)
    assert ended.verdict.maybe_written
    committer.add(1.0, PendingChange(Release("k", "a.1"), "", 9.0))
    outputs = committer.handle(1.1, ObjectRead(read.op, read.key, 5, b""))
    outputs += committer.handle(1.2, ObjectRead(committer.op, read.key, 5, b""))
    assert outputs[-1] == WriteObject(committer.op, "claims/0", b"", 5)


def test_dispatch_delayed_beyond_the_retention_is_not_sent():
    fleet = Fleet()
    fleet.set_members("a", ("a",))
    first = fleet.request_claim("a", "k1")
    # The write has been sent. Freezing the instance delays what follows from its
    # response.
    calls = fleet.world.store_port.calls
    while "WriteObject" not in calls:
        fleet.world.run_for(0.0005)
    fleet.world.freeze("a", hold_sends=True)
    fleet.world.run_for(700.0)
    second = fleet.request_claim("b", "k1")
    fleet.world.run_for(1.0)
    fleet.world.thaw("a")
    fleet.world.run_for(1.0)
    assert isinstance(fleet.final(first), ClaimGranted)
    assert isinstance(fleet.final(second), ClaimGranted)
    assert [request for _, request, _ in fleet.record.runs] == [second]
