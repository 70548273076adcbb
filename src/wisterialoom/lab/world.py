"""Connects cores with fakes of their surroundings on one virtual clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Protocol, TYPE_CHECKING

from wisterialoom.core.engine import OrderNotSent, ReadState, SendOrder
from wisterialoom.core.fleet.instance_list import (
    InstanceList,
    InstanceListRead,
    InstanceListUnavailable,
    ReadInstanceList,
)
from wisterialoom.core.fleet.peer import PeerReceived, SendPeer
from wisterialoom.core.message import Command, Event, Tick, TICK_INTERVAL_S, WakeAt
from wisterialoom.core.notice import Drained
from wisterialoom.core.object_store import (
    DeleteObject,
    ListObjects,
    ReadObject,
    WatchObject,
    WriteObject,
)
from wisterialoom.core.requests.request import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    Dispatch,
    Refuse,
    ReplayAnswer,
    RequestSettled,
)
from wisterialoom.lab.fault import LinkFault
from wisterialoom.lab.order_port import OrderPort
from wisterialoom.lab.schedule import Schedule
from wisterialoom.lab.store_port import StorePort

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

__all__ = ["Core", "Host", "ServingPort", "TraceLine", "World"]


class Core(Protocol):
    """Interface of what a world drives: `EntryCore`, or a component in a test."""

    def handle(self, now: float, event: Event) -> Sequence[Event | Command]:
        """Handle one event and return the resulting events and commands."""
        ...


class ServingPort(Protocol):
    """Interface of the simulated backend servers."""

    def dispatch(
        self, caller: str, command: Dispatch, reply: Callable[[Event], None]
    ) -> None:
        """Serve one attempt; report its first byte and its end through `reply`."""
        ...

    def cancel(self, caller: str, command: CancelAttempt) -> None:
        """Stop one attempt; its end is still reported."""
        ...


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One event into a core, or one command out of a core."""

    at: float
    host: str
    message: Event | Command

    def __str__(self) -> str:
        return f"{self.at:10.4f} {self.host:12} {self.message}"


@dataclass
class Host:
    """One core and the state of its simulated process.

    Attributes:
        name: Name of the entry instance.
        core: Core that the process runs.
        alive: The process is running or frozen; a process that has ended receives
            no more events.
        frozen: The process is paused; events that arrive wait in `inbox`.
        hold_sends: The next command freezes the process and waits in `outbox`.
        past_checks: Orders in `outbox` had passed the last validity check before
            sending, so they are sent without it.
        inbox: Events that arrived while the process was frozen.
        outbox: Commands that were issued and not executed yet.
        drained: The core has drained and its process may exit.
        skew_s: Offset of the host's monotonic clock from the virtual clock.
    """

    name: str
    core: Core
    alive: bool = True
    frozen: bool = False
    hold_sends: bool = False
    past_checks: bool = False
    inbox: list[Event] = field(default_factory=list)
    outbox: list[Command] = field(default_factory=list)
    drained: bool = False
    skew_s: float = 0.0


class World:
    """Drives cores with fakes that delay, lose, duplicate and reorder messages.

    Attributes:
        schedule: The virtual clock.
        rng: Random source of the fakes.
        hosts: Hosts by name of the entry instance.
        store_port: The object API.
        order_port: Delivers orders to engines.
        serving: Simulated backend servers; `None` leaves attempts unanswered.
        links: Faults of the links between entry instances.
        listing: Current content of the instance list.
        listing_lag_s: Age of the instance list that a reader gets, in seconds.
        listing_down: The instance list does not answer.
        refusals: Refusals that callers received, each with the name of the host.
        replays: Stored answers that callers received, each with the name of the
            host.
        settled: Outcomes that the cores recorded, each with the name of the host.
        trace: Every event and command, if `keep_trace`.
    """

    def __init__(self, seed: int = 0, *, keep_trace: bool = True) -> None:
        self.schedule = Schedule()
        self.rng = random.Random(seed)
        self.hosts: dict[str, Host] = {}
        self.store_port = StorePort(self.schedule, self.rng)
        self.order_port = OrderPort(self.schedule, self.rng)
        self.serving: ServingPort | None = None
        self.links = LinkFault()
        self.listing = InstanceList()
        self.listing_lag_s = 0.0
        self.listing_down = False
        self.refusals: list[tuple[str, Refuse]] = []
        self.replays: list[tuple[str, ReplayAnswer]] = []
        self.settled: list[tuple[str, RequestSettled]] = []
        self.trace: list[TraceLine] = []
        self.keep_trace = keep_trace

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.schedule.now

    def add(self, name: str, core: Core, *, ticks: bool = True) -> Host:
        """Add a core as a running process; `ticks` sends it periodic ticks."""
        host = Host(name, core, skew_s=self.rng.random() * 1_000.0)
        self.hosts[name] = host
        if ticks:
            self._tick(host)
        return host

    def _tick(self, host: Host) -> None:
        if not host.alive or self.hosts.get(host.name) is not host:
            return
        if not host.frozen:
            self._deliver(host, Tick())
        self.schedule.after(TICK_INTERVAL_S, lambda: self._tick(host))

    def run_for(self, seconds: float) -> None:
        """Advance virtual time."""
        self.schedule.run_until(self.schedule.now + seconds)

    def run_while(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Advance time while a condition holds; return whether it ceased to hold."""
        end = self.schedule.now + limit_s
        while condition() and self.schedule.now < end:
            self.run_for(TICK_INTERVAL_S)
        return not condition()

    # Processes.

    def kill(self, name: str) -> None:
        """Kill a process; commands that it has not sent yet are lost."""
        host = self.hosts[name]
        host.alive = False
        host.inbox.clear()
        host.outbox.clear()

    def freeze(
        self, name: str, *, hold_sends: bool = False, past_checks: bool = False
    ) -> None:
        """Pause a process.

        Args:
            name: Name of the entry instance.
            hold_sends: Let the core decide once more, then pause between the
                decision and its execution.
            past_checks: With `hold_sends`: pause after the last check of the
                lease, just before the bytes are sent.
        """
        host = self.hosts[name]
        host.past_checks = past_checks
        host.hold_sends = hold_sends
        host.frozen = not hold_sends

    def thaw(self, name: str) -> None:
        """Resume a paused process; execute its held commands and events first."""
        host = self.hosts[name]
        host.frozen = False
        host.hold_sends = False
        outbox, host.outbox = host.outbox, []
        inbox, host.inbox = host.inbox, []
        for command in outbox:
            if isinstance(command, SendOrder) and host.past_checks:
                self.order_port.send(host.name, command, self._reply_to(host))
            else:
                self._execute(host, command)
        for event in inbox:
            self._deliver(host, event)

    # Passing events to cores and executing their commands.

    def send(self, name: str, event: Event) -> None:
        """Pass an event to a core from outside."""
        self._deliver(self.hosts[name], event)

    def _reply_to(self, host: Host) -> Callable[[Event], None]:
        return lambda event: self._deliver(host, event)

    def _deliver(self, host: Host, event: Event) -> None:
        if not host.alive:
            return
        if host.frozen:
            host.inbox.append(event)
            return
        self._record(host, event)
        outputs = host.core.handle(self.now + host.skew_s, event)
        for output in outputs:
            if isinstance(output, Command):
                self._emit(host, output)

    def _emit(self, host: Host, command: Command) -> None:
        if host.hold_sends:
            host.frozen = True
            host.outbox.append(command)
            return
        self._execute(host, command)

    def _record(self, host: Host, message: Event | Command) -> None:
        if self.keep_trace and not isinstance(message, Tick):
            self.trace.append(TraceLine(self.now, host.name, message))

    def _execute(self, host: Host, command: Command) -> None:
        self._record(host, command)
        reply = self._reply_to(host)
        match command:
            case (
                ReadObject()
                | WatchObject()
                | WriteObject()
                | DeleteObject()
                | ListObjects()
            ):
                self.store_port.call(host.name, command, reply)
            case SendPeer():
                self._send_peer(host, command)
            case SendOrder():
                self._send_order(host, command)
            case ReadState():
                self.order_port.read(host.name, command, reply)
            case ReadInstanceList():
                self._read_instance_list(reply)
            case WakeAt(at=at):
                self.schedule.at(at - host.skew_s, lambda: reply(Tick()))
            case Drained():
                host.drained = True
            case _:
                self._execute_request(host, command)

    def _execute_request(self, host: Host, command: Command) -> None:
        match command:
            case Dispatch() if self.now + host.skew_s > command.valid_until:
                ended = AttemptEnded(command.attempt, AttemptResult.NOT_SENT)
                self._deliver(host, ended)
            case Dispatch() if self.serving is not None:
                self.serving.dispatch(host.name, command, self._reply_to(host))
            case CancelAttempt() if self.serving is not None:
                self.serving.cancel(host.name, command)
            case Refuse():
                self.refusals.append((host.name, command))
            case ReplayAnswer():
                self.replays.append((host.name, command))
            case RequestSettled():
                self.settled.append((host.name, command))

    def _send_order(self, host: Host, command: SendOrder) -> None:
        reply = self._reply_to(host)
        if self.now + host.skew_s > command.valid_until:
            reply(OrderNotSent(command.server, command.order.order_id))
            return
        self.order_port.send(host.name, command, reply)

    def _send_peer(self, host: Host, command: SendPeer) -> None:
        if frozenset((host.name, command.to)) in self.links.cuts:
            return
        reliable = command.message.reliable
        event = PeerReceived(host.name, command.message)
        for delay in self.links.delays(self.rng, reliable=reliable):
            self.schedule.after(delay, lambda: self._arrive(host, command.to, event))

    def _arrive(self, sender: Host, to: str, event: PeerReceived) -> None:
        host = self.hosts.get(to)
        if host is not None and frozenset((sender.name, to)) not in self.links.cuts:
            self._deliver(host, event)

    def _read_instance_list(self, reply: Callable[[Event], None]) -> None:
        if self.listing_down:
            self.schedule.after(0.01, lambda: reply(InstanceListUnavailable()))
            return
        listing = self.listing
        self.schedule.after(
            self.listing_lag_s, lambda: reply(InstanceListRead(listing))
        )

    def format_trace(self, hosts: Iterable[str] = (), last: int = 80) -> str:
        """Return the end of the trace, to be shown with a failed check.

        Args:
            hosts: Names of the hosts to show; all if empty.
            last: Maximum number of lines.
        """
        host_names = set(hosts)
        lines = [str(x) for x in self.trace if not host_names or x.host in host_names]
        return "\n".join(lines[-last:])
