"""Checks the types of decoded fields.

A value of another type than its name promises would end a task much later, when it is
compared, encoded or used as an address.
"""

from __future__ import annotations

import ipaddress
import math
import reprlib
import zlib
from typing import Any

__all__ = [
    "DECODE_ERRORS",
    "decompress",
    "describe",
    "read_address",
    "read_count",
    "read_integer",
    "read_mapping",
    "read_names",
    "read_number",
    "read_text",
]

DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""Errors that decoded values of another type, range or depth than expected lead to.

Decoders take values that are nested more deeply than the interpreter can print,
compare or encode.
"""

MAX_INTEGER = 2**53 - 1
"""Largest integer that is accepted; any JSON reader has it exactly."""

MAX_COUNT = 2**52
"""Largest count that is accepted; a higher one would soon pass `MAX_INTEGER`."""


_REPR = reprlib.Repr()
_REPR.maxlevel = 2
_REPR.maxstring = _REPR.maxother = 60


def describe(value: Any) -> str:
    """Return a short description of a decoded value for an error message.

    Unlike `repr`, it works for values of any size and depth.
    """
    return _REPR.repr(value)


def read_text(value: Any) -> str:
    """Return a string.

    Raises:
        TypeError: The value has another type.
    """
    if not isinstance(value, str):
        raise TypeError(f"{describe(value)} is not text")
    return value


def read_integer(value: Any, minimum: int = -MAX_INTEGER) -> int:
    """Return an integer.

    Raises:
        TypeError: The value has another type.
        ValueError: The value is out of range.
    """
    if not isinstance(value, int):
        raise TypeError(f"{describe(value)} is not an integer")
    if not minimum <= value <= MAX_INTEGER:
        raise ValueError(f"{describe(value)} is out of range")
    return int(value)


def read_count(value: Any) -> int:
    """Return a count that may go on growing.

    Raises:
        TypeError: The value has another type.
        ValueError: The value is out of range.
    """
    if isinstance(value, bool):
        raise TypeError("a truth value is not a count")
    if read_integer(value, 0) > MAX_COUNT:
        raise ValueError(f"{describe(value)} is out of range")
    return int(value)


def read_number(value: Any) -> float:
    """Return a finite number.

    Raises:
        TypeError: The value has another type.
        ValueError: The value is not finite.
    """
    if not isinstance(value, (int, float)):
        raise TypeError(f"{describe(value)} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{describe(value)} is not finite")
    return float(value)


def read_mapping(value: Any) -> dict[str, Any]:
    """Return a mapping.

    Raises:
        TypeError: The value has another type.
    """
    if not isinstance(value, dict):
        raise TypeError(f"{describe(value)} is not a mapping")
    return value


def read_names(value: Any) -> tuple[str, ...]:
    """Return a list of strings.

    Raises:
        TypeError: The value has another type.
    """
    if not isinstance(value, list):
        raise TypeError(f"{describe(value)} is not a list")
    return tuple(read_text(name) for name in value)


def read_address(value: Any) -> str:
    """Return an IP address.

    Raises:
        TypeError: The value has another type.
        ValueError: The value is not an IP address.
    """
    return str(ipaddress.ip_address(read_text(value)))


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompress data whose size is limited.

    Raises:
        ValueError: The data are incomplete or too large.
        zlib.error: The data are damaged.
    """
    stream = zlib.decompressobj()
    found = stream.decompress(data, max_bytes)
    if not stream.eof:
        raise ValueError(f"incomplete, or over {max_bytes} bytes")
    return found
