"""Decodes the teams (`tenants`) that a configuration declares."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass, field
from math import isfinite
from typing import Any, TYPE_CHECKING

import orjson

from wisterialoom.core.teams import (
    key_digest,
    Quota,
    QuotaUnit,
    Team,
    TeamDirectory,
)
from wisterialoom.platform.store_json import UnreadableValue

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

__all__ = [
    "TeamProblem",
    "decode_teams",
    "drop_unreadable_teams",
    "read_teams",
    "without_keys",
]

logger = logging.getLogger(__name__)

TOKEN_UNIT = "token_rate"
REQUEST_UNITS = ("rate", "request_rate")
"""Names of the unit that counts requests; any other name counts requests as well."""

DIGESTS = "apiKeySha256"
"""Digests of a team's keys as hex, which replace `apiKeys` between instances."""

MAX_NAME_CHARS = 256


@dataclass(frozen=True, slots=True)
class TeamProblem:
    """A fault in the declaration of a team.

    Attributes:
        team: Name of the team, or its position in the list if it has none.
        fault: What is wrong; never contains a key.
    """

    team: str
    fault: str


@dataclass(frozen=True, slots=True)
class _Entry:
    """One decoded entry of `tenants`."""

    team: Team | None
    digests: tuple[bytes, ...] = ()
    problems: tuple[TeamProblem, ...] = field(default=())


def read_teams(
    spec: Mapping[str, Any], previous: TeamDirectory | None = None
) -> tuple[TeamDirectory, list[TeamProblem]]:
    """Decode what a configuration says about teams.

    Args:
        spec: The configuration; without a list of teams, requests need no key.
        previous: The teams that are in force.

    Raises:
        TypeError: There is something else than a list.
    """
    if "tenants" not in spec:
        return TeamDirectory(), []
    return decode_teams(spec["tenants"], previous)


def decode_teams(
    items: Any, previous: TeamDirectory | None = None
) -> tuple[TeamDirectory, list[TeamProblem]]:
    """Decode the list of teams of a configuration.

    An entry that cannot be decoded affects no other. Of such an entry, the keys are
    those that can still be read, as any other key may be revoked; its priority and its
    quota stay as they were. Without earlier ones it identifies no one.

    Args:
        items: The list `tenants`; `None` is what some encoders write if it is empty.
        previous: The teams that are in force.

    Raises:
        TypeError: There is something else than a list.
    """
    if items is None:
        items = []
    if not isinstance(items, list):
        raise TypeError("tenants is not a list")
    entries = [_decode_entry(index, item, previous) for index, item in enumerate(items)]
    problems = [problem for entry in entries for problem in entry.problems]
    problems += _find_doubles(entries)
    directory = TeamDirectory.from_teams(
        [(entry.team, entry.digests) for entry in entries if entry.team is not None],
        skipped=sum(entry.team is None for entry in entries),
    )
    return directory, problems


def _decode_entry(index: int, item: Any, previous: TeamDirectory | None) -> _Entry:
    label = f"#{index + 1}"
    try:
        name = _decode_name(item)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return _Entry(
            None, (), (TeamProblem(label, f"it has no usable name: {error}"),)
        )
    problems: list[TeamProblem] = []
    digests = tuple(_decode_digests(name, item, problems))
    team: Team | None
    try:
        team = Team(name, _decode_priority(item), _decode_quota(name, item, problems))
    except (TypeError, ValueError) as error:
        problems.append(TeamProblem(name, f"{error}; the last usable values stay"))
        team = previous.find(name) if previous is not None else None
    return _Entry(team, digests, tuple(problems))


def _decode_name(item: Any) -> str:
    name = item["name"]
    if not isinstance(name, str):
        raise TypeError("the name is not a string")
    # The name is sent as the value of a header.
    if not 0 < len(name) <= MAX_NAME_CHARS or not all("!" <= c <= "~" for c in name):
        raise ValueError("the name is empty, too long or not visible ASCII")
    return name


def _decode_digests(
    name: str, item: Mapping[str, Any], problems: list[TeamProblem]
) -> Iterator[bytes]:
    keys, hex_digests = item.get("apiKeys", []), item.get(DIGESTS, [])
    if not isinstance(keys, list):
        problems.append(TeamProblem(name, "apiKeys is not a list"))
        keys = []
    if not isinstance(hex_digests, list):
        problems.append(TeamProblem(name, f"{DIGESTS} is not a list"))
        hex_digests = []
    if not keys and not hex_digests:
        problems.append(TeamProblem(name, "it has no API key"))
    for position, key in enumerate(keys):
        try:
            yield _digest(key)
        except (TypeError, ValueError) as error:
            problems.append(TeamProblem(name, f"apiKeys[{position}]: {error}"))
    for text in hex_digests:
        try:
            yield bytes.fromhex(text)
        except (TypeError, ValueError):
            problems.append(TeamProblem(name, f"{DIGESTS}: not a digest"))


def _digest(key: Any) -> bytes:
    if not isinstance(key, str):
        raise TypeError("an API key is not a string")
    return key_digest(key)


def _decode_priority(item: Mapping[str, Any]) -> int | None:
    priority = item.get("priority")
    if priority is None:
        return None
    if isinstance(priority, bool) or not isinstance(priority, int):
        raise TypeError("priority is not an integer")
    return priority


def _decode_quota(
    name: str, item: Mapping[str, Any], problems: list[TeamProblem]
) -> Quota | None:
    unit = item.get("unit")
    if unit is not None and unit != TOKEN_UNIT and unit not in REQUEST_UNITS:
        problems.append(TeamProblem(name, "the unit is unknown; requests are counted"))
    rate_per_s = _decode_number(item, "ratePerS", 0.0)
    if not rate_per_s:
        if "ratePerS" in item:
            problems.append(TeamProblem(name, "ratePerS is 0, which means no limit"))
        return None
    return Quota(
        rate_per_s=rate_per_s,
        burst=_decode_number(item, "burst", rate_per_s),
        unit=QuotaUnit.TOKENS if unit == TOKEN_UNIT else QuotaUnit.REQUESTS,
        plain_tokens=_decode_number(item, "plainTokens", 1.0),
    )


def _decode_number(item: Mapping[str, Any], name: str, default: float) -> float:
    found = item.get(name)
    if found is None:
        return default
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f"{name} is not a number")
    # Infinity also stands for integers beyond the range of a float.
    number = float(found) if abs(found) < 1e300 else float("inf")
    if not isfinite(number) or number < 0:
        raise ValueError(f"{name} is negative or not finite")
    return number


def _find_doubles(entries: list[_Entry]) -> Iterator[TeamProblem]:
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for entry in entries:
        if entry.team is None:
            continue
        name = entry.team.name
        if name in names:
            yield TeamProblem(name, "the name occurs twice; the first entry counts")
        names.add(name)
        own: set[bytes] = set()
        for digest in entry.digests:
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield TeamProblem(
                    name, f"it shares a key with team {owner}, to which the key counts"
                )
            elif digest in own:
                yield TeamProblem(name, "it lists a key twice")
                break
            own.add(digest)


def drop_unreadable_teams(spec: Any) -> Any:
    """Return a configuration in which `None` replaces teams that are not valid JSON.

    Bytes that are not text in one entry make the whole object unreadable. Without
    unreadable teams, or if it is unreadable elsewhere, it is returned as it is.
    """
    if not isinstance(spec, UnreadableValue):
        return spec
    found = spec.guess()
    if not isinstance(found, dict) or not isinstance(found.get("tenants"), list):
        return spec
    tenants = [item if _is_json(item) else None for item in found["tenants"]]
    repaired = found | {"tenants": tenants}
    return repaired if _is_json(repaired) else spec


def _is_json(value: Any) -> bool:
    try:
        text = json.dumps(value, allow_nan=False, ensure_ascii=False).encode()
        orjson.loads(text)
    except (ValueError, RecursionError):
        return False
    return True


def without_keys(spec: Any) -> Any:
    """Return a configuration in which digests replace the API keys.

    Only this form is held and copied between instances, so that no key leaves the
    process that read it from the store.
    """
    if not isinstance(spec, dict) or not isinstance(spec.get("tenants"), list):
        return spec
    tenants = [_without_keys(item) for item in spec["tenants"]]
    return {**spec, "tenants": tenants}


def _without_keys(item: Any) -> Any:
    if not isinstance(item, dict) or "apiKeys" not in item:
        return item
    keys = item["apiKeys"]
    digests = []
    if isinstance(keys, list):
        for key in keys:
            try:
                digests.append(_digest(key).hex())
            except (TypeError, ValueError):
                continue
    known = item.get(DIGESTS)
    kept = {name: value for name, value in item.items() if name != "apiKeys"}
    return kept | {DIGESTS: [*(known if isinstance(known, list) else ()), *digests]}
