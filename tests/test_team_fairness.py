"""Room at full servers is divided fairly between teams."""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import pytest

from tests.test_dispatcher import flow, make_route, server
from wisterialoom.core.serving.balancer import Balancer
from wisterialoom.core.serving.dispatcher import Dispatcher
from wisterialoom.core.serving.request_flow import (
    AttemptResult,
    AttemptVerdict,
    RequestFlow,
    Send,
    Wait,
)
from wisterialoom.core.serving.retry_budget import RetryLimits
from wisterialoom.core.serving.routing import Deployment, IngressLimits, Service
from wisterialoom.core.serving.team_fairness import TeamFairness
from wisterialoom.core.teams import Quota, Team, TeamDirectory

if TYPE_CHECKING:
    from collections.abc import Callable

INSTANCES = 63
SERVERS = 8
SLOTS = 10
RUN_S = 0.4
CAPACITY_PER_S = SERVERS * SLOTS / RUN_S

ROUTE = make_route(max_attempts=4)
QUIET = [f"quiet-{number}" for number in range(15)]


def directory(rates: dict[str, float | None]) -> TeamDirectory:
    teams = [
        Team(name, quota=Quota(rate, rate) if rate else None)
        for name, rate in rates.items()
    ]
    return TeamDirectory.from_teams([(team, ()) for team in teams])


@dataclass
class Replay:
    """Instances and servers that share some traffic.

    Attributes:
        teams: Teams in force; none for the policy without teams.
        rates: Requests per second by team.
        asked: Requests by team.
        served: Answered requests by team.
    """

    teams: TeamDirectory
    rates: dict[str, float]
    seed: int = 1
    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: itertools.count[int] = field(default_factory=itertools.count)
    asked: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    busy: Counter[str] = field(default_factory=Counter)

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), action))

    def make_dispatcher(self) -> Dispatcher:
        dispatcher = Dispatcher(Balancer("a"), RetryLimits(1.0, 1e6, 10.0))
        dispatcher.deployment = Deployment.from_routes(
            1,
            [ROUTE],
            {"app": Service("app", "/health", 100)},
            IngressLimits(),
            self.teams,
        )
        servers = [server(f"i-{number}", slots=SLOTS) for number in range(SERVERS)]
        dispatcher.set_servers({item.id: item for item in servers})
        return dispatcher

    def run(self, until: float, count_from: float) -> None:
        rng = random.Random(self.seed)
        dispatchers = [self.make_dispatcher() for _ in range(INSTANCES)]
        numbers = itertools.count()

        def arrive(team: str) -> None:
            found = flow(
                ROUTE,
                request_id=f"q{next(numbers)}",
                team=team,
                arrived=self.now,
                answer_deadline=self.now + 3.0,
                caller_deadline=self.now + 3.0,
                first_output_deadline=self.now + 3.0,
            )
            counted = self.now >= count_from
            self.asked[team] += counted
            dispatcher = rng.choice(dispatchers)
            dispatcher.record_arrival(self.now, found)
            self.step(dispatcher, found, counted=counted)
            self.at(self.now + rng.expovariate(self.rates[team]), lambda: arrive(team))

        for team, rate in self.rates.items():
            self.at(rng.expovariate(rate), functools.partial(arrive, team))
        while self.events and self.events[0][0] < until:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def step(
        self, dispatcher: Dispatcher, found: RequestFlow, *, counted: bool
    ) -> None:
        match dispatcher.next_step(self.now, found):
            case Send(server_id=server_id):
                self.send(dispatcher, found, server_id, counted=counted)
            case Wait(until=until):
                self.at(
                    max(until, self.now + 0.005),
                    lambda: self.step(dispatcher, found, counted=counted),
                )

    def send(
        self,
        dispatcher: Dispatcher,
        found: RequestFlow,
        server_id: str,
        *,
        counted: bool,
    ) -> None:
        accepted = self.busy[server_id] < SLOTS
        self.busy[server_id] += accepted

        def end() -> None:
            verdict = AttemptVerdict.ANSWERED
            if not accepted:
                verdict = AttemptVerdict.REFUSED_FULL
            self.busy[server_id] -= accepted
            result = AttemptResult(server_id, verdict, saturated=not accepted)
            dispatcher.end_attempt(self.now, found, result)
            if accepted:
                self.served[found.profile.team] += counted
            else:
                self.step(dispatcher, found, counted=counted)

        self.at(self.now + (RUN_S if accepted else 0.002), end)

    def share(self, *teams: str) -> float:
        """Return which share of the requests of some teams was served."""
        names = teams or tuple(self.rates)
        asked = sum(self.asked[name] for name in names)
        return sum(self.served[name] for name in names) / asked


def replay_loud_team(teams: TeamDirectory) -> Replay:
    """One team sends 9 times as much as usual; the servers suit the usual traffic."""
    usual = 0.95 * CAPACITY_PER_S / 16
    rates = dict.fromkeys(QUIET, usual) | {"loud": 9 * usual}
    replay = Replay(teams, rates)
    replay.run(20.0, count_from=8.0)
    return replay


ALL = dict.fromkeys([*QUIET, "loud"], None)


def test_loud_team_uses_its_own_share_and_not_that_of_the_quiet_ones():
    """Without the rule, each quiet team loses as much as the loud one."""
    before = replay_loud_team(TeamDirectory())
    after = replay_loud_team(directory(ALL))
    assert before.share(*QUIET) < 1.1 * before.share("loud")
    assert before.share(*QUIET) < 0.7
    assert after.share(*QUIET) > 0.75
    assert after.share(*QUIET) > 2 * after.share("loud")
    for name in after.rates:
        assert after.share(name) >= 0.25 * after.share()
    # What the loud team may not use is not lost.
    assert after.share() >= 0.95 * before.share()


def test_nothing_is_held_back_while_there_is_room():
    """Guards against refusals that only the rule causes."""
    rates = dict.fromkeys(QUIET, 1.0) | {"loud": 0.4 * CAPACITY_PER_S}
    replay = Replay(directory(ALL), rates)
    replay.run(20.0, count_from=5.0)
    assert replay.share("loud") > 0.95


def test_room_is_divided_by_quota():
    """Guards against a large team at its usual traffic that is cut to a small one's."""
    fairness = TeamFairness()
    fairness.set_teams(directory({"large": 100.0, "small": 10.0, "other": 10.0}))
    served = run_alone(fairness, {"large": 100, "small": 100, "other": 5}, room=60)
    assert served["large"] > 3 * served["small"]
    assert served["other"] / 5 > 2 * served["small"] / 100
    assert served.total() >= 54


def test_without_teams_everything_is_allowed():
    """Guards against a changed order in deployments without teams."""
    fairness = TeamFairness()
    profile = flow(team="").profile
    for _ in range(100):
        fairness.record_arrival(1.0, profile)
        fairness.record_sent(1.0, profile)
        fairness.record_short(1.0, profile)
    assert fairness.allows(1.0, profile)
    assert not fairness.services


@pytest.mark.parametrize("count", [0, 1, 50])
def test_single_team_is_not_held_back_by_itself(count: int):
    fairness = TeamFairness()
    fairness.set_teams(directory({"a": None}))
    served = run_alone(fairness, {"a": 100}, room=count)
    assert served["a"] >= 0.9 * count


def run_alone(
    fairness: TeamFairness, asked_per_s: dict[str, int], room: int
) -> Counter[str]:
    """Replay one instance for 30 s; return what is served per second in the last 10.

    Requests wait for a second at most; any of them may be the next to find room.
    """
    base = flow(team="").profile
    served: Counter[str] = Counter()
    rng = random.Random(2)
    waiting: list[tuple[float, str]] = []
    left = 0.0
    for step in range(3000):
        now = step / 100
        left = min(1.0 + room / 100, left + room / 100)
        for name, count in asked_per_s.items():
            for _ in range(sum(rng.random() < 0.01 for _ in range(count))):
                fairness.record_arrival(now, replace(base, team=name))
                waiting.append((now, name))
        waiting = [item for item in waiting if now - item[0] < 1.0]
        rng.shuffle(waiting)
        for item in list(waiting):
            profile = replace(base, team=item[1])
            if left < 1.0:
                fairness.record_short(now, profile)
                break
            if fairness.allows(now, profile):
                fairness.record_sent(now, profile)
                waiting.remove(item)
                left -= 1.0
                served[item[1]] += now >= 20.0
    return Counter({name: round(count / 10) for name, count in served.items()})
