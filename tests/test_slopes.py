"""Tests that the slopes command fits lines and writes its tables."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from wisterialoom.slopes.__main__ import main
from wisterialoom.slopes.fit import Slope
from wisterialoom.slopes.site_cost import measure_sites


def test_fit_distinguishes_linear_from_nonlinear_values():
    straight = Slope.through("r", "q", "u", "x", {1.0: 5.0, 2.0: 7.0, 4.0: 11.0})
    assert (straight.slope, straight.intercept) == pytest.approx((2.0, 3.0))
    assert straight.fit == pytest.approx(1.0)
    bent = Slope.through("r", "q", "u", "x", {1.0: 5.0, 2.0: 50.0, 4.0: 11.0})
    assert bent.fit < 0.5


def test_command_writes_json_and_markdown(tmp_path):
    result = CliRunner().invoke(main, ["--out", str(tmp_path), "--only", "codec"])
    assert result.exit_code == 0, result.output
    slopes = json.loads((tmp_path / "slopes.json").read_text())["slopes"]
    rows = (tmp_path / "slopes.md").read_text().splitlines()
    assert len(rows) == len(slopes) + 2
    sizes = {x["per"]: x for x in slopes if x["quantity"] == "size of a message"}
    assert 15 < sizes["change of load"]["slope"] < 40


def test_costs_of_a_simulated_deployment_are_counted_by_part():
    slopes = measure_sites("entries", "entry", (2, 4))
    names = {(slope.role, slope.quantity) for slope in slopes}
    assert ("member", "processor when idle") in names
    assert ("object API", "WriteObject ledgers") in names
    sent = next(x for x in slopes if x.quantity == "sent by an entry")
    assert min(sent.values) > 20.0
