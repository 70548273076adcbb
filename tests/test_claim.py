"""Tests of `wisterialoom.core.claim`."""

import itertools
from dataclasses import replace

import pytest

from tests.claim_fleet import Fleet
from wisterialoom.core.claim_bucket import Claim, ClaimBucket, Settle
from wisterialoom.core.claim_entry import ClaimState
from wisterialoom.core.notice import (
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimHolding,
    DrainRequested,
)
from wisterialoom.core.object_store import MAX_OBJECT_BYTES
from wisterialoom.core.peer import ClaimStateWire
from wisterialoom.core.request import Reason, StoredAnswer


@pytest.mark.parametrize("size", [20, 5_000])
def test_second_request_gets_the_first_answer_at_every_instance(size):
    fleet = Fleet(answer_size=size)
    first = fleet.want("a", "k1")
    fleet.world.run_for(1)
    assert fleet.final(first) == ClaimGranted(first)
    for name in ("a", "b", "c"):
        later = fleet.want(name, "k1")
        fleet.world.run_for(1)
        answer = fleet.record.answers[first]
        assert fleet.final(later) == ClaimHeld(later, ClaimHolding.DONE, answer)
    other = fleet.want("b", "k1", digest="other")
    fleet.world.run_for(1)
    assert fleet.final(other) == ClaimHeld(other, ClaimHolding.OTHER_CONTENT)
    assert len(fleet.record.runs) == 1


def test_same_key_at_every_instance_at_once_runs_once():
    fleet = Fleet(run_s=1.0)
    requests = [fleet.want(name, "k1") for name in ("a", "b", "c", "a")]
    fleet.world.run_for(3)
    finals = [fleet.final(request) for request in requests]
    assert len(fleet.record.runs) == 1
    assert sum(isinstance(final, ClaimGranted) for final in finals) == 1
    held = {final.holding for final in finals if isinstance(final, ClaimHeld)}
    assert held == {ClaimHolding.IN_PROGRESS}


def test_object_api_down_refuses_at_once():
    fleet = Fleet()
    fleet.world.store_port.fault.down = True
    requests = [fleet.want(name, "k1") for name in ("a", "b", "c")]
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
    bucket.prune(wall=1)
    assert bucket.size == 0


def test_drain_waits_for_settlements_through_an_outage():
    fleet = Fleet()
    fleet.want("a", "k1")
    fleet.world.run_for(0.03)
    fleet.world.store_port.fault.down = True
    fleet.world.send("a", DrainRequested())
    fleet.world.run_for(5.0)
    assert fleet.drained == []
    fleet.world.store_port.fault.down = False
    fleet.world.run_for(3.0)
    assert fleet.drained == ["a"]
    assert fleet.world.hosts["a"].core.keeper.remaining == 0


def test_home_commits_a_burst_in_few_writes():
    fleet = Fleet()
    for number in range(300):
        fleet.want("abc"[number % 3], f"key{number}")
    fleet.world.run_for(1.5)
    assert len(fleet.record.runs) == 300
    assert fleet.world.store_port.calls["WriteObject"] <= 20
