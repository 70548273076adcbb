"""Counts the processor time, messages and platform calls of the parts of a core."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import cast, TYPE_CHECKING

from wisterialoom.core.fleet.instance_list import ReadInstanceList
from wisterialoom.core.fleet.peer import SendPeer
from wisterialoom.core.object_store import ReadObject, WatchObject, WriteObject
from wisterialoom.peer.codec import encode

if TYPE_CHECKING:
    from wisterialoom.core.entry import EntryCore
    from wisterialoom.core.message import Command, Event, Output, Part

__all__ = ["Meter", "MeteredCore", "MeteredPart"]


@dataclass
class Meter:
    """Totals over all instances that share this meter.

    Attributes:
        cpu_s: Processor time by class name of the part, in seconds.
        sent_bytes: Encoded bytes sent, by class name of the message.
        sent: Number of messages sent, by class name.
        calls: Number of platform calls, by class name of the command and first part
            of the object key.
        call_bytes: Bytes of written bodies, by first part of the object key.
    """

    cpu_s: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    sent_bytes: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    call_bytes: Counter[str] = field(default_factory=Counter)

    def clear(self) -> None:
        """Reset all totals."""
        self.cpu_s.clear()
        for counter in (self.sent_bytes, self.sent, self.calls, self.call_bytes):
            counter.clear()

    def count(self, sender: str, command: Command) -> None:
        """Count a command if it sends something to a peer or the platform."""
        match command:
            case SendPeer(message=message):
                kind = type(message).__name__
                self.sent[kind] += 1
                self.sent_bytes[kind] += len(encode(sender, message))
            case ReadInstanceList():
                self.calls["ReadInstanceList"] += 1
            case ReadObject(key=key) | WatchObject(key=key) | WriteObject(key=key):
                root = key.partition("/")[0]
                self.calls[f"{type(command).__name__} {root}"] += 1
                if isinstance(command, WriteObject):
                    self.call_bytes[root] += len(command.body)


class MeteredPart:
    """Wrapper of a part that counts its processor time."""

    def __init__(self, part: Part, meter: Meter) -> None:
        self.part = part
        self.meter = meter
        self.name = type(part).__name__
        self.handled_events = part.handled_events

    def handle(self, now: float, event: Event) -> list[Output]:
        """Pass an event to the part and count the time that it takes."""
        started_at = time.thread_time()
        outputs = self.part.handle(now, event)
        self.meter.cpu_s[self.name] += time.thread_time() - started_at
        return outputs


class MeteredCore:
    """Wrapper of a core that counts the processor time and commands of its parts."""

    def __init__(self, name: str, core: EntryCore, meter: Meter) -> None:
        self.name = name
        self.core = core
        self.meter = meter
        metered = [MeteredPart(part, meter) for part in core.parts]
        core.parts = tuple(cast("Part", part) for part in metered)
        core.listeners.clear()

    def handle(self, now: float, event: Event) -> list[Command]:
        """Pass an event to the core and count the commands that it returns."""
        commands = self.core.handle(now, event)
        for command in commands:
            self.meter.count(self.name, command)
        return commands
