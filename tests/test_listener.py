"""Tests of `wisterialoom.http.listener`: refusals before a request is parsed."""

import orjson
import pytest

from wisterialoom.counted_connection import InputRefusal
from wisterialoom.http.listener import answer_refused


@pytest.mark.parametrize(
    ("refusal", "status", "code"),
    [
        (InputRefusal.MALFORMED, b"400 Bad Request", "bad_request"),
        (
            InputRefusal.HEAD_TOO_LARGE,
            b"431 Request Header Fields Too Large",
            "bad_request",
        ),
        (InputRefusal.MEMORY, b"503 Service Unavailable", "memory"),
    ],
)
def test_refusal_names_its_reason_and_that_nothing_was_run(refusal, status, code):
    head, _, body = answer_refused(refusal, "r1").partition(b"\r\n\r\n")
    line, *fields = head.split(b"\r\n")
    headers = dict(field.split(b": ", 1) for field in fields)
    assert line == b"HTTP/1.1 " + status
    assert headers[b"X-Request-Id"] == b"r1"
    assert headers[b"X-Outcome"] == b"not_run"
    assert headers[b"X-Reason"] == code.encode()
    assert headers[b"Connection"] == b"close"
    assert int(headers[b"Content-Length"]) == len(body)
    assert (b"Retry-After" in headers) is (refusal is InputRefusal.MEMORY)
    error = orjson.loads(body)["error"]
    assert (error["code"], error["outcome"]) == (code, "not_run")
    assert "send" in error["message"]
