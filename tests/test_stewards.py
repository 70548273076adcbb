"""Tests of `wisterialoom.core.stewards`."""

import pytest

from tests.fleet import Fleet, make_document


@pytest.mark.parametrize("group", ["checking", "trusting"])
def test_replaces_a_model_when_both_do_not_fit(group):
    fleet = Fleet(1, document=make_document({"a": 60, "b": 60}), engines={"s": group})
    fleet.plan({"s": ["a@1"]})
    assert fleet.world.run_while(lambda: fleet.resident("s") != {"a@1"}, 20)
    fleet.world.run_for(40)
    fleet.plan({"s": ["b@1"]})
    assert fleet.world.run_while(lambda: fleet.resident("s") != {"b@1"}, 20)
    assert fleet.violations == []
