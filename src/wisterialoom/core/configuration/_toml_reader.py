"""Reads TOML into frozen data classes and collects every fault of form."""

from __future__ import annotations

import copy
import json
import tomllib
from dataclasses import dataclass, fields, is_dataclass, MISSING
from functools import cache
from typing import Any, cast, get_args, get_type_hints, TYPE_CHECKING

from pydantic import ConfigDict, TypeAdapter, ValidationError

from wisterialoom.core.fault import Fault

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pydantic_core import ErrorDetails

__all__ = ["Reading", "place_of", "read_toml"]

Key = int | str

MAX_PASSES = 3
"""Faulty values are taken out and the rest is checked again this many times."""

REMEDIES = {
    "unexpected_keyword_argument": "remove it, or correct its name",
    "missing": "add it",
    "string_type": "write it in quotes",
    "int_type": "write a whole number without quotes",
    "int_from_float": "write a whole number",
    "float_type": "write a number without quotes",
    "bool_type": "write true or false without quotes",
    "finite_number": "write a finite number",
    "tuple_type": "write a list in brackets, or a table as [[name]]",
    "dataclass_type": "write a table with the keys of the reference",
    "dict_type": "write a table of key = value",
}
"""What to do, by pydantic's type of error."""


@dataclass(frozen=True, slots=True)
class Reading:
    """What came of a text.

    Attributes:
        value: The data; with faults, defaults or placeholders stand where a value
            was faulty, so that the rest can be checked. `None` if unreadable.
        faults: Every fault of form.
    """

    value: Any
    faults: tuple[Fault, ...]


def read_toml(body: bytes, kind: type[Any]) -> Reading:
    """Read TOML into a data class; unknown keys and wrong types are faults.

    Args:
        body: UTF-8 text.
        kind: Frozen data class, nested ones and tuples of them included.
    """
    try:
        raw = tomllib.loads(body.decode())
    except UnicodeDecodeError as error:
        problem = f"byte {error.start} is not UTF-8"
        return Reading(None, (Fault("file", problem, "save it as UTF-8"),))
    except tomllib.TOMLDecodeError as error:
        return Reading(None, (Fault("file", str(error), "correct the TOML"),))
    return _validate(raw, kind)


def place_of(loc: Sequence[Key], raw: Any) -> str:
    """Return a readable place, with list entries known by their names."""
    text = ""
    for key in loc:
        raw = _child(raw, key)
        if isinstance(key, str):
            text += f".{key}" if text else key
            continue
        name = raw.get("name") if isinstance(raw, dict) else None
        text += f"[{name}]" if isinstance(name, str) else f"[{key}]"
    return text


def _validate(raw: dict[str, Any], kind: type[Any]) -> Reading:
    faults: list[Fault] = []
    repaired = copy.deepcopy(raw)
    for _ in range(MAX_PASSES):
        try:
            return Reading(_parse(repaired, kind), tuple(faults))
        except ValidationError as error:
            details = error.errors(include_url=False)
        found = [_fault(detail, repaired) for detail in details]
        faults += [fault for fault in found if not fault.follows(faults)]
        for detail in details:
            _take_out(repaired, kind, detail)
    return Reading(None, tuple(faults))


def _parse(raw: dict[str, Any], kind: type[Any]) -> Any:
    # JSON is the one form that pydantic reads into data classes strictly.
    text = json.dumps([raw], default=lambda value: [str(value)])
    return _adapter(cast("Any", kind)).validate_json(text, strict=True)[0]


@cache
def _adapter(kind: Any) -> TypeAdapter[Any]:
    # The tuple carries the configuration: a data class can't be given one here.
    config = ConfigDict(extra="forbid", allow_inf_nan=False)
    root: Any = tuple.__class_getitem__(kind)
    return TypeAdapter(root, config=config)


def _fault(detail: ErrorDetails, raw: dict[str, Any]) -> Fault:
    loc = detail["loc"][1:]
    problem = detail["msg"].removeprefix("Input ")
    remedy = REMEDIES.get(detail["type"], "see the reference of settings")
    if detail["type"] == "unexpected_keyword_argument":
        problem = "is not a known key"
    if detail["type"] == "missing":
        problem = "is missing"
    return Fault(place_of(loc, raw) or "file", problem, remedy)


def _take_out(raw: dict[str, Any], kind: type[Any], detail: ErrorDetails) -> None:
    """Drop a faulty value so that its default, or a placeholder, stands there."""
    loc = detail["loc"][1:]
    if detail["type"] == "unexpected_keyword_argument":
        _parent(raw, loc).pop(cast("str", loc[-1]), None)
        return
    holder: Any = raw
    hint: Any = kind
    for key in loc:
        if isinstance(key, str) and is_dataclass(hint) and isinstance(holder, dict):
            table, field_name, owner = holder, key, cast("type[Any]", hint)
            hint = get_type_hints(owner).get(key)
        else:
            hint = get_args(hint)[0] if get_args(hint) else None
        holder = _child(holder, key)
    _reset(table, field_name, owner)


def _reset(table: dict[str, Any], name: str, owner: type[Any]) -> None:
    table.pop(name, None)
    spec = next(field for field in fields(owner) if field.name == name)
    if spec.default is not MISSING or spec.default_factory is not MISSING:
        return
    hint = get_type_hints(owner)[name]
    if is_dataclass(hint):
        table[name] = {}
    else:
        table[name] = {int: 1, float: 1.0}.get(hint, "")


def _parent(raw: Any, loc: Sequence[Key]) -> dict[str, Any]:
    for key in loc[:-1]:
        raw = _child(raw, key)
    return raw if isinstance(raw, dict) else {}


def _child(raw: Any, key: Key) -> Any:
    if isinstance(raw, dict) and isinstance(key, str):
        return raw.get(key)
    if isinstance(raw, list) and isinstance(key, int) and key < len(raw):
        return raw[key]
    return None
