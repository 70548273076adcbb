"""Simulates the membership component of many instances and counts its traffic."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wisterialoom.core.fleet.membership import Membership
from wisterialoom.core.notice import LoadReported, MembersChanged, PartDrained
from wisterialoom.lab.world import World
from wisterialoom.peer.codec import encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.core.fleet.peer import SendPeer, ServerLoad
    from wisterialoom.core.message import Event, Output
    from wisterialoom.lab.world import Host

__all__ = ["Fleet", "FleetMember", "SentTraffic"]


@dataclass
class SentTraffic:
    """Messages and bytes that one member sent.

    Attributes:
        messages: Number of messages by class name.
        payload_bytes: Encoded bytes by class name, without packet headers.
        largest_datagram: Size of the largest datagram, in bytes.
    """

    messages: dict[str, int] = field(default_factory=dict)
    payload_bytes: dict[str, int] = field(default_factory=dict)
    largest_datagram: int = 0

    def add(self, command: SendPeer, size: int) -> None:
        """Count one message."""
        name = type(command.message).__name__
        self.messages[name] = self.messages.get(name, 0) + 1
        self.payload_bytes[name] = self.payload_bytes.get(name, 0) + size
        if not command.message.reliable:
            self.largest_datagram = max(self.largest_datagram, size)


class FleetMember:
    """A membership component and the notices that it emitted.

    Attributes:
        part: The membership component.
        members: The last notice of the members.
        history: Every notice of the members, with its time on this member's clock.
        loads: Every server load that was reported, in order.
        drained: The component has finished draining.
    """

    def __init__(self, part: Membership) -> None:
        self.part = part
        self.members = MembersChanged(())
        self.history: list[tuple[float, MembersChanged]] = []
        self.loads: list[ServerLoad] = []
        self.drained = False

    def handle(self, now: float, event: Event) -> list[Output]:
        """Pass an event to the component and record its notices."""
        outputs = self.part.handle(now, event)
        for output in outputs:
            match output:
                case MembersChanged():
                    self.members = output
                    self.history.append((now, output))
                case LoadReported(load=load):
                    self.loads.append(load)
                case PartDrained():
                    self.drained = True
        return outputs

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the members that share the work of the fleet."""
        return tuple(member.name for member in self.members.members)


class Fleet(World):
    """The members of a fleet on one virtual clock.

    Attributes:
        members: Members by name; a restart replaces the member.
        traffic: Traffic that each member sent, by name; empty unless `measure`.
        addresses: Addresses of the members by name.
        seeds: Addresses that a starting member contacts to join.
    """

    def __init__(self, seed: int = 0, *, measure: bool = False) -> None:
        super().__init__(seed, keep_trace=False)
        self.measure = measure
        self.members: dict[str, FleetMember] = {}
        self.traffic: dict[str, SentTraffic] = {}
        self.addresses: dict[str, str] = {}
        self.seeds: tuple[str, ...] = ()

    def start(self, name: str, *, zone: str = "a", incarnation: int = 1) -> FleetMember:
        """Start a member, or restart it after it was killed."""
        address = self._address(name)
        part = Membership(
            name,
            address,
            zone,
            seeds=self.seeds,
            rng=random.Random(self.rng.random()),
            incarnation=incarnation,
        )
        member = FleetMember(part)
        self.members[name] = member
        self.add(name, member)
        return member

    def _address(self, name: str) -> str:
        number = len(self.addresses)
        return self.addresses.setdefault(name, f"10.0.{number // 250}.{number % 250}:7")

    def _send_peer(self, host: Host, command: SendPeer) -> None:
        if self.measure:
            size = len(encode(host.name, command.message))
            self.traffic.setdefault(host.name, SentTraffic()).add(command, size)
        if not command.to:
            command = replace(command, to=self._name_at(command.address))
        super()._send_peer(host, command)

    def _name_at(self, address: str) -> str:
        return next((n for n, a in self.addresses.items() if a == address), "")

    @property
    def live(self) -> dict[str, FleetMember]:
        """Members whose process is running and not frozen, by name."""
        return {
            name: member
            for name, member in self.members.items()
            if self.hosts[name].alive and not self.hosts[name].frozen
        }

    def has_converged(self) -> bool:
        """Return whether every live member lists exactly the live members."""
        names = tuple(sorted(self.live))
        return all(member.names == names for member in self.live.values())

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Advance time until a condition holds; return whether it does."""
        return self.run_while(lambda: not condition(), limit_s)
