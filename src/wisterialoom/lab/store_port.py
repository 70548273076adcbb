"""Simulates the object API, with injected faults."""

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

WaitingWatch: TypeAlias = tuple[str, WatchObject, Reply]

WATCH_LIMIT_S = 30.0
"""Time after which the platform answers a watch without a change, in seconds."""


class StorePort:
    """Executes object commands with delays and faults.

    Attributes:
        store: The stored objects.
        fault: Faults in force.
        calls: Number of calls by command class; each wait of a watch is one call.
        watches: Waiting watches with their callers and callbacks, by object key.
    """

    def __init__(self, schedule: Schedule, rng: random.Random) -> None:
        self.schedule = schedule
        self.rng = rng
        self.store = ObjectStore()
        self.fault = StoreFault()
        self.calls: dict[str, int] = {}
        self.watches: dict[str, list[WaitingWatch]] = {}

    def call(self, caller: str, command: StoreCommand, reply: Reply) -> None:
        """Execute a command and reply exactly once.

        Args:
            caller: Name of the entry instance.
            command: Command to execute.
            reply: Callback for the resulting event.
        """
        kind = type(command).__name__
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if caller in self.fault.cut_off:
            self._fail(command, reply, ambiguous=False, delay=self.fault.timeout_s)
            return
        if self.rng.random() < self.fault.lose_call:
            self._fail(command, reply, ambiguous=True, delay=self.fault.timeout_s)
            return
        answer_lost = self.rng.random() < self.fault.lose_answer
        half_delay_s = (
            self.fault.delay_s + self.rng.random() * self.fault.jitter_s
        ) / 2
        self.schedule.after(
            half_delay_s,
            lambda: self._execute(caller, command, reply, half_delay_s, answer_lost),
        )

    def _fail(
        self, command: StoreCommand, reply: Reply, *, ambiguous: bool, delay: float
    ) -> None:
        key = command.prefix if isinstance(command, ListObjects) else command.key
        event = ObjectUnavailable(command.op, key, ambiguous)
        self.schedule.after(delay, lambda: reply(event))

    def _execute(
        self,
        caller: str,
        command: StoreCommand,
        reply: Reply,
        half_delay_s: float,
        answer_lost: bool,
    ) -> None:
        if self.fault.down:
            self._fail(command, reply, ambiguous=False, delay=half_delay_s)
            return
        if isinstance(command, WatchObject) and self._start_watch(
            caller, command, reply
        ):
            return
        event = self._apply(command)
        if answer_lost:
            self._fail(command, reply, ambiguous=True, delay=self.fault.timeout_s)
        else:
            self.schedule.after(half_delay_s, lambda: reply(event))

    def _apply(self, command: StoreCommand) -> ObjectEvent:
        match command:
            case ReadObject(op, key, cached_version) | WatchObject(
                op, key, cached_version
            ):
                stored = self.store.read(key)
                is_current = (
                    cached_version != ABSENT and stored.version == cached_version
                )
                body = b"" if is_current else stored.body
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

    def _start_watch(self, caller: str, command: WatchObject, reply: Reply) -> bool:
        if self.store.read(command.key).version > command.after:
            return False
        entry = (caller, command, reply)
        self.watches.setdefault(command.key, []).append(entry)
        self.schedule.after(WATCH_LIMIT_S, lambda: self._end_watch(entry))
        return True

    def _end_watch(self, entry: WaitingWatch) -> None:
        waiting = self.watches.get(entry[1].key, [])
        if entry in waiting:
            waiting.remove(entry)
            self._answer_watch(entry)

    def _wake_watches(self, key: str) -> None:
        for entry in self.watches.pop(key, []):
            if entry[0] in self.fault.cut_off:
                # The connection seems open, but nothing comes over it.
                self.watches.setdefault(key, []).append(entry)
            else:
                self._answer_watch(entry)

    def _answer_watch(self, entry: WaitingWatch) -> None:
        caller, command, reply = entry
        if self.fault.down or caller in self.fault.cut_off:
            self._fail(command, reply, ambiguous=False, delay=0.0)
            return
        event = self._apply(command)
        self.schedule.after(self.fault.delay_s / 2, lambda: reply(event))

    def put(self, key: str, body: bytes) -> int:
        """Write an object at once and without faults; return its new version."""
        version = self.store.write(key, body, self.store.read(key).version).version
        self._wake_watches(key)
        return version
