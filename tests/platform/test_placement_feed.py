"""Hints of the lease holder to many instances, without sockets."""

from __future__ import annotations

from typing import cast

from wisterialoom.core.fleet import LeaseRecord, PlacementLease
from wisterialoom.core.placement.placement_table import ServerPlacement
from wisterialoom.core.placement.server_state import ServerState
from wisterialoom.core.serving.backend import BackendServer
from wisterialoom.core.serving.balancer import Balancer
from wisterialoom.core.serving.dispatcher import Dispatcher
from wisterialoom.core.serving.retry_budget import RetryLimits
from wisterialoom.platform.hints import (
    decode_hint,
    encode_hint,
    Hint,
    PlacementHint,
)
from wisterialoom.platform.peers import PeerLink
from wisterialoom.platform.placement_feed import members_digest, PlacementFeed
from wisterialoom.platform.placement_view import DigestMismatch, PlacementView

SERVERS = 45
INSTANCES = 77


class Link(PeerLink):
    """Keeps what was sent."""

    def __init__(self) -> None:
        super().__init__(1, lambda hint, address: None)
        self.sent: list[tuple[PlacementHint, list[str]]] = []
        self.bytes = 0

    def send_all(self, hint: Hint, addresses: list[str]) -> None:
        data = encode_hint(hint)
        assert len(data) < 60_000
        self.bytes += len(data) * len(addresses)
        self.sent.append((cast("PlacementHint", decode_hint(data)), addresses))


def make() -> tuple[PlacementFeed, Link]:
    lease = PlacementLease("front-0", "b", "10.0.0.0", 3.0, fenced=True)
    lease.record = LeaseRecord("front-0", "b", 1, "10.0.0.0")
    link = Link()
    link.members = {f"front-{n}": f"10.0.0.{n}" for n in range(INSTANCES)}
    feed = PlacementFeed(lease, link)
    feed.restart({})
    return feed, link


def placements(count: int = 1) -> dict[str, ServerPlacement]:
    models = {f"model-{n}": frozenset({"a1", "a2", "a3"}) for n in range(3)}
    return {
        f"i-{n}": ServerPlacement(models, frozenset(), count) for n in range(SERVERS)
    }


def view() -> PlacementView:
    dispatcher = Dispatcher(Balancer("a"), RetryLimits(0.2, 50.0, 10.0))
    dispatcher.set_servers(
        {
            f"i-{n}": BackendServer(
                f"i-{n}", 1, "scribe", "10.0.1.1:1", "a", 8, False, 0
            )
            for n in range(SERVERS)
        }
    )
    return PlacementView(dispatcher, lambda: None)


def test_hints_leave_the_holders_link_to_requests():
    """Full hints filled a link of 5 Mbit/s, and the lease moved every five seconds.

    Its renewals took longer than their limit.
    """
    feed, link = make()
    now = 0.0
    for step in range(100):
        now += 0.1
        held = placements()
        # One server changes each time.
        held[f"i-{step % SERVERS}"] = ServerPlacement({}, frozenset(), step + 2)
        feed.publish(now, held, {}, {}, [])
    assert link.bytes * 8 / now < 0.3 * 5e6


def test_who_waits_hears_at_once_and_all_others_soon():
    feed, link = make()
    feed.publish(1.0, placements(), {}, {}, [])
    link.sent.clear()
    changed = placements() | {"i-3": ServerPlacement({}, frozenset(), 9)}
    feed.publish(1.1, changed, {}, {}, ["10.0.0.7"])
    assert [addresses for _, addresses in link.sent] == [["10.0.0.7"]]
    assert set(link.sent[0][0].servers) == {"i-3"}
    feed.publish(1.26, changed, {}, {}, ["10.0.0.7"])
    assert len(link.sent[1][1]) == INSTANCES - 1
    assert "i-3" in link.sent[1][0].servers


def test_an_unload_is_told_to_all_at_once():
    feed, link = make()
    feed.publish(1.0, placements(), {}, {}, [])
    link.sent.clear()
    leaving = ServerPlacement({}, frozenset({"model-0"}), 1)
    feed.publish(1.01, placements() | {"i-3": leaving}, {}, {}, [], urgent=True)
    assert len(link.sent[0][1]) == INSTANCES - 1


def test_a_follower_that_missed_hints_asks_and_then_knows_all():
    feed, link = make()
    follower, digest_mismatch = view(), DigestMismatch()
    members = members_digest(link.members)
    feed.publish(0.0, placements(), {}, {}, [])
    link.sent.clear()
    asked = False
    for step in range(1, 4):
        now = step * 0.5
        feed.publish(now, placements(), {"i-2": 5}, {}, [])
        agreed = follower.take_hint(now, link.sent[-1][0], members)
        assert not agreed
        asked |= digest_mismatch.resync_due(now, agreed=agreed)
    assert asked
    link.sent.clear()
    feed.answer("10.0.0.7")
    agreed = [follower.take_hint(4.0, hint, members) for hint, _ in link.sent]
    assert agreed[-1]
    seen = follower.dispatcher.views["i-2"]
    assert seen.models == placements()["i-2"].models
    assert seen.reported_busy == 5


def test_a_server_that_is_listed_late_gets_the_placement_told_before():
    feed, link = make()
    follower = view()
    servers = follower.dispatcher.views
    late = servers.pop("i-4")
    members = members_digest(link.members)
    feed.publish(0.0, placements(), {}, {}, [])
    assert not follower.take_hint(0.0, link.sent[-1][0], members)
    servers["i-4"] = late
    feed.publish(0.5, placements(), {}, {}, [])
    assert follower.take_hint(0.5, link.sent[-1][0], members)
    assert late.models == placements()["i-4"].models


def test_everything_fits_datagrams_at_600_servers():
    feed, link = make()
    models = {f"model-{n}": frozenset({"a1", "a2", "a3"}) for n in range(3)}
    held = {f"i-{n:010}": ServerPlacement(models, frozenset(), 1) for n in range(600)}
    link.members = {f"front-{n}": f"10.0.{n // 250}.{n % 250}" for n in range(410)}
    feed.restart(held)
    feed.publish(0.0, held, {}, {}, [])
    feed.answer("10.0.0.7")
    assert sum(len(hint.servers) for hint, _ in link.sent) == 600


def test_a_small_fleet_hears_of_changes_at_once():
    """A quarter of a second was lost to each change at six instances."""
    feed, link = make()
    link.members = {f"front-{n}": f"10.0.0.{n}" for n in range(6)}
    feed.publish(1.0, placements(), {}, {}, [])
    link.sent.clear()
    feed.publish(
        1.02, placements() | {"i-3": ServerPlacement({}, frozenset(), 9)}, {}, {}, []
    )
    assert len(link.sent) == 1
    assert len(link.sent[0][1]) == 5


def test_a_listing_that_is_behind_does_not_stay():
    """A server counts an unload when it accepts it, and drops the model later.

    Its entry in the store then has the newest count and the old models. A starting
    instance kept them until the next change there (ribera-loom, trouble-2).
    """
    feed, link = make()
    follower = view()
    members = members_digest(link.members)
    feed.publish(0.0, placements(), {}, {}, [])
    follower.take_hint(0.0, link.sent[-1][0], members)
    seen = follower.dispatcher.views["i-2"]
    stale = {"model-9": frozenset[str]()}
    seen.set_placement(1, stale)
    feed.publish(0.5, placements(), {}, {}, [])
    assert follower.take_hint(0.5, link.sent[-1][0], members)
    assert seen.models == placements()["i-2"].models


def test_a_short_load_that_is_over_is_told():
    """The state changed the models that had been told, so no change was seen.

    Neither the hints nor their digest told of it until the next order there.
    """
    feed, link = make()
    state = ServerState("i-1", 1, models={"model-0": frozenset()})
    state.loading, state.is_local_load, state.done_at = "model-1", True, 1.0

    def publish(now: float) -> PlacementHint:
        held = ServerPlacement(state.models, state.draining_models, state.count)
        feed.publish(now, {"i-1": held}, {}, {}, [])
        hint: PlacementHint = link.sent[-1][0]
        return hint

    before = publish(0.5)
    assert state.settle(1.0)
    after = publish(1.5)
    told = after.servers["i-1"]
    assert told is not None
    assert set(told.models) == {"model-0", "model-1"}
    assert after.digest != before.digest
