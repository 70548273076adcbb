"""Tests of gossip about leaving servers in a fleet that loses messages."""

import pytest

from tests.test_membership import fleet_of
from wisterialoom.core.notice import ServerLeavingSeen

KNOWN_S = 4.0
"""Bound on the time until every member knows of a leaving server."""


@pytest.mark.parametrize("seed", range(5))
def test_leaving_server_is_announced_to_every_member_within_seconds(seed):
    fleet = fleet_of(seed, 7, loss=0.1)
    notices = {name: [] for name in fleet.members}

    def record(name, handle):
        def recording(now, event):
            outputs = handle(now, event)
            notices[name] += [x for x in outputs if isinstance(x, ServerLeavingSeen)]
            return outputs

        return recording

    for name, member in fleet.members.items():
        member.part.handle = record(name, member.part.handle)
    notice = ServerLeavingSeen("writer-1", "7")
    fleet.send("entry-0", notice)
    others = [notices[name] for name in sorted(notices) if name != "entry-0"]
    assert fleet.run_until(lambda: all(others), KNOWN_S), notices
    assert others == [[notice]] * len(others)
