"""What requests have in common."""

from __future__ import annotations

from wisterialoom.core.request_trait import own_trait, part_traits


def test_parts_have_the_same_trait_in_all_requests_but_the_last_has_none():
    first = part_traits(("a1", "b2", "c3"))
    second = part_traits(("a1", "d4", "b2", "e5"))
    assert len(set(first)) == 2
    assert (first[0], first[1]) == (second[0], second[2])
    assert part_traits(("a1",)) == part_traits(()) == ()


def test_traits_do_not_hold_the_ids_of_parts():
    assert not any("a1" * 8 in trait for trait in part_traits(("a1" * 8, "b")))


def test_requests_share_their_own_trait_only_if_method_path_caller_and_body_agree():
    same = ("POST", "desk.example/a?b=1", "Bearer k", b"body")
    assert own_trait(*same) == own_trait(*same)
    others = [
        ("GET", "desk.example/a?b=1", "Bearer k", b"body"),
        ("POST", "desk.example/a?b=2", "Bearer k", b"body"),
        ("POST", "desk.example/a?b=1", "Bearer l", b"body"),
        ("POST", "desk.example/a?b=1", "Bearer k", b"bode"),
        ("POST", "desk.example/a?b=1", "Bearer kb", b"ody"),
        ("POST", "desk.example/a?b=1\udcff", "Bearer k", b"body"),
    ]
    traits = {own_trait(*other) for other in others}
    assert len(traits) == len(others)
    assert own_trait(*same) not in traits
