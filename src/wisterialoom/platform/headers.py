"""Headers between callers, instances and backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core.serving.request_flow import RequestProfile

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import CIMultiDictProxy

    from wisterialoom.core.serving.routing import Route

__all__ = [
    "ATTEMPT_ID",
    "LAST_EVENT_ID",
    "NOT_RUN",
    "SERVER_ID",
    "ServerLoad",
    "answer_headers",
    "read_load",
    "read_profile",
    "request_headers",
]

ATTEMPT_ID = "Attempt-Id"
"""Id of the caller's attempt; the server echoes it."""
DEADLINE_MS = "Deadline-Ms"
"""Milliseconds that the sender still waits, counted from the arrival."""
EXPECTED_SERVER = "Expect-Instance"
"""Id of the backend server that is meant; any other answers 421."""
SERVER_ID = "Instance-Id"
"""Id of the backend server that answers."""
LAST_EVENT_ID = "Last-Event-Id"
LOAD = "Server-Load"
"""Running requests, waiting requests and slots, separated by commas."""
MODEL = "Model"
"""Model, or model and adapter with a slash between."""
NOT_RUN = "Not-Executed"
"""The server promises that it did not and will not run the request."""
PREFIX = "Prompt-Prefix"
"""Parts of the prompt as `id:tokens`, those shared by most requests first."""
TOKENS = "Token-Count"
"""Tokens of the prompt and most tokens of the answer."""
URGENCY = "Request-Urgency"
"""Rank at the server; 0 goes first, 5 if absent."""

STREAM_PATIENCE_S = 2.0
STREAM_PATIENCE_TARGETS = 4.0
STREAM_PATIENCE_GAPS = 8.0
"""Callers leave a stream after a pause of the longest of these: seconds, latency
targets, allowed pauses; the platform documents it for all callers."""

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)

SYSTEM_HEADERS = frozenset(
    {
        "expect-instance",
        "expect-version",
        "request-urgency",
        "pin-ms",
        "hold",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "deadline-ms",
        "not-executed",
        "instance-id",
        "server-load",
        "response-stamp",
        "weight-versions",
    }
)
"""Set by instances and servers only; a caller's own are dropped."""

ANSWER_ONLY_HERE = HOP_HEADERS | {
    "server-load",
    "instance-id",
    "not-executed",
    "date",
    "server",
}


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests at a backend server as it reported them with an answer."""

    running: int
    waiting: int
    slots: int


def read_profile(
    headers: CIMultiDictProxy[str], route: Route, now: float
) -> RequestProfile:
    """Decode what a request asks for; unreadable hints count as absent."""
    request_id = headers.get(ATTEMPT_ID, "")
    model, _, adapter = headers.get(MODEL, "").partition("/")
    prompt, _, output = headers.get(TOKENS, "").partition(",")
    wait_s = _number(headers.get(DEADLINE_MS, "")) / 1e3
    caller_deadline = now + wait_s if wait_s > 0 else now + route.timeout_s
    parts = headers.get(PREFIX, "")
    prefix = tuple(part.partition(":")[0] for part in parts.split(",")) if parts else ()
    answer_deadline = min(caller_deadline, now + route.timeout_s)
    first_output_deadline = answer_deadline
    if route.stream:
        first_output_deadline = min(answer_deadline, now + _stream_patience_s(route))
    return RequestProfile(
        request_id=request_id,
        route=route,
        service=route.service_for(request_id),
        model=model,
        adapter=adapter,
        prompt_tokens=int(_number(prompt)),
        output_tokens=int(_number(output)),
        prefix=prefix,
        arrived=now,
        answer_deadline=answer_deadline,
        caller_deadline=caller_deadline,
        first_output_deadline=first_output_deadline,
    )


def _stream_patience_s(route: Route) -> float:
    """Return how long callers wait for a stream's next event before they leave."""
    return max(
        STREAM_PATIENCE_S,
        STREAM_PATIENCE_TARGETS * route.target_s,
        STREAM_PATIENCE_GAPS * route.gap_s,
    )


def _number(text: str) -> float:
    text = text.strip()
    return float(text) if text.isascii() and text.isdigit() else 0.0


def request_headers(
    headers: CIMultiDictProxy[str],
    *,
    server_id: str,
    left_s: float,
    urgency: int | None,
    last_event_id: str | None,
) -> list[tuple[str, str]]:
    """Return the headers of a request on its way to a backend server.

    Args:
        headers: As the caller sent them.
        server_id: Server that is meant.
        left_s: Time that the caller still waits, in seconds.
        urgency: Rank at the server, if it has ranks.
        last_event_id: Last event that the caller has, if a stream goes on.
    """
    dropped = HOP_HEADERS | SYSTEM_HEADERS | _named_by_connection(headers)
    if last_event_id is not None:
        dropped |= {"last-event-id"}
    passed = [
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    ]
    passed.append((DEADLINE_MS, str(max(1, int(left_s * 1e3)))))
    passed.append((EXPECTED_SERVER, server_id))
    if urgency is not None:
        passed.append((URGENCY, str(urgency)))
    if last_event_id is not None:
        passed.append((LAST_EVENT_ID, last_event_id))
    return passed


def _named_by_connection(headers: CIMultiDictProxy[str]) -> set[str]:
    named = ",".join(headers.getall("Connection", ())).split(",")
    return {name.strip().lower() for name in named}


def answer_headers(headers: CIMultiDictProxy[str]) -> list[tuple[str, str]]:
    """Return the headers of a backend server's answer on its way to the caller."""
    dropped = ANSWER_ONLY_HERE | _named_by_connection(headers)
    return [
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    ]


def read_load(headers: Mapping[str, str]) -> ServerLoad | None:
    """Decode the load that a server reports with an answer, if it does."""
    parts = headers.get(LOAD, "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return ServerLoad(*(int(part) for part in parts))
