"""Encodes messages about crashes and held requests as lists of plain values."""

from __future__ import annotations

from typing import Any

from wisterialoom.core.crash_suspects import MAX_SUSPECTS, ServerStart, Suspect
from wisterialoom.core.crash_watch import (
    AnsweredTraits,
    CrashMessage,
    CrashSeen,
    HeldTraits,
)
from wisterialoom.core.quarantine import MAX_VERDICTS, Verdict
from wisterialoom.platform.fields import read_integer, read_number

__all__ = ["CRASH_KINDS", "decode_crash_message", "encode_crash_message"]

CRASH_KINDS = ("kc", "ka", "kh")
"""Kinds of the messages: a crash, answered traits, and held traits."""


def encode_crash_message(message: CrashMessage) -> tuple[str, list[Any]]:
    """Return the kind and the fields of a message."""
    match message:
        case CrashSeen(start=start, at=at, suspects=suspects):
            items = {
                trait: [suspect.depth, round(suspect.sent_at, 3)]
                for trait, suspect in suspects.items()
            }
            return "kc", [start.server, start.started_ms, round(at, 3), items]
        case AnsweredTraits(times=times):
            return "ka", [{trait: round(at, 3) for trait, at in times.items()}]
        case HeldTraits(verdicts=verdicts):
            held = {
                trait: [
                    verdict.version,
                    verdict.held,
                    verdict.trials,
                    verdict.was_answered,
                ]
                for trait, verdict in verdicts.items()
            }
            return "kh", [held]


def decode_crash_message(kind: str, fields: list[Any]) -> CrashMessage:
    """Decode a message.

    Args:
        kind: One of `CRASH_KINDS`.
        fields: Its fields; those that a later version adds are ignored.

    Raises:
        ValueError: A field is out of range, or the message is too large.
        TypeError: A field has another type.
    """
    match kind, fields:
        case "kc", [str(server), int(started_ms), at, dict(items), *_]:
            _check_size(items, MAX_SUSPECTS)
            suspects = {
                trait: Suspect(read_integer(depth), read_number(sent_at))
                for trait, (depth, sent_at, *_) in items.items()
            }
            start = ServerStart(server, read_integer(started_ms))
            return CrashSeen(start, read_number(at), suspects)
        case "ka", [dict(items), *_]:
            _check_size(items, MAX_SUSPECTS)
            return AnsweredTraits(
                {trait: read_number(at) for trait, at in items.items()}
            )
        case "kh", [dict(items), *_]:
            _check_size(items, MAX_VERDICTS)
            verdicts = {
                trait: Verdict(
                    read_integer(version),
                    bool(held),
                    read_integer(trials),
                    bool(answered),
                )
                for trait, (version, held, trials, answered, *_) in items.items()
            }
            return HeldTraits(verdicts)
    raise ValueError(f"unreadable fields in a message of kind {kind!r}")


def _check_size(items: dict[str, Any], limit: int) -> None:
    if len(items) > limit:
        raise ValueError(f"a message with {len(items)} traits; {limit} are allowed")
