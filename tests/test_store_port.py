"""Tests of `wisterialoom.lab.store_port`."""

import random

from wisterialoom.core.object_store import (
    ObjectConflict,
    ObjectRead,
    ObjectUnavailable,
    ObjectWritten,
    ReadObject,
    WatchObject,
    WriteObject,
)
from wisterialoom.lab.schedule import Schedule
from wisterialoom.lab.store_port import StorePort


def make_port():
    schedule = Schedule()
    return schedule, StorePort(schedule, random.Random(1))


def test_only_one_of_two_conditional_updates_succeeds():
    schedule, port = make_port()
    events = []
    for name in ("a", "b"):
        port.call(name, WriteObject(name, "key", name.encode(), 0), events.append)
    schedule.run_until(schedule.now + 1)
    assert len(events) == 2
    assert {type(event) for event in events} == {ObjectWritten, ObjectConflict}


def test_write_takes_effect_when_its_answer_is_lost():
    schedule, port = make_port()
    port.fault.lose_answer = 1.0
    events = []
    port.call("a", WriteObject("op", "key", b"body", 0), events.append)
    schedule.run_until(schedule.now + 2)
    assert events == [ObjectUnavailable("op", "key", ambiguous=True)]
    assert port.store.read("key").body == b"body"


def test_watch_is_answered_only_for_a_newer_version():
    schedule, port = make_port()
    version = port.put("key", b"old")
    events = []
    port.call("a", WatchObject("op", "key", version), events.append)
    schedule.run_until(schedule.now + 1)
    assert events == []
    newer = port.put("key", b"new")
    schedule.run_until(schedule.now + 1)
    assert events == [ObjectRead("op", "key", newer, b"new")]


def test_unavailable_store_fails_calls_at_once():
    schedule, port = make_port()
    port.fault.down = True
    events = []
    port.call("a", ReadObject("op", "key"), events.append)
    schedule.run_until(schedule.now + 0.1)
    assert events == [ObjectUnavailable("op", "key", ambiguous=False)]


def test_waiting_watch_hears_nothing_while_its_caller_is_cut_off():
    """Its watch still told the caller of each change, so no test missed a relay."""
    schedule, port = make_port()
    events = []
    port.call("a", WatchObject("op", "key", 0), events.append)
    schedule.run_until(schedule.now + 1)
    port.fault.cut_off.add("a")
    port.put("key", b"new")
    schedule.run_until(schedule.now + 20)
    assert events == []
    schedule.run_until(schedule.now + 40)
    assert events == [ObjectUnavailable("op", "key", ambiguous=False)]
