"""Tests of `wisterialoom.core.teams.allowance` and of the ledger, on a virtual clock.

They guard against use above the bound in any window, whatever happens to instances and
messages, and against refusals of use that is within the quota.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings, strategies as st

from tests.allowance_fleet import AllowanceFleet, Front, Network
from wisterialoom.core.teams import Quota, QuotaUnit
from wisterialoom.core.teams.allowance import Allowance, Charge, Denied
from wisterialoom.core.teams.allowance_ledger import AllowanceLedger
from wisterialoom.core.teams.allowance_message import (
    AllowanceGrant,
    AllowanceReply,
    AllowanceRequest,
    TeamRequest,
)
from wisterialoom.core.teams.quota_bound import own_share, QuotaBound, request_cost

if TYPE_CHECKING:
    from collections.abc import Callable

LARGE = Quota(131_650.0, 131_650.0, QuotaUnit.TOKENS, 200.0)
SMALL = Quota(4_200.0, 4_200.0, QuotaUnit.TOKENS, 200.0)
LIMITS = {"large": LARGE, "small": SMALL}
USUAL = 1 / 1.8
BOUND = QuotaBound()

ROUGH = Network((0.001, 0.1), loss=0.05, duplicates=0.05)
"""Messages are lost, doubled, and reordered, as their delays differ."""

LOSSY = Network((0.001, 0.01), loss=0.02, duplicates=0.02)


@dataclass(frozen=True)
class Fault:
    """Something that happens to instances.

    Attributes:
        kind: What happens.
        at_s: When it does.
        for_s: For how long.
        every: Part of the instances, as one of so many.
    """

    kind: str
    at_s: float
    for_s: float
    every: int


def apply(fleet: AllowanceFleet, fault: Fault) -> None:
    others = [x for x in fleet.fronts.values() if x.name != fleet.holder and x.up]
    hit = others[:: fault.every]
    if fault.kind in FRONT_FAULTS:
        for number, front in enumerate(hit):
            FRONT_FAULTS[fault.kind](fleet, front, fault.for_s * (1 + number % 3) / 3)
    elif fault.kind == "add":
        for number in range(len(hit)):
            fleet.add(f"added-{number}")
    elif fault.kind == "freeze_holder" and fleet.holder:
        fleet.freeze(fleet.holder, fault.for_s)
    elif fault.kind == "holder" and fleet.holder and others:
        fleet.lose_holder(others[-1].name)
    elif fault.kind == "split" and fleet.holder and others:
        fleet.split(fault.every, others[-1].name)
        fleet.at(fleet.now + fault.for_s, fleet.join)
    elif fault.kind in FACTORS:
        factor = FACTORS[fault.kind]
        changed = {
            team: replace(limit, rate_per_s=limit.rate_per_s * factor)
            for team, limit in fleet.limits.items()
        }
        fleet.set_limits(changed)
    fleet.at(fleet.now + fault.for_s, partial(heal, hit))


def heal(fronts: list[Front]) -> None:
    for front in fronts:
        front.cut = front.deaf = False


FRONT_FAULTS: dict[str, Callable[[AllowanceFleet, Front, float], None]] = {
    "cut": lambda _, front, __: setattr(front, "cut", True),
    "deaf": lambda _, front, __: setattr(front, "deaf", True),
    "kill": lambda _, front, __: setattr(front, "up", False),
    "freeze": lambda fleet, front, for_s: fleet.freeze(front.name, for_s),
}

FACTORS = {"lower": 0.5, "raise": 2.0}


def load(fleet: AllowanceFleet, excess: float, until: float, *, hot: bool) -> None:
    names = list(fleet.fronts)
    names = names[-1:] if hot else names
    for team, limit in fleet.limits.items():
        fleet.spread(team, excess * limit.rate_per_s, names, fleet.now, until)


FAULTS = (*FRONT_FAULTS, "freeze_holder", "add", "holder", "split")


def run_faults(fleet: AllowanceFleet, faults: list[Fault], until: float) -> None:
    for fault in sorted(faults, key=lambda fault: fault.at_s):
        fleet.run(max(fleet.now, fault.at_s))
        apply(fleet, fault)
    fleet.run(until)


@settings(max_examples=12, deadline=None)
@given(
    count=st.sampled_from([63, 91]),
    seed=st.integers(0, 1_000),
    hot=st.booleans(),
    excess=st.sampled_from([1.0, 3.0]),
    faults=st.lists(
        st.builds(
            Fault,
            st.sampled_from(FAULTS),
            st.floats(4.0, 20.0),
            st.floats(0.5, 12.0),
            st.integers(1, 4),
        ),
        max_size=4,
    ),
)
def test_use_stays_within_the_bound_whatever_happens(
    count: int, seed: int, hot: bool, excess: float, faults: list[Fault]
):
    fleet = AllowanceFleet(count, LIMITS, seed, ROUGH)
    fleet.run(1.0)
    load(fleet, excess, 30.0, hot=hot)
    run_faults(fleet, faults, 30.0)
    for team in LIMITS:
        assert fleet.worst(team) <= 1.0


@pytest.mark.parametrize("count", [63, 91, 410])
@pytest.mark.parametrize("kind", FAULTS)
@pytest.mark.parametrize("hot", [False, True])
def test_use_stays_within_the_bound_with_each_fault_alone(
    count: int, kind: str, hot: bool
):
    """A third is cut off, half are killed or frozen, or the holder ends twice."""
    fleet = AllowanceFleet(count, LIMITS, 7, LOSSY)
    fleet.run(1.0)
    load(fleet, 2.0, 22.0, hot=hot)
    every = 3 if kind in ("cut", "deaf") else 2
    faults = [Fault(kind, 8.0, 6.0, every)]
    if kind == "holder":
        faults.append(Fault(kind, 13.0, 6.0, every))
    run_faults(fleet, faults, 22.0)
    for team in LIMITS:
        assert 0.2 < fleet.worst(team) <= 1.0


@pytest.mark.parametrize("kind", ["lower", "raise"])
@pytest.mark.parametrize("cut", [False, True])
def test_changed_limit_binds_one_window_after_all_know_it(kind: str, cut: bool):
    fleet = AllowanceFleet(91, LIMITS, 5, LOSSY)
    fleet.run(1.0)
    load(fleet, 3.0, 40.0, hot=False)
    faults = [Fault(kind, 12.0, 30.0, 3)]
    if cut:
        faults.append(Fault("cut", 11.0, 12.0, 3))
    run_faults(fleet, faults, 40.0)
    for team in LIMITS:
        # Until then, the higher of the two limits counts.
        assert fleet.worst(team, since=14.0) <= 1.0
        if not cut:
            least = 0.8 * fleet.limits[team].rate_per_s * 15.0
            assert fleet.used(team, 25.0, 40.0) >= least


def test_instances_that_stay_cut_off_use_no_more_than_their_share():
    fleet = AllowanceFleet(91, LIMITS, 5, LOSSY)
    fleet.run(1.0)
    load(fleet, 3.0, 60.0, hot=False)
    run_faults(fleet, [Fault("cut", 10.0, 60.0, 3), Fault("add", 20.0, 1.0, 2)], 60.0)
    for team in LIMITS:
        assert fleet.worst(team) <= 1.0
    # They are served meanwhile.
    assert fleet.used("large", 30.0, 60.0) > 0.7 * 30.0 * LARGE.rate_per_s


@pytest.mark.parametrize("hot", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_usual_use_is_not_refused_in_calm(hot: bool, seed: int):
    """A team's callers may use one instance, or all of them at some requests a second.

    The large team has 32 requests a second, the small one one.
    """
    for team, until in (("large", 60.0), ("small", 800.0)):
        fleet = AllowanceFleet(91, {team: LIMITS[team]}, seed)
        fleet.run(5.0)
        load(fleet, USUAL, until, hot=hot)
        fleet.run(until)
        assert fleet.offered[team] > 500
        assert fleet.refused[team] < 0.01 * fleet.offered[team]


def test_limit_can_be_used_up_by_callers_that_want_more():
    fleet = AllowanceFleet(91, LIMITS, 3)
    fleet.run(5.0)
    load(fleet, 9.0, 40.0, hot=False)
    fleet.run(40.0)
    for team, limit in LIMITS.items():
        assert fleet.used(team, 10.0, 40.0) > 0.95 * 30.0 * limit.rate_per_s
        assert fleet.retry_s[team] > 1.0


@pytest.mark.parametrize("seed", range(3))
def test_part_of_the_use_goes_on_while_nobody_holds_the_lease(seed: int):
    """Callers at all instances send small requests, which the own shares can take."""
    fleet = AllowanceFleet(91, {"large": LARGE}, seed)
    fleet.run(5.0)
    names = list(fleet.fronts)[1:]
    fleet.spread("large", USUAL * LARGE.rate_per_s, names, 5.0, 20.0, (100.0, 400.0))
    fleet.run(10.0)
    offered, refused = fleet.offered["large"], fleet.refused["large"]
    assert refused <= 0.01 * offered
    fleet.lose_holder("front-5")
    fleet.run(13.5)
    offered = fleet.offered["large"] - offered
    refused = fleet.refused["large"] - refused
    assert refused < 0.35 * offered
    offered, refused = fleet.offered["large"], fleet.refused["large"]
    fleet.run(20.0)
    assert fleet.refused["large"] - refused < 0.05 * (fleet.offered["large"] - offered)


def test_teams_are_served_as_before_while_no_store_answers():
    """The lease ends then, but its last holder is still heard by all."""
    fleet = AllowanceFleet(91, LIMITS, 3)
    fleet.run(5.0)
    load(fleet, USUAL, 25.0, hot=True)
    fleet.run(12.0)
    refused = dict(fleet.refused)
    assert fleet.ledger is not None
    fleet.ledger.distrust(fleet.now)
    fleet.run(13.5)
    refused = dict(fleet.refused)
    fleet.run(25.0)
    for team in LIMITS:
        assert fleet.refused[team] - refused[team] <= 0.01 * fleet.offered[team]


# Single components.


def make_allowance(limit: Quota = SMALL) -> Allowance:
    allowance = Allowance("front-1", 1, BOUND)
    allowance.set_limits(0.0, BOUND, {"t": limit})
    allowance.set_instances(0.0, ["front-1", "front-2"])
    allowance.record_holder(0.0)
    return allowance


def grant(allowance: Allowance, now: float, amount: float, valid_s: float = 2.0):
    allowance.wait("t", amount, "x")
    request = allowance.request(now)
    assert request is not None
    allowance.stop_waiting("t", "x")
    reply = AllowanceReply(
        1, request.serial, {"t": AllowanceGrant(amount, valid_s)}, {}
    )
    allowance.receive(now, reply)
    return request, reply


def test_team_without_a_quota_is_not_limited():
    charge = make_allowance().charge(0.0, "other", 1e9)
    assert isinstance(charge, Charge)


def test_allowance_is_not_used_after_a_suspend():
    allowance = make_allowance()
    grant(allowance, 0.1, 1000.0)
    assert allowance.charge(2.2, "t", 500.0) is None


def test_reply_that_arrives_twice_or_late_adds_nothing():
    allowance = make_allowance()
    _, reply = grant(allowance, 0.1, 1000.0)
    allowance.receive(0.2, reply)
    assert allowance.stocks["t"].amount == 1000.0
    allowance.wait("t", 500.0, "y")
    request = allowance.request(0.3)
    assert request is not None
    late = AllowanceReply(1, request.serial, {"t": AllowanceGrant(500.0, 0.3)}, {})
    allowance.receive(0.7, late)
    assert allowance.stocks["t"].amount == 1000.0
    assert allowance.stocks["t"].returned == 500.0


def test_reply_of_an_earlier_holder_is_ignored():
    allowance = make_allowance()
    allowance.epoch = 5
    grant(allowance, 0.1, 1000.0)
    assert allowance.stocks["t"].amount == 0.0


def test_request_that_did_not_run_gives_its_charge_back():
    allowance = make_allowance()
    grant(allowance, 0.1, 1000.0)
    charge = allowance.charge(0.2, "t", 600.0)
    assert isinstance(charge, Charge)
    allowance.refund(0.3, charge)
    allowance.refund(0.3, charge)
    assert allowance.stocks["t"].amount == 1000.0
    sent = allowance.charge(0.4, "t", 600.0)
    assert isinstance(sent, Charge)
    allowance.settle(sent)
    allowance.refund(0.5, sent)
    # Its use may have been reported, so it goes back to the holder.
    assert allowance.stocks["t"].amount == 400.0
    assert allowance.stocks["t"].returned == 600.0


def test_request_that_waited_long_for_a_server_is_charged_again():
    allowance = make_allowance()
    grant(allowance, 0.1, 1000.0)
    charge = allowance.charge(0.2, "t", 600.0)
    assert isinstance(charge, Charge)
    assert not allowance.must_renew(0.6, charge)
    assert allowance.must_renew(0.8, charge)
    allowance.settle(charge)
    assert not allowance.must_renew(0.8, charge)


def test_one_lost_message_long_ago_does_not_make_the_holder_lost():
    allowance = make_allowance()
    allowance.wait("t", 500.0, "x")
    assert allowance.request(1.0) is not None
    allowance.stop_waiting("t", "x")
    repeated = allowance.request(1.25)
    assert repeated is not None
    allowance.receive(1.26, AllowanceReply(1, repeated.serial, {}, {}))
    allowance.record_holder(60.0)
    assert allowance.charge(60.0, "t", 500.0) is None
    assert allowance.own_since is None


def test_instance_that_never_heard_a_holder_has_no_own_share():
    """It does not know how many instances there are."""
    allowance = Allowance("front-1", 1, BOUND)
    allowance.set_limits(0.0, BOUND, {"t": LARGE})
    allowance.wait("t", 500.0, "x")
    assert allowance.request(1.0) is not None
    assert allowance.charge(5.0, "t", 500.0, "x") is None
    assert allowance.own_since is None


def test_refusal_is_remembered_for_a_moment_only():
    allowance = make_allowance()
    allowance.wait("t", 500.0, "x")
    request = allowance.request(1.0)
    assert request is not None
    allowance.receive(1.0, AllowanceReply(1, request.serial, {}, {"t": 3.0}))
    denied = allowance.charge(1.0, "t", 500.0, "x")
    assert denied == Denied(3.0)
    allowance.stop_waiting("t", "x")
    assert allowance.charge(1.02, "t", 600.0) == Denied(pytest.approx(2.98))
    assert allowance.charge(1.2, "t", 600.0) is None


def make_ledger(limit: Quota = SMALL, full_at: float = 60.0) -> AllowanceLedger:
    ledger = AllowanceLedger(0.0, 1, BOUND)
    ledger.set_limits(0.0, BOUND, {"t": limit})
    ledger.record_heard(full_at, ["front-1"])
    return ledger


def ask(
    ledger: AllowanceLedger, now: float, serial: int, wanted: TeamRequest, seen: int = 0
) -> tuple[float, float]:
    reply = ledger.handle(now, "front-1", AllowanceRequest(serial, seen, {"t": wanted}))
    assert reply is not None
    found = reply.granted.get("t")
    return found.amount if found else 0.0, reply.retry_s.get("t", 0.0)


def test_new_holder_starts_empty_and_fills_at_once():
    ledger = make_ledger(full_at=0.1)
    assert ask(ledger, 0.1, 1, TeamRequest(2000.0, 2000.0))[0] == 0.0
    assert ask(ledger, 0.6, 2, TeamRequest(2000.0, 2000.0))[0] == 2000.0


def test_request_above_the_burst_runs_from_a_full_bucket():
    """A team whose burst is smaller than each of its requests is still served."""
    tiny = Quota(100.0, 100.0, QuotaUnit.TOKENS, 200.0)
    strict = QuotaBound(slack=0.0, overshoot=0.0)
    ledger = AllowanceLedger(0.0, 1, strict)
    ledger.set_limits(0.0, strict, {"t": tiny})
    ledger.record_heard(60.0, ["front-1"])
    assert ask(ledger, 60.0, 1, TeamRequest(700.0, 700.0))[0] == 700.0
    ledger.record_heard(63.0, ["front-1"])
    granted, retry_s = ask(ledger, 63.0, 2, TeamRequest(700.0, 700.0))
    assert granted == 0.0
    assert retry_s > 3.0


def test_level_and_outstanding_allowance_never_exceed_the_depth():
    ledger = make_ledger()
    depth = BOUND.depth(SMALL)
    total = 0.0
    for serial in range(1, 40):
        total += ask(ledger, 60.0, serial, TeamRequest(3000.0, 3000.0))[0]
    assert 0.5 * depth < total <= depth


def test_lost_reply_costs_allowance_until_it_has_expired():
    ledger = make_ledger()
    bucket = ledger.buckets["t"]
    granted, _ = ask(ledger, 60.0, 1, TeamRequest(3000.0, 3000.0))
    assert granted == 3000.0
    # The reply is lost; the instance says that it has seen none, and has nothing.
    ask(ledger, 60.1, 2, TeamRequest(), seen=0)
    assert bucket.outstanding == 3000.0
    ask(ledger, 61.5, 3, TeamRequest(), seen=0)
    assert bucket.outstanding == 0.0


def test_request_that_arrives_twice_is_granted_once():
    ledger = make_ledger()
    request = AllowanceRequest(5, 0, {"t": TeamRequest(500.0, 500.0)})
    assert ledger.handle(60.0, "front-1", request) is not None
    assert ledger.handle(60.0, "front-1", request) is None


def test_restarted_instance_is_understood_at_once():
    """Its totals begin at 0 again, and its clock may have been set back."""
    ledger = make_ledger()
    bucket = ledger.buckets["t"]
    ask(ledger, 60.0, 900_000, TeamRequest(3000.0, 3000.0, returned=800.0, own=70.0))
    bucket.level = level = 1000.0
    ask(ledger, 60.0, 5, TeamRequest(returned=100.0))
    assert bucket.level == pytest.approx(level + 100.0)
    ask(ledger, 60.0, 6, TeamRequest(returned=100.0, own=60.0))
    assert bucket.level == pytest.approx(level + 40.0)


def test_refused_callers_are_told_to_come_one_after_the_other():
    ledger = make_ledger(full_at=0.0)
    wanted = TeamRequest(2100.0, 2100.0)
    times = [ask(ledger, 0.01, serial, wanted)[1] for serial in range(1, 6)]
    assert times == sorted(times)
    assert times[0] == pytest.approx(0.5, abs=0.1)
    assert times[-1] == pytest.approx(2.5, abs=0.1)


def test_shares_of_all_instances_add_up_to_the_limit():
    names = [f"front-{number}" for number in range(91)]
    shares = [own_share(BOUND, LARGE, "t", name, names) for name in names]
    assert sum(share.part for share in shares) == pytest.approx(1.0)
    debts = sum(share.may_owe for share in shares) * (
        4000.0 - BOUND.depth(LARGE) / len(names)
    )
    assert 0 < debts <= BOUND.room(LARGE) / 2


def test_cost_without_usable_counts_is_that_of_a_plain_request():
    """A caller that states no tokens would otherwise use none of its quota."""
    assert request_cost(SMALL, (300, 200)) == 500.0
    assert request_cost(SMALL, None) == 200.0
    assert request_cost(SMALL, (0, 0)) == 200.0
    assert request_cost(Quota(1.0, 1.0), (300, 200)) == 1.0


def test_request_that_costs_more_than_a_window_allows_is_refused():
    denied = make_allowance().charge(0.0, "t", 1e12)
    assert isinstance(denied, Denied)
