"""Tests that changes are sent once, and that digests reveal missed changes."""

from __future__ import annotations

from hypothesis import given, strategies as st

from wisterialoom.core.fleet import ChangeFeed
from wisterialoom.core.placement.placement_table import PlacementTable, ServerPlacement


def test_change_is_sent_only_once():
    feed: ChangeFeed[int] = ChangeFeed()
    assert feed.record_table({"a": 1, "b": 2}) == {"a", "b"}
    assert feed.take_pending() == {"a": 1, "b": 2}
    assert feed.take_pending() == {}


def test_newest_value_is_sent():
    feed: ChangeFeed[int] = ChangeFeed()
    feed.record_table({"a": 1})
    feed.take_pending()
    assert feed.record_table({"a": 2}) == {"a"}
    assert feed.take_pending() == {"a": 2}


def test_removal_is_sent():
    feed: ChangeFeed[int] = ChangeFeed()
    feed.set_baseline({"a": 1, "b": 1})
    assert feed.record_table({"b": 1}) == {"a"}
    assert feed.take_pending() == {"a": None}


def test_only_differences_from_the_baseline_are_sent():
    feed: ChangeFeed[int] = ChangeFeed()
    feed.set_baseline({"a": 1, "b": 1})
    feed.record_table({"a": 1, "b": 2})
    assert feed.take_pending() == {"b": 2}


names = st.sampled_from(["m0", "m1", "m2"])
placements = st.builds(
    ServerPlacement,
    models=st.dictionaries(names, st.frozensets(names)),
    unloading=st.frozensets(names),
    count=st.integers(0, 5),
)


@given(st.dictionaries(st.sampled_from(["i-1", "i-2", "i-3"]), placements))
def test_receiver_of_all_changes_has_the_same_digest(table):
    feed: ChangeFeed[ServerPlacement] = ChangeFeed()
    feed.record_table(table)
    holder, follower = PlacementTable(), PlacementTable()
    for server_id, placement in table.items():
        holder.put(server_id, placement)
    for server_id, placement in feed.take_pending().items():
        assert placement is not None
        follower.put(server_id, placement)
    assert holder.digest(table) == follower.digest(table)


@given(st.dictionaries(st.sampled_from(["i-1", "i-2"]), placements, min_size=1))
def test_missed_change_shows_in_the_digest(table):
    whole, lacking = PlacementTable(), PlacementTable()
    for server_id, placement in table.items():
        whole.put(server_id, placement)
        lacking.put(server_id, placement)
    missed = sorted(table)[0]
    models = {**table[missed].models, "other": frozenset[str]()}
    whole.put(missed, ServerPlacement(models, table[missed].unloading, 9))
    assert whole.digest(table) != lacking.digest(table)


def test_digest_does_not_depend_on_the_order_of_models():
    one, two = PlacementTable(), PlacementTable()
    empty = frozenset[str]()
    one.put("i-1", ServerPlacement({"m0": empty, "m1": empty}, empty, 1))
    two.put("i-1", ServerPlacement({"m1": empty, "m0": empty}, empty, 1))
    assert one.digest(["i-1"]) == two.digest(["i-1"])
