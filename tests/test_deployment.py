"""Tests of `wisterialoom.lab.deployment`: whole entry instances together."""

import pytest

from wisterialoom.core.ledger import Ledger, ledger_key
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


def test_lease_on_an_unlisted_engine_is_released():
    deployment = open_site("small")
    deployment.start_entries(2)
    world = deployment.world
    world.run_for(20.0)
    server = deployment.servers["engine-1"]
    deployment.unlist(server.name)
    world.run_for(10.0)
    stored = world.store_port.store.read(ledger_key(server.name))
    assert Ledger.decode(stored.body).released
    held = [parts.controllers.controllers for parts in deployment.entries.values()]
    assert not any(server.name in controllers for controllers in held)
