"""Requests, their typed outcomes, and the messages of the request path."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

from wisterialoom.core.message import Command, Event

__all__ = [
    "Attempt",
    "AttemptEnded",
    "AttemptFirstByte",
    "AttemptResult",
    "CallerGone",
    "CancelAttempt",
    "Classified",
    "Dispatch",
    "Outcome",
    "Reason",
    "Refusal",
    "Refuse",
    "ReplayAnswer",
    "Request",
    "RequestArrived",
    "RequestSettled",
    "StoredAnswer",
]


class Outcome(enum.Enum):
    """How a request ended; every request ends in exactly one."""

    COMPLETED = "completed"
    """The whole answer reached the caller."""
    NOT_RUN = "not_run"
    """No backend server has started it, and none will."""
    UNKNOWN = "unknown"
    """It was dispatched, and its end was not seen."""
    FAILED = "failed"
    """The backend server answered with an error, passed on as it is."""


class Reason(enum.Enum):
    """Why a request was refused, retried or left unknown; a label in metrics."""

    # Refusals: the outcome is not_run.
    NO_CALLER = "no_caller"
    NO_ROUTE = "no_route"
    NO_MODEL = "no_model"
    CALLER_LIMIT = "caller_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    CONFIG_STALE = "config_stale"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIMS_FULL = "claims_full"
    JOB_UNAVAILABLE = "job_unavailable"
    NO_JOB = "no_job"
    JOB_TOO_LARGE = "job_too_large"
    CALLER_GONE = "caller_gone"
    # A second request with the key of an earlier one.
    IN_PROGRESS = "in_progress"
    KEY_UNKNOWN = "key_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    ANSWER_UNAVAILABLE = "answer_unavailable"
    # Ends of attempts; also the reasons of retries.
    CONNECT = "connect"
    SERVER_REFUSED = "server_refused"
    CONNECTION_LOST = "connection_lost"
    SERVER_TIMEOUT = "server_timeout"
    SERVER_ERROR = "server_error"


@dataclass(frozen=True, slots=True)
class Request:
    """What the core knows of a caller's request; never its body.

    Attributes:
        request_id: Unique over the deployment.
        api_key_sha256: Hex digest of the caller's API key; empty if none.
        method: HTTP method in capitals.
        path: Path without the query.
        model: Name of the model or adapter; empty for plain services.
        stream: The caller asked for server-sent events.
        idempotency_key: Empty if the caller sent none.
        body_sha256: Hex digest of method, path and body.
        deadline_s: Time the caller is prepared to wait; `None` leaves it to
            the traffic class.
        priority: Name of the traffic class the caller asked for; may be empty.
        respond_async: The caller prefers a job address to waiting.
        prompt_tokens: Estimate of the prompt's length in tokens.
        max_tokens: Most tokens that the caller wants generated.
        prefix_hashes: Hashes of the prompt's leading blocks, shortest first.
    """

    request_id: str
    method: str = "POST"
    path: str = "/v1/chat/completions"
    api_key_sha256: str = ""
    model: str = ""
    stream: bool = False
    idempotency_key: str = ""
    body_sha256: str = ""
    deadline_s: float | None = None
    priority: str = ""
    respond_async: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Classified:
    """A request after the caller and the traffic class are known.

    Attributes:
        request: The request as it came.
        caller: Name of the caller.
        traffic_class: Name of the traffic class that applies.
        idempotent: A second run would do no harm.
        servers: Selector of the backend servers that may serve it.
        arrived: Monotonic time in seconds.
        deadline: Monotonic time by which the first output must have begun.
        give_up: Monotonic time up to which it may wait for a model to be loaded.
        priority: Of the traffic class; lower goes first.
        may_wait: The work may be left for later.
        weight: Share of the caller relative to others of the same priority.
        timeout_s: Time for the whole answer after dispatch.
        lane: What it waits for: `model:NAME`, or `service:SELECTOR`.
    """

    request: Request
    caller: str
    traffic_class: str
    idempotent: bool
    servers: str
    arrived: float
    deadline: float
    give_up: float = 0.0
    priority: int = 0
    may_wait: bool = False
    weight: float = 1.0
    timeout_s: float = 300.0
    lane: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer without a run, or without a known run.

    Attributes:
        outcome: `NOT_RUN`, or `UNKNOWN` where the request may have run.
        reason: Also the label of the counter.
        message: What happened and what to do about it.
        retry_after_s: When to come back, in seconds; `None` if never.
        status: HTTP status code.
    """

    outcome: Outcome
    reason: Reason
    message: str
    retry_after_s: float | None
    status: int


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer kept for later requests with the same key.

    Attributes:
        status: HTTP status code.
        content_type: Media type of the body.
        body: The whole body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try at one backend server.

    Attributes:
        request_id: The request.
        number: Counts from 1.
        server: Identifier of the backend server.
        adapter: Adapter the engine has to apply; empty for none.
    """

    request_id: str
    number: int
    server: str
    adapter: str = ""


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    """The end of the body was seen and relayed."""
    NOT_SENT = "not_sent"
    """No byte was handed to the connection."""
    NOT_STARTED = "not_started"
    """The backend server proved that it did not start."""
    SERVER_ERROR = "server_error"
    """The backend server answered with an error status, passed on as is."""
    LOST = "lost"
    """Bytes were sent, and the end of the answer was not seen."""
    CALLER_GONE = "caller_gone"
    """The caller left while the answer was relayed."""


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller's request has been read whole.

    Attributes:
        request: What the core knows of it.
        body: Its body, only if the caller prefers a job address to waiting.
    """

    request: Request
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller closed its connection before the answer ended."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AttemptFirstByte(Event):
    """The first byte of an answer is about to be relayed."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt ended.

    Attributes:
        attempt: The attempt.
        result: How it ended.
        answer: The whole answer, kept for non-idempotent requests only.
        tokens: Tokens relayed.
        leaving: The backend server said that it is leaving.
        retry_after_s: The server's own word on when to come back.
    """

    attempt: Attempt
    result: AttemptResult
    answer: StoredAnswer | None = None
    tokens: int = 0
    leaving: bool = False
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Dispatch(Command):
    """Hand a request to a backend server and relay its answer.

    The shell reports `AttemptFirstByte` and then `AttemptEnded`, once each.

    Attributes:
        attempt: The attempt.
        classified: The request and its rules.
        valid_until: Monotonic time after which no byte may be sent, because the
            claim may be forgotten; the attempt then ends as `NOT_SENT`.
    """

    attempt: Attempt
    classified: Classified
    valid_until: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt(Command):
    """Stop an attempt; its end is still reported."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Refuse(Command):
    """Answer a request at once without (a known) run."""

    request_id: str
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ReplayAnswer(Command):
    """Answer a request with the stored answer of an earlier one."""

    request_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class RequestSettled(Command):
    """Record a request's outcome, for logs and metrics.

    Attributes:
        request_id: The request.
        outcome: How it ended.
        reason: Why, unless it completed.
        caller: Name of the caller, if known.
        traffic_class: Name of the traffic class, if known.
        model: Name of the model or adapter.
        server: Last backend server tried; empty if none.
        waited_s: Seconds from arrival to the last dispatch.
        attempts: Count of attempts.
        retries: Reason of each retry, in order.
    """

    request_id: str
    outcome: Outcome
    reason: Reason | None = None
    caller: str = ""
    traffic_class: str = ""
    model: str = ""
    server: str = ""
    waited_s: float = 0.0
    attempts: int = 0
    retries: tuple[Reason, ...] = field(default_factory=tuple)
