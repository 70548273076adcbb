"""Cores and fakes together on one virtual clock."""

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
    """What a world drives: `EntryCore`, or one part of it in a test."""

    def handle(self, now: float, event: Event) -> Sequence[Event | Command]:
        """Take one event and return what follows from it."""
        ...


class ServingPort(Protocol):
    """Backend servers that serve requests on the virtual clock."""

    def dispatch(
        self, caller: str, command: Dispatch, reply: Callable[[Event], None]
    ) -> None:
        """Serve one attempt; reply with its first byte and its end."""
        ...

    def cancel(self, caller: str, command: CancelAttempt) -> None:
        """Stop one attempt; its end is still reported."""
        ...


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One event or command as it crossed a core's boundary."""

    at: float
    host: str
    message: Event | Command

    def __str__(self) -> str:
        return f"{self.at:10.4f} {self.host:12} {self.message}"


@dataclass
class Host:
    """One core and the state of the process around it.

    Attributes:
        name: Name of the entry instance.
        core: The core.
        alive: Its process runs or is frozen; a killed one gets nothing more.
        frozen: Its process is paused; what arrives waits.
        hold_sends: While frozen, commands already decided wait as well.
        past_checks: What waits in the outbox had passed the shell's last checks.
        inbox: Events that arrived while it was frozen.
        outbox: Commands that were decided and not carried out yet.
        drained: It asked to exit.
        skew_s: Added to the virtual clock to make its monotonic clock.
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
    """Drives cores with fakes that delay, lose, double and reorder.

    Attributes:
        schedule: The virtual clock.
        rng: Dice of the fakes.
        hosts: Cores by instance name.
        store_port: The object API.
        order_port: Orders to engines.
        serving: Serves dispatched attempts; `None` leaves them unanswered.
        links: Faults between instances.
        listing: What the instance list says now.
        listing_lag_s: How old the list is that a reader gets.
        listing_down: The instance list does not answer.
        refusals: Refusals as the callers got them.
        replays: Stored answers as the callers got them.
        settled: Outcomes as the cores recorded them.
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
        """Add a core as a running process."""
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
        """Let virtual time pass."""
        self.schedule.run_until(self.schedule.now + seconds)

    def run_while(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Let time pass while a condition holds; tell whether it ended."""
        end = self.schedule.now + limit_s
        while condition() and self.schedule.now < end:
            self.run_for(TICK_INTERVAL_S)
        return not condition()

    # Processes.

    def kill(self, name: str) -> None:
        """End a process at once; what it had decided and not sent is lost."""
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
            hold_sends: Let the core decide once more and pause between the
                decision and carrying it out.
            past_checks: With `hold_sends`: pause after the shell's last check of
                the lease, right before the bytes go out.
        """
        host = self.hosts[name]
        host.past_checks = past_checks
        host.hold_sends = hold_sends
        host.frozen = not hold_sends

    def thaw(self, name: str) -> None:
        """Let a paused process go on; what waited comes first."""
        host = self.hosts[name]
        host.frozen = False
        host.hold_sends = False
        outbox, host.outbox = host.outbox, []
        inbox, host.inbox = host.inbox, []
        for command in outbox:
            if isinstance(command, SendOrder) and host.past_checks:
                self.order_port.send(host.name, command, self._reply_to(host))
            else:
                self._carry_out(host, command)
        for event in inbox:
            self._deliver(host, event)

    # Events in, commands out.

    def send(self, name: str, event: Event) -> None:
        """Hand an event to a core from outside."""
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
        self._carry_out(host, command)

    def _record(self, host: Host, message: Event | Command) -> None:
        if self.keep_trace and not isinstance(message, Tick):
            self.trace.append(TraceLine(self.now, host.name, message))

    def _carry_out(self, host: Host, command: Command) -> None:
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
                self._read_listing(reply)
            case WakeAt(at=at):
                self.schedule.at(at - host.skew_s, lambda: reply(Tick()))
            case Drained():
                host.drained = True
            case _:
                self._carry_out_request(host, command)

    def _carry_out_request(self, host: Host, command: Command) -> None:
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

    def _read_listing(self, reply: Callable[[Event], None]) -> None:
        if self.listing_down:
            self.schedule.after(0.01, lambda: reply(InstanceListUnavailable()))
            return
        listing = self.listing
        self.schedule.after(
            self.listing_lag_s, lambda: reply(InstanceListRead(listing))
        )

    def explain(self, hosts: Iterable[str] = (), last: int = 80) -> str:
        """Return the end of the trace, for the message of a failed check."""
        wanted = set(hosts)
        lines = [str(x) for x in self.trace if not wanted or x.host in wanted]
        return "\n".join(lines[-last:])
