"""Tests of `wisterialoom.core.claim`."""

import pytest

from tests.claim_fleet import Fleet
from wisterialoom.core.notice import ClaimFailed, ClaimGranted, ClaimHeld, ClaimHolding
from wisterialoom.core.request import Reason


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
    fleet = Fleet()
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
