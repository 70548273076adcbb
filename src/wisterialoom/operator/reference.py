"""Generates the reference of the document and the settings from data classes."""

from __future__ import annotations

import inspect
import re
import types
from dataclasses import dataclass, Field, fields, is_dataclass, MISSING
from typing import Any, cast, get_args, get_origin, get_type_hints, TYPE_CHECKING

from wisterialoom.core.configuration.document import Document
from wisterialoom.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["write_reference"]

TITLE = """\
# Reference of settings

This page is generated from the program's data classes by
`wisterialoom config reference`; a test checks that it is up to date.

Unknown keys, wrong types and all other faults are refused and reported together.
"""

DOCUMENT_TITLE = """\
## The deployment's document

One TOML file for the whole deployment, put in force by `wisterialoom config apply`.
A selector consists of `key=value`, `key!=value`, `key` or `!key`, joined by commas.
"""

SETTINGS_TITLE = """\
## The settings of an entry instance

One TOML file for each entry instance, read by `wisterialoom entry --config`.
"""

ATTRIBUTES = re.compile(r"\n\nAttributes:\n(.*)", re.DOTALL)
ATTRIBUTE = re.compile(r"^    (\w+): ", re.MULTILINE)
SIMPLE_TYPES = {
    "str": "text",
    "int": "whole number",
    "float": "number",
    "bool": "yes/no",
}


@dataclass(frozen=True, slots=True)
class Table:
    """One table of a TOML file.

    Attributes:
        kind: Data class that holds the table.
        header: Header of the table in the file.
        required: Whether the table must be present.
    """

    kind: type[Any]
    header: str
    required: bool


def write_reference() -> str:
    """Return the reference in Markdown."""
    lines = [TITLE, DOCUMENT_TITLE, *_describe(Document)]
    lines += [SETTINGS_TITLE, *_describe(Settings)]
    return "\n".join(lines).rstrip("\n") + "\n"


def _describe(root: type[Any]) -> list[str]:
    lines: list[str] = []
    for table in _tables(root):
        need = " Required." if table.required else ""
        lines += [f"### `{table.header}`", "", f"{_summary(table.kind)}{need}", ""]
        rows = [
            field for field in fields(table.kind) if not _is_table(table.kind, field)
        ]
        texts = _attributes(table.kind)
        lines += ["| key | type | default | meaning |", "| --- | --- | --- | --- |"]
        lines += [_row(table.kind, field, texts) for field in rows]
        lines.append("")
    return lines


def _tables(owner: type[Any], prefix: str = "") -> Iterator[Table]:
    for field in fields(owner):
        if not _is_table(owner, field):
            continue
        hint = get_type_hints(owner)[field.name]
        many = get_origin(hint) is tuple
        kind = get_args(hint)[0] if many else hint
        path = f"{prefix}{field.name}"
        header = f"[[{path}]]" if many else f"[{path}]"
        yield Table(kind, header, required=_is_required(field))
        yield from _tables(kind, f"{path}.")


def _is_table(owner: type[Any], field: Field[Any]) -> bool:
    hint = get_type_hints(owner)[field.name]
    args = get_args(hint)
    return is_dataclass(args[0] if args else hint)


def _is_required(field: Field[Any]) -> bool:
    return field.default is MISSING and field.default_factory is MISSING


def _summary(kind: type[Any]) -> str:
    text = inspect.getdoc(kind) or ""
    return ATTRIBUTES.sub("", text)


def _attributes(kind: type[Any]) -> dict[str, str]:
    """Return the descriptions of the attributes in the docstring."""
    match = ATTRIBUTES.search(inspect.getdoc(kind) or "")
    if match is None:
        return {}
    parts = ATTRIBUTE.split(match[1])[1:]
    texts = (" ".join(text.split()) for text in parts[1::2])
    return dict(zip(parts[::2], texts, strict=True))


def _row(kind: type[Any], field: Field[Any], texts: dict[str, str]) -> str:
    hint = get_type_hints(kind)[field.name]
    meaning = texts.get(field.name, "").replace("|", "\\|")
    default = _default(field)
    return f"| `{field.name}` | {_type_name(hint)} | {default} | {meaning} |"


def _default(field: Field[Any]) -> str:
    if _is_required(field):
        return "required"
    value = field.default
    if value is MISSING:
        value = cast("Any", field.default_factory)()
    match value:
        case bool():
            return f"`{str(value).lower()}`"
        case str():
            return f'`"{value}"`'
        case int() | float():
            return f"`{value}`"
    return "empty"


def _type_name(hint: Any) -> str:
    if isinstance(hint, types.GenericAlias):
        inner = get_args(hint)
        if get_origin(hint) is dict:
            return f"table of {SIMPLE_TYPES[inner[1].__name__]}"
        return f"list of {SIMPLE_TYPES[inner[0].__name__]}"
    return SIMPLE_TYPES[hint.__name__]
