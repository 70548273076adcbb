"""The state of one request: its profile, its attempts and its next step."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wisterialoom.core.short_key import short_key

if TYPE_CHECKING:
    from wisterialoom.core.serving.routing import Route

__all__ = [
    "AttemptResult",
    "AttemptVerdict",
    "GiveUp",
    "GiveUpReason",
    "MAX_RECHECK_S",
    "MIN_RECHECK_S",
    "MIN_RUN_S",
    "RequestFlow",
    "RequestProfile",
    "Send",
    "Step",
    "Wait",
]

MAX_RECHECK_S = 0.25
"""Maximum wait before the next decision; a change of the servers ends it earlier."""

MIN_RECHECK_S = 0.02
"""Minimum wait for a free slot; one step of a server's queue."""


MIN_RUN_S = 0.05
"""Minimum time that a backend server needs to begin an answer, in seconds."""


class AttemptVerdict(enum.Enum):
    """How an attempt ended, and whether the request may have run."""

    ANSWERED = "answered"
    """A complete answer was passed on to the caller."""
    NOT_SENT = "not_sent"
    """No byte of the request reached the server."""
    NO_HELP = "no_help"
    """The instance that should pass the request on did not send any byte of it."""
    REFUSED_FULL = "refused_full"
    """The server did not run the request because all slots are taken."""
    REFUSED_ABSENT = "refused_absent"
    """The server did not run the request because the model is not resident."""
    REFUSED_IDENTITY = "refused_identity"
    """Another server now has the address; the request did not run."""
    LOST = "lost"
    """The connection failed after the request was sent; the request may have run."""
    TIMED_OUT = "silent"
    """The server timed out and the attempt was aborted; the request may have run."""
    FAILED = "failed"
    """The server ran the request and answered with an error."""
    CANCELLED = "cancelled"
    """This instance stopped the attempt: the caller left, or the deadline passed."""


class GiveUpReason(enum.Enum):
    """Why a request ends without an answer of a backend server."""

    NO_PATH = "no_path"
    """This instance reaches no server of the service, nor one that would help."""
    NO_SERVER = "no_server"
    """The service has no server that takes requests."""
    NO_MODEL = "no_model"
    """The model will not be resident in time."""
    UNKNOWN_MODEL = "unknown_model"
    """The service does not declare the model."""
    FULL = "full"
    """Every server that could run the request was full or ejected for too long."""
    DEADLINE = "deadline"
    """The answer deadline is reached."""
    RETRY_BUDGET = "retry_budget"
    """The retry budget of the service is used up at this instance."""
    ATTEMPTS = "attempts"
    """The request was sent to as many servers as its route allows."""
    LOST = "lost"
    """The request may have run, and its route is not idempotent."""
    STOPPING = "stopping"
    """This instance is stopping."""
    VERSION_UNKNOWN = "version_unknown"
    """Nobody knows which software version began the stream to be taken up."""
    VERSION_LEFT = "version_left"
    """No server has the software version that began the stream any more."""
    HELD_BACK = "held_back"
    """Servers crashed on requests that have something in common with it."""
    KEY_REVOKED = "key_revoked"
    """The API key of the request is no longer valid."""
    KEYS_IN_DOUBT = "keys_in_doubt"
    """The configuration is too old to tell whether the API key is still valid."""


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """The fixed properties of a request.

    Attributes:
        request_id: Id of the caller's attempt.
        route: Route that the request matched.
        service: Service that the route selected.
        model: Requested model; empty at services that run no models.
        adapter: Requested adapter of that model; may be empty.
        prompt_tokens: Number of tokens in the prompt.
        output_tokens: Maximum number of tokens in the answer.
        prefix: Ids, in order, of the prompt parts that other requests share.
        takes_up: Id of the caller's attempt that began the stream which the request
            takes up; empty if it does not name one, `None` for a new stream.
        traits: What the request has in common with others, the widest first.
        arrived: Monotonic time of arrival.
        answer_deadline: Monotonic time by which the answer must be complete.
        caller_deadline: Monotonic time until which the caller waits.
        first_output_deadline: Monotonic time at which the caller leaves if there is no
            output yet.
        team: Name of the team that sent the request; empty if there is none.
        team_priority: Priority that the team has instead of the route's, if any.
        token_counts: Both numbers of tokens; `None` if the caller stated none that can
            be decoded.
        guarded: Whether the deployment has a list of teams, so that servers get the
            team's name instead of the key.
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
    traits: tuple[str, ...] = ()
    takes_up: str | None = None
    team: str = ""
    team_priority: int | None = None
    token_counts: tuple[int, int] | None = None
    guarded: bool = False

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.team_priority is not None:
            return self.team_priority
        return self.route.priority

    @property
    def resource(self) -> str:
        """Requested model and adapter as one key."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model

    @property
    def stream(self) -> str:
        """Key of the stream, after the caller's attempt that begins, or began, it."""
        return short_key(self.takes_up or self.request_id)

    @property
    def taken_up_stream(self) -> str:
        """Key of the stream that the request takes up; empty if it names none."""
        return short_key(self.takes_up or "")


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended.

    Attributes:
        server_id: Backend server of the attempt.
        verdict: How the attempt ended.
        detail: Error or status, for the log.
        saturated: Whether the server reported that all its slots are taken.
        had_output: Whether the server had begun to answer.
    """

    server_id: str
    verdict: AttemptVerdict
    detail: str = ""
    saturated: bool = False
    had_output: bool = False


@dataclass
class RequestFlow:
    """State of one request between its arrival and its final answer.

    Attributes:
        profile: Fixed properties of the request.
        servers: Ids of the backend servers that the request was sent to, in order.
        software_versions: Version of the software of each of these servers.
        reached_servers: Servers that received at least a part of the request.
        errors: Number of attempts that a server answered with an error.
        may_have_run: Whether an attempt ended without certainty that it did not run.
        waiting: Whether the request waits for a server or for a model.
        in_flight_at: Backend server of the attempt in progress; empty if none.
        in_flight_version: Software version of that server; empty if it is not known.
        in_flight_via: Instance that the attempt in progress goes through; empty if it
            goes directly.
        sent_at: Monotonic time at which the last attempt began.
        busy_when_sent: Requests at the server when the last attempt began.
        waited_s: Seconds spent waiting for a server or a model.
        attempt_count: Number of attempts.
        outcome: How the request ended, for the log.
        absent_refusals: Number of refusals by servers that lacked the model or adapter.
        pending_prefill_tokens: Prompt tokens that the server of the current attempt
            has yet to process.
        output_begun: Whether the attempt in progress has had output.
        stream_version: Software version that began the stream, which goes on at that
            version only; empty if it began at one that is not known, `None` before
            its first event.
        has_output: Whether an event was passed on to the caller.
        trial_of: Held trait that the request tries again; empty if it does not.
        view_current_at: Monotonic time at which configuration and servers were known to
            be current when the request arrived.
    """

    profile: RequestProfile
    servers: list[str] = field(default_factory=list)
    software_versions: list[str] = field(default_factory=list)
    reached_servers: set[str] = field(default_factory=set)
    errors: int = 0
    may_have_run: bool = False
    waiting: bool = False
    in_flight_at: str = ""
    in_flight_version: str = ""
    in_flight_via: str = ""
    sent_at: float = float("-inf")
    busy_when_sent: float = 0.0
    waited_s: float = 0.0
    attempt_count: int = 0
    outcome: str = ""
    absent_refusals: int = 0
    pending_prefill_tokens: int = 0
    output_begun: bool = False
    stream_version: str | None = None
    has_output: bool = False
    trial_of: str = ""
    view_current_at: float = float("-inf")

    @property
    def waits_until(self) -> float | None:
        """Monotonic time up to which a stream that has begun waits; `None` for others.

        Its caller loses what it has got if the stream does not go on.
        """
        if not self.stream_version or not self.profile.route.resumable:
            return None
        if self.has_output:
            return self.profile.answer_deadline
        return self.profile.first_output_deadline

    @property
    def reached(self) -> int:
        """Number of servers that received the request, or may be receiving it now."""
        current = {self.in_flight_at} if self.in_flight_at else set()
        return len(self.reached_servers | current)

    @property
    def attempts_used(self) -> int:
        """Number of attempts that count against the limit of the route.

        A server that answers with an error may be the only one, and would otherwise be
        asked again without end.
        """
        return max(self.reached, self.errors)

    def record_end(self, result: AttemptResult, *, was_reached: bool) -> None:
        """Record how an attempt ended.

        Args:
            result: How it ended.
            was_reached: Whether an earlier attempt had reached the server.
        """
        match result.verdict:
            case AttemptVerdict.LOST | AttemptVerdict.TIMED_OUT:
                self.may_have_run = True
            case AttemptVerdict.FAILED:
                self.errors += 1
            case AttemptVerdict.REFUSED_ABSENT:
                self.absent_refusals += 1
            case AttemptVerdict.NOT_SENT | AttemptVerdict.NO_HELP if not was_reached:
                self.reached_servers.discard(result.server_id)


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a backend server.

    Attributes:
        server_id: Id of the server.
        address: `IP:port` of the server.
        urgency: Priority at the server, 0 to 9; 0 is served first.
        via: Address of the instance to send the request through; empty if none.
    """

    server_id: str
    address: str
    urgency: int
    via: str = ""


@dataclass(frozen=True, slots=True)
class Wait:
    """Decide again when the servers have changed, or at this monotonic time."""

    until: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End the request without a backend server's answer.

    Attributes:
        reason: Why the request ends.
        not_run: Whether the request certainly has not run and will not run.
        retry_after_s: Seconds until capacity is likely, if the caller may retry.
    """

    reason: GiveUpReason
    not_run: bool
    retry_after_s: float | None = None


Step = Send | Wait | GiveUp
