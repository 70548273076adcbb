"""Tests of `wisterialoom.core.fleet.leaving_gossip` in a fleet that loses messages."""

import pytest

from tests.test_membership import fleet_of
from wisterialoom.core.notice import ServerLeavingSeen

KNOWN_S = 4.0
"""Bound on the time until a leaving server is known everywhere."""


@pytest.mark.parametrize("seed", range(5))
def test_a_leaving_server_is_told_to_every_member_within_seconds(seed):
    fleet = fleet_of(seed, 7, loss=0.1)
    heard = {name: [] for name in fleet.members}

    def listen(name, handle):
        def listening(now, event):
            outputs = handle(now, event)
            heard[name] += [x for x in outputs if isinstance(x, ServerLeavingSeen)]
            return outputs

        return listening

    for name, member in fleet.members.items():
        member.part.handle = listen(name, member.part.handle)
    notice = ServerLeavingSeen("writer-1", "7")
    fleet.send("entry-0", notice)
    others = [heard[name] for name in sorted(heard) if name != "entry-0"]
    assert fleet.run_until(lambda: all(others), KNOWN_S), heard
    assert others == [[notice]] * len(others)
