"""Values that another writer may put into a field, as the JSON that is stored."""

from __future__ import annotations

import copy
from typing import Any

import orjson

__all__ = ["ODD_ADDRESSES", "ODD_VALUES", "fragment", "with_value"]


def with_value(item: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy of an item with another value at a place."""
    found = copy.deepcopy(item)
    *parents, last = path
    target = found
    for key in parents:
        target = target[key]
    target[last] = value
    return found


def fragment(value: object) -> orjson.Fragment:
    """Return a value as JSON."""
    return orjson.Fragment(orjson.dumps(value))


def nested_lists(depth: int) -> orjson.Fragment:
    return orjson.Fragment(b"[" * depth + b"]" * depth)


def nested_tables(depth: int) -> orjson.Fragment:
    return orjson.Fragment(b'{"a":' * depth + b"1" + b"}" * depth)


DEPTHS = (200, 252, 254, 300, 900, 1000, 1015, 1022, 1030, 2_000)
"""Depths around what encoders, the interpreter and decoders take."""

NUMBERS = (
    "0",
    "-0",
    "-1",
    "1",
    "0.5",
    "-0.5",
    "5e-324",
    "1e16",
    "1e308",
    "-1e308",
    "1e400",
    "9007199254740991",
    "9007199254740992",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "1" + "0" * 400,
    "1" + "0" * 5000,
    "NaN",
    "Infinity",
)

TEXTS = {
    "no text": "",
    "one character": "x",
    "NUL": "a\x00b",
    "line end": "a\r\nb",
    "line separator": "a\u2028b",
    "format characters": "\u202e\ufeff",
    "not ASCII": "z\u00f6ne \U0001f600",
    "digits": "9" * 5000,
    "100 KB": "x" * 100_000,
    "900 KB": "x" * 900_000,
}

ODD_VALUES: dict[str, orjson.Fragment] = {
    "null": fragment(None),
    "true": fragment(True),
    "false": fragment(False),
    "empty list": fragment([]),
    "empty table": fragment({}),
    "list of null": fragment([None]),
    "list of tables": fragment([{}]),
    "list of text": fragment(["x"]),
    "table with an empty key": fragment({"": None}),
    "long list": fragment([0] * 100_000),
    "long list of names": fragment([f"n{index}" for index in range(50_000)]),
    "same key twice": orjson.Fragment(b'{"a":1,"a":2}'),
    "bytes that are not text": orjson.Fragment(b'"\xff\xfe"'),
    "single surrogates": orjson.Fragment(rb'"\udcff\udcfe"'),
    "control character": orjson.Fragment(b'"a\nb"'),
    **{f"number {text[:24]}": orjson.Fragment(text.encode()) for text in NUMBERS},
    **{f"text: {name}": fragment(text) for name, text in TEXTS.items()},
    **{f"lists {depth} deep": nested_lists(depth) for depth in DEPTHS},
    **{f"tables {depth} deep": nested_tables(depth) for depth in DEPTHS},
}

ODD_ADDRESSES = (
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:00",
    "127.0.0.1:00080",
    "127.0.0.1:65535",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:1e3",
    "127.0.0.1:\u0661\u0662",
    "127.0.0.1:9:9",
    "127.0.0.1:9/x",
    "127.0.0.1:9?x#y",
    "u:p@127.0.0.1:9",
    ":9",
    ".:9",
    "a..b:9",
    ".a:9",
    "-:9",
    "_:9",
    "256.256.256.256:9",
    "0.0.0.0:9",
    "255.255.255.255:9",
    "1:9",
    "0x7f.1:9",
    "localhost:9",
    "no-such-host.invalid:9",
    "xn--:9",
    "xn--a:9",
    "a" * 64 + ":9",
    "a." * 150 + "b:9",
    "[::1]:9",
    "[::]:9",
    "[:]:9",
    "[:::]:9",
    "[1]:9",
    "[fffff::1]:9",
    "[::1%lo]:9",
    " 127.0.0.1:9",
    "127.0.0.1:9 ",
    "127.0.0.1:9\n",
)
"""Addresses at the edge of what is one."""
