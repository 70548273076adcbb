"""Parses the scenario language: timed steps and expectations.

Each line holds one statement; `#` begins a comment. Times are `5s`, `1.5s`, `250ms` or
`2m`. See `docs/scenarios.md` for every statement.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from wisterialoom.core.error import WisterialoomError

__all__ = [
    "RELAYS",
    "ROLES",
    "Apply",
    "Cut",
    "Expectation",
    "Freeze",
    "ScheduledStep",
    "Kill",
    "Label",
    "Leave",
    "DegradeLinks",
    "DegradeInstanceList",
    "Load",
    "DegradeOrders",
    "Restart",
    "Script",
    "ScriptError",
    "Start",
    "Step",
    "Stop",
    "DegradeStore",
    "parse_script",
]

RELAYS = "relays"
ENGINE_CONTROLLERS = "engine-controllers"
ROLES = (RELAYS, ENGINE_CONTROLLERS)
"""Roles that stand for the instances that have them: relays of the configuration, and
instances with the lease of an engine."""

UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0}


class ScriptError(WisterialoomError):
    """Raised when a scenario cannot be read."""


@dataclass(frozen=True, slots=True)
class Step:
    """Base class of the steps of a scenario."""


@dataclass(frozen=True, slots=True)
class Freeze(Step):
    """Pause the process of an entry instance.

    Attributes:
        name: Name of the entry instance.
        for_s: Duration of the pause in seconds.
        pause_point: `deciding` pauses between a decision and its execution; `sending`
            pauses between the last check and the sending of the bytes; empty
            pauses at once.
    """

    name: str
    for_s: float
    pause_point: str = ""


@dataclass(frozen=True, slots=True)
class Kill(Step):
    """Kill the process of an entry instance or a backend server."""

    name: str


@dataclass(frozen=True, slots=True)
class Start(Step):
    """Start or restart the process of an entry instance."""

    name: str


@dataclass(frozen=True, slots=True)
class Restart(Step):
    """Restart a backend server with empty memory."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop(Step):
    """Ask an entry instance to drain and stop."""

    name: str


@dataclass(frozen=True, slots=True)
class Leave(Step):
    """Make a backend server begin to leave."""

    name: str


@dataclass(frozen=True, slots=True)
class Cut(Step):
    """Cut the links between two lists of names for a time.

    A name is an entry instance, an availability zone, `object-api`, a backend server,
    or a role, which stands for the instances that have it when the cut begins.
    """

    left: tuple[str, ...]
    right: tuple[str, ...]
    for_s: float


@dataclass(frozen=True, slots=True)
class DegradeStore(Step):
    """Inject a fault into the object API.

    The fault is `down`, `slow`, `lose-answers` or `lose-calls`.
    """

    fault: str
    amount: float
    for_s: float


@dataclass(frozen=True, slots=True)
class DegradeOrders(Step):
    """Inject a fault into the orders to a backend server, or to `all` engines.

    The fault is `lose`, `lose-answers`, `late` or `double`.
    """

    server: str
    fault: str
    amount: float
    for_s: float


@dataclass(frozen=True, slots=True)
class DegradeLinks(Step):
    """Inject `loss`, `double` or `delay` into the links between entry instances."""

    fault: str
    amount: float
    for_s: float


@dataclass(frozen=True, slots=True)
class DegradeInstanceList(Step):
    """Make the instance list lag by `lag_s` seconds, or fail if `down`."""

    lag_s: float
    down: bool
    for_s: float


@dataclass(frozen=True, slots=True)
class Load(Step):
    """Send requests at a rate.

    Attributes:
        rate: Requests per second.
        target: Name of a model or adapter; `any` for all models in turn; a path
            for services.
        for_s: Duration in seconds.
        traffic_class: Requested traffic class; empty leaves it to the document's
            rules.
        send_twice: Send each operation twice with the same idempotency key,
            through two entry instances.
    """

    rate: float
    target: str
    for_s: float
    traffic_class: str = ""
    send_twice: bool = False


@dataclass(frozen=True, slots=True)
class Apply(Step):
    """Let one or more operators apply a changed document at the same time."""

    operators: int = 1


@dataclass(frozen=True, slots=True)
class Label(Step):
    """Label the servers that a selector matches."""

    selector: str
    key: str
    value: str


@dataclass(frozen=True, slots=True)
class ScheduledStep:
    """A step with its time, in seconds from the start of the scenario."""

    at_s: float
    step: Step
    line: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """A condition that a scenario checks.

    Attributes:
        text: Text of the statement after `expect`.
        at_s: Time of the check, in seconds from the start of the scenario; `None`
            for its end.
        line: Line number in the scenario.
    """

    text: str
    at_s: float | None
    line: int


@dataclass(frozen=True)
class Script:
    """A whole scenario.

    Attributes:
        title: One-line description.
        document: Name of the document in `examples`, or `small`.
        entries: Number of entry instances.
        seed: Seed of every random choice.
        until_s: Duration in seconds.
        scheduled_steps: Steps in the order of their times.
        expectations: Conditions to check.
    """

    title: str = ""
    document: str = "small"
    entries: int = 3
    seed: int = 1
    until_s: float = 30.0
    scheduled_steps: tuple[ScheduledStep, ...] = ()
    expectations: tuple[Expectation, ...] = ()


@dataclass
class _Draft:
    header: dict[str, str] = field(default_factory=dict)
    scheduled_steps: list[ScheduledStep] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)


StepBuilder: TypeAlias = Callable[[re.Match[str]], Step]

_TIME = r"[\d.]+(?:ms|s|m)"
_FOR = rf"(?: for (?P<for>{_TIME}))?"


def _parse_seconds(text: str | None) -> float:
    if text is None:
        return float("inf")
    matched = re.fullmatch(r"([\d.]+)(ms|s|m)", text)
    if matched is None:
        raise ValueError(f"{text!r} is not a time; write 5s, 250ms or 2m")
    return float(matched[1]) * UNITS_S[matched[2]]


def _parse_names(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


_STATEMENTS: tuple[tuple[str, StepBuilder], ...] = (
    (
        rf"freeze (?P<name>\S+)(?: while (?P<how>deciding|sending))?{_FOR}",
        lambda m: Freeze(m["name"], _parse_seconds(m["for"]), m["how"] or ""),
    ),
    (r"kill (?P<name>\S+)", lambda m: Kill(m["name"])),
    (r"start (?P<name>\S+)", lambda m: Start(m["name"])),
    (r"restart (?P<name>\S+)", lambda m: Restart(m["name"])),
    (r"stop (?P<name>\S+)", lambda m: Stop(m["name"])),
    (r"(?P<name>\S+) leaves", lambda m: Leave(m["name"])),
    (
        rf"cut (?P<left>\S+) from (?P<right>\S+){_FOR}",
        lambda m: Cut(
            _parse_names(m["left"]), _parse_names(m["right"]), _parse_seconds(m["for"])
        ),
    ),
    (
        rf"object-api down{_FOR}",
        lambda m: DegradeStore("down", 1.0, _parse_seconds(m["for"])),
    ),
    (
        rf"object-api slow (?P<amount>{_TIME}){_FOR}",
        lambda m: DegradeStore(
            "slow", _parse_seconds(m["amount"]), _parse_seconds(m["for"])
        ),
    ),
    (
        rf"object-api (?P<fault>lose-answers|lose-calls) (?P<amount>[\d.]+){_FOR}",
        lambda m: DegradeStore(
            m["fault"], float(m["amount"]), _parse_seconds(m["for"])
        ),
    ),
    (
        r"orders to (?P<server>\S+) (?P<fault>lose|lose-answers|late|double) "
        rf"(?P<amount>[\d.]+){_FOR}",
        lambda m: DegradeOrders(
            m["server"], m["fault"], float(m["amount"]), _parse_seconds(m["for"])
        ),
    ),
    (
        rf"links (?P<fault>loss|double) (?P<amount>[\d.]+){_FOR}",
        lambda m: DegradeLinks(
            m["fault"], float(m["amount"]), _parse_seconds(m["for"])
        ),
    ),
    (
        rf"links delay (?P<amount>{_TIME}){_FOR}",
        lambda m: DegradeLinks(
            "delay", _parse_seconds(m["amount"]), _parse_seconds(m["for"])
        ),
    ),
    (
        rf"instance-list lags (?P<lag>{_TIME}){_FOR}",
        lambda m: DegradeInstanceList(
            _parse_seconds(m["lag"]), False, _parse_seconds(m["for"])
        ),
    ),
    (
        rf"instance-list down{_FOR}",
        lambda m: DegradeInstanceList(0.0, True, _parse_seconds(m["for"])),
    ),
    (
        r"load (?P<rate>[\d.]+)/s of (?P<target>\S+)(?: as (?P<class>\S+))?"
        rf"(?P<once> once each)?{_FOR}",
        lambda m: Load(
            float(m["rate"]),
            m["target"],
            _parse_seconds(m["for"]),
            m["class"] or "",
            m["once"] is not None,
        ),
    ),
    (
        r"apply(?: by (?P<operators>\d+) operators)?",
        lambda m: Apply(int(m["operators"] or 1)),
    ),
    (
        r"label (?P<selector>\S+) (?P<key>[^=\s]+)=(?P<value>\S*)",
        lambda m: Label(m["selector"], m["key"], m["value"]),
    ),
)

_HEADER_WORDS = ("title", "document", "entries", "seed", "until")


def parse_script(text: str) -> Script:
    """Parse a scenario.

    Raises:
        ScriptError: A line is invalid; the message gives its number and text.
    """
    draft = _Draft()
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.partition("#")[0].strip()
        if line:
            _parse_line(draft, number, line)
    return _build_script(draft)


def _parse_line(draft: _Draft, number: int, line: str) -> None:
    word, _, rest = line.partition(" ")
    rest = rest.strip()
    try:
        if word in _HEADER_WORDS:
            draft.header[word] = rest
        elif word == "expect":
            draft.expectations.append(Expectation(rest, None, number))
        elif word == "at":
            _parse_scheduled(draft, number, rest)
        else:
            raise ValueError(f"unknown word {word!r}; see docs/scenarios.md")
    except ValueError as error:
        raise ScriptError(f"line {number}: {error}: {line}") from error


def _parse_scheduled(draft: _Draft, number: int, rest: str) -> None:
    moment, _, statement = rest.partition(" ")
    at_s = _parse_seconds(moment)
    statement = " ".join(statement.split())
    if statement.startswith("expect "):
        text = statement.removeprefix("expect ")
        draft.expectations.append(Expectation(text, at_s, number))
        return
    draft.scheduled_steps.append(ScheduledStep(at_s, _parse_step(statement), number))


def _parse_step(statement: str) -> Step:
    for pattern, build in _STATEMENTS:
        matched = re.fullmatch(pattern, statement)
        if matched is not None:
            return build(matched)
    raise ValueError("unknown statement; see docs/scenarios.md")


def _build_script(draft: _Draft) -> Script:
    header = draft.header
    try:
        return Script(
            title=header.get("title", ""),
            document=header.get("document", "small"),
            entries=int(header.get("entries", "3")),
            seed=int(header.get("seed", "1")),
            until_s=_parse_seconds(header.get("until", "30s")),
            scheduled_steps=tuple(sorted(draft.scheduled_steps, key=lambda x: x.at_s)),
            expectations=tuple(draft.expectations),
        )
    except ValueError as error:
        raise ScriptError(f"invalid header of the scenario: {error}") from error
