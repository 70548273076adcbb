"""Tests of the forecast of loads that instances decide their waits on."""

from __future__ import annotations

import pytest

from tests.test_placement_planner import DISK_S, LOAD_S, Site
from wisterialoom.core.placement.load_forecast import forecast_loads


def test_first_of_several_loads_of_a_model_counts():
    """A further copy put the forecast off by a whole load.

    All requests that waited for the first copy were refused shortly before it was
    ready, with a hint to come back after the second one.
    """
    site = Site.of([], [], [])
    for state, left_s in zip(site.states, (0.6, 4.2, 2.0), strict=True):
        state.loading = "m3"
        state.done_at = site.now + left_s
    states = {state.server_id: state for state in site.states}
    for order in (states, dict(reversed(states.items()))):
        assert forecast_loads(site.now, order, [site.planner]) == {
            "m3": pytest.approx(0.6)
        }


def test_model_with_reserved_memory_is_expected_after_an_unload_and_a_load():
    site = Site.of([], [])
    first, second = site.states
    first.on_disk = frozenset({"m4"})
    site.planner.reserved = {
        first.server_id: ("m4", site.now + 9.0),
        second.server_id: ("m5", site.now + 9.0),
        "s-gone": ("m6", site.now + 9.0),
    }
    states = {state.server_id: state for state in site.states}
    forecast = forecast_loads(site.now, states, [site.planner])
    assert set(forecast) == {"m4", "m5"}
    assert DISK_S < forecast["m4"] < LOAD_S < forecast["m5"]
