"""Encodes the messages about allowance as parts of datagrams."""

from __future__ import annotations

import math
from typing import Any

from wisterialoom.core.teams.allowance_message import (
    AllowanceGrant,
    AllowanceReply,
    AllowanceRequest,
    TeamRequest,
)
from wisterialoom.platform.fields import describe, read_mapping
from wisterialoom.platform.hints import AllowanceGranted, AllowanceWanted

__all__ = ["QUOTA_KINDS", "decode_quota_hint", "encode_quota_hint"]

WANTED_KIND, GRANTED_KIND = QUOTA_KINDS = ("qw", "qg")
"""Kinds of messages about allowance."""


def encode_quota_hint(hint: AllowanceWanted | AllowanceGranted) -> list[Any]:
    """Encode a message about allowance.

    Amounts are rounded so that no allowance is added.
    """
    match hint:
        case AllowanceWanted(instance=instance, request=request):
            teams = {
                name: _encode_team(wanted) for name, wanted in request.teams.items()
            }
            fields = [request.serial, request.serial - request.seen, teams]
            return [WANTED_KIND, instance, fields]
        case AllowanceGranted(instance=instance, reply=reply):
            granted = {
                team: [int(grant.amount), int(grant.valid_s * 1e3)]
                for team, grant in reply.granted.items()
            }
            retry_ms = {
                team: math.ceil(retry_s * 1e3)
                for team, retry_s in reply.retry_s.items()
            }
            return [
                GRANTED_KIND,
                instance,
                [reply.epoch, reply.serial, granted, retry_ms],
            ]


def decode_quota_hint(
    kind: str, instance: str, items: Any
) -> AllowanceWanted | AllowanceGranted:
    """Decode a message about allowance.

    Raises:
        ValueError: A field cannot be decoded.
        TypeError: A field is of another type.
    """
    if kind == WANTED_KIND:
        serial, since, teams = items
        wanted = {
            team: TeamRequest(*(_number(value) for value in values))
            for team, values in read_mapping(teams).items()
        }
        serial = _whole(serial)
        request = AllowanceRequest(serial, serial - _whole(since), wanted)
        return AllowanceWanted(instance, request)
    epoch, serial, granted, retry_ms = items
    grants = {
        team: AllowanceGrant(_number(amount), _number(valid_ms) / 1e3)
        for team, (amount, valid_ms) in read_mapping(granted).items()
    }
    retry_s = {
        team: _number(value) / 1e3 for team, value in read_mapping(retry_ms).items()
    }
    return AllowanceGranted(
        instance, AllowanceReply(_whole(epoch), _whole(serial), grants, retry_s)
    )


def _encode_team(wanted: TeamRequest) -> list[int]:
    values = [
        math.ceil(wanted.need),
        math.ceil(wanted.first),
        int(wanted.ahead),
        math.ceil(wanted.stock),
        int(wanted.returned),
        math.ceil(wanted.own),
    ]
    while values and not values[-1]:
        values.pop()
    return values


def _number(value: Any) -> float:
    """Return a number that is neither negative nor infinite."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {describe(value)}")
    number = float(value)
    if not 0.0 <= number < math.inf:
        raise ValueError(f"out of range: {describe(value)}")
    return number


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not a whole number: {describe(value)}")
    return value
