"""Tests of `wisterialoom.core.fleet.rendezvous`."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from wisterialoom.core.fleet.rendezvous import first, rank

EXPECTED = ["entry-1", "entry-2", "entry-3"]

names = st.sets(st.text(max_size=8), min_size=1, max_size=12)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(names=names, key=st.text(max_size=8))
def test_only_keys_of_a_removed_name_move(names, key):
    order = rank(key, sorted(names))
    assert order == rank(key, sorted(names, reverse=True))
    assert sorted(order) == sorted(names)
    assert first(key, names) == order[0]
    for removed in names:
        assert rank(key, names - {removed}) == [x for x in order if x != removed]


def test_order_does_not_change_between_releases():
    assert rank("steward/worker-1", ["entry-1", "entry-2", "entry-3"]) == EXPECTED


def test_keys_are_distributed_evenly():
    members = [f"entry-{i}" for i in range(7)]
    shares = Counter(first(f"bucket/{i}", members) for i in range(7_000))
    assert min(shares.values()) > 850
    assert max(shares.values()) < 1_150
