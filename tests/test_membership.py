"""Tests of membership under message loss, partitions, pauses and process failures."""

from __future__ import annotations

from hypothesis import given, Phase, settings, strategies as st

from wisterialoom.core.fleet.gossip import DATAGRAM_BYTES
from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    InstanceListRead,
    ListedInstance,
)
from wisterialoom.core.fleet.peer import Heartbeat, HeartbeatAck
from wisterialoom.core.notice import ConfigFreshness, DrainRequested
from wisterialoom.lab.fleet import Fleet

CONVERGE_S = 40.0
"""Bound after the end of all faults, including the backoff of syncs and contacts."""

DEATH_S = 12.0
"""Bound on the time until every member has removed a dead one."""

DROPPED_S = 6.0
"""Bound on the time that a member omits a live and reachable one."""

LEAVE_S = 3.0

seeds = st.integers(0, 10_000)
sizes = st.integers(5, 7)


def worlds(examples):
    """Return settings for tests of a whole fleet, which are too slow to shrink."""
    phases = (Phase.explicit, Phase.generate)
    return settings(
        derandomize=True, deadline=None, max_examples=examples, phases=phases
    )


def fleet_of(seed, size, *, loss=0.0):
    fleet = Fleet(seed, measure=True)
    fleet.seeds = ("10.0.0.0:7", "10.0.0.1:7")
    for number in range(size):
        fleet.start(f"entry-{number}")
    assert fleet.run_until(fleet.has_converged, 15.0)
    fleet.links.loss = loss
    fleet.links.double = loss
    fleet.links.jitter_s = 0.05 if loss else 0.001
    return fleet


def view(fleet):
    return {name: member.names for name, member in fleet.live.items()}


class Chaos:
    """Injects one random fault after another."""

    def __init__(self, fleet, data):
        self.fleet = fleet
        self.data = data
        self.incarnation = 1

    def pick(self, names):
        return self.data.draw(st.sampled_from(sorted(names)))

    def step(self):
        fleet = self.fleet
        kind = self.data.draw(
            st.sampled_from(["kill", "freeze", "cut", "loss", "calm"])
        )
        if kind == "kill" and len(fleet.live) > 1:
            fleet.kill(self.pick(fleet.live))
        elif kind == "freeze" and len(fleet.live) > 1:
            fleet.freeze(self.pick(fleet.live))
        elif kind == "cut":
            names = set(fleet.members)
            side = set(self.data.draw(st.sets(st.sampled_from(sorted(names)))))
            fleet.links.cut(side, names - side)
        elif kind == "loss":
            fleet.links.loss = fleet.links.double = 0.3
            fleet.links.jitter_s = 0.2
        elif kind == "calm":
            self.calm()
        fleet.run_for(self.data.draw(st.sampled_from([0.3, 3.0, 20.0])))

    def calm(self):
        """End all faults; killed members restart under the same name."""
        fleet = self.fleet
        fleet.links.restore_links()
        fleet.links.loss = fleet.links.double = 0.0
        for name, host in sorted(fleet.hosts.items()):
            if not host.alive:
                self.incarnation += self.data.draw(st.integers(0, 1))
                fleet.start(name, incarnation=self.incarnation)
            elif host.frozen:
                fleet.thaw(name)


@worlds(60)
@given(seeds, sizes, st.integers(1, 8), st.data())
def test_members_agree_after_all_faults_are_over(seed, size, steps, data):
    fleet = fleet_of(seed, size)
    chaos = Chaos(fleet, data)
    for _ in range(steps):
        chaos.step()
    chaos.calm()
    assert fleet.run_until(fleet.has_converged, CONVERGE_S), view(fleet)
    assert max(t.largest_datagram for t in fleet.traffic.values()) <= DATAGRAM_BYTES


@worlds(30)
@given(seeds, sizes)
def test_killed_member_is_removed_everywhere_within_the_bound(seed, size):
    fleet = fleet_of(seed, size, loss=0.1)
    fleet.kill("entry-1")

    def removed():
        return all("entry-1" not in m.names for m in fleet.live.values())

    assert fleet.run_until(removed, DEATH_S), view(fleet)
    assert all("entry-1" in m.members.gone for m in fleet.live.values())


@worlds(20)
@given(seeds, sizes)
def test_live_member_is_not_removed_for_long_under_loss(seed, size):
    fleet = fleet_of(seed, size, loss=0.1)
    missing_since = {}
    end = fleet.now + 240.0
    while fleet.now < end:
        fleet.run_for(0.5)
        for name, member in fleet.members.items():
            for other in fleet.members:
                if other in member.names:
                    missing_since.pop((name, other), None)
                else:
                    since = missing_since.setdefault((name, other), fleet.now)
                    assert fleet.now - since < DROPPED_S, (name, other)


@worlds(20)
@given(seeds, sizes, st.sampled_from([1.5, 5.0, 30.0, 700.0]))
def test_paused_member_removes_nobody_and_rejoins(seed, size, pause_s):
    fleet = fleet_of(seed, size)
    resumed = fleet.members["entry-2"]
    fleet.freeze("entry-2")
    fleet.run_for(pause_s)
    before = len(resumed.history)
    fleet.thaw("entry-2")
    assert fleet.run_until(fleet.has_converged, DEATH_S), view(fleet)
    fleet.run_for(30.0)
    assert fleet.has_converged()
    assert {len(notice.members) for _, notice in resumed.history[before:]} <= {size}


@worlds(8)
@given(seeds, sizes, st.booleans())
def test_leaving_member_is_removed_soon_and_not_restored_by_gossip(seed, size, kill):
    fleet = fleet_of(seed, size, loss=0.1)
    fleet.send("entry-1", DrainRequested())
    others = [member for name, member in fleet.members.items() if name != "entry-1"]

    def removed():
        return all("entry-1" in member.members.gone for member in others)

    assert fleet.run_until(removed, LEAVE_S), view(fleet)
    assert fleet.run_until(lambda: fleet.members["entry-1"].drained, LEAVE_S)
    if kill:
        fleet.kill("entry-1")
    for _ in range(70):
        fleet.run_for(9.0)
        assert all("entry-1" not in member.names for member in others)
    if not kill:
        fleet.kill("entry-1")
    fleet.start("entry-1", incarnation=0)
    assert fleet.run_until(fleet.has_converged, CONVERGE_S), view(fleet)


def test_members_join_through_the_instance_list():
    fleet = Fleet(3)
    for number in range(6):
        fleet.start(f"entry-{number}")
    fleet.run_for(5.0)
    assert all(len(member.names) == 1 for member in fleet.live.values())
    entries = tuple(
        ListedInstance(name, "1", address, "a", {"kind": "entry"})
        for name, address in fleet.addresses.items()
    )
    engine = ListedInstance("writer", "1", "10.9.0.1:7", "a", {"kind": "engine"})
    for name in fleet.members:
        fleet.send(name, InstanceListRead(InstanceList((*entries, engine))))
    assert fleet.run_until(fleet.has_converged, 15.0), view(fleet)


def test_heartbeats_carry_the_generation_and_its_age():
    fleet = fleet_of(4, 5)
    fleet.send("entry-0", ConfigFreshness(7, fresh=True, age_s=2.0))
    seen = []
    original_send = fleet._send_peer

    def spy(host, command):
        if host.name == "entry-0" and isinstance(
            command.message, Heartbeat | HeartbeatAck
        ):
            seen.append((fleet.now, command.message))
        original_send(host, command)

    started_at = fleet.now
    fleet._send_peer = spy
    fleet.run_for(5.0)
    assert len(seen) >= 5
    for at, message in seen:
        assert message.generation == 7
        assert abs(message.config_age_ms - (at - started_at + 2.0) * 1_000) < 2
