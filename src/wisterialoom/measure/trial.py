"""One run of one policy on one workload, and what came of each request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.requests.request import AttemptResult, Request
from wisterialoom.lab.site import open_site

if TYPE_CHECKING:
    from wisterialoom.lab.deployment import Deployment
    from wisterialoom.measure.policy import Policy
    from wisterialoom.measure.scene import Scene
    from wisterialoom.measure.workload import Arrival

__all__ = ["ENTRIES", "WARM_UP_S", "Answer", "Trial", "run_trial"]

ENTRIES = 7

START_S = 10.0
"""Time for the instances to find each other before the first request."""

WARM_UP_S = 60.0
"""Requests of the first minute are not counted; models are placed then."""

DRAIN_S = 600.0
"""Longest time that requests still have to end after the last arrival."""

MAX_TOKENS = 600
"""What callers name as their limit, whatever the answer's length."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller saw of one request; times in seconds.

    Attributes:
        arrival: The request.
        done: The whole answer came.
        first_token_s: From the call to the first token; infinite without one.
        token_gap_s: Mean time between tokens.
        reason: Why it was refused; empty if it was not.
    """

    arrival: Arrival
    done: bool
    first_token_s: float = float("inf")
    token_gap_s: float = 0.0
    reason: str = ""


@dataclass
class Trial:
    """Results of one run.

    Attributes:
        answers: Of the requests that count.
        moves: Loads and unloads by kind, warm-up left out.
        engines: Count of engines.
        length_s: Time over which the counted requests arrived.
        violations: Overcommitments of accelerator memory.
    """

    answers: list[Answer] = field(default_factory=list)
    moves: Counter[str] = field(default_factory=Counter)
    engines: int = 0
    length_s: float = 0.0
    violations: int = 0


def run_trial(
    site: str, scene: Scene, policy: Policy, arrivals: list[Arrival], seed: int = 1
) -> Trial:
    """Run a workload through a deployment.

    Args:
        site: Name of the deployment.
        scene: What goes wrong.
        policy: The policy.
        arrivals: The workload.
        seed: Of every random choice.
    """
    deployment = open_site(site, seed=seed)
    deployment.world.keep_trace = False
    deployment.policy = policy.window
    deployment.choice = policy.choice
    deployment.placement = policy.placement
    return _Run(deployment, scene, arrivals).run()


class _Run:
    def __init__(
        self, deployment: Deployment, scene: Scene, arrivals: list[Arrival]
    ) -> None:
        self.deployment = deployment
        self.scene = scene
        self.arrivals = arrivals
        self.sent: dict[str, Arrival] = {}
        self.turned_away: list[Arrival] = []
        self.tokens: dict[str, int] = {}

    def run(self) -> Trial:
        deployment, world = self.deployment, self.deployment.world
        deployment.serving.output_tokens = lambda x: self.tokens[x.request_id]
        deployment.start_entries(ENTRIES)
        world.run_for(START_S)
        begin = world.now
        self.scene.schedule_faults(deployment, begin)
        if self.arrivals:
            self._schedule(begin, 0)
        world.run_for(WARM_UP_S)
        before = self._moves()
        world.run_for(self.scene.profile.length_s - WARM_UP_S)
        world.run_while(self._busy, DRAIN_S)
        return self._result(begin, before)

    def _schedule(self, begin: float, index: int) -> None:
        at = begin + self.arrivals[index].at_s
        self.deployment.world.schedule.at(at, lambda: self._send(begin, index))

    def _send(self, begin: float, index: int) -> None:
        arrival = self.arrivals[index]
        request_id = self.deployment.next_request_id()
        self.tokens[request_id] = arrival.output_tokens
        request = Request(
            request_id=request_id,
            api_key_sha256=arrival.caller,
            model=arrival.model,
            stream=True,
            priority=arrival.traffic_class,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=MAX_TOKENS,
            prefix_hashes=arrival.prefix_hashes,
        )
        if index + 1 < len(self.arrivals):
            self._schedule(begin, index + 1)
        if self.deployment.send(request):
            self.sent[request_id] = arrival
        else:
            self.turned_away.append(arrival)

    def _busy(self) -> bool:
        hosts = self.deployment.world.hosts
        return any(
            parts.path.in_flight_requests
            for name, parts in self.deployment.entries.items()
            if hosts[name].alive
        )

    def _moves(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for engine in self.deployment.world.order_port.engines.values():
            total.update(engine.memory.moves)
        return total

    def _result(self, begin: float, before: Counter[str]) -> Trial:
        engines = self.deployment.world.order_port.engines
        answers = [x for x in self._answers() if x.arrival.at_s >= WARM_UP_S]
        return Trial(
            answers=answers,
            moves=self._moves() - before,
            engines=len(engines),
            length_s=self.scene.profile.length_s - WARM_UP_S,
            violations=sum(len(x.memory.violations) for x in engines.values()),
        )

    def _answers(self) -> list[Answer]:
        deployment = self.deployment
        whole = {
            item.request_id: item
            for item in deployment.serving.attempts
            if item.result is AttemptResult.COMPLETED and item.first is not None
        }
        settled = {x.request_id: x for _, x in deployment.world.settled}
        found = [Answer(x, done=False, reason="no_instance") for x in self.turned_away]
        for request_id, arrival in self.sent.items():
            record = whole.get(request_id)
            if record is not None and record.first is not None:
                way_back_s = deployment.serving.servers[record.server].fault.delay_s
                sent_at = deployment.sent[request_id].at
                first_s = record.first + way_back_s - sent_at
                found.append(Answer(arrival, True, first_s, record.token_gap_s))
                continue
            end = settled.get(request_id)
            reason = "unfinished" if end is None else "cut"
            if end is not None and end.reason is not None:
                reason = end.reason.value
            found.append(Answer(arrival, done=False, reason=reason))
        return found
