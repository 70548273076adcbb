"""Tests that messages round-trip and malformed ones raise only `PeerCodecError`."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
from typing import get_args, get_origin, get_type_hints

import pytest
from hypothesis import given, settings, strategies as st

from wisterialoom.core.fleet import peer
from wisterialoom.core.fleet.peer import PeerMessage
from wisterialoom.peer.codec import decode, encode, MESSAGE_CLASSES, PeerCodecError

I64 = st.integers(-(2**63), 2**63 - 1)
TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=12)


def values(hint):
    origin = get_origin(hint)
    if origin is tuple:
        return st.lists(values(get_args(hint)[0]), max_size=4).map(tuple)
    if origin is dict:
        return st.dictionaries(TEXT, values(get_args(hint)[1]), max_size=4)
    if dataclasses.is_dataclass(hint):
        hints = get_type_hints(hint)
        return st.builds(
            hint, **{name: values(hints[name]) for name in field_names(hint)}
        )
    if issubclass(hint, enum.Enum):
        return st.sampled_from(list(hint))
    simple = {
        str: TEXT,
        int: I64,
        bool: st.booleans(),
        bytes: st.binary(max_size=40),
        float: st.floats(allow_nan=False, allow_infinity=False),
    }
    return simple[hint]


def field_names(cls):
    return [field.name for field in dataclasses.fields(cls)]


messages = st.one_of([values(cls) for cls in MESSAGE_CLASSES])
senders = TEXT.filter(bool)


def test_codec_supports_every_message_class():
    classes = {
        cls
        for cls in vars(peer).values()
        if isinstance(cls, type) and issubclass(cls, PeerMessage)
    }
    assert set(MESSAGE_CLASSES) == classes - {PeerMessage}


@settings(derandomize=True, deadline=None, max_examples=500)
@given(senders, messages)
def test_messages_round_trip(sender, message):
    assert decode(encode(sender, message)) == peer.PeerReceived(sender, message)


@settings(derandomize=True, deadline=None, max_examples=1500)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_the_codec_error(data):
    with contextlib.suppress(PeerCodecError):
        decode(data)


@settings(derandomize=True, deadline=None, max_examples=1500)
@given(messages, st.data())
def test_mutated_bytes_raise_only_the_codec_error(message, data):
    raw = bytearray(encode("a", message))
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, max(len(raw) - 1, 0)))
        change = data.draw(st.sampled_from(["set", "drop", "cut", "insert"]))
        byte = data.draw(st.integers(0, 255))
        if change == "set":
            raw[at : at + 1] = bytes([byte])
        elif change == "drop":
            del raw[at : at + 1]
        elif change == "cut":
            del raw[at:]
        else:
            raw.insert(at, byte)
    with contextlib.suppress(PeerCodecError):
        decode(bytes(raw))


def test_codec_rejects_invalid_and_oversized_messages():
    deep = b"\xfc" + b"\x1c" * 100_000
    huge_list = b"\x15\x02\x18\x01a\x1c\x1c\x49\xfc\xff\xff\xff\xff\x07"
    whole = encode("a", peer.ConfigPull(1))
    for data in (b"", deep, huge_list, whole + b"\x00", whole[:-1]):
        with pytest.raises(PeerCodecError):
            decode(data)
    with pytest.raises(PeerCodecError):
        encode("a", peer.ConfigPull(2**63))
    with pytest.raises(PeerCodecError):
        encode("a", peer.DemandReport({"m": float("nan")}))
    with pytest.raises(PeerCodecError):
        encode("a", peer.ConfigPush(1, b"x" * 1_200_000))
    with pytest.raises(PeerCodecError, match="version"):
        decode(whole.replace(b"\x15\x02", b"\x15\x04", 1))
