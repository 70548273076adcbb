"""Decodes answers of the store, of which single objects may not be valid JSON.

An object may come from any writer. It can have bytes that are not UTF-8, escapes of
single surrogates, numbers beyond a double, or be nested too deeply. Such an object
must not hide the others of its page.
"""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

import orjson

__all__ = [
    "UnreadableValue",
    "decode_answer",
    "encode_value",
]

TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},]', re.DOTALL)
"""Strings, and the characters outside of strings that separate values."""

PLAIN = rb'[^"\[\]{}]++|"(?:[^"\\]|\\.)*+"'
SHALLOW = PLAIN + rb"|[\[{](?:" + PLAIN + rb")*+[\]}]"
BRACKETS = re.compile(
    rb"(?:" + SHALLOW + rb"|[\[{](?:" + SHALLOW + rb")*+[\]}])*+([\[{]++|[\]}]++)",
    re.DOTALL,
)
"""All up to the next brackets of a value with several levels, and these brackets."""

TOKENS_PER_STEP = 2_000
"""Tokens after which others get a turn; about 1 ms."""

KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*+")\s*:', re.DOTALL)

CONTAINER_KEYS = frozenset({"items", "events", "object", "metadata"})
"""Members whose parts are decoded one by one if needed."""

MAX_LENIENT_BYTES = 1_000_000
"""Longest value that `UnreadableValue.guess` decodes; an object has at most 1 MB."""


def encode_value(value: Any) -> bytes:
    """Encode a decoded value, which may be nested more deeply than `orjson` encodes."""
    try:
        return orjson.dumps(value)
    except TypeError:
        pass
    parts: list[bytes] = []
    # What is left to write, the next one last. Text is written as it is.
    left: list[Any] = [value]
    while left:
        match found := left.pop():
            case bytes():
                parts.append(found)
            case dict() if found:
                left.append(b"}")
                for key, member in reversed(found.items()):
                    left += [member, orjson.dumps(key) + b":", b","]
                left[-1] = b"{"
            case list() if found:
                left.append(b"]")
                for item in reversed(found):
                    left += [item, b","]
                left[-1] = b"["
            case _:
                parts.append(orjson.dumps(found))
    return b"".join(parts)


class UnreadableValue:
    """Value of an answer that is not valid JSON.

    Attributes:
        data: The bytes of the value.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data

    def __repr__(self) -> str:
        return f"unreadable value {self.data[:40]!r}"

    def guess(self) -> Any:
        """Return what a lenient decoder makes of the value; `None` if nothing.

        The result may contain single surrogates and infinite numbers.
        """
        if len(self.data) > MAX_LENIENT_BYTES:
            return None
        try:
            text = self.data.decode("utf-8", "surrogateescape")
            return json.loads(text, strict=False)
        except (ValueError, RecursionError):
            return None


async def decode_answer(data: bytes) -> Any:
    """Decode the body of an answer, and let other tasks run meanwhile.

    Values of single objects that are not valid JSON become an `UnreadableValue`. One of
    1 MB takes up to a second.

    Raises:
        ValueError: The body has no recognizable structure.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        found = await _decode_container(data.strip())
    if isinstance(found, UnreadableValue):
        raise ValueError("the body is not JSON")
    return found


async def _decode_container(data: bytes) -> Any:
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        pass
    try:
        match data[:1]:
            case b"[":
                items = []
                for part in await _split(data):
                    items.append(await _decode_container(part))
                return items
            case b"{":
                return await _decode_members(await _split(data))
    except ValueError:
        pass
    return UnreadableValue(data)


async def _decode_members(parts: list[bytes]) -> dict[str, Any]:
    members = {}
    for part in parts:
        found = KEY.match(part)
        if found is None:
            raise ValueError("a member without a name")
        try:
            key = orjson.loads(found[1])
        except orjson.JSONDecodeError:
            # None of the names that this program looks for.
            continue
        value = part[found.end() :].strip()
        if key in CONTAINER_KEYS:
            members[key] = await _decode_container(value)
            continue
        try:
            members[key] = orjson.loads(value)
        except orjson.JSONDecodeError:
            members[key] = UnreadableValue(value)
    return members


async def _split(data: bytes) -> list[bytes]:
    """Split the text of a list or an object at its commas.

    Raises:
        ValueError: The brackets do not match.
    """
    parts: list[bytes] = []
    start = at = 1
    count = 0
    while (token := TOKEN.search(data, at)) is not None:
        count += 1
        if count % TOKENS_PER_STEP == 0:
            await asyncio.sleep(0)
        at = token.end()
        match token[0]:
            case b"[" | b"{":
                at = await _skip(data, at)
            case b"]" | b"}":
                if at != len(data):
                    raise ValueError("text after the end")
                last = data[start : token.start()].strip()
                return [*parts, last] if last or parts else []
            case b",":
                parts.append(data[start : token.start()].strip())
                start = at
    raise ValueError("the end is missing")


async def _skip(data: bytes, at: int) -> int:
    """Return the position after the end of a list or an object.

    Args:
        data: The text.
        at: Position after its opening bracket.

    Raises:
        ValueError: The brackets do not match.
    """
    depth = 1
    count = 0
    while (found := BRACKETS.match(data, at)) is not None:
        count += 1
        if count % TOKENS_PER_STEP == 0:
            await asyncio.sleep(0)
        start, at = found.span(1)
        if data[start : start + 1] in b"[{":
            depth += at - start
        elif at - start >= depth:
            return start + depth
        else:
            depth -= at - start
    raise ValueError("the end is missing")
