"""Revoked API keys are refused in time, whatever an instance has lost or missed."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from wisterialoom.core.teams.key_validity import KeyValidity

if TYPE_CHECKING:
    from collections.abc import Callable

REVOKE_S = 5.0
LATEST_S = 0.9 * REVOKE_S


def strict(**changes: bool) -> KeyValidity:
    validity = KeyValidity(**changes)
    validity.set_limits(strict=True, revoke_s=REVOKE_S)
    return validity


def test_without_a_strict_bound_keys_are_always_accepted():
    """Guards against refusals in deployments that did not ask for the bound."""
    validity = KeyValidity()
    assert validity.can_vouch(1e9)
    assert validity.ask(1e9) is None


def test_keys_are_refused_before_the_bound_after_the_store_is_lost():
    """Guards against keys that stay valid at an instance without a store."""
    validity = strict(is_settled=True)
    assert not validity.can_vouch(100.0)
    validity.record_read(100.2, 100.0, 3)
    assert validity.can_vouch(100.0 + LATEST_S)
    assert not validity.can_vouch(100.0 + LATEST_S + 0.01)


def test_keys_are_accepted_for_most_of_the_bound_without_the_store():
    """Guards against refusals in outages of up to 0.6 of the bound."""
    validity = strict(is_settled=True)
    # The last confirmation is as old as it gets before another one is asked for.
    lost_at = 100.0
    validity.record_read(lost_at, lost_at - 0.3 * REVOKE_S, 3)
    assert validity.can_vouch(lost_at + 0.6 * REVOKE_S)


def test_answer_that_a_paused_process_reads_late_confirms_the_time_of_its_question():
    """Guards against an answer that waited in a socket and is taken for a new one."""
    validity = strict(is_settled=True)
    serial = validity.ask(100.0)
    assert serial is not None
    resumed_at = 160.0
    assert validity.record_answer(serial, 3, 0.2, 3)
    assert validity.current_at == pytest.approx(99.8)
    assert not validity.can_vouch(resumed_at)


@pytest.mark.parametrize("age_s", [float("nan"), -1.0])
def test_answers_without_a_question_or_a_usable_age_confirm_nothing(age_s: float):
    """Guards against messages of another process, or from before a restart."""
    validity = strict(is_settled=True)
    assert not validity.record_answer(1, 3, 0.1, 3)
    serial = validity.ask(100.0)
    assert serial is not None
    assert not validity.record_answer(serial, 3, age_s, 3)
    assert not validity.record_answer(serial + 1, 3, 0.1, 3)
    assert not validity.can_vouch(100.0)


def test_copy_counts_only_once_it_is_confirmed():
    """Guards against a copied configuration that is taken for a current one."""
    validity = strict()
    validity.record_read(100.0, float("-inf"), 7)
    assert not validity.can_vouch(100.0)
    serial = validity.ask(100.0)
    assert serial is not None
    assert validity.record_answer(serial, 7, 0.5, 7)
    assert validity.can_vouch(100.0)


def test_store_restored_from_an_older_copy_does_not_bring_a_key_back():
    """Guards against an instance that restarts and reads an older configuration."""
    validity = strict()
    validity.record_read(100.0, 99.9, 6)
    assert not validity.can_vouch(100.0)
    serial = validity.ask(100.0)
    assert serial is not None
    assert not validity.record_answer(serial, 7, 0.1, 6)
    for now in range(101, 200):
        validity.record_read(float(now), now - 0.1, 6)
        assert not validity.can_vouch(float(now))
    validity.record_read(200.0, 199.9, 7)
    assert validity.can_vouch(200.0)


def test_instance_that_no_other_answers_settles_after_a_while():
    """Guards against a single instance that refuses all keys for good."""
    validity = strict()
    validity.record_read(100.0, 99.9, 6)
    assert not validity.can_vouch(100.1)
    validity.record_read(102.1, 102.0, 6)
    assert validity.can_vouch(102.1)


def test_questions_are_bounded_in_number_and_rate():
    validity = strict()
    now = 0.0
    asked = 0
    for _ in range(10_000):
        now += 0.01
        asked += validity.ask(now) is not None
    assert asked <= 100.0 / (0.05 * REVOKE_S) + 1
    assert len(validity.questions) <= 64


def test_no_question_is_asked_while_the_view_is_fresh():
    validity = strict(is_settled=True)
    validity.record_read(100.0, 100.0, 3)
    assert validity.ask(100.9) is None
    assert validity.ask(101.1) is not None


@dataclass
class Instance:
    """An instance of the replay.

    Attributes:
        validity: The code under test.
        version: Version of the configuration in force.
        resumes_at: Time until which the process is paused.
        reads: Whether it reads the store.
    """

    validity: KeyValidity
    version: int = 1
    resumes_at: float = 0.0
    reads: bool = False


@dataclass
class Replay:
    """Instances, a store whose configuration changes, losses, delays and pauses."""

    rng: random.Random
    instances: list[Instance]
    acknowledged: dict[int, float] = field(default_factory=lambda: {1: 0.0})
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: itertools.count[int] = field(default_factory=itertools.count)
    vouched: int = 0
    refused: int = 0

    @property
    def version(self) -> int:
        return max(self.acknowledged)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), action))

    def run_at(self, instance: Instance, action: Callable[[], None]) -> None:
        """Run code of an instance now, or as soon as it is no longer paused."""
        if instance.resumes_at > self.now:
            self.at(
                instance.resumes_at - self.now, lambda: self.run_at(instance, action)
            )
        else:
            action()

    def delay_s(self) -> float:
        return self.rng.choice([0.001, 0.01, 0.1, 1.0, 6.0])

    def read_store(self, instance: Instance) -> None:
        began_at = self.now

        def answer() -> None:
            version = self.version

            def apply() -> None:
                instance.version = max(instance.version, version)
                instance.validity.record_read(self.now, began_at, instance.version)

            self.at(self.delay_s(), lambda: self.run_at(instance, apply))

        if self.rng.random() < 0.8:
            self.at(self.delay_s(), answer)
        self.at(0.75, lambda: self.run_at(instance, lambda: self.read_store(instance)))

    def ask(self, instance: Instance) -> None:
        serial = instance.validity.ask(self.now)
        other = self.rng.choice(self.instances)
        if serial is not None and other is not instance:

            def answer() -> None:
                age_s = other.validity.age_s(self.now)
                version = other.version

                def apply() -> None:
                    if version > instance.version and self.rng.random() < 0.7:
                        instance.version = version
                    instance.validity.record_answer(
                        serial, version, age_s, instance.version
                    )

                if age_s < float("inf"):
                    self.at(self.delay_s(), lambda: self.run_at(instance, apply))

            self.at(self.delay_s(), lambda: self.run_at(other, answer))
        self.at(0.1, lambda: self.run_at(instance, lambda: self.ask(instance)))

    def check(self, instance: Instance) -> None:
        """Check what an instance would do with a key of its configuration."""
        if instance.validity.can_vouch(self.now):
            self.vouched += 1
            newer_at = self.acknowledged.get(instance.version + 1, float("inf"))
            assert self.now - newer_at <= LATEST_S
        else:
            self.refused += 1
        self.at(0.1, lambda: self.run_at(instance, lambda: self.check(instance)))

    def disturb(self) -> None:
        self.acknowledged[self.version + 1] = self.now
        self.rng.choice(self.instances).resumes_at = self.now + self.rng.uniform(0, 20)
        for instance in self.instances[: len(self.instances) // 2]:
            instance.reads = self.rng.random() < 0.5
        self.at(self.rng.uniform(0.1, 10.0), self.disturb)

    def run(self, until: float) -> None:
        for number, instance in enumerate(self.instances):
            if number < 2:
                self.read_store(instance)
            self.ask(instance)
            self.check(instance)
        self.disturb()
        while self.events and self.events[0][0] < until:
            self.now, _, action = heapq.heappop(self.events)
            action()


@pytest.mark.parametrize("seed", range(20))
def test_no_key_is_used_past_the_bound_whatever_is_paused_late_or_lost(seed: int):
    """Guards against each source of a too young age, at once and in any order."""
    instances = [Instance(strict(is_settled=True)) for _ in range(8)]
    replay = Replay(random.Random(seed), instances)
    replay.run(120.0)
    assert replay.vouched > 300
    assert replay.refused > 30
