"""Tests of `wisterialoom.core.configuration.config_follower`."""

import math
import random

import pytest
from hypothesis import given, settings, strategies as st

from wisterialoom.core.configuration._config_body import pack, unpack
from wisterialoom.core.configuration._config_freshness import Freshness, MIN_PAUSE_S
from wisterialoom.core.configuration.config_follower import CONFIG_KEY, ConfigFollower
from wisterialoom.core.fleet.peer import (
    ConfigPush,
    Heartbeat,
    HeartbeatAck,
    MemberStatus,
    PeerReceived,
    SendPeer,
    STALE_AGE_MS,
)
from wisterialoom.core.message import Tick
from wisterialoom.core.notice import (
    ConfigChanged,
    ConfigFreshness,
    ConfigRefused,
    Member,
    MembersChanged,
)
from wisterialoom.core.object_store import MAX_OBJECT_BYTES
from wisterialoom.lab.world import World

ZONES = ("zone-1", "zone-2", "zone-3")
HEARTBEAT_INTERVAL_S = 0.5
MEMBER_LIMIT_S = 3.0
APPLY_LIMIT_S = 12.0
"""Time within which a configuration must be in force everywhere."""

RECOVERY_LIMIT_S = 10.0
"""Time after the last fault by which all instances run the newest configuration."""

VALID = b"""
[deployment]
name = "desk"
[[traffic_classes]]
name = "urgent"
priority = 0
"""
INVALID = b"[a_table_of_a_later_version]"


class GossipCore:
    """A follower in a large fleet.

    It sends a heartbeat to one random member each second.
    """

    def __init__(self, name, seed, fleet, members):
        self.inner = FollowerCore(name, seed, fleet)
        self.inner.heartbeat_at = math.inf
        self.rng = random.Random(seed)
        self.heartbeat_at = None
        self.members = members

    def handle(self, now, event):
        outputs = []
        if self.heartbeat_at is None:
            self.heartbeat_at = now + self.rng.random()
            outputs += self.inner.handle_in_follower(now, self.members)
        if isinstance(event, Tick) and now >= self.heartbeat_at:
            self.heartbeat_at += 1.0
            to = self.rng.choice(self.inner.fleet)
            outputs.append(self.inner.heartbeat(to, Heartbeat, now))
        if isinstance(event, PeerReceived) and isinstance(event.message, Heartbeat):
            outputs.append(self.inner.heartbeat(event.sender, HeartbeatAck, now))
        return outputs + self.inner.handle_in_follower(now, event)


class FollowerCore:
    """A follower with a minimal membership; each one sends heartbeats to all others."""

    def __init__(self, name, seed, fleet):
        self.name = name
        self.fleet = fleet
        self.follower = ConfigFollower(name, zone_of(name), random.Random(seed))
        self.generations = []
        self.refused = []
        self.report = ConfigFreshness(0, False, 0.0)
        self.reported_at = 0.0
        self.heartbeat_at = 0.0
        self.last_received = {}
        self.members = set()

    def handle(self, now, event):
        outputs = []
        match event:
            case Tick() if now >= self.heartbeat_at:
                self.heartbeat_at = now + HEARTBEAT_INTERVAL_S
                others = [name for name in self.fleet if name != self.name]
                outputs += [self.heartbeat(name, Heartbeat, now) for name in others]
            case PeerReceived(sender, message):
                self.last_received[sender] = now
                if isinstance(message, Heartbeat):
                    outputs.append(self.heartbeat(sender, HeartbeatAck, now))
        live = {n for n, at in self.last_received.items() if now - at < MEMBER_LIMIT_S}
        if live | {self.name} != self.members:
            self.members = live | {self.name}
            view = tuple(member(name) for name in sorted(self.members))
            outputs += self.handle_in_follower(now, MembersChanged(view))
        return outputs + self.handle_in_follower(now, event)

    def handle_in_follower(self, now, event):
        outputs = self.follower.handle(now, event)
        for output in outputs:
            match output:
                case ConfigChanged(generation=generation):
                    self.generations.append(generation)
                case ConfigRefused(generation=generation):
                    self.refused.append(generation)
                case ConfigFreshness():
                    self.report, self.reported_at = output, now
        return outputs

    def age_s(self, now):
        return self.report.age_s + now - self.reported_at

    def heartbeat(self, to, kind, now):
        message = kind(1, self.report.latest_generation, int(self.age_s(now) * 1_000))
        return SendPeer(to, f"{to}:1", message)


def zone_of(name):
    return ZONES[int(name[-1]) % len(ZONES)]


def member(name):
    return Member(name, f"{name}:1", zone_of(name), 1, MemberStatus.ALIVE)


class Fleet:
    """A simulated world of followers, with a record of the writes and their times."""

    def __init__(self, size, seed=1):
        self.world = World(seed, keep_trace=False)
        self.names = [f"entry-{i}" for i in range(size)]
        self.seed = seed
        self.written = []
        self.newest_valid = 0
        for name in self.names:
            self.start(name)

    def start(self, name):
        self.seed += 1
        return self.world.add(name, FollowerCore(name, self.seed, self.names))

    def put(self, body=VALID):
        version = self.world.store_port.put(CONFIG_KEY, body)
        self.written.append((self.world.now, version))
        if body is VALID:
            self.newest_valid = version
        return version

    def core(self, name):
        return self.world.hosts[name].core

    def cores(self):
        return [host.core for host in self.world.hosts.values() if host.alive]

    def isolate(self, *names):
        self.world.store_port.fault.cut_off |= set(names)
        for name in names:
            self.world.links.cut({name}, set(self.names))

    def heal(self):
        for host in list(self.world.hosts.values()):
            if not host.alive:
                self.start(host.name)
            elif host.frozen or host.hold_sends:
                self.world.thaw(host.name)
        self.world.links.restore_links()
        fault = self.world.store_port.fault
        fault.down, fault.lose_answer, fault.delay_s = False, 0.0, 0.004
        fault.cut_off.clear()

    def check(self):
        for host in self.world.hosts.values():
            core = host.core
            assert core.generations == sorted(set(core.generations))
            if not host.alive or host.frozen or not core.report.fresh:
                continue
            # At the time to which the instance's age refers, no newer generation
            # existed. Messages may be late by a pause that is too short to be
            # detected.
            age_s = core.age_s(self.world.now + host.skew_s)
            since = self.world.now - age_s - MIN_PAUSE_S
            older = [version for at, version in self.written if at <= since]
            assert core.report.latest_generation >= max(older, default=0)

    def settled(self):
        return all(
            core.report.fresh and core.report.generation == self.newest_valid
            for core in self.cores()
        )


ACTIONS = (
    *("put", "put", "put bad", "down", "slow", "lose answers", "cut off"),
    *("cut", "mend", "freeze", "freeze sends", "thaw", "kill", "restart", "heal"),
)
steps = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 63), st.floats(0.05, 12)),
    max_size=14,
)


def apply_action(fleet, action, number):
    world = fleet.world
    name = fleet.names[number % len(fleet.names)]
    group = {n for i, n in enumerate(fleet.names) if number >> i & 1}
    fault = world.store_port.fault
    match action:
        case "put":
            fleet.put()
        case "put bad":
            fleet.put(INVALID)
        case "down":
            fault.down = True
        case "slow":
            fault.delay_s = 1.5
        case "lose answers":
            fault.lose_answer = 0.6
        case "heal":
            fleet.heal()
        case "cut off":
            fault.cut_off |= group
        case "cut":
            world.links.cut(group, set(fleet.names) - group)
        case "mend":
            world.links.restore_links()
        case _:
            apply_process_action(fleet, action, name)


def apply_process_action(fleet, action, name):
    match action:
        case "thaw":
            fleet.world.thaw(name)
        case "kill":
            fleet.world.kill(name)
        case "restart":
            fleet.world.kill(name)
            fleet.start(name)
        case _:
            fleet.world.freeze(name, hold_sends=action == "freeze sends")


@settings(derandomize=True, deadline=None, max_examples=60)
@given(size=st.integers(3, 7), seed=st.integers(0, 99), steps=steps)
def test_generation_never_decreases_and_all_converge_after_faults_end(
    size, seed, steps
):
    fleet = Fleet(size, seed)
    fleet.put()
    fleet.world.run_for(2)
    for action, number, seconds in steps:
        apply_action(fleet, action, number)
        for _ in range(4):
            fleet.world.run_for(seconds / 4)
            fleet.check()
    fleet.heal()
    fleet.put()
    assert fleet.world.run_while(lambda: not fleet.settled(), RECOVERY_LIMIT_S)
    fleet.check()
    # The watches of killed and former relays time out.
    fleet.world.run_for(40)
    watches = fleet.world.store_port.watches.get(CONFIG_KEY, [])
    assert len(watches) <= min(size, len(ZONES))


def test_object_api_calls_do_not_grow_with_the_fleet():
    calls = []
    for size in (3, 9):
        fleet = Fleet(size)
        fleet.put()
        fleet.world.run_for(5)
        fleet.world.store_port.calls.clear()
        fleet.world.run_for(60)
        assert fleet.settled()
        calls.append(sum(fleet.world.store_port.calls.values()))
    assert calls[1] - calls[0] <= 6 * 3
    assert calls[1] <= 150


@pytest.mark.parametrize("size", [4, 9, 30])
@pytest.mark.parametrize("survivors", [1, 3])
def test_change_is_in_force_in_time_although_all_relays_lost_the_object_api(
    size, survivors
):
    """The others read the object after 10 s and more, and had it after 11.6 s."""
    for seed in range(3):
        fleet = Fleet(size, seed)
        fleet.put()
        fleet.world.run_for(10)
        relays = {core.name for core in fleet.cores() if core.follower.relay}
        others = [name for name in fleet.names if name not in relays]
        cut_off = set(fleet.names) - set(others[:survivors])
        fleet.world.store_port.fault.cut_off |= cut_off
        fleet.put()
        fleet.world.run_for(APPLY_LIMIT_S)
        assert fleet.settled()


def open_large_fleet(world):
    """Start 410 followers in five availability zones; return their cores."""
    names = [f"entry-{i}" for i in range(410)]
    zones = [f"zone-{i % 5}" for i in range(410)]
    members = MembersChanged(
        tuple(
            Member(name, f"{name}:1", zone, 1, MemberStatus.ALIVE)
            for name, zone in zip(names, zones, strict=True)
        )
    )
    cores = []
    for i, (name, zone) in enumerate(zip(names, zones, strict=True)):
        core = GossipCore(name, i, names, members)
        core.inner.follower.availability_zone = zone
        world.add(name, core)
        cores.append(core.inner)
    return cores


def test_fleet_of_410_has_a_change_in_time_although_all_relays_lost_the_object_api():
    """A tenth still reached the object, and had the change after 32.9 s."""
    world = World(2, keep_trace=False)
    world.links.delay_s = world.links.jitter_s = 0.005
    world.links.loss = 0.02
    cores = open_large_fleet(world)
    world.store_port.put(CONFIG_KEY, VALID)
    world.run_for(10)
    relays = {core.name for core in cores if core.follower.relay}
    cut_off = {core.name for core in cores[:369]} | relays
    world.store_port.fault.cut_off |= cut_off
    newest = world.store_port.put(CONFIG_KEY, VALID)
    world.run_for(APPLY_LIMIT_S)
    in_touch = [core for core in cores if core.name not in cut_off]
    assert {core.report.generation for core in in_touch} == {newest}
    # Those that do not reach the object hear of it from the others.
    world.run_for(8)
    assert {core.report.generation for core in cores} == {newest}


def test_fleet_of_410_follows_within_seconds_with_one_watch_per_zone():
    world = World(1, keep_trace=False)
    world.links.delay_s = world.links.jitter_s = 0.005
    world.links.loss = 0.02
    cores = open_large_fleet(world)
    world.store_port.put(CONFIG_KEY, VALID)
    world.run_for(10)
    world.store_port.calls.clear()
    newest = world.store_port.put(CONFIG_KEY, VALID)
    world.run_for(8)
    assert {core.report.generation for core in cores} == {newest}
    assert all(core.report.fresh for core in cores)
    assert sum(world.store_port.calls.values()) <= 8 * 10
    assert len(world.store_port.watches[CONFIG_KEY]) == 5


def test_general_outage_keeps_the_configuration_in_force_and_reports_its_age():
    fleet = Fleet(5)
    fleet.world.links.delay_s = fleet.world.links.jitter_s = 0.1
    generation = fleet.put()
    fleet.world.run_for(3)
    fleet.world.store_port.fault.down = True
    fleet.world.run_for(60)
    fleet.world.kill("entry-2")
    fleet.start("entry-2")
    fleet.world.run_for(60)
    assert fleet.settled()
    assert fleet.core("entry-2").generations == [generation]
    # Ages must grow although instances pass them to each other.
    assert all(115 < core.report.age_s < 130 for core in fleet.cores())


def test_unconfirmed_instances_cannot_confirm_each_other():
    fleet = Fleet(3)
    fleet.put()
    fleet.world.run_for(3)
    fleet.isolate("entry-0", "entry-1")
    fleet.put()
    fleet.world.run_for(7)
    assert [core.report.fresh for core in fleet.cores()] == [False, False, True]
    fleet.world.links.cuts.discard(frozenset(("entry-0", "entry-1")))
    fleet.world.run_for(30)
    assert [core.report.fresh for core in fleet.cores()] == [False, False, True]
    fleet.world.links.cuts.discard(frozenset(("entry-1", "entry-2")))
    assert fleet.world.run_while(lambda: not fleet.settled(), RECOVERY_LIMIT_S)


def test_resumed_instance_is_unconfirmed_until_a_later_response():
    fleet = Fleet(6)
    fleet.put()
    fleet.world.run_for(3)
    relay = next(core.name for core in fleet.cores() if core.follower.relay)
    fleet.world.store_port.fault.delay_s = 0.9
    fleet.world.run_while(lambda: fleet.core(relay).follower.object.read is None, 5)
    fleet.world.freeze(relay)
    fleet.world.run_for(4)
    # The inbox of the relay is full of heartbeats and responses from before the
    # change, and its watch does not report the change.
    fleet.isolate(relay)
    fleet.world.store_port.watches.clear()
    fleet.put()
    fleet.world.thaw(relay)
    fleet.world.run_for(1)
    assert not fleet.core(relay).report.fresh
    fleet.heal()
    assert fleet.world.run_while(lambda: not fleet.settled(), RECOVERY_LIMIT_S)


def test_only_responses_to_later_requests_confirm():
    freshness = Freshness()
    freshness.observe(10.0)
    freshness.confirm(10.0, 10.0)
    assert freshness.observe(20.0)
    freshness.update_age(20.0, 0.0)
    assert freshness.current_as_of == 10.0
    freshness.confirm(19.9, 20.1)
    assert freshness.unconfirmed_since == 20.0
    freshness.confirm(20.0, 20.1, age_s=5.0)
    assert freshness.unconfirmed_since is None
    assert freshness.age_s(20.1) == pytest.approx(0.2)


def test_unreadable_document_is_kept_for_peers_that_can_read_it():
    fleet = Fleet(3)
    good = fleet.put()
    fleet.world.run_for(3)
    bad = fleet.put(INVALID)
    fleet.world.run_for(20)
    for core in fleet.cores():
        assert core.refused == [bad]
        assert core.generations == [good]
        assert core.report.fresh
        assert unpack(core.follower.packed) == INVALID


def test_truncated_or_too_large_body_is_discarded():
    assert unpack(pack(VALID)) == VALID
    assert unpack(pack(b"")) == b""
    assert unpack(pack(VALID)[:-1]) == b""
    assert unpack(pack(b" " * (MAX_OBJECT_BYTES + 1))) == b""
    assert unpack(b"plain") == b""


def test_peer_without_a_configuration_confirms_nothing():
    fleet = Fleet(2)
    fleet.put()
    fleet.world.run_for(3)
    fleet.isolate("entry-0")
    for _ in range(20):
        fleet.world.run_for(0.5)
        fleet.world.send("entry-0", PeerReceived("entry-1", Heartbeat(1, 0, 0)))
    assert not fleet.core("entry-0").report.fresh


def test_instance_that_stays_behind_a_peer_is_not_fresh():
    fleet = Fleet(3)
    fleet.put()
    fleet.world.run_for(3)
    core = fleet.core("entry-0")
    fleet.world.kill("entry-1")
    for _ in range(10):
        fleet.world.send("entry-0", PeerReceived("entry-1", Heartbeat(1, 99)))
        fleet.world.run_for(0.45)
    assert not core.report.fresh
    assert core.report.age_s >= STALE_AGE_MS / 1_000
    fleet.world.send("entry-0", PeerReceived("entry-1", ConfigPush(99, pack(VALID))))
    assert core.report.fresh
