"""Refusals: status, message and retry hint of each reason."""

from __future__ import annotations

from dataclasses import dataclass

from wisterialoom.core.requests.request import Outcome, Reason, Refusal

__all__ = ["RETRY_AFTER_LIMITS_S", "refuse"]

RETRY_AFTER_LIMITS_S = (1.0, 600.0)
"""Least and greatest `Retry-After` hint, in seconds."""

CONFIG_CHANGE_RETRY_S = 60.0
"""Retry hint for refusals that only a configuration change ends, in seconds."""


@dataclass(frozen=True, slots=True)
class _Template:
    status: int
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = 1.0


_TEMPLATES = {
    Reason.NO_CALLER: _Template(
        401,
        "The API key is missing or unknown; send a declared key as a bearer token.",
        retry_after_s=CONFIG_CHANGE_RETRY_S,
    ),
    Reason.NO_ROUTE: _Template(
        404,
        "No traffic rule serves this path; ask the operator for a rule.",
        retry_after_s=CONFIG_CHANGE_RETRY_S,
    ),
    Reason.NO_MODEL: _Template(
        404,
        "No such model or adapter is declared; see /v1/models for those that are.",
        retry_after_s=CONFIG_CHANGE_RETRY_S,
    ),
    Reason.CALLER_LIMIT: _Template(
        429, "This caller has too many requests in progress; let some end first."
    ),
    Reason.QUEUE_FULL: _Template(503, "The queue is full; come back later."),
    Reason.DEADLINE: _Template(
        503, "The request could not begin before its deadline; come back later."
    ),
    Reason.OVERLOAD: _Template(
        503,
        "The request would not begin before its deadline; come back later, or "
        "send it as work that may wait.",
    ),
    Reason.UNREACHABLE: _Template(
        503, "No backend server can serve this now; come back later."
    ),
    Reason.DRAINING: _Template(
        503, "This instance is stopping; send the request again to reach another."
    ),
    Reason.CONFIG_STALE: _Template(
        503, "This instance has no current configuration; send the request again."
    ),
    Reason.KEY_MISSING: _Template(
        400,
        "This operation may run only once: send an Idempotency-Key header.",
        retry_after_s=None,
    ),
    Reason.KEY_REUSED: _Template(
        422,
        "The Idempotency-Key was used with other content; use a new key.",
        retry_after_s=None,
    ),
    Reason.CLAIM_UNAVAILABLE: _Template(
        503,
        "The idempotency key could not be claimed, and this request was not run; "
        "an earlier one with the key may have been. Send it again with the key.",
    ),
    Reason.CLAIMS_FULL: _Template(
        503, "No more idempotency keys can be kept now; send it again with the key."
    ),
    Reason.JOB_UNAVAILABLE: _Template(
        503, "The work could not be kept for later; send it again."
    ),
    Reason.JOB_TOO_LARGE: _Template(
        413,
        "The request is too large to be kept for later; send a smaller one, or "
        "send it without the preference and wait.",
        retry_after_s=None,
    ),
    Reason.NO_JOB: _Template(
        404,
        "No such job of this caller; jobs are kept for a limited time.",
        retry_after_s=None,
    ),
    Reason.HELD_BACK: _Template(
        400,
        "Held back, as backend servers crashed on requests like this one; change it "
        "before you send it again, or ask the operator.",
        retry_after_s=None,
    ),
    Reason.MEMORY: _Template(
        503, "This instance has no memory for the request now; send it again."
    ),
    Reason.CALLER_GONE: _Template(499, "The caller left before the request was run."),
    Reason.IN_PROGRESS: _Template(
        409,
        "A request with this Idempotency-Key is in progress; ask again with the key.",
        outcome=Outcome.UNKNOWN,
    ),
    Reason.KEY_UNKNOWN: _Template(
        409,
        "A request with this Idempotency-Key was dispatched and its end was not "
        "seen; check its effect before you use a new key.",
        outcome=Outcome.UNKNOWN,
        retry_after_s=CONFIG_CHANGE_RETRY_S,
    ),
    Reason.ANSWER_NOT_KEPT: _Template(
        409,
        "The operation with this Idempotency-Key was completed; its answer was too "
        "large to be kept. Do not repeat it with a new key.",
        outcome=Outcome.COMPLETED,
        retry_after_s=None,
    ),
    Reason.ANSWER_UNAVAILABLE: _Template(
        503,
        "The operation with this Idempotency-Key was completed; its answer can't be "
        "read now. Ask again with the key.",
        outcome=Outcome.COMPLETED,
    ),
    Reason.CONNECT: _Template(503, "No backend server accepted it; come back later."),
    Reason.SERVER_REFUSED: _Template(
        503, "The backend servers did not start it; come back later."
    ),
    Reason.CONNECTION_LOST: _Template(
        502,
        "The connection to the backend server was lost: the request may have run.",
        outcome=Outcome.UNKNOWN,
    ),
    Reason.SERVER_TIMEOUT: _Template(
        504,
        "The backend server did not end in time: the request may have run.",
        outcome=Outcome.UNKNOWN,
    ),
    Reason.SERVER_ERROR: _Template(
        502, "The backend server answered with an error.", outcome=Outcome.FAILED
    ),
}


def refuse(
    reason: Reason,
    *,
    retry_after_s: float | None = None,
    outcome: Outcome | None = None,
) -> Refusal:
    """Build the refusal for a reason.

    Args:
        reason: Reason of the refusal.
        retry_after_s: Retry hint in seconds, clamped to `RETRY_AFTER_LIMITS_S`;
            `None` uses the default of the reason. Reasons that rule out a retry
            never carry a hint.
        outcome: Outcome of the request; `None` uses the default of the reason.
    """
    template = _TEMPLATES[reason]
    delay_s = template.retry_after_s
    if delay_s is not None and retry_after_s is not None:
        low, high = RETRY_AFTER_LIMITS_S
        delay_s = min(max(retry_after_s, low), high)
    return Refusal(
        outcome=outcome or template.outcome,
        reason=reason,
        message=template.message,
        retry_after_s=delay_s,
        status=template.status,
    )
