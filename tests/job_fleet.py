"""Simulated instances that accept, claim and run jobs, for tests of the jobs."""

from __future__ import annotations

import itertools

from tests.claim_fleet import Run, RunEnded, WALL_START
from wisterialoom.core.claims.claim import ClaimManager
from wisterialoom.core.configuration.document import ClaimSettings, Deployment, Document
from wisterialoom.core.fleet.peer import MemberStatus
from wisterialoom.core.jobs.job import JobManager
from wisterialoom.core.message import Command
from wisterialoom.core.notice import (
    ClaimAbandoned,
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimRequested,
    ClaimSettled,
    ConfigChanged,
    HeldClaimState,
    Member,
    MembersChanged,
)
from wisterialoom.core.notice_job import (
    AttachBody,
    JobAccepted,
    JobDue,
    JobEnded,
    JobFound,
    JobNotFound,
    JobQueried,
    JobRefused,
    JobRequested,
    JobUnavailable,
)
from wisterialoom.core.requests.request import Outcome, Request, StoredAnswer
from wisterialoom.lab.world import World

CLAIM_RETENTION_S = 200.0
REPLIES = (JobAccepted, JobRefused, JobFound, JobNotFound, JobUnavailable)


class JobDispatcher:
    """A job manager and a claim manager with a minimal request path."""

    def __init__(self, fleet, name, boot_id):
        self.fleet = fleet
        self.parts = [
            JobManager(name, boot_id, fleet.wall_clock),
            ClaimManager(name, boot_id, fleet.wall_clock),
        ]
        self.due = {}

    def handle(self, now, event):
        commands, pending = [], [event]
        while pending:
            event = pending.pop(0)
            if isinstance(event, Command):
                commands.append(event)
                continue
            pending += self.serve(event)
            for part in self.parts:
                if isinstance(event, part.handled_events):
                    pending += part.handle(now, event)
        return commands

    def serve(self, event):
        """Act as the request path."""
        match event:
            case JobDue(request=request, idempotent=idempotent):
                self.due[request.request_id] = event
                if idempotent:
                    return [Run(request.request_id, event.job_id)]
                key = request.idempotency_key
                requested = ClaimRequested(request.request_id, event.caller, key, "d")
                return [requested]
            case ClaimGranted(request_id=request_id, valid_until=valid_until):
                return [Run(request_id, self.due[request_id].job_id, valid_until)]
            case ClaimAbandoned(request_id=request_id):
                return [JobEnded(request_id, Outcome.NOT_RUN)]
            case ClaimFailed(request_id=request_id):
                return [JobEnded(request_id, Outcome.NOT_RUN)]
            case ClaimHeld():
                return [self.held_outcome(event)]
            case RunEnded(request_id=request_id, answer=answer):
                outcome = Outcome.COMPLETED if answer else Outcome.UNKNOWN
                ended = JobEnded(request_id, outcome, answer)
                return [ClaimSettled(request_id, answer), ended]
        if isinstance(event, REPLIES):
            self.fleet.replies.setdefault(event.request_id, []).append(event)
        return []

    def held_outcome(self, event):
        match event.held_state:
            case HeldClaimState.DONE if event.answer is not None:
                return JobEnded(event.request_id, Outcome.COMPLETED, event.answer)
            case HeldClaimState.UNKNOWN | HeldClaimState.OTHER_CONTENT:
                return JobEnded(event.request_id, Outcome.UNKNOWN)
        return JobEnded(event.request_id, Outcome.NOT_RUN)


class JobWorld(World):
    """A simulated world that executes runs."""

    def _execute_request(self, host, command):
        match command:
            case Run() if self.now + host.skew_s > command.valid_until:
                self._deliver(host, ClaimAbandoned(command.request_id))
            case Run():
                self.fleet.run(host, command)
            case AttachBody():
                self.fleet.bodies[command.request_id] = command.body


class JobFleet:
    """Several dispatchers in one simulated world, with a record of what they did."""

    def __init__(self, seed, names):
        self.world = JobWorld(seed, keep_trace=False)
        self.world.fleet = self
        self.names = names
        self.serials = itertools.count(1)
        self.runs = {}
        self.bodies = {}
        self.replies = {}
        self.lose_runs = False
        self.run_s = 0.5
        self.wall_offset_s = 0.0
        for name in names:
            self.start(name)
        self.set_all_members()

    def wall_clock(self):
        return WALL_START + self.world.now + self.wall_offset_s

    def start(self, name):
        boot_id = f"{name}{next(self.serials)}"
        self.world.add(name, JobDispatcher(self, name, boot_id))
        document = Document(
            Deployment("test", claims=ClaimSettings(2, CLAIM_RETENTION_S))
        )
        self.world.send(name, ConfigChanged(1, document))

    def set_all_members(self):
        for name in self.names:
            if self.world.hosts[name].alive:
                self.set_members(name, self.names)

    def set_members(self, name, members):
        seen = tuple(
            Member(x, "127.0.0.1:1", "z", 1, MemberStatus.ALIVE)
            for x in sorted(members)
        )
        gone = frozenset(self.names) - set(members)
        self.world.send(name, MembersChanged(seen, gone))

    def submit(self, name, *, idempotent, key="", size=100, content="s"):
        request_id = f"r{next(self.serials)}"
        request = Request(request_id, idempotency_key=key, body_sha256=content)
        body = request_id.encode().ljust(size, b".")
        requested = JobRequested(request, "caller", "batch", idempotent, 600.0, body)
        self.world.send(name, requested)
        return request_id

    def look_up(self, name, job_id, caller="caller"):
        request_id = f"r{next(self.serials)}"
        self.world.send(name, JobQueried(request_id, caller, job_id))
        return request_id

    def reply(self, request_id):
        replies = self.replies.get(request_id, [])
        assert len(replies) == 1, (request_id, replies)
        return replies[0]

    def run(self, host, command):
        """Run an attempt once, and report its end after the duration of a run."""
        self.runs.setdefault(command.key, []).append(command.request_id)
        answer = StoredAnswer(200, "text/plain", self.bodies[command.request_id])
        event = RunEnded(command.request_id, None if self.lose_runs else answer)
        self.world.schedule.after(self.run_s, lambda: self.world._deliver(host, event))
