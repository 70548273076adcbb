"""What requests have in common."""

from __future__ import annotations

from wisterialoom.core.request_trait import part_traits


def test_parts_have_the_same_trait_in_all_requests_but_the_last_has_none():
    first = part_traits(("a1", "b2", "c3"))
    second = part_traits(("a1", "d4", "b2", "e5"))
    assert len(set(first)) == 2
    assert (first[0], first[1]) == (second[0], second[2])
    assert part_traits(("a1",)) == part_traits(()) == ()


def test_traits_do_not_hold_the_ids_of_parts():
    assert not any("a1" * 8 in trait for trait in part_traits(("a1" * 8, "b")))
