"""Reads TOML into frozen data classes and collects all syntax and type faults."""

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
"""Number of times that faulty values are removed and the rest is checked again."""

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
    "dataclass_type": "write a table with the keys that the reference lists",
    "dict_type": "write a table of key = value",
}
"""Remedies by the type of the pydantic error."""


@dataclass(frozen=True, slots=True)
class Reading:
    """The result of reading a text.

    Attributes:
        value: The data. Faulty values are replaced by defaults or placeholders, so
            that the rest can be checked. `None` if the text is unreadable.
        faults: All syntax and type faults.
    """

    value: Any
    faults: tuple[Fault, ...]


def read_toml(body: bytes, kind: type[Any]) -> Reading:
    """Read TOML into a data class; unknown keys and wrong types are faults.

    Args:
        body: UTF-8 text.
        kind: Frozen data class; its fields may be data classes, too, or tuples of them.
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
    """Return a readable location, in which list entries are identified by name."""
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
            _remove_faulty(repaired, kind, detail)
    return Reading(None, tuple(faults))


def _parse(raw: dict[str, Any], kind: type[Any]) -> Any:
    # Only from JSON does pydantic read data classes in strict mode.
    text = json.dumps([raw], default=lambda value: [str(value)])
    return _adapter(cast("Any", kind)).validate_json(text, strict=True)[0]


@cache
def _adapter(kind: Any) -> TypeAdapter[Any]:
    # A configuration can't be passed for a data class itself, so the data class is
    # wrapped in a tuple type.
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


def _remove_faulty(raw: dict[str, Any], kind: type[Any], detail: ErrorDetails) -> None:
    """Replace a faulty value by its default or a placeholder."""
    loc = detail["loc"][1:]
    if detail["type"] == "unexpected_keyword_argument":
        _parent(raw, loc).pop(cast("str", loc[-1]), None)
        return
    current: Any = raw
    hint: Any = kind
    for key in loc:
        if isinstance(key, str) and is_dataclass(hint) and isinstance(current, dict):
            table, field_name, owner = current, key, cast("type[Any]", hint)
            hint = get_type_hints(owner).get(key)
        else:
            hint = get_args(hint)[0] if get_args(hint) else None
        current = _child(current, key)
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
