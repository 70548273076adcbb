"""The object API on the virtual clock, with faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.object_store import (
    ABSENT,
    DeleteObject,
    ListObjects,
    ObjectConflict,
    ObjectEvent,
    ObjectRead,
    ObjectsListed,
    ObjectUnavailable,
    ObjectWritten,
    ReadObject,
    WatchObject,
    WriteObject,
)
from wisterialoom.lab.fault import StoreFault
from wisterialoom.standin.object_store import ObjectStore, VersionConflictError

if TYPE_CHECKING:
    import random

    from wisterialoom.lab.schedule import Schedule

__all__ = ["StoreCommand", "StorePort"]

StoreCommand: TypeAlias = (
    ReadObject | WatchObject | WriteObject | DeleteObject | ListObjects
)
Reply: TypeAlias = Callable[[ObjectEvent], None]

WATCH_LIMIT_S = 30.0
"""Time after which the platform ends a waiting watch unchanged."""


class StorePort:
    """Carries out object commands with delays and faults.

    Attributes:
        store: The objects.
        fault: Faults in force.
        calls: Count of calls by kind; a watch counts once for each wait.
        watches: Waiting watches by key.
    """

    def __init__(self, schedule: Schedule, rng: random.Random) -> None:
        self.schedule = schedule
        self.rng = rng
        self.store = ObjectStore()
        self.fault = StoreFault()
        self.calls: dict[str, int] = {}
        self.watches: dict[str, list[tuple[WatchObject, Reply]]] = {}

    def call(self, caller: str, command: StoreCommand, reply: Reply) -> None:
        """Carry out one command and reply once.

        Args:
            caller: Name of the entry instance.
            command: What to do.
            reply: Takes the answering event.
        """
        kind = type(command).__name__
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if caller in self.fault.cut_off:
            self._fail(command, reply, ambiguous=False, delay=self.fault.timeout_s)
            return
        if self.rng.random() < self.fault.lose_call:
            self._fail(command, reply, ambiguous=True, delay=self.fault.timeout_s)
            return
        lost = self.rng.random() < self.fault.lose_answer
        half = (self.fault.delay_s + self.rng.random() * self.fault.jitter_s) / 2
        self.schedule.after(half, lambda: self._perform(command, reply, half, lost))

    def _fail(
        self, command: StoreCommand, reply: Reply, *, ambiguous: bool, delay: float
    ) -> None:
        key = command.prefix if isinstance(command, ListObjects) else command.key
        event = ObjectUnavailable(command.op, key, ambiguous)
        self.schedule.after(delay, lambda: reply(event))

    def _perform(
        self, command: StoreCommand, reply: Reply, half: float, lost: bool
    ) -> None:
        if self.fault.down:
            self._fail(command, reply, ambiguous=False, delay=half)
            return
        if isinstance(command, WatchObject) and self._wait(command, reply):
            return
        event = self._apply(command)
        if lost:
            self._fail(command, reply, ambiguous=True, delay=self.fault.timeout_s)
        else:
            self.schedule.after(half, lambda: reply(event))

    def _apply(self, command: StoreCommand) -> ObjectEvent:
        match command:
            case ReadObject(op, key, held) | WatchObject(op, key, held):
                stored = self.store.read(key)
                known = held != ABSENT and stored.version == held
                body = b"" if known else stored.body
                return ObjectRead(op, key, stored.version, body)
            case ListObjects(op, prefix):
                return ObjectsListed(op, prefix, self.store.list(prefix))
            case WriteObject(op, key, body, expected):
                try:
                    version = self.store.write(key, body, expected).version
                except VersionConflictError as error:
                    return ObjectConflict(op, key, error.version)
            case DeleteObject(op, key, expected):
                try:
                    version = self.store.delete(key, expected)
                except VersionConflictError as error:
                    return ObjectConflict(op, key, error.version)
        self._wake_watches(key)
        return ObjectWritten(op, key, version)

    def _wait(self, command: WatchObject, reply: Reply) -> bool:
        if self.store.read(command.key).version > command.after:
            return False
        entry = (command, reply)
        self.watches.setdefault(command.key, []).append(entry)
        self.schedule.after(WATCH_LIMIT_S, lambda: self._end_watch(entry))
        return True

    def _end_watch(self, entry: tuple[WatchObject, Reply]) -> None:
        waiting = self.watches.get(entry[0].key, [])
        if entry in waiting:
            waiting.remove(entry)
            self._answer_watch(entry)

    def _wake_watches(self, key: str) -> None:
        for entry in self.watches.pop(key, []):
            self._answer_watch(entry)

    def _answer_watch(self, entry: tuple[WatchObject, Reply]) -> None:
        command, reply = entry
        if self.fault.down:
            self._fail(command, reply, ambiguous=False, delay=0.0)
            return
        event = self._apply(command)
        self.schedule.after(self.fault.delay_s / 2, lambda: reply(event))

    def put(self, key: str, body: bytes) -> int:
        """Write outside any fault, for setting up; return the version."""
        version = self.store.write(key, body, self.store.read(key).version).version
        self._wake_watches(key)
        return version
