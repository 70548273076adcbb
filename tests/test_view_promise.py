"""Tests of how old an instance's view of the store can be, on a virtual clock."""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass, field

import pytest

from wisterialoom.core.fleet import ViewPromise, WatcherRole

STEP_S = 0.01
CHECK_STEPS = 15
ANNOUNCE_S = 0.3
CALL_S = 0.05
"""Duration of a call to the store and of a message, far above those of a fast network.
"""


@dataclass
class Instance:
    """One instance with its role, its own reads and the messages under way to it.

    Attributes:
        read_at: Time at which the view was current by this instance's own reads.
        call_due: Time at which the present call to the store is answered.
        sent_at: Time of its last message as a watcher.
    """

    role: WatcherRole
    read_at: float = float("-inf")
    call_due: float = float("inf")
    sent_at: float = float("-inf")

    def age_s(self, now: float) -> float:
        return now - max(self.read_at, self.role.confirmed_at)


@dataclass
class World:
    """Instances that follow each other, some of which have no access to the store."""

    count: int
    promise: ViewPromise
    now: float = 0.0
    cut: set[str] = field(default_factory=set)
    calls: int = 0
    readers: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.instances = {
            f"front-{number}": Instance(
                WatcherRole(zlib.crc32(f"front-{number}".encode()), self.promise)
            )
            for number in range(self.count)
        }
        self.messages: list[tuple[float, str, float]] = []
        self.steps = 0

    def play(self, for_s: float) -> float:
        """Play on; return the largest age of the view of an instance with access."""
        worst = 0.0
        end = self.now + for_s
        while self.now < end:
            self.now += STEP_S
            self.steps += 1
            self.deliver()
            for name, instance in self.instances.items():
                self.step(name, instance)
                if name not in self.cut:
                    worst = max(worst, instance.age_s(self.now))
        return worst

    def deliver(self) -> None:
        due = [message for message in self.messages if message[0] <= self.now]
        self.messages = [message for message in self.messages if message[0] > self.now]
        for _, sender, current_at in due:
            rank = self.instances[sender].role.rank
            for name, instance in self.instances.items():
                if name != sender:
                    instance.role.record_message(self.now, sender, rank)
                    instance.role.record_agreement(self.now, sender, current_at)

    def step(self, name: str, instance: Instance) -> None:
        role = instance.role
        if self.steps % CHECK_STEPS == 0 or role.due_in_s(self.now) <= STEP_S:
            was_active = role.active
            role.step(self.now)
            if role.active and not was_active:
                self.call(name, instance, 0.0)
        if not role.active:
            return
        if self.now >= instance.call_due:
            if name in self.cut:
                instance.call_due = self.now + self.promise.max_retry_s(self.count)
                self.calls += 1
            else:
                instance.read_at = self.now - CALL_S
                self.call(name, instance, self.promise.watch_wait_s)
        fresh = self.now - instance.read_at <= self.promise.max_age_s
        if fresh and self.now - instance.sent_at >= ANNOUNCE_S:
            instance.sent_at = self.now
            self.messages.append((self.now + CALL_S, name, instance.read_at))

    def call(self, name: str, instance: Instance, wait_s: float) -> None:
        self.calls += 1
        self.readers.add(name)
        instance.call_due = self.now + wait_s + CALL_S

    def watchers(self) -> set[str]:
        return {name for name, one in self.instances.items() if one.role.active}


@pytest.mark.parametrize("count", [6, 77, 195])
@pytest.mark.parametrize("limit_s", [2.0, 3.0, 4.0, 12.0])
def test_view_is_current_whoever_of_the_watchers_loses_the_store(
    count: int, limit_s: float
):
    """An instance that followed three cut watchers learned of a change after 4.9 s."""
    world = World(count, ViewPromise(limit_s))
    world.play(5.0)
    chance = random.Random(count)
    for _ in range(3):
        others = sorted(world.instances.keys() - world.watchers())
        spared = set(chance.sample(others, max(1, len(others) // 6)))
        world.cut = world.instances.keys() - spared
        assert world.play(6.0) <= limit_s
        world.cut = set()
        # An instance that was cut owes nothing before it has had access for a while.
        world.play(max(3.0, limit_s))


def test_quiet_fleet_reads_the_store_by_three_watchers_only():
    world = World(195, ViewPromise(4.0))
    world.play(8.0)
    world.calls, world.readers = 0, set()
    assert world.play(20.0) <= world.promise.max_age_s
    assert len(world.readers) == 3
    assert world.calls <= 3 * 20.0 / world.promise.watch_wait_s + 3


def test_loss_of_all_watchers_makes_few_of_the_others_read():
    world = World(195, ViewPromise(4.0))
    world.play(8.0)
    world.cut = world.watchers()
    world.readers = set()
    assert world.play(10.0) <= 4.0
    # Those begin whose turn comes before the first reader's message arrives.
    within_a_message = 2 * CALL_S / world.promise.start_spread_s
    assert len(world.readers - world.cut) <= 195 * within_a_message + 3


def test_store_that_answers_nobody_gets_a_hundred_calls_a_second():
    world = World(195, ViewPromise(4.0))
    world.play(8.0)
    world.cut = set(world.instances)
    world.play(5.0)
    world.calls = 0
    world.play(10.0)
    assert world.calls <= 10.0 * 110


def test_short_promises_leave_time_for_the_read_itself():
    for limit_s in (0.5, 2.0, 4.0, 30.0):
        promise = ViewPromise.from_config(limit_s, 2 * limit_s)
        assert promise.limit_s == limit_s
        steps = promise.max_age_s + promise.start_spread_s + promise.call_timeout_s
        assert steps < limit_s
        assert promise.watch_wait_s < promise.max_age_s
