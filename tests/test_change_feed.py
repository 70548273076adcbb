"""Changes that are told once, and digests that show what was missed."""

from __future__ import annotations

from hypothesis import given, strategies as st

from wisterialoom.core.fleet import ChangeFeed
from wisterialoom.core.placement.placement_table import PlacementTable, ServerPlacement


def test_a_change_is_told_once():
    feed: ChangeFeed[int] = ChangeFeed()
    assert feed.note({"a": 1, "b": 2}) == {"a", "b"}
    assert feed.take() == {"a": 1, "b": 2}
    assert feed.take() == {}


def test_what_is_told_is_the_newest():
    feed: ChangeFeed[int] = ChangeFeed()
    feed.note({"a": 1})
    feed.take()
    assert feed.note({"a": 2}) == {"a"}
    assert feed.take() == {"a": 2}


def test_what_is_gone_is_told():
    feed: ChangeFeed[int] = ChangeFeed()
    feed.start_from({"a": 1, "b": 1})
    assert feed.note({"b": 1}) == {"a"}
    assert feed.take() == {"a": None}


def test_a_new_holder_tells_only_what_differs():
    feed: ChangeFeed[int] = ChangeFeed()
    feed.start_from({"a": 1, "b": 1})
    feed.note({"a": 1, "b": 2})
    assert feed.take() == {"b": 2}


names = st.sampled_from(["m0", "m1", "m2"])
placements = st.builds(
    ServerPlacement,
    models=st.dictionaries(names, st.frozensets(names)),
    unloading=st.frozensets(names),
    count=st.integers(0, 5),
)


@given(st.dictionaries(st.sampled_from(["i-1", "i-2", "i-3"]), placements))
def test_a_follower_that_hears_all_changes_agrees(wanted):
    feed: ChangeFeed[ServerPlacement] = ChangeFeed()
    feed.note(wanted)
    holder, follower = PlacementTable(), PlacementTable()
    for server_id, placement in wanted.items():
        holder.put(server_id, placement)
    for server_id, placement in feed.take().items():
        assert placement is not None
        follower.put(server_id, placement)
    assert holder.digest(wanted) == follower.digest(wanted)


@given(st.dictionaries(st.sampled_from(["i-1", "i-2"]), placements, min_size=1))
def test_a_missed_change_shows_in_the_digest(wanted):
    whole, lacking = PlacementTable(), PlacementTable()
    for server_id, placement in wanted.items():
        whole.put(server_id, placement)
        lacking.put(server_id, placement)
    missed = sorted(wanted)[0]
    models = {**wanted[missed].models, "other": frozenset[str]()}
    whole.put(missed, ServerPlacement(models, wanted[missed].unloading, 9))
    assert whole.digest(wanted) != lacking.digest(wanted)


def test_the_order_of_models_does_not_matter():
    one, two = PlacementTable(), PlacementTable()
    empty = frozenset[str]()
    one.put("i-1", ServerPlacement({"m0": empty, "m1": empty}, empty, 1))
    two.put("i-1", ServerPlacement({"m1": empty, "m0": empty}, empty, 1))
    assert one.digest(["i-1"]) == two.digest(["i-1"])
