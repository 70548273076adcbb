"""Counts processor time, messages and calls of the parts of a core."""

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
    """Sums over every instance that shares it.

    Attributes:
        cpu_s: Processor seconds by class of the part.
        sent_bytes: Encoded bytes by class of message.
        sent: Messages by class.
        calls: Calls to the platform by class of the command.
        call_bytes: Bytes of bodies written, by first part of the key.
    """

    cpu_s: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    sent_bytes: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)
    calls: Counter[str] = field(default_factory=Counter)
    call_bytes: Counter[str] = field(default_factory=Counter)

    def clear(self) -> None:
        """Start anew."""
        self.cpu_s.clear()
        for counter in (self.sent_bytes, self.sent, self.calls, self.call_bytes):
            counter.clear()

    def count(self, sender: str, command: Command) -> None:
        """Count a command, if it is one that goes to a peer or the platform."""
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
    """A part whose processor time is counted."""

    def __init__(self, part: Part, meter: Meter) -> None:
        self.part = part
        self.meter = meter
        self.name = type(part).__name__
        self.listens = part.listens

    def handle(self, now: float, event: Event) -> list[Output]:
        """Hand an event on."""
        begun = time.thread_time()
        outputs = self.part.handle(now, event)
        self.meter.cpu_s[self.name] += time.thread_time() - begun
        return outputs


class MeteredCore:
    """A core whose parts and commands are counted."""

    def __init__(self, name: str, core: EntryCore, meter: Meter) -> None:
        self.name = name
        self.core = core
        self.meter = meter
        metered = [MeteredPart(part, meter) for part in core.parts]
        core.parts = tuple(cast("Part", part) for part in metered)
        core.listeners.clear()

    def handle(self, now: float, event: Event) -> list[Command]:
        """Hand an event on."""
        commands = self.core.handle(now, event)
        for command in commands:
            self.meter.count(self.name, command)
        return commands
