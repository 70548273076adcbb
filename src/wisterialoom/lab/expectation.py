"""What a scenario can expect; asked of the fakes' own records."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from wisterialoom.core.configuration.document_check import read_document
from wisterialoom.core.requests.request import Outcome
from wisterialoom.lab.deployment import CONFIG_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.lab.scenario import ScenarioRun

__all__ = ["ExpectationError", "Sample", "check"]


class ExpectationError(ValueError):
    """Raised when an expectation is not one of those in docs/scenarios.md."""


@dataclass(frozen=True, slots=True)
class Sample:
    """What was in force where at one moment.

    Attributes:
        at: Virtual time in seconds.
        generations: Boot count and generation in force by running instance.
        newest: Generation in the object API.
        watches: Watches that wait there.
    """

    at: float
    generations: dict[str, tuple[int, int]]
    newest: int
    watches: int


def check(run: ScenarioRun, text: str) -> str:
    """Return what speaks against an expectation; empty if it holds.

    Raises:
        ExpectationError: There is no such expectation.
    """
    for pattern, ask in _EXPECTATIONS:
        found = re.fullmatch(pattern, text)
        if found is not None:
            return ask(run, found)
    raise ExpectationError(f"no expectation {text!r}; see docs/scenarios.md")


def _memory(run: ScenarioRun, _: re.Match[str]) -> str:
    engines = run.deployment.world.order_port.engines
    problems = [
        f"{name}: {text}"
        for name, engine in engines.items()
        for text in engine.memory.violations
    ]
    return "; ".join(problems[:3])


def _once(run: ScenarioRun, _: re.Match[str]) -> str:
    return "; ".join(run.deployment.serving.record.doubles[:3])


def _one_outcome(run: ScenarioRun, found: re.Match[str]) -> str:
    """Every request of an instance that was not killed has one outcome."""
    deployment = run.deployment
    counts: dict[str, int] = {}
    for _name, settled in deployment.world.settled:
        counts[settled.request_id] = counts.get(settled.request_id, 0) + 1
    for request_id, sent in deployment.sent.items():
        count = counts.get(request_id, 0)
        host = deployment.world.hosts[sent.entry]
        in_progress = (
            request_id in deployment.entries[sent.entry].path.in_flight_requests
        )
        died = deployment.was_killed(sent.entry, sent.at)
        if count > 1:
            return f"{request_id} at {sent.entry} has {count} outcomes"
        if count == 0 and not died and not in_progress and not host.inbox:
            return f"{request_id} at {sent.entry} has no outcome"
    return ""


def _not_run_is_true(run: ScenarioRun, _: re.Match[str]) -> str:
    ran = {item.request_id for item in run.deployment.serving.runs}
    for name, settled in run.deployment.world.settled:
        if settled.outcome is Outcome.NOT_RUN and settled.request_id in ran:
            return f"{settled.request_id} at {name} was called not_run and ran"
    return ""


def _refused_at_once(run: ScenarioRun, _: re.Match[str]) -> str:
    """Each refusal names its time to come back, and comes with the outcome."""
    for name, refuse in run.deployment.world.refusals:
        refusal = refuse.refusal
        if refusal.outcome is Outcome.NOT_RUN and refusal.retry_after_s is None:
            return f"{refuse.request_id} at {name}: {refusal.reason} without a time"
    return ""


def _no_cut(run: ScenarioRun, _: re.Match[str]) -> str:
    bad = (Outcome.UNKNOWN, Outcome.FAILED)
    for name, settled in run.deployment.world.settled:
        if settled.outcome in bad and settled.attempts:
            return f"{settled.request_id} at {name}: {settled.outcome} {settled.reason}"
    return ""


def _never_back(run: ScenarioRun, _: re.Match[str]) -> str:
    last: dict[str, tuple[int, int]] = {}
    for sample in run.samples:
        for name, (boot, generation) in sample.generations.items():
            before = last.get(name, (boot, 0))
            if before[0] == boot and generation < before[1]:
                return f"{name} went back from {before[1]} to {generation}"
            last[name] = (boot, generation)
    return ""


def _in_force(run: ScenarioRun, _: re.Match[str]) -> str:
    sample = run.samples[-1]
    behind = {
        name: generation
        for name, (_, generation) in sample.generations.items()
        if generation != sample.newest
    }
    return f"newest is {sample.newest}, but {behind}" if behind else ""


def _watches(run: ScenarioRun, found: re.Match[str]) -> str:
    most = max(sample.watches for sample in run.samples)
    return f"{most} watches waited" if most > int(found["count"]) else ""


def _no_new_work(run: ScenarioRun, found: re.Match[str]) -> str:
    name, limit_s = found["name"], float(found["limit"])
    since = run.left_at[name] + limit_s
    late = [
        item
        for item in run.deployment.serving.attempts
        if item.server == name and item.sent > since
    ]
    return f"{len(late)} attempts, the first at {late[0].sent:.2f}" if late else ""


def _completed(run: ScenarioRun, found: re.Match[str]) -> str:
    settled = [item for _, item in run.deployment.world.settled]
    count = sum(1 for item in settled if item.outcome is Outcome.COMPLETED)
    share = count / max(1, len(settled))
    if share * 100 >= float(found["percent"]):
        return ""
    reasons: dict[str, int] = {}
    for item in settled:
        if item.reason is not None:
            reasons[item.reason.value] = reasons.get(item.reason.value, 0) + 1
    return f"{count} of {len(settled)} completed; {reasons}"


def _reachable(run: ScenarioRun, _: re.Match[str]) -> str:
    body = run.deployment.world.store_port.store.read(CONFIG_KEY).body
    models = {model.name for model in read_document(body).models}
    since = run.deployment.world.now - 60.0
    served = {
        item.classified.request.model
        for item in run.deployment.serving.attempts
        if item.sent >= since and item.first is not None
    }
    missing = sorted(models - served)
    return f"not served in the last minute: {missing}" if missing else ""


def _stopped(run: ScenarioRun, found: re.Match[str]) -> str:
    host = run.deployment.world.hosts[found["name"]]
    return "" if host.drained else "it has not drained"


def _count_of(run: ScenarioRun, found: re.Match[str]) -> str:
    wanted = found["reason"]
    count = sum(
        1
        for _, item in run.deployment.world.settled
        if item.reason is not None and item.reason.value == wanted
    )
    return "" if count >= int(found["count"]) else f"only {count}"


def _none_of(run: ScenarioRun, found: re.Match[str]) -> str:
    for name, settled in run.deployment.world.settled:
        if settled.reason is not None and settled.reason.value == found["reason"]:
            return f"{settled.request_id} at {name}"
    return ""


Ask: TypeAlias = "Callable[[ScenarioRun, re.Match[str]], str]"

_EXPECTATIONS: tuple[tuple[str, Ask], ...] = (
    ("memory within capacity", _memory),
    ("no operation runs twice", _once),
    ("one outcome for every request", _one_outcome),
    ("not_run is true", _not_run_is_true),
    ("every refusal says when to come back", _refused_at_once),
    ("no request is cut", _no_cut),
    ("no generation goes back", _never_back),
    ("newest generation everywhere", _in_force),
    (r"at most (?P<count>\d+) watches", _watches),
    (r"no new work at (?P<name>\S+) after (?P<limit>[\d.]+)s", _no_new_work),
    (r"at least (?P<percent>[\d.]+)% completed", _completed),
    ("every model served in the last minute", _reachable),
    (r"(?P<name>\S+) has stopped", _stopped),
    (r"at least (?P<count>\d+) refused as (?P<reason>\w+)", _count_of),
    (r"none refused as (?P<reason>\w+)", _none_of),
)
