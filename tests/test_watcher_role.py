"""Which instances follow the store, on a virtual clock."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from hypothesis import given, strategies as st

from wisterialoom.core.fleet import MAX_RANK, WatcherRole

STEP_S = 0.15
NEWS_STEPS = 2
BOUND_S = 2.0
"""Longest time that the platform gives a configuration to be in force."""


@dataclass
class Fleet:
    """Instances that hear each other unless a link is cut."""

    names: list[str]
    now: float = 0.0
    stopped: set[str] = field(default_factory=set)
    blind: set[str] = field(default_factory=set)
    cut: set[tuple[str, str]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.roles = {name: WatcherRole(rank(name)) for name in self.names}
        self.current = dict.fromkeys(self.names, 0.0)
        self.steps = 0

    def play(self, for_s: float) -> None:
        end = self.now + for_s
        while self.now < end:
            self.now += STEP_S
            self.steps += 1
            for name in self.names:
                if name not in self.stopped:
                    self.step(name)

    def step(self, name: str) -> None:
        role = self.roles[name]
        role.step(self.now)
        if not role.active:
            return
        if name not in self.blind:
            self.current[name] = self.now
        if self.steps % NEWS_STEPS:
            return
        for other in self.names:
            if other != name and (name, other) not in self.cut:
                self.roles[other].record_message(self.now, name, role.rank)
                self.roles[other].record_agreement(self.now, name, self.current[name])

    def watchers(self) -> set[str]:
        return {
            name
            for name, role in self.roles.items()
            if role.active and name not in self.stopped
        }


def rank(name: str) -> int:
    return zlib.crc32(name.encode())


def fleet(count: int) -> Fleet:
    return Fleet([f"front-{number}" for number in range(count)])


def test_few_follow_the_store_however_large_the_fleet_is():
    for count in (5, 77, 410):
        world = fleet(count)
        world.play(6.0)
        assert len(world.watchers()) == 3


def test_few_begin_to_watch_when_all_start_at_once():
    """All watched for some seconds, and told all others all servers."""
    world = fleet(77)
    most = 0
    for _ in range(40):
        world.play(STEP_S)
        most = max(most, len(world.watchers()))
    assert most <= 15


def test_small_fleets_all_follow_the_store():
    world = fleet(3)
    world.play(6.0)
    assert len(world.watchers()) == 3


def test_one_alone_follows_the_store():
    role = WatcherRole(MAX_RANK - 1)
    assert not role.step(0.0)
    assert role.step(2.0)
    assert role.active


def test_lost_watchers_are_replaced_within_the_bound():
    world = fleet(40)
    world.play(6.0)
    world.stopped |= world.watchers()
    world.play(BOUND_S)
    assert world.watchers()
    world.play(6.0)
    assert len(world.watchers()) == 3


def test_watchers_that_the_store_does_not_answer_are_joined_by_others():
    world = fleet(40)
    world.play(6.0)
    world.blind |= world.watchers()
    world.play(6.0)
    assert world.watchers() - world.blind


def test_instances_that_hear_nobody_follow_the_store_themselves():
    world = fleet(20)
    world.play(6.0)
    alone = max(world.names, key=lambda name: name not in world.watchers())
    world.cut |= {(other, alone) for other in world.names}
    world.play(BOUND_S)
    assert world.roles[alone].active


def test_a_watcher_that_disagrees_does_not_count():
    role = WatcherRole(MAX_RANK - 1)
    for step in range(40):
        for number in range(20):
            role.record_message(step * STEP_S, f"w{number}", number)
        role.step(step * STEP_S)
    assert role.active


def test_duty_is_given_up_only_after_a_while():
    world = fleet(40)
    world.play(6.0)
    gone = sorted(world.watchers())[0]
    world.stopped.add(gone)
    world.play(6.0)
    replacement = world.watchers()
    assert len(replacement) == 3
    world.stopped.remove(gone)
    world.play(1.0)
    assert replacement <= world.watchers()
    world.play(6.0)
    assert len(world.watchers()) == 3


@given(st.lists(st.sampled_from(range(12)), max_size=9, unique=True))
def test_any_losses_leave_a_watcher(lost: list[int]):
    world = fleet(12)
    world.play(5.0)
    world.stopped |= {f"front-{number}" for number in lost}
    world.play(BOUND_S)
    assert world.watchers()
