"""Tests of `wisterialoom.core.jobs.job`."""

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    rule,
    RuleBasedStateMachine,
)

from tests.job_fleet import JobFleet
from wisterialoom.core.jobs.job_age import aged_priority
from wisterialoom.core.jobs.job_record import job_key, JobRecord
from wisterialoom.core.notice_job import (
    JobAccepted,
    JobFound,
    JobNotFound,
    JobRefused,
    JobState,
    JobUnavailable,
)
from wisterialoom.core.requests.request import Reason

NAMES = ("a", "b", "c")
names = st.sampled_from(NAMES)


def test_only_the_caller_of_a_job_can_read_it():
    fleet = JobFleet(1, NAMES)
    request = fleet.submit("a", idempotent=False)
    fleet.world.run_for(0.1)
    accepted = fleet.reply(request)
    assert isinstance(accepted, JobAccepted)
    fleet.world.run_for(10.0)
    own = fleet.look_up("b", accepted.job_id)
    other = fleet.look_up("b", accepted.job_id, caller="other")
    fleet.world.run_for(0.1)
    found = fleet.reply(own)
    assert isinstance(found, JobFound)
    assert found.state is JobState.DONE
    assert found.answer.body.startswith(request.encode())
    assert fleet.reply(other) == JobNotFound(other)


def test_submissions_with_the_same_key_share_one_job_unless_their_content_differs():
    fleet = JobFleet(1, NAMES)
    first = fleet.submit("a", idempotent=False, key="k")
    second = fleet.submit("b", idempotent=False, key="k")
    third = fleet.submit("c", idempotent=False, key="k", content="other")
    fleet.world.run_for(10.0)
    assert fleet.reply(first).job_id == fleet.reply(second).job_id
    assert fleet.reply(third).reason is Reason.KEY_REUSED
    assert len(fleet.runs) == 1


def test_job_with_a_too_large_body_is_refused():
    fleet = JobFleet(1, NAMES)
    request = fleet.submit("a", idempotent=True, size=1_000_000)
    assert fleet.reply(request) == JobRefused(request, Reason.JOB_TOO_LARGE, None)


def test_job_that_ends_during_a_lease_renewal_runs_once():
    fleet = JobFleet(1, NAMES)
    fleet.run_s = 20.2
    fleet.world.store_port.fault.delay_s = 0.6
    request = fleet.submit("a", idempotent=True)
    fleet.world.run_for(150.0)
    lookup = fleet.look_up("b", fleet.reply(request).job_id)
    fleet.world.run_for(1.0)
    assert fleet.reply(lookup).state is JobState.DONE
    assert [len(runs) for runs in fleet.runs.values()] == [1]


def test_ended_jobs_are_deleted_after_their_retention():
    fleet = JobFleet(1, NAMES)
    fleet.submit("a", idempotent=True)
    fleet.world.run_for(10.0)
    assert fleet.world.store_port.store.list("jobs/")
    fleet.wall_offset_s = 86_400.0
    fleet.world.run_for(10.0)
    assert fleet.world.store_port.store.list("jobs/") == ()


def test_jobs_gain_priority_until_they_precede_urgent_requests():
    assert aged_priority(9, 0.0, 600.0) == 9
    assert aged_priority(9, 100.0, 600.0) > aged_priority(9, 200.0, 600.0)
    assert aged_priority(9, 300.0, 600.0) <= aged_priority(1, 0.0, 600.0)


class JobMachine(RuleBasedStateMachine):
    """Checks that accepted jobs end although processes and the object API fail.

    Hypothesis sorts rules by name. Renaming one so that this order changes also
    changes the examples that are generated.
    """

    @initialize(seed=st.integers(0, 2**16))
    def set_up_fleet(self, seed):
        self.fleet = JobFleet(seed, NAMES)
        self.world = self.fleet.world
        self.jobs = {}
        self.outage_done = False

    def host(self, name):
        return self.world.hosts[name]

    @rule(name=names, idempotent=st.booleans())
    def want_job(self, name, idempotent):
        host = self.host(name)
        if host.alive:
            request = self.fleet.submit(name, idempotent=idempotent)
            self.jobs[request] = (idempotent, host)

    @rule(seconds=st.sampled_from((0.002, 0.005, 0.3, 1.0, 6.0)))
    def wait(self, seconds):
        self.world.run_for(seconds)

    @rule()
    def wait_for_lease(self):
        self.world.run_for(70.0)

    @rule(run_s=st.sampled_from((0.5, 0.5, 20.2)))
    def set_run_time(self, run_s):
        self.fleet.run_s = run_s

    @rule(name=names)
    def kill_and_replace(self, name):
        self.world.kill(name)
        self.fleet.start(name)
        self.fleet.set_members(name, NAMES)

    @rule(name=names, outage=st.booleans())
    def kill_during_run(self, name, outage):
        """Kill a process as soon as a job runs on it."""
        for runner in self.start_run(name, idempotent=False):
            self.kill_and_replace(runner)
        if outage and not self.outage_done:
            # The outage is longer than the retention of claims. One in each
            # example is enough.
            self.outage_done = True
            self.world.store_port.fault.down = True
            self.world.run_for(600.0)
            self.world.store_port.fault.down = False

    @rule(name=names)
    def pause_past_lease(self, name):
        """Pause a process during a run until another one has run the job."""
        for runner in self.start_run(name, idempotent=True):
            self.world.freeze(runner)
            for other in set(NAMES) - {runner}:
                self.fleet.set_members(other, set(NAMES) - {runner})
            self.world.run_for(80.0)
            self.world.thaw(runner)

    def start_run(self, name, *, idempotent):
        before = sum(map(len, self.fleet.runs.values()))
        self.want_job(name, idempotent)
        self.world.run_while(
            lambda: sum(map(len, self.fleet.runs.values())) == before, 8.0
        )
        return [runner for runner in NAMES if self.runs_at(runner)]

    def runs_at(self, name):
        return self.host(name).core.parts[0].runs

    @rule(name=names, hold=st.booleans())
    def freeze(self, name, hold):
        self.world.freeze(name, hold_sends=hold)

    @rule(name=names)
    def thaw(self, name):
        self.world.thaw(name)

    @rule(name=names, seen=st.sets(names))
    def see_members(self, name, seen):
        self.fleet.set_members(name, seen | {name})

    @rule(
        down=st.sampled_from((False, False, True)),
        lose_answer=st.sampled_from((0.0, 0.3, 1.0)),
        lose_call=st.sampled_from((0.0, 0.3)),
        cut_off=st.sets(names, max_size=1),
        delay_s=st.sampled_from((0.004, 0.6)),
    )
    def break_store(self, down, lose_answer, lose_call, cut_off, delay_s):
        fault = self.world.store_port.fault
        fault.delay_s = delay_s
        fault.down, fault.cut_off = down, set(cut_off)
        fault.lose_answer, fault.lose_call = lose_answer, lose_call

    @rule()
    def make_store_reachable(self):
        self.break_store(False, 0.0, 0.0, (), 0.004)

    @rule(lost=st.booleans())
    def set_lost_runs(self, lost):
        self.fleet.lose_runs = lost

    @invariant()
    def non_idempotent_jobs_run_at_most_once(self):
        for runs in self.fleet.runs.values():
            request = self.fleet.bodies[runs[0]].rstrip(b".").decode()
            idempotent, _ = self.jobs[request]
            assert idempotent or len(runs) == 1, runs

    @invariant()
    def results_never_change(self):
        ended = {}
        for key, stored in self.world.store_port.store.history:
            if key.startswith("jobs/") and stored.body:
                record = JobRecord.decode(stored.body)
                assert key not in ended, (key, ended[key], record)
                if record.ended:
                    ended[key] = record

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.make_store_reachable()
        self.fleet.lose_runs = False
        for name in NAMES:
            self.world.thaw(name)
        self.fleet.set_all_members()
        self.world.run_for(200.0)
        for request, (idempotent, host) in self.jobs.items():
            self.check_job(request, idempotent, host)
        self.non_idempotent_jobs_run_at_most_once()
        self.results_never_change()

    def check_job(self, request, idempotent, host):
        replies = self.fleet.replies.get(request, [])
        assert len(replies) == 1 or not host.alive, (request, replies)
        if not replies or not replies[0].job_id:
            assert not replies or self.never_ran(request)
            return
        found = self.read(replies[0].job_id)
        if isinstance(replies[0], JobRefused) and isinstance(found, JobNotFound):
            assert self.never_ran(request)
            return
        assert isinstance(found, JobFound), (request, found)
        if found.state is JobState.DONE:
            assert found.answer.body.rstrip(b".").decode() == request
            return
        assert found.state is JobState.UNKNOWN, (request, found)
        assert not idempotent or self.attempts_exhausted(found.job_id), (request, found)

    def attempts_exhausted(self, job_id):
        stored = self.world.store_port.store.read(job_key(job_id))
        record = JobRecord.decode(stored.body)
        overdue = record.ended_at - record.accepted_at >= record.max_wait_s
        return overdue and record.attempts >= 10

    def never_ran(self, request):
        return all(
            self.fleet.bodies[runs[0]].rstrip(b".").decode() != request
            for runs in self.fleet.runs.values()
        )

    def read(self, job_id):
        lookup = self.fleet.look_up("a", job_id)
        self.world.run_for(0.1)
        reply = self.fleet.reply(lookup)
        assert not isinstance(reply, JobUnavailable)
        return reply


TestJobMachine = JobMachine.TestCase
TestJobMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    # Shrinking an example takes minutes, and is left to manual runs.
    phases=(Phase.explicit, Phase.generate),
)
