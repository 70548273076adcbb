"""Runs a scenario on a simulated deployment and checks its expectations."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING

from wisterialoom.core.requests.request import Request
from wisterialoom.lab.deployment import CONFIG_KEY
from wisterialoom.lab.expectation import check, Sample
from wisterialoom.lab.script import (
    Apply,
    Cut,
    DegradeInstanceList,
    DegradeLinks,
    DegradeOrders,
    DegradeStore,
    Freeze,
    Kill,
    Label,
    Leave,
    Load,
    RELAYS,
    Restart,
    ROLES,
    Start,
    Step,
    Stop,
)
from wisterialoom.lab.site import open_site

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.lab.deployment import Deployment
    from wisterialoom.lab.script import Script
    from wisterialoom.lab.world import Host

__all__ = ["Failure", "ScenarioRun", "run_script"]

SAMPLE_INTERVAL_S = 0.5
"""Time between two samples of the generations in force, in seconds."""

OPERATOR_PAUSE_S = 0.003
"""Time between an operator's read and its conditional update, in seconds."""

OBJECT_API = "object-api"


@dataclass(frozen=True, slots=True)
class Failure:
    """An expectation that was not met.

    Attributes:
        line: Line number in the scenario.
        text: Text of the expectation.
        problem: What was observed instead.
    """

    line: int
    text: str
    problem: str


@dataclass
class ScenarioRun:
    """One run of one scenario.

    Attributes:
        script: The scenario.
        deployment: Deployment that the scenario runs on.
        samples: Generations in force and waiting watches, over time.
        leave_times: Time at which each backend server began to leave.
        failures: Expectations that were not met.
        started_at: Virtual time at which the scenario began.
    """

    script: Script
    deployment: Deployment
    samples: list[Sample] = field(default_factory=list)
    leave_times: dict[str, float] = field(default_factory=dict)
    failures: list[Failure] = field(default_factory=list)
    started_at: float = 0.0

    def run(self) -> list[Failure]:
        """Run the scenario to its end and return the failed expectations."""
        world = self.deployment.world
        self.started_at = world.now
        self.deployment.start_entries(self.script.entries)
        self._sample()
        for scheduled in self.script.scheduled_steps:
            self._schedule_at(scheduled.at_s, partial(self._run_step, scheduled.step))
        for expectation in self.script.expectations:
            if expectation.at_s is not None:
                self._schedule_at(
                    expectation.at_s,
                    partial(
                        self._check_expectation, expectation.line, expectation.text
                    ),
                )
        world.run_for(self.script.until_s)
        for expectation in self.script.expectations:
            if expectation.at_s is None:
                self._check_expectation(expectation.line, expectation.text)
        return self.failures

    def _schedule_at(self, at_s: float, call: Callable[[], None]) -> None:
        self.deployment.world.schedule.at(self.started_at + at_s, call)

    def _check_expectation(self, line: int, text: str) -> None:
        problem = check(self, text)
        if problem:
            self.failures.append(Failure(line, text, problem))

    def _sample(self) -> None:
        deployment = self.deployment
        world = deployment.world
        generations = {
            name: (deployment.boot_counts[name], parts.config.generation)
            for name, parts in deployment.entries.items()
            if world.hosts[name].alive and not world.hosts[name].frozen
        }
        stored_generation = world.store_port.store.read(CONFIG_KEY).version
        watches = sum(len(x) for x in world.store_port.watches.values())
        self.samples.append(Sample(world.now, generations, stored_generation, watches))
        world.schedule.after(SAMPLE_INTERVAL_S, self._sample)

    # Steps.

    def _run_step(self, step: Step) -> None:
        deployment = self.deployment
        match step:
            case Freeze():
                self._freeze(step)
            case Kill(name=name) if name in deployment.entries:
                deployment.kill_entry(name)
            case Kill(name=name):
                deployment.kill_server(name)
            case Start(name=name):
                deployment.start_entry(name)
            case Restart(name=name):
                deployment.restart_server(name)
            case Stop(name=name):
                deployment.stop_entry(name)
            case Leave(name=name):
                self.leave_times[name] = deployment.world.now
                deployment.begin_leaving(name)
            case Load():
                self._start_load(step)
            case Apply(operators=operators):
                for number in range(operators):
                    self._apply(number)
            case Label():
                text = f'\n[[labels]]\nselector = "{step.selector}"\n'
                text += f'key = "{step.key}"\nvalue = "{step.value}"\n'
                self._append_to_document(text)
            case _:
                self._inject_fault(step)

    def _freeze(self, step: Freeze) -> None:
        world = self.deployment.world
        world.freeze(
            step.name,
            hold_sends=bool(step.pause_point),
            past_checks=step.pause_point == "sending",
        )
        host = world.hosts[step.name]
        world.schedule.after(step.for_s, partial(self._thaw, host))

    def _thaw(self, host: Host) -> None:
        if host.alive:
            self.deployment.world.thaw(host.name)

    def _inject_fault(self, step: Step) -> None:
        world = self.deployment.world
        match step:
            case Cut():
                self._cut(step)
            case DegradeStore(fault=fault, amount=amount, for_s=for_s):
                names = {
                    "down": "down",
                    "slow": "delay_s",
                    "lose-answers": "lose_answer",
                    "lose-calls": "lose_call",
                }
                value = amount if fault != "down" else True
                self._set_temporarily(
                    world.store_port.fault, names[fault], value, for_s
                )
            case DegradeOrders(server=server, fault=fault, amount=amount, for_s=for_s):
                names = {"lose": "lose_order", "lose-answers": "lose_answer"}
                servers = world.order_port.engines
                for name in servers if server == "all" else [server]:
                    target = servers[name].fault
                    self._set_temporarily(
                        target, names.get(fault, fault), amount, for_s
                    )
            case DegradeLinks(fault=fault, amount=amount, for_s=for_s):
                name = "delay_s" if fault == "delay" else fault
                self._set_temporarily(world.links, name, amount, for_s)
            case DegradeInstanceList(lag_s=lag_s, down=down, for_s=for_s):
                self._set_temporarily(world, "listing_lag_s", lag_s, for_s)
                self._set_temporarily(world, "listing_down", down, for_s)

    def _set_temporarily(
        self, target: object, name: str, value: object, for_s: float
    ) -> None:
        original = getattr(target, name)
        setattr(target, name, value)
        if for_s != float("inf"):
            schedule = self.deployment.world.schedule
            schedule.after(for_s, lambda: setattr(target, name, original))

    def _cut(self, step: Cut) -> None:
        world = self.deployment.world
        left_names, right_names = (
            self._expand_names(step.left),
            self._expand_names(step.right),
        )
        links = {frozenset((a, b)) for a in left_names for b in right_names if a != b}
        world.links.cuts |= links
        undo = [partial(world.links.cuts.difference_update, links)]
        for side, other in ((left_names, right_names), (right_names, left_names)):
            for cut_off in self._cut_off_sets(other):
                cut_off |= side
                undo.append(partial(cut_off.difference_update, side))
        if step.for_s != float("inf"):
            for call in undo:
                world.schedule.after(step.for_s, call)

    def _cut_off_sets(self, names: set[str]) -> list[set[str]]:
        """Return the `cut_off` set of each name that is not an entry instance.

        An engine has two such sets: one for requests and one for orders.
        """
        world = self.deployment.world
        found = [world.store_port.fault.cut_off] if OBJECT_API in names else []
        for name in names & self.deployment.serving.servers.keys():
            found.append(self.deployment.serving.servers[name].fault.cut_off)
        for name in names & world.order_port.engines.keys():
            found.append(world.order_port.engines[name].fault.cut_off)
        return found

    def _expand_names(self, names: tuple[str, ...]) -> set[str]:
        """Return the names with availability zones and roles replaced by instances."""
        deployment = self.deployment
        found: set[str] = set()
        for name in names:
            if name in ROLES:
                found |= self._find_role(name)
            elif name in deployment.zones:
                found |= {
                    item.name
                    for item in deployment.world.listing.instances
                    if item.availability_zone == name
                }
            else:
                found.add(name)
        return found

    def _find_role(self, role: str) -> set[str]:
        """Return the running instances that have a role now."""
        running = {
            name: parts
            for name, parts in self.deployment.entries.items()
            if self.deployment.world.hosts[name].alive
        }
        if role == RELAYS:
            return {name for name, parts in running.items() if parts.config.relay}
        return {
            name
            for name, parts in running.items()
            if not all(item.is_done for item in parts.controllers.controllers.values())
        }

    # Operators.

    def _apply(self, operator: int) -> None:
        """Read, change and conditionally update the document, as operators do."""
        store = self.deployment.world.store_port
        seen = store.store.read(CONFIG_KEY)
        body = seen.body + f"\n# Operator {operator} was here.\n".encode()
        world = self.deployment.world
        pause = OPERATOR_PAUSE_S * (1 + world.rng.random())
        world.schedule.after(pause, lambda: self._update(body, seen.version))

    def _update(self, body: bytes, expected: int) -> None:
        store = self.deployment.world.store_port
        if not store.fault.down and store.store.read(CONFIG_KEY).version == expected:
            store.put(CONFIG_KEY, body)

    def _append_to_document(self, addition: str) -> None:
        store = self.deployment.world.store_port
        store.put(CONFIG_KEY, store.store.read(CONFIG_KEY).body + addition.encode())

    # Callers.

    def _start_load(self, step: Load) -> None:
        world = self.deployment.world
        end = world.now + step.for_s
        targets = [step.target]
        if step.target == "any":
            targets = [model.name for model in self.deployment.document.models]

        def send(number: int) -> None:
            if world.now > end:
                return
            self._send_request(step, targets[number % len(targets)])
            gap = world.rng.expovariate(step.rate)
            world.schedule.after(gap, lambda: send(number + 1))

        world.schedule.after(world.rng.expovariate(step.rate), lambda: send(0))

    def _send_request(self, step: Load, target: str) -> None:
        deployment = self.deployment
        caller = deployment.document.callers[0]
        request_id = deployment.next_request_id()
        is_service = target.startswith("/")
        request = Request(
            request_id=request_id,
            method="POST" if step.send_twice else ("GET" if is_service else "POST"),
            path=target if is_service else "/v1/chat/completions",
            api_key_sha256=caller.api_key_sha256,
            model="" if is_service else target,
            stream=not is_service,
            idempotency_key=f"key-{request_id}" if step.send_twice else "",
            body_sha256=f"body-{request_id}" if step.send_twice else "",
            priority=step.traffic_class,
            prompt_tokens=200,
            max_tokens=40,
        )
        entry = deployment.send(request)
        if step.send_twice:
            self._send_duplicate(request, entry)

    def _send_duplicate(self, request: Request, first_entry: str) -> None:
        """Send the same operation again through another entry instance.

        It follows after a random delay of at most four seconds.
        """
        deployment = self.deployment
        delay = deployment.rng.choice([0.0, 0.002, 0.05, 1.0, 4.0])

        def send_duplicate() -> None:
            others = [name for name in deployment.ready if name != first_entry]
            if not others:
                return
            request_id = deployment.next_request_id()
            copy = replace(request, request_id=request_id)
            deployment.send(copy, deployment.rng.choice(others))

        deployment.world.schedule.after(delay, send_duplicate)


def run_script(script: Script) -> ScenarioRun:
    """Run a scenario to its end and return the run.

    Args:
        script: The scenario.
    """
    deployment = open_site(script.document, seed=script.seed)
    run = ScenarioRun(script, deployment)
    run.run()
    return run
