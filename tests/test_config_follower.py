"""Tests of `wisterialoom.core.config_follower`."""

import random

from wisterialoom.core.config_follower import CONFIG_KEY, ConfigFollower
from wisterialoom.core.message import Tick
from wisterialoom.core.notice import (
    ConfigChanged,
    ConfigFreshness,
    ConfigRefused,
    Member,
    MembersChanged,
)
from wisterialoom.core.peer import (
    Heartbeat,
    HeartbeatAck,
    MemberStatus,
    PeerReceived,
    SendPeer,
)
from wisterialoom.lab.world import World

ZONES = ("zone-1", "zone-2")
HEARTBEAT_INTERVAL_S = 0.5


def document(text):
    return f"""
    [deployment]
    name = "desk"
    [[traffic_classes]]
    name = "{text}"
    priority = 0
    """.encode()


class FollowerCore:
    """A follower with just enough of a membership: everyone beats to everyone."""

    def __init__(self, name, seed, fleet):
        self.name = name
        self.fleet = fleet
        rng = random.Random(seed)
        self.follower = ConfigFollower(name, zone_of(name), rng)
        self.generations = []
        self.refused = []
        self.freshness = ConfigFreshness(0, False, 0.0)
        self.fresh_at = 0.0
        self.beat_at = 0.0
        self.started = False

    def handle(self, now, event):
        outputs = []
        if not self.started:
            self.started = True
            outputs += self.hand(now, self.members())
        match event:
            case Tick() if now >= self.beat_at:
                self.beat_at = now + HEARTBEAT_INTERVAL_S
                outputs += [self.beat(n, Heartbeat, now) for n in self.others()]
            case PeerReceived(sender, Heartbeat()):
                outputs.append(self.beat(sender, HeartbeatAck, now))
        return outputs + self.hand(now, event)

    def hand(self, now, event):
        outputs = self.follower.handle(now, event)
        for output in outputs:
            match output:
                case ConfigChanged(generation=generation):
                    self.generations.append(generation)
                case ConfigRefused(generation=generation):
                    self.refused.append(generation)
                case ConfigFreshness():
                    self.freshness, self.fresh_at = output, now
        return outputs

    def others(self):
        return [name for name in self.fleet if name != self.name]

    def members(self):
        return MembersChanged(tuple(member(name) for name in sorted(self.fleet)))

    def beat(self, to, kind, now):
        age_ms = int((self.freshness.age_s + now - self.fresh_at) * 1_000)
        message = kind(1, self.freshness.known, age_ms)
        return SendPeer(to, f"{to}:1", message)


def zone_of(name):
    return ZONES[int(name[-1]) % len(ZONES)]


def member(name):
    return Member(name, f"{name}:1", zone_of(name), 1, MemberStatus.ALIVE)


def make_world(size, seed=1):
    world = World(seed)
    fleet = [f"entry-{i}" for i in range(size)]
    for i, name in enumerate(fleet):
        world.add(name, FollowerCore(name, seed + i, fleet))
    return world


def follower(world, name):
    return world.hosts[name].core.follower


def test_all_follow_with_one_watch_a_zone():
    world = make_world(6)
    world.run_for(2)
    generation = world.store_port.put(CONFIG_KEY, document("one"))
    world.run_for(1.5)
    cores = [host.core for host in world.hosts.values()]
    assert [core.generations for core in cores] == [[generation]] * 6
    assert all(core.freshness.fresh for core in cores)
    assert len(world.store_port.watches[CONFIG_KEY]) == len(ZONES)
