"""One request on its way: what is known of it, and what has happened to it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialoom.core.serving.routing import Route

__all__ = [
    "AttemptResult",
    "AttemptVerdict",
    "GiveUp",
    "GiveUpReason",
    "LOOK_AGAIN_S",
    "LOOK_SOON_S",
    "RequestFlow",
    "RequestProfile",
    "Send",
    "Step",
    "Wait",
]

LOOK_AGAIN_S = 0.25
"""Longest time that a request waits without a look at the servers; changes wake it."""

LOOK_SOON_S = 0.02
"""Shortest wait for a place that is about to be free; one step of a server's queue."""


class AttemptVerdict(enum.Enum):
    """What the end of an attempt says about the request having run."""

    ANSWERED = "answered"
    """An answer was passed on to the caller, whole."""
    NOT_SENT = "not_sent"
    """No byte of the request reached the server."""
    REFUSED_FULL = "refused_full"
    """The server did not run it, as it has no room."""
    REFUSED_ABSENT = "refused_absent"
    """The server did not run it, as it does not hold the model."""
    REFUSED_IDENTITY = "refused_identity"
    """Another server has the address now; nothing ran."""
    LOST = "lost"
    """The connection failed after the request was sent; it may have run."""
    TIMED_OUT = "silent"
    """Nothing came for too long; it may have run, and was aborted."""
    FAILED = "failed"
    """The server ran it and answered with an error."""
    CANCELLED = "cancelled"
    """This instance stopped the attempt: the caller left, or the time was over."""


class GiveUpReason(enum.Enum):
    """Why a request ends without an answer of a backend server."""

    NO_SERVER = "no_server"
    NO_MODEL = "no_model"
    UNKNOWN_MODEL = "unknown_model"
    FULL = "full"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS = "attempts"
    LOST = "lost"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """What a request asks for.

    Attributes:
        request_id: Id of the caller's attempt.
        route: Route that it matched.
        service: Service that it goes to.
        model: Model that it names; empty at plain services.
        adapter: Adapter of that model; may be empty.
        prompt_tokens: Tokens in its prompt.
        output_tokens: Most tokens of its answer.
        prefix: Ids of the parts of its prompt that others share, in order.
        arrived: Monotonic time of its arrival.
        answer_deadline: Monotonic time of its final answer at the latest.
        caller_deadline: Monotonic time until which its caller waits.
        first_output_deadline: Monotonic time at which its caller leaves without output.
    """

    request_id: str
    route: Route
    service: str
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[str, ...]
    arrived: float
    answer_deadline: float
    caller_deadline: float
    first_output_deadline: float

    @property
    def resource(self) -> str:
        """Model and adapter in one name."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    Attributes:
        server_id: Backend server of the attempt.
        verdict: What the end says.
        detail: Error or status, for the log.
        saturated: The server reported that all its places are taken.
    """

    server_id: str
    verdict: AttemptVerdict
    detail: str = ""
    saturated: bool = False


@dataclass
class RequestFlow:
    """State of one request between its arrival and its final answer.

    Attributes:
        profile: What it asks for.
        servers: Backend servers that it was sent to, in order.
        unreached: Those of them that no byte of it reached.
        may_have_run: An attempt ended without proof that nothing ran.
        waiting: It waits for a server or for a model.
        in_flight_at: Backend server of the attempt in progress; empty if none.
        waited_s: Time that it has waited for a server or a model.
        sends: Count of attempts.
        outcome: How it ended, for the log.
        absent: Count of refusals by servers that lacked the model or adapter.
        pending_prefill_tokens: Prompt tokens that the server still reads.
    """

    profile: RequestProfile
    servers: list[str] = field(default_factory=list)
    unreached: set[str] = field(default_factory=set)
    may_have_run: bool = False
    waiting: bool = False
    in_flight_at: str = ""
    waited_s: float = 0.0
    sends: int = 0
    outcome: str = ""
    absent: int = 0
    pending_prefill_tokens: int = 0

    @property
    def reached(self) -> int:
        """Count of backend servers that the request was sent to."""
        return len(set(self.servers) - self.unreached)


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a backend server.

    Attributes:
        server_id: The server.
        address: Its `IP:port`.
        urgency: Rank at the server, 0 to 9; 0 goes first.
    """

    server_id: str
    address: str
    urgency: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Ask again when something has changed, or at this monotonic time."""

    until: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now without a backend server's answer.

    Attributes:
        reason: Why.
        not_run: It is certain that the request has not run and will not run.
        retry_after_s: When a place is likely, if the caller may come back.
    """

    reason: GiveUpReason
    not_run: bool
    retry_after_s: float | None = None


Step = Send | Wait | GiveUp
