"""Simulated instances that only claim and dispatch, for tests of the claims."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass, field

from wisterialoom.core.claims.claim import ClaimManager
from wisterialoom.core.configuration.document import ClaimSettings, Deployment, Document
from wisterialoom.core.fleet.peer import MemberStatus
from wisterialoom.core.message import Command, Event, Notice
from wisterialoom.core.notice import (
    ClaimAbandoned,
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimRequested,
    ClaimSettled,
    ConfigChanged,
    Member,
    MembersChanged,
    PartDrained,
)
from wisterialoom.core.requests.request import StoredAnswer
from wisterialoom.lab.world import World

BUCKETS = 2
WALL_START = 1_700_000_000.0


@dataclass(frozen=True, slots=True)
class Run(Command):
    """The dispatch of a request that was granted its claim."""

    request_id: str
    key: str
    valid_until: float = math.inf


@dataclass(frozen=True, slots=True)
class RunEnded(Event):
    """The answer of a run was received, or it was lost."""

    request_id: str
    answer: StoredAnswer | None


@dataclass
class Record:
    """What actually happened, on all instances together.

    Attributes:
        runs: Key, request and virtual time of each run.
        finals: Final notices by request.
        key_of: Key by request.
        requested_at: Virtual time at which the claim was requested, by request.
        answered_at: Virtual time of the latest final notice, by request.
        answers: Answers that were not lost, by request.
    """

    runs: list[tuple[str, str, float]] = field(default_factory=list)
    finals: dict[str, list[Notice]] = field(default_factory=dict)
    key_of: dict[str, str] = field(default_factory=dict)
    requested_at: dict[str, float] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    answers: dict[str, StoredAnswer] = field(default_factory=dict)


class Dispatcher:
    """A claim manager with a minimal request path around it.

    Attributes:
        abandon_on_grant: Requests that are abandoned as soon as they are granted.
    """

    def __init__(self, fleet: Fleet, name: str, boot_id: str) -> None:
        self.fleet = fleet
        self.manager = ClaimManager(name, boot_id, lambda: fleet.wall_clock(name))
        self.abandon_on_grant: set[str] = set()

    def handle(self, now: float, event: Event) -> list[Command]:
        if isinstance(event, RunEnded):
            event = ClaimSettled(event.request_id, event.answer)
        commands: list[Command] = []
        pending = self.manager.handle(now, event)
        while pending:
            output = pending.pop(0)
            if isinstance(output, Command):
                commands.append(output)
                continue
            if isinstance(output, PartDrained):
                self.fleet.drained.append(self.manager.name)
            if isinstance(output, ClaimGranted | ClaimHeld | ClaimFailed):
                self.fleet.record_notice(output)
            if isinstance(output, ClaimGranted):
                if output.request_id in self.abandon_on_grant:
                    abandoned = ClaimAbandoned(output.request_id)
                    pending += self.manager.handle(now, abandoned)
                else:
                    key = self.fleet.record.key_of[output.request_id]
                    run = Run(output.request_id, key, output.valid_until)
                    commands.append(run)
        return commands


class FleetWorld(World):
    """A simulated world that executes runs."""

    fleet: Fleet

    def _execute_request(self, host, command):
        if isinstance(command, Run):
            # As in a real instance, the time is checked immediately before the
            # first byte is sent.
            if self.now + host.skew_s > command.valid_until:
                self._deliver(host, ClaimAbandoned(command.request_id))
            else:
                self.fleet.run(host, command)
            return
        super()._execute_request(host, command)


class Fleet:
    """Several dispatchers in one simulated world, with a record of what they did."""

    def __init__(self, seed=0, names=("a", "b", "c"), *, run_s=0.05, answer_size=20):
        self.world = FleetWorld(seed)
        self.world.fleet = self
        self.record = Record()
        self.run_s = run_s
        self.answer_size = answer_size
        self.keeps_answers = True
        self.lose_runs = False
        self.serials = itertools.count(1)
        self.retention_s = 300.0
        self.drained = []
        self.member_views = {}
        for name in names:
            self.start(name)
        for name in names:
            self.set_members(name, names)

    def wall_clock(self, name):
        """Return the wall clock of an instance; clocks differ by up to 200 s."""
        return WALL_START + self.world.now + 100.0 * (ord(name[0]) % 3)

    def start(self, name):
        boot_id = f"{name}{next(self.serials)}"
        core = Dispatcher(self, name, boot_id)
        self.world.add(name, core)
        claims = ClaimSettings(buckets=BUCKETS, retention_s=self.retention_s)
        document = Document(Deployment("test", claims=claims))
        self.world.send(name, ConfigChanged(1, document))
        return core

    def set_members(self, name, members, gone=()):
        """Set the members in an instance's view."""
        self.member_views[name] = tuple(members)
        seen = tuple(
            Member(x, "127.0.0.1:1", "z", 1, MemberStatus.ALIVE)
            for x in sorted(members)
        )
        self.world.send(name, MembersChanged(seen, frozenset(gone)))

    def request_claim(self, name, key, digest="d", *, abandon_on_grant=False):
        request_id = f"r{next(self.serials)}"
        self.record.key_of[request_id] = key
        self.record.requested_at[request_id] = self.world.now
        if abandon_on_grant:
            self.world.hosts[name].core.abandon_on_grant.add(request_id)
        self.world.send(name, ClaimRequested(request_id, "caller", key, digest))
        return request_id

    def record_notice(self, notice):
        self.record.finals.setdefault(notice.request_id, []).append(notice)
        self.record.answered_at[notice.request_id] = self.world.now

    def run(self, host, command):
        """Run a request once, and report its end after the duration of a run."""
        run = (command.key, command.request_id, self.world.now)
        self.record.runs.append(run)
        body = command.request_id.encode().ljust(self.answer_size, b".")
        answer = StoredAnswer(200, "text/plain", body, is_whole=self.keeps_answers)
        self.record.answers[command.request_id] = answer
        lost = self.lose_runs
        if lost:
            del self.record.answers[command.request_id]
        event = RunEnded(command.request_id, None if lost else answer)
        self.world.schedule.after(self.run_s, lambda: self.world._deliver(host, event))

    def final(self, request_id):
        finals = self.record.finals.get(request_id, [])
        assert len(finals) == 1, f"{request_id}: {finals}"
        return finals[0]
