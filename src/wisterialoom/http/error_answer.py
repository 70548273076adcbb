"""Answers for refused requests, in the OpenAI error format."""

from __future__ import annotations

import math
from typing import Any, TYPE_CHECKING

import orjson
from aiohttp import web

from wisterialoom.core.requests.request import Outcome

if TYPE_CHECKING:
    from wisterialoom.core.requests.request import Refusal

__all__ = [
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "REQUEST_ID_HEADER",
    "bad_request_response",
    "error_event",
    "error_response",
]

OUTCOME_HEADER = "X-Outcome"
REASON_HEADER = "X-Reason"
REQUEST_ID_HEADER = "X-Request-Id"


def error_body(refusal: Refusal) -> dict[str, Any]:
    """Return the error object of a refusal."""
    kind = "invalid_request_error" if refusal.status < 500 else "server_error"
    error: dict[str, Any] = {
        "message": refusal.message,
        "type": kind,
        "param": None,
        "code": refusal.reason.value,
        "outcome": refusal.outcome.value,
    }
    if refusal.retry_after_s is not None:
        error["retry_after_s"] = round(refusal.retry_after_s, 3)
    return {"error": error}


def error_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the HTTP response for a refusal."""
    headers = {
        OUTCOME_HEADER: refusal.outcome.value,
        REASON_HEADER: refusal.reason.value,
        REQUEST_ID_HEADER: request_id,
    }
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return web.Response(
        status=refusal.status,
        body=orjson.dumps(error_body(refusal)),
        content_type="application/json",
        headers=headers,
    )


def bad_request_response(status: int, message: str, request_id: str) -> web.Response:
    """Return the HTTP response to a request that cannot be read."""
    error = {
        "message": message,
        "type": "invalid_request_error",
        "param": None,
        "code": "bad_request",
        "outcome": Outcome.NOT_RUN.value,
    }
    return web.Response(
        status=status,
        body=orjson.dumps({"error": error}),
        content_type="application/json",
        headers={
            OUTCOME_HEADER: Outcome.NOT_RUN.value,
            REASON_HEADER: "bad_request",
            REQUEST_ID_HEADER: request_id,
        },
    )


def error_event(refusal: Refusal) -> bytes:
    """Return the server-sent event that reports a truncated stream."""
    return b"event: error\ndata: " + orjson.dumps(error_body(refusal)) + b"\n\n"
