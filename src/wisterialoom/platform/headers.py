"""Headers exchanged between callers, instances and backend servers."""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wisterialoom.core import request_trait
from wisterialoom.core.rate_text import read_rate
from wisterialoom.core.request_trait import part_traits
from wisterialoom.core.serving.request_flow import RequestProfile
from wisterialoom.retry_after import read_retry_after, RETRY_AFTER

if TYPE_CHECKING:
    from collections.abc import Mapping

    from multidict import CIMultiDictProxy

    from wisterialoom.core.serving.routing import Route
    from wisterialoom.core.teams import Team

__all__ = [
    "ATTEMPT_ID",
    "HELP_FOR",
    "HELP_ONCE",
    "HELP_RESULT",
    "HOP_BY_HOP_HEADERS",
    "HelpResult",
    "LAST_EVENT_ID",
    "NOT_RUN",
    "RESUMES",
    "SERVER_ID",
    "ServerLoad",
    "ServerNotice",
    "answer_headers",
    "read_load",
    "read_notice",
    "read_own_trait",
    "read_profile",
    "request_headers",
]

ATTEMPT_ID = "Attempt-Id"
"""Id of the caller's attempt, which is one request here; the server echoes it."""
DEADLINE_MS = "Deadline-Ms"
"""Time in milliseconds that the sender still waits, from the request's arrival."""
EXPECTED_SERVER = "Expect-Instance"
"""Id of the intended backend server; any other one answers 421."""
SERVER_ID = "Instance-Id"
"""Id of the backend server that answers."""
LAST_EVENT_ID = "Last-Event-Id"
"""Id of the last event that the sender has; the stream continues after it."""
RESUMES = "Resumes"
"""Id of the caller's attempt that brought the first event of a stream.

Sent with `LAST_EVENT_ID` by a caller that takes the stream up again.
"""
LEAVING = "Server-Leaving"
"""`1` in all answers of a server that is leaving."""
BRITTLE = "Server-Brittle"
"""Rejections a second above which a server falls over, while it says so."""
LIMIT = "Server-Limit"
"""Requests a second that a server in need accepts from all instances together."""
LOAD = "Server-Load"
"""Running requests, waiting requests and slots of a server, separated by commas.

A server that shares its machine adds how long work takes there now, 100 as usual.
"""
MODEL = "Model"
"""Model, or model and adapter separated by a slash."""
NOT_RUN = "Not-Executed"
"""Set if the server guarantees that it has not run and will not run the request."""
PREFIX = "Prompt-Prefix"
"""Parts of the prompt as `id:tokens`, separated by commas.

Parts that more requests share come first.
"""
TEAM = "Tenant"
"""Name of the team that sent the request; only this system sets it."""
TOKENS = "Token-Count"
"""Tokens of the prompt and maximum tokens of the answer, separated by a comma."""
URGENCY = "Request-Urgency"
"""Rank in the server's queue; 0 is served first; 5 applies if absent."""

LOAD_FIGURE = re.compile(r"\s*[0-9]{1,9}\s*")
"""One figure of `LOAD`."""

USUAL_PACE = 100
"""Fourth figure of `LOAD` while work takes as long as usual."""

MAX_DIGITS = 15
"""Longest number in a header; Python refuses to convert very long ones."""

HELP_FOR = "X-Wisterialoom-Help-For"
"""Id of the server that another instance asks to pass a request on to."""
HELP_ONCE = "X-Wisterialoom-Help-Once"
"""Set if the request must not run twice, so that it needs a connection of its own."""
HELP_RESULT = "X-Wisterialoom-Help-Result"
"""What became of a request of another instance, as a `HelpResult`."""


class HelpResult(enum.Enum):
    """What became of a request that another instance was asked to pass on."""

    PASSED_ON = "passed_on"
    """The server answered; the answer follows."""
    NO_HELP = "no_help"
    """The instance does not reach the server, or takes no requests."""
    NOT_SENT = "not_sent"
    """No byte of the request reached the server."""
    LOST = "lost"
    """The connection failed after the request was sent; it may have run."""


STREAM_MIN_PAUSE_S = 2.0
STREAM_PAUSE_TARGETS = 4.0
STREAM_PAUSE_GAPS = 8.0
"""Limits of a pause in a stream, after which callers close the connection.

The longest of the three applies: a time in seconds, a multiple of the route's latency
target, and a multiple of its allowed pause. The platform documents this for all
callers.
"""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that concern a single connection and are never forwarded."""

INTERNAL_HEADERS = frozenset(
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
        "server-leaving",
        "server-limit",
        "server-brittle",
        "response-stamp",
        "weight-versions",
        "x-wisterialoom-help-for",
        "x-wisterialoom-help-once",
        "x-wisterialoom-help-result",
    }
)
"""Headers that only instances and servers set; those of a caller are dropped."""

DROPPED_ANSWER_HEADERS = HOP_BY_HOP_HEADERS | {
    "server-load",
    "server-leaving",
    "server-limit",
    "server-brittle",
    "x-wisterialoom-help-result",
    "instance-id",
    "not-executed",
    "date",
    "server",
}
"""Headers of a backend server's answer that are not forwarded to the caller."""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reported with an answer.

    Attributes:
        running: Requests in progress.
        waiting: Requests in the server's queue.
        slots: Requests that the server can run at once.
        pace: How long work takes there at this moment, 1 as usual; `None` if the
            server does not say so.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


def read_own_trait(
    method: str,
    target: str,
    headers: CIMultiDictProxy[str],
    body: bytes,
    team: str | None = None,
) -> str:
    """Return the trait of a request that is sent again as it is.

    Args:
        method: Method of the request.
        target: Path and query, as sent.
        headers: Headers as the caller sent them.
        body: The whole body.
        team: Name of the team, which stands for the caller if there are teams, as
            traits are logged and sent to other instances; `None` without teams.
    """
    host = headers.get("Host", "")
    caller = headers.get("Authorization", "") if team is None else team
    return request_trait.own_trait(method, host + target, caller, body)


def read_profile(
    headers: CIMultiDictProxy[str],
    route: Route,
    now: float,
    own_trait: str = "",
    team: Team | None = None,
    *,
    guarded: bool = False,
) -> RequestProfile:
    """Decode the headers of a request.

    Headers that cannot be decoded count as absent.

    Args:
        headers: Headers as the caller sent them.
        route: Route of the request.
        now: Monotonic time of the request's arrival.
        own_trait: Trait that only the same request shares; empty if it is not known.
        team: Team that sent the request, if any.
        guarded: Whether the deployment has a list of teams.
    """
    request_id = _text(headers, ATTEMPT_ID)
    takes_up = _read_taken_up(headers, route)
    model, _, adapter = _text(headers, MODEL).partition("/")
    prompt, _, output = headers.get(TOKENS, "").partition(",")
    wait_ms = headers.get(DEADLINE_MS, "").strip()
    wait_s = int(wait_ms) / 1e3 if _is_number(wait_ms) else route.timeout_s
    caller_deadline = now + wait_s
    parts = _text(headers, PREFIX)
    prefix = tuple(part.partition(":")[0] for part in parts.split(",")) if parts else ()
    answer_deadline = min(caller_deadline, now + route.timeout_s)
    first_output_deadline = answer_deadline
    if route.stream:
        first_output_deadline = min(answer_deadline, now + _stream_pause_limit_s(route))
    return RequestProfile(
        request_id=request_id,
        route=route,
        # A stream goes on at the branch of a split route that began it.
        service=route.service_for(takes_up or request_id),
        model=model,
        adapter=adapter,
        prompt_tokens=int(_parse_number(prompt)),
        output_tokens=int(_parse_number(output)),
        prefix=prefix,
        arrived=now,
        answer_deadline=answer_deadline,
        caller_deadline=caller_deadline,
        first_output_deadline=first_output_deadline,
        traits=part_traits(prefix) + ((own_trait,) if own_trait else ()),
        takes_up=takes_up,
        team=team.name if team is not None else "",
        team_priority=team.priority if team is not None else None,
        token_counts=_read_token_counts(headers),
        guarded=guarded,
    )


def _read_token_counts(headers: CIMultiDictProxy[str]) -> tuple[int, int] | None:
    """Return the prompt's and the answer's tokens, unless absent or malformed."""
    counts = headers.get(TOKENS, "").split(",")
    if len(counts) != 2 or not all(_is_number(count.strip()) for count in counts):
        return None
    return int(counts[0]), int(counts[1])


def _read_taken_up(headers: CIMultiDictProxy[str], route: Route) -> str | None:
    """Return the stream that a request takes up, as `RequestProfile` has it."""
    if not route.resumable or not headers.get(LAST_EVENT_ID, "").strip():
        return None
    return _text(headers, RESUMES).strip()


def _text(headers: CIMultiDictProxy[str], name: str) -> str:
    """Return the value of a header as text that can be encoded.

    The HTTP parser decodes bytes that are not UTF-8 to single surrogates, which cannot
    be encoded in messages to other instances. They become replacement characters, so
    that a model with such a name is an unknown one.
    """
    value = headers.get(name, "")
    if value.isascii():
        return value
    return value.encode("utf-8", "surrogateescape").decode("utf-8", "replace")


def _stream_pause_limit_s(route: Route) -> float:
    """Return how long callers wait for a stream's next event."""
    return max(
        STREAM_MIN_PAUSE_S,
        STREAM_PAUSE_TARGETS * route.target_s,
        STREAM_PAUSE_GAPS * route.gap_s,
    )


def _parse_number(text: str) -> float:
    text = text.strip()
    return float(text) if _is_number(text) else 0.0


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def request_headers(
    headers: CIMultiDictProxy[str],
    *,
    server_id: str,
    remaining_s: float,
    urgency: int | None,
    last_event_id: str | None,
    team: str | None = None,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a backend server.

    Args:
        headers: Headers as the caller sent them.
        server_id: Id of the intended server.
        remaining_s: Time in seconds that the caller still waits.
        urgency: Rank in the server's queue; `None` if it has no ranks.
        last_event_id: Id of the last event that the caller has received; `None`
            unless this attempt continues a stream.
        team: Name of the team, which replaces the caller's key; empty if there is
            none. `None` if the deployment has no teams.
    """
    dropped = HOP_BY_HOP_HEADERS | INTERNAL_HEADERS | _named_by_connection(headers)
    if last_event_id is not None:
        dropped |= {"last-event-id"}
    if team is not None:
        dropped |= {"authorization", TEAM.lower()}
    forwarded = [
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    ]
    forwarded.append((DEADLINE_MS, str(max(1, int(remaining_s * 1e3)))))
    forwarded.append((EXPECTED_SERVER, server_id))
    if urgency is not None:
        forwarded.append((URGENCY, str(urgency)))
    if last_event_id is not None:
        forwarded.append((LAST_EVENT_ID, last_event_id))
    if team:
        forwarded.append((TEAM, team))
    return forwarded


def _named_by_connection(headers: CIMultiDictProxy[str]) -> set[str]:
    named = ",".join(headers.getall("Connection", ())).split(",")
    return {name.strip().lower() for name in named}


def answer_headers(headers: CIMultiDictProxy[str]) -> list[tuple[str, str]]:
    """Return the headers of a backend server's answer to forward to the caller."""
    dropped = DROPPED_ANSWER_HEADERS | _named_by_connection(headers)
    return [
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    ]


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server says about itself in the head of an answer.

    Attributes:
        load: Reported load; `None` if absent or malformed.
        leaving: Whether the server is leaving.
        hold_off_s: Seconds for which it wants nothing more; 0 if it does not say.
        limit_per_s: Requests a second that it accepts from all instances together;
            `None` if it names no limit.
        is_limit_readable: Whether there is no limit, or one that could be decoded.
        brittle_rejections: Rejections a second above which it falls over; `None` if
            it does not say so.
    """

    load: ServerLoad | None = None
    leaving: bool = False
    hold_off_s: float = 0.0
    limit_per_s: float | None = None
    is_limit_readable: bool = True
    brittle_rejections: float | None = None


def read_notice(status: int, headers: Mapping[str, str]) -> ServerNotice:
    """Decode what a server says about itself in an answer.

    Args:
        status: Status of the answer; only 503 asks to hold off.
        headers: Headers of the answer.
    """
    hold_off = headers.get(RETRY_AFTER, "") if status == 503 else ""
    limit_per_s = read_rate(headers.get(LIMIT, ""))
    return ServerNotice(
        load=read_load(headers),
        leaving=headers.get(LEAVING, "").strip() == "1",
        hold_off_s=read_retry_after(hold_off),
        limit_per_s=limit_per_s,
        is_limit_readable=limit_per_s is not None or LIMIT not in headers,
        brittle_rejections=read_rate(headers.get(BRITTLE, "")),
    )


def read_load(headers: Mapping[str, str]) -> ServerLoad | None:
    """Decode the load reported with an answer; `None` if absent or malformed."""
    parts = headers.get(LOAD, "").split(",")
    if len(parts) not in (3, 4) or not all(LOAD_FIGURE.fullmatch(p) for p in parts):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    pace = int(parts[3]) / USUAL_PACE if len(parts) > 3 else None
    return ServerLoad(running, waiting, slots, pace)
