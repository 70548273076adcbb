"""Tests of `wisterialoom.core.engine_control.demand`."""

from wisterialoom.core.engine_control.demand import Demand, DemandAverages, planner_of
from wisterialoom.core.fleet.peer import DemandReport, MemberStatus
from wisterialoom.core.message import Tick
from wisterialoom.core.notice import DemandMeasured, Member, MembersChanged

MEMBERS = tuple(
    Member(name, "127.0.0.1:1", "z", 1, MemberStatus.ALIVE) for name in ("m0", "m1")
)


def test_reports_only_what_changed():
    planner = planner_of(MEMBERS).name
    demand = Demand(next(x.name for x in MEMBERS if x.name != planner))
    demand.handle(0.0, MembersChanged(MEMBERS))
    reports = []
    for second, rate in enumerate([1.0, 1.0, 1.02, 2.0]):
        demand.handle(float(second), DemandMeasured({"a": rate, "b": 5.0}, {"c": 1}))
        reports += [x.message for x in demand.handle(float(second), Tick())]
    assert reports == [
        DemandReport({"a": 1.0, "b": 5.0}, {"c": 1}),
        DemandReport({"a": 2.0}, {}),
    ]


def test_averages_rise_fast_and_fall_slowly():
    averages = DemandAverages()
    averages.average(0.0)
    averages.replace(0.0, "m0", {"a": 10.0}, {"a": 2})
    risen = averages.average(20.0)["a"]
    averages.replace(20.0, "m0", {}, {})
    fallen = averages.average(40.0)["a"]
    assert risen.rate > 8.0
    assert fallen.fast < 2.0
    assert fallen.rate == fallen.slow > 1.0
    assert (risen.waiting, fallen.waiting) == (2, 0)
