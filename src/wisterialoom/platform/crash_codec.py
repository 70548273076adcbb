"""Encodes messages about crashes and held requests as lists of plain values."""

from __future__ import annotations

from typing import Any

from wisterialoom.core.crash_suspects import (
    MAX_RUNNING,
    MAX_SUSPECTS,
    ServerStart,
    Suspect,
)
from wisterialoom.core.crash_watch import (
    AnsweredTraits,
    CrashMessage,
    CrashSeen,
    HeldTraits,
)
from wisterialoom.core.quarantine import MAX_VERDICTS, Verdict
from wisterialoom.platform.fields import (
    read_integer,
    read_mapping,
    read_number,
    read_text,
)

__all__ = ["CRASH_KINDS", "decode_crash_message", "encode_crash_message"]

CRASH_KINDS = ("kc", "ka", "kh")
"""Kinds of the messages: a crash, answered traits, and held traits."""


def encode_crash_message(message: CrashMessage) -> tuple[str, list[Any]]:
    """Return the kind and the fields of a message."""
    match message:
        case CrashSeen(start=start, at=at, suspects=suspects):
            items = {
                trait: [
                    suspect.depth,
                    round(suspect.sent_at, 3),
                    *(
                        [round(suspect.first_sent_at, 3), suspect.servers]
                        if suspect.first_sent_at is not None
                        else []
                    ),
                ]
                for trait, suspect in suspects.items()
            }
            return "kc", [start.server, start.started_ms, round(at, 3), items]
        case AnsweredTraits(times=times, running=running):
            places = {
                trait: [
                    [start.server, start.started_ms, round(at, 3)]
                    for start, at in servers.items()
                ]
                for trait, servers in running.items()
            }
            answered = {trait: round(at, 3) for trait, at in times.items()}
            return "ka", [answered, places] if places else [answered]
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
                trait: _decode_suspect(*found) for trait, found in items.items()
            }
            start = ServerStart(server, read_integer(started_ms))
            return CrashSeen(start, read_number(at), suspects)
        case "ka", [dict(items), *rest]:
            places = read_mapping(rest[0]) if rest else {}
            _check_size(items, MAX_SUSPECTS)
            _check_size(places, MAX_SUSPECTS)
            times = {trait: read_number(at) for trait, at in items.items()}
            running = {
                trait: {
                    ServerStart(read_text(server), read_integer(started)): read_number(
                        at
                    )
                    for server, started, at, *_ in servers[:MAX_RUNNING]
                }
                for trait, servers in places.items()
            }
            return AnsweredTraits(times, running)
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


def _decode_suspect(
    depth: Any, sent_at: Any, since: Any = None, servers: Any = 0, *_: Any
) -> Suspect:
    """Decode a suspect; instances of earlier versions give its first two fields."""
    first = None if since is None else read_number(since)
    return Suspect(
        read_integer(depth), read_number(sent_at), first, read_integer(servers)
    )


def _check_size(items: dict[str, Any], limit: int) -> None:
    if len(items) > limit:
        raise ValueError(f"a message with {len(items)} traits; {limit} are allowed")
