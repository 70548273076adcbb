"""The scenario language: what happens when, and what must hold.

One statement a line; `#` begins a comment. Times are `5s`, `1.5s`, `250ms` or
`2m`. See `docs/scenarios.md` for every statement.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from wisterialoom.core.error import WisterialoomError

__all__ = [
    "Apply",
    "Cut",
    "Expect",
    "Freeze",
    "Happening",
    "Kill",
    "Label",
    "Leave",
    "LinkQuality",
    "ListingLag",
    "Load",
    "OrderQuality",
    "Restart",
    "Script",
    "ScriptError",
    "Start",
    "Step",
    "Stop",
    "StoreQuality",
    "parse_script",
]

UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0}


class ScriptError(WisterialoomError):
    """Raised when a scenario cannot be read."""


@dataclass(frozen=True, slots=True)
class Step:
    """Base class of what a scenario does."""


@dataclass(frozen=True, slots=True)
class Freeze(Step):
    """Pause an instance's process.

    Attributes:
        name: Instance.
        for_s: Length of the pause.
        how: Empty; `deciding` pauses between a decision and carrying it out;
            `sending` pauses after the last check before the bytes go out.
    """

    name: str
    for_s: float
    how: str = ""


@dataclass(frozen=True, slots=True)
class Kill(Step):
    """End an instance's or a backend server's process at once."""

    name: str


@dataclass(frozen=True, slots=True)
class Start(Step):
    """Start an instance's process, anew or for the first time."""

    name: str


@dataclass(frozen=True, slots=True)
class Restart(Step):
    """Start a backend server anew, with empty memory."""

    name: str


@dataclass(frozen=True, slots=True)
class Stop(Step):
    """Ask an instance to stop; it drains."""

    name: str


@dataclass(frozen=True, slots=True)
class Leave(Step):
    """A backend server begins to leave."""

    name: str


@dataclass(frozen=True, slots=True)
class Cut(Step):
    """Cut links between two comma-separated lists of names for a time.

    Names are instances, availability zones, `object-api` or backend servers.
    """

    left: tuple[str, ...]
    right: tuple[str, ...]
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreQuality(Step):
    """Change the object API: `down`, `slow`, `lose-answers` or `lose-calls`."""

    fault: str
    amount: float
    for_s: float


@dataclass(frozen=True, slots=True)
class OrderQuality(Step):
    """Change orders to a server: `lose`, `lose-answers`, `late` or `double`."""

    server: str
    fault: str
    amount: float
    for_s: float


@dataclass(frozen=True, slots=True)
class LinkQuality(Step):
    """Change links between instances: `loss`, `double` or `delay`."""

    fault: str
    amount: float
    for_s: float


@dataclass(frozen=True, slots=True)
class ListingLag(Step):
    """Let the instance list lag by this long, or not answer at all."""

    lag_s: float
    down: bool
    for_s: float


@dataclass(frozen=True, slots=True)
class Load(Step):
    """Send requests at a rate.

    Attributes:
        rate: Requests a second.
        target: Model or adapter; `any` for all in turn; a path for services.
        for_s: How long.
        traffic_class: Class asked for; empty leaves it to the rules.
        once: With idempotency keys, each sent twice through two instances.
    """

    rate: float
    target: str
    for_s: float
    traffic_class: str = ""
    once: bool = False


@dataclass(frozen=True, slots=True)
class Apply(Step):
    """Operators apply a changed document, several at once if more than one."""

    operators: int = 1


@dataclass(frozen=True, slots=True)
class Label(Step):
    """Operators label what a selector picks."""

    selector: str
    key: str
    value: str


@dataclass(frozen=True, slots=True)
class Happening:
    """A step and its moment, in seconds from the scenario's beginning."""

    at_s: float
    step: Step
    line: int


@dataclass(frozen=True, slots=True)
class Expect:
    """Something that must hold.

    Attributes:
        text: The expectation, without `expect`.
        at_s: When it is asked; `None` for the end.
        line: Line of the scenario.
    """

    text: str
    at_s: float | None
    line: int


@dataclass(frozen=True)
class Script:
    """A whole scenario.

    Attributes:
        title: What it shows.
        document: Name of the document in `examples`, or `small`.
        entries: Count of entry instances.
        seed: Of every random choice.
        until_s: Length.
        happenings: In the order of their moments.
        expects: What must hold.
    """

    title: str = ""
    document: str = "small"
    entries: int = 3
    seed: int = 1
    until_s: float = 30.0
    happenings: tuple[Happening, ...] = ()
    expects: tuple[Expect, ...] = ()


@dataclass
class _Draft:
    header: dict[str, str] = field(default_factory=dict)
    happenings: list[Happening] = field(default_factory=list)
    expects: list[Expect] = field(default_factory=list)


Build: TypeAlias = Callable[[re.Match[str]], Step]

_TIME = r"[\d.]+(?:ms|s|m)"
_FOR = rf"(?: for (?P<for>{_TIME}))?"


def _seconds(text: str | None) -> float:
    if text is None:
        return float("inf")
    found = re.fullmatch(r"([\d.]+)(ms|s|m)", text)
    if found is None:
        raise ValueError(f"{text!r} is no time; write 5s, 250ms or 2m")
    return float(found[1]) * UNITS_S[found[2]]


def _names(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


_STATEMENTS: tuple[tuple[str, Build], ...] = (
    (
        rf"freeze (?P<name>\S+)(?: while (?P<how>deciding|sending))?{_FOR}",
        lambda m: Freeze(m["name"], _seconds(m["for"]), m["how"] or ""),
    ),
    (r"kill (?P<name>\S+)", lambda m: Kill(m["name"])),
    (r"start (?P<name>\S+)", lambda m: Start(m["name"])),
    (r"restart (?P<name>\S+)", lambda m: Restart(m["name"])),
    (r"stop (?P<name>\S+)", lambda m: Stop(m["name"])),
    (r"(?P<name>\S+) leaves", lambda m: Leave(m["name"])),
    (
        rf"cut (?P<left>\S+) from (?P<right>\S+){_FOR}",
        lambda m: Cut(_names(m["left"]), _names(m["right"]), _seconds(m["for"])),
    ),
    (
        rf"object-api down{_FOR}",
        lambda m: StoreQuality("down", 1.0, _seconds(m["for"])),
    ),
    (
        rf"object-api slow (?P<amount>{_TIME}){_FOR}",
        lambda m: StoreQuality("slow", _seconds(m["amount"]), _seconds(m["for"])),
    ),
    (
        rf"object-api (?P<fault>lose-answers|lose-calls) (?P<amount>[\d.]+){_FOR}",
        lambda m: StoreQuality(m["fault"], float(m["amount"]), _seconds(m["for"])),
    ),
    (
        r"orders to (?P<server>\S+) (?P<fault>lose|lose-answers|late|double) "
        rf"(?P<amount>[\d.]+){_FOR}",
        lambda m: OrderQuality(
            m["server"], m["fault"], float(m["amount"]), _seconds(m["for"])
        ),
    ),
    (
        rf"links (?P<fault>loss|double) (?P<amount>[\d.]+){_FOR}",
        lambda m: LinkQuality(m["fault"], float(m["amount"]), _seconds(m["for"])),
    ),
    (
        rf"links delay (?P<amount>{_TIME}){_FOR}",
        lambda m: LinkQuality("delay", _seconds(m["amount"]), _seconds(m["for"])),
    ),
    (
        rf"instance-list lags (?P<lag>{_TIME}){_FOR}",
        lambda m: ListingLag(_seconds(m["lag"]), False, _seconds(m["for"])),
    ),
    (
        rf"instance-list down{_FOR}",
        lambda m: ListingLag(0.0, True, _seconds(m["for"])),
    ),
    (
        r"load (?P<rate>[\d.]+)/s of (?P<target>\S+)(?: as (?P<class>\S+))?"
        rf"(?P<once> once each)?{_FOR}",
        lambda m: Load(
            float(m["rate"]),
            m["target"],
            _seconds(m["for"]),
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
    """Read a scenario.

    Raises:
        ScriptError: A line cannot be read; the message names it.
    """
    draft = _Draft()
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.partition("#")[0].strip()
        if line:
            _read_line(draft, number, line)
    return _finish(draft)


def _read_line(draft: _Draft, number: int, line: str) -> None:
    word, _, rest = line.partition(" ")
    rest = rest.strip()
    try:
        if word in _HEADER_WORDS:
            draft.header[word] = rest
        elif word == "expect":
            draft.expects.append(Expect(rest, None, number))
        elif word == "at":
            _read_moment(draft, number, rest)
        else:
            raise ValueError(f"unknown word {word!r}; see docs/scenarios.md")
    except ValueError as error:
        raise ScriptError(f"line {number}: {error}: {line}") from error


def _read_moment(draft: _Draft, number: int, rest: str) -> None:
    moment, _, statement = rest.partition(" ")
    at_s = _seconds(moment)
    statement = " ".join(statement.split())
    if statement.startswith("expect "):
        text = statement.removeprefix("expect ")
        draft.expects.append(Expect(text, at_s, number))
        return
    draft.happenings.append(Happening(at_s, _read_step(statement), number))


def _read_step(statement: str) -> Step:
    for pattern, build in _STATEMENTS:
        found = re.fullmatch(pattern, statement)
        if found is not None:
            return build(found)
    raise ValueError("no such statement; see docs/scenarios.md")


def _finish(draft: _Draft) -> Script:
    header = draft.header
    try:
        return Script(
            title=header.get("title", ""),
            document=header.get("document", "small"),
            entries=int(header.get("entries", "3")),
            seed=int(header.get("seed", "1")),
            until_s=_seconds(header.get("until", "30s")),
            happenings=tuple(sorted(draft.happenings, key=lambda x: x.at_s)),
            expects=tuple(draft.expects),
        )
    except ValueError as error:
        raise ScriptError(f"the scenario's head cannot be read: {error}") from error
