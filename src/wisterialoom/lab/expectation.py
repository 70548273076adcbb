"""The expectations of a scenario, checked against the records of the fakes."""

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
    """The generations in force and the waiting watches at one point in time.

    Attributes:
        at: Virtual time in seconds.
        generations: Boot count and generation in force of each running entry
            instance, by name.
        stored_generation: Generation stored in the object API.
        watches: Number of watches that wait in the object API.
    """

    at: float
    generations: dict[str, tuple[int, int]]
    stored_generation: int
    watches: int


def check(run: ScenarioRun, text: str) -> str:
    """Return why an expectation does not hold; empty if it holds.

    Raises:
        ExpectationError: There is no such expectation.
    """
    for pattern, checker in _EXPECTATIONS:
        matched = re.fullmatch(pattern, text)
        if matched is not None:
            return checker(run, matched)
    raise ExpectationError(f"no expectation {text!r}; see docs/scenarios.md")


def _check_memory(run: ScenarioRun, _: re.Match[str]) -> str:
    engines = run.deployment.world.order_port.engines
    problems = [
        f"{name}: {text}"
        for name, engine in engines.items()
        for text in engine.memory.violations
    ]
    return "; ".join(problems[:3])


def _check_single_run(run: ScenarioRun, _: re.Match[str]) -> str:
    return "; ".join(run.deployment.serving.record.doubles[:3])


def _check_single_outcome(run: ScenarioRun, matched: re.Match[str]) -> str:
    """Check that each request has exactly one outcome.

    A request may have none if its entry instance was killed after it was sent, if
    it is still in flight, or if its entry instance is frozen with unread events.
    """
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
        was_killed = deployment.was_killed_since(sent.entry, sent.at)
        if count > 1:
            return f"{request_id} at {sent.entry} has {count} outcomes"
        if count == 0 and not was_killed and not in_progress and not host.inbox:
            return f"{request_id} at {sent.entry} has no outcome"
    return ""


def _check_not_run(run: ScenarioRun, _: re.Match[str]) -> str:
    ran = {item.request_id for item in run.deployment.serving.runs}
    for name, settled in run.deployment.world.settled:
        if settled.outcome is Outcome.NOT_RUN and settled.request_id in ran:
            return f"{settled.request_id} at {name} settled as not_run, but it ran"
    return ""


def _check_retry_after(run: ScenarioRun, _: re.Match[str]) -> str:
    """Check that each refusal with outcome not_run has a retry hint."""
    for name, refuse in run.deployment.world.refusals:
        refusal = refuse.refusal
        if refusal.outcome is Outcome.NOT_RUN and refusal.retry_after_s is None:
            return (
                f"{refuse.request_id} at {name}: {refusal.reason} without a retry hint"
            )
    return ""


def _check_no_interrupted_request(run: ScenarioRun, _: re.Match[str]) -> str:
    interrupted_outcomes = (Outcome.UNKNOWN, Outcome.FAILED)
    for name, settled in run.deployment.world.settled:
        if settled.outcome in interrupted_outcomes and settled.attempts:
            return f"{settled.request_id} at {name}: {settled.outcome} {settled.reason}"
    return ""


def _check_generations_ascend(run: ScenarioRun, _: re.Match[str]) -> str:
    last: dict[str, tuple[int, int]] = {}
    for sample in run.samples:
        for name, (boot, generation) in sample.generations.items():
            previous = last.get(name, (boot, 0))
            if previous[0] == boot and generation < previous[1]:
                return f"{name} returned from generation {previous[1]} to {generation}"
            last[name] = (boot, generation)
    return ""


def _check_newest_generation(run: ScenarioRun, _: re.Match[str]) -> str:
    sample = run.samples[-1]
    behind = {
        name: generation
        for name, (_, generation) in sample.generations.items()
        if generation != sample.stored_generation
    }
    return (
        f"stored generation is {sample.stored_generation}; behind it: {behind}"
        if behind
        else ""
    )


def _check_watch_count(run: ScenarioRun, matched: re.Match[str]) -> str:
    max_watches = max(sample.watches for sample in run.samples)
    return (
        f"{max_watches} watches waited at once"
        if max_watches > int(matched["count"])
        else ""
    )


def _check_no_new_attempts(run: ScenarioRun, matched: re.Match[str]) -> str:
    name, limit_s = matched["name"], float(matched["limit"])
    since = run.leave_times[name] + limit_s
    late_attempts = [
        item
        for item in run.deployment.serving.attempts
        if item.server == name and item.sent > since
    ]
    return (
        f"{len(late_attempts)} later attempts, the first at {late_attempts[0].sent:.2f}"
        if late_attempts
        else ""
    )


def _check_completed_share(run: ScenarioRun, matched: re.Match[str]) -> str:
    settled = [item for _, item in run.deployment.world.settled]
    count = sum(1 for item in settled if item.outcome is Outcome.COMPLETED)
    share = count / max(1, len(settled))
    if share * 100 >= float(matched["percent"]):
        return ""
    reasons: dict[str, int] = {}
    for item in settled:
        if item.reason is not None:
            reasons[item.reason.value] = reasons.get(item.reason.value, 0) + 1
    return f"{count} of {len(settled)} completed; {reasons}"


def _check_models_served(run: ScenarioRun, _: re.Match[str]) -> str:
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


def _check_drained(run: ScenarioRun, matched: re.Match[str]) -> str:
    host = run.deployment.world.hosts[matched["name"]]
    return "" if host.drained else "the entry instance has not drained"


def _check_min_refusals(run: ScenarioRun, matched: re.Match[str]) -> str:
    reason = matched["reason"]
    count = sum(
        1
        for _, item in run.deployment.world.settled
        if item.reason is not None and item.reason.value == reason
    )
    return "" if count >= int(matched["count"]) else f"only {count} such refusals"


def _check_no_refusals(run: ScenarioRun, matched: re.Match[str]) -> str:
    for name, settled in run.deployment.world.settled:
        if settled.reason is not None and settled.reason.value == matched["reason"]:
            return f"{settled.request_id} at {name}"
    return ""


Checker: TypeAlias = "Callable[[ScenarioRun, re.Match[str]], str]"

_EXPECTATIONS: tuple[tuple[str, Checker], ...] = (
    ("memory within capacity", _check_memory),
    ("no operation runs twice", _check_single_run),
    ("one outcome for every request", _check_single_outcome),
    ("not_run is true", _check_not_run),
    ("every refusal says when to come back", _check_retry_after),
    ("no request is cut", _check_no_interrupted_request),
    ("no generation goes back", _check_generations_ascend),
    ("newest generation everywhere", _check_newest_generation),
    (r"at most (?P<count>\d+) watches", _check_watch_count),
    (r"no new work at (?P<name>\S+) after (?P<limit>[\d.]+)s", _check_no_new_attempts),
    (r"at least (?P<percent>[\d.]+)% completed", _check_completed_share),
    ("every model served in the last minute", _check_models_served),
    (r"(?P<name>\S+) has stopped", _check_drained),
    (r"at least (?P<count>\d+) refused as (?P<reason>\w+)", _check_min_refusals),
    (r"none refused as (?P<reason>\w+)", _check_no_refusals),
)
