"""Tests of `wisterialoom.request_framing`: where requests end, however they arrive."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from wisterialoom.request_framing import (
    MAX_CHUNK_LINE_BYTES,
    Part,
    PartKind,
    RequestFault,
    RequestFaultError,
    RequestFraming,
)

MAX_HEAD = 2_000
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"


def make_framing() -> RequestFraming:
    return RequestFraming(lambda: MAX_HEAD)


def take_all(framing: RequestFraming) -> list[Part]:
    """Take parts, and say what follows a head as a parser would."""
    parts = []
    while (part := framing.take()) is not None:
        parts.append(part)
        if part.kind is PartKind.HEAD:
            _, _, length = part.data.partition(b"Content-Length: ")
            chunked = b"chunked" in part.data
            framing.begin_body(int(length.partition(b"\r")[0] or 0), chunked=chunked)
    return parts


def feed_in_pieces(framing: RequestFraming, data: bytes, size: int) -> None:
    for at in range(0, len(data), size):
        framing.feed(data[at : at + size])
        take_all(framing)


def sized(body: bytes) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def chunked(chunks: list[bytes], trailers: bytes) -> bytes:
    lines = b"".join(b"%x;a=b\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + lines + b"0\r\n" + trailers


BODIES = st.binary(max_size=60).map(sized)
TRAILERS = st.sampled_from([b"\r\n", b"A: b\r\n\r\n", b"A:\r\nB: \r\n\r\n"])
CHUNKS = st.lists(st.binary(min_size=1, max_size=20), max_size=4)
REQUESTS = st.one_of(BODIES, st.builds(chunked, CHUNKS, TRAILERS))


@given(
    st.lists(REQUESTS, max_size=4),
    st.sampled_from([b"", b"\r\n", b"\n"]),
    st.lists(st.integers(1, 40), min_size=1),
)
def test_parts_are_the_same_however_the_bytes_are_split(requests, empty, sizes):
    whole = b"".join(empty + request for request in requests)
    framing = make_framing()
    parts = []
    at, turn = 0, 0
    while at < len(whole):
        size = sizes[turn % len(sizes)]
        framing.feed(whole[at : at + size])
        parts += take_all(framing)
        at, turn = at + size, turn + 1
    assert framing.is_between
    assert not framing.has_begun
    assert b"".join(part.data for part in parts) == b"".join(requests)
    heads = [part.data for part in parts if part.kind is PartKind.HEAD]
    assert heads == [
        request.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" for request in requests
    ]


def test_incomplete_head_is_not_taken():
    framing = make_framing()
    framing.feed(HEAD)
    assert framing.take() is None
    assert framing.has_begun
    framing.feed(b"\r")
    assert framing.take() is None
    framing.feed(b"\nnext")
    assert framing.take() == Part(PartKind.HEAD, HEAD + b"\r\n")
    assert bytes(framing.buffer) == b"next"


def test_head_with_lines_that_end_in_lf_alone_is_left_to_the_parser():
    framing = make_framing()
    framing.feed(HEAD + b"\n")
    part = framing.take()
    assert part is not None
    assert part.data == HEAD + b"\n"


FAULTS = {
    "request line": (HEAD[:6] + b"x" * MAX_HEAD, RequestFault.HEAD_TOO_LARGE),
    "field": (HEAD + b"a: " + b"x" * MAX_HEAD, RequestFault.HEAD_TOO_LARGE),
    "many fields": (HEAD + b"a:\r\n" * MAX_HEAD, RequestFault.HEAD_TOO_LARGE),
    "whole head": (HEAD + b"a:\r\n" * 500 + b"\r\n", RequestFault.HEAD_TOO_LARGE),
    "empty lines": (b"\r\n" * MAX_HEAD, RequestFault.HEAD_TOO_LARGE),
    "empty lines and a head": (b"\n" * 1_990 + HEAD, RequestFault.HEAD_TOO_LARGE),
    "no method": (b"\x16\x03\x01", RequestFault.MALFORMED),
    "no version": (b"GET /\r\n", RequestFault.MALFORMED),
    "no target": (b"GET HTTP/1.1\r\n", RequestFault.MALFORMED),
    "chunk's size": (
        chunked([], b"")[:-3] + b"1;" + b"x" * MAX_CHUNK_LINE_BYTES,
        RequestFault.CHUNK_LINE_TOO_LARGE,
    ),
    "no chunk": (chunked([], b"")[:-3] + b"g\r\n", RequestFault.MALFORMED),
    "trailers": (chunked([], b"a:\r\n" * MAX_HEAD), RequestFault.TRAILERS_TOO_LARGE),
}


@pytest.mark.parametrize("case", FAULTS)
def test_bytes_that_are_no_request_or_too_many(case):
    data, fault = FAULTS[case]
    for size in (len(data), 7):
        framing = make_framing()
        with pytest.raises(RequestFaultError) as caught:
            feed_in_pieces(framing, data, size)
        assert caught.value.fault is fault
        assert len(framing.buffer) <= MAX_HEAD + len(data) % size + size


def test_empty_lines_that_arrive_slowly_are_counted():
    framing = make_framing()
    with pytest.raises(RequestFaultError):
        feed_in_pieces(framing, b"\n" * (MAX_HEAD + 1), 1)
    assert not framing.buffer


def test_body_is_passed_on_in_pieces():
    framing = make_framing()
    framing.feed(sized(b"x" * 100_000))
    parts = take_all(framing)
    assert max(len(part.data) for part in parts) <= 16_384
    assert framing.is_between
