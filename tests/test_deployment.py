"""Tests of `wisterialoom.lab.deployment`: whole entry instances together."""

import pytest

from wisterialoom.lab.site import open_site


@pytest.mark.parametrize("seed", range(4))
def test_survivor_of_two_stays_ready_when_the_relay_dies(seed):
    deployment = open_site("small", seed=seed)
    deployment.zones = ("az-1",)
    deployment.start_entries(2)
    world = deployment.world
    world.run_for(20.0)
    names = set(deployment.entries)
    relay = next(x for x in names if deployment.entries[x].config.relay)
    (survivor,) = names - {relay}
    deployment.kill_entry(relay)
    for _ in range(300):
        world.run_for(0.1)
        assert survivor in deployment.ready
