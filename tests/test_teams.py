"""API keys, teams and the cost of their requests."""

from __future__ import annotations

import hashlib
from itertools import starmap

import pytest
from hypothesis import given, strategies as st

from tests.test_dispatcher import flow, make_route
from wisterialoom.core.teams import (
    Declaration,
    key_digest,
    Quota,
    QuotaUnit,
    Team,
    TeamDirectory,
)

KEYS = {"a": ("asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"), "b": ("zzq",)}


def directory() -> TeamDirectory:
    return TeamDirectory.from_teams(
        [(Team(name), map(key_digest, keys)) for name, keys in KEYS.items()]
    )


@pytest.mark.parametrize(
    ("values", "name"),
    [
        (["Bearer zzq"], "b"),
        (["bearer  zzq "], "b"),
        (["Bearer k7b2ex5wa5xwyhks8nbk"], "a"),
    ],
)
def test_each_key_identifies_its_team(values, name):
    found = directory().identify(values)
    assert found is not None
    assert found.name == name


@pytest.mark.parametrize(
    "values",
    [
        [],
        [""],
        ["Bearer"],
        ["Bearer "],
        ["zzq"],
        ["Basic zzq"],
        ["Bearer zzq zzq"],
        ["Bearer zzq,zzq"],
        ["Bearer\tzzq"],
        ["Bearer ZZQ"],
        ["Bearer zzq", "Bearer zzq"],
        ["Bearer zzq", ""],
        ["Bearer zzq\x00"],
        ["Bearer zz\udcffq"],
        ["Bearer \xfc"],
        ["Bearer " + "z" * 100_000],
    ],
)
def test_anything_but_one_known_bearer_key_identifies_no_team(values):
    """Guards against a malformed header that is taken for a team, or that raises."""
    assert directory().identify(values) is None


@given(st.lists(st.text(st.characters(exclude_categories=()), max_size=40)))
def test_arbitrary_headers_identify_no_team(values):
    assert directory().identify([f"{value}?" for value in values]) is None


def test_directory_holds_no_key():
    """Guards against keys in a dump or a log of the deployment."""
    text = repr(directory())
    assert not any(key in text for keys in KEYS.values() for key in keys)
    assert hashlib.sha256(b"zzq").digest() in directory().by_digest


def test_lookup_computes_one_digest_for_any_number_of_keys(monkeypatch):
    """Guards against a lookup that compares key after key."""
    teams = [(Team(f"t{n}"), [key_digest(f"key-{n}")]) for n in range(1000)]
    many = TeamDirectory.from_teams(teams)
    computed = []
    real = hashlib.sha256

    def count(data):
        computed.append(1)
        return real(data)

    monkeypatch.setattr(hashlib, "sha256", count)
    found = many.identify(["Bearer key-999"])
    assert found is not None
    assert found.name == "t999"
    assert len(computed) == 1


def test_first_team_counts_for_a_key_of_two_teams():
    """Guards against instances that disagree about the team of a key."""
    pairs = [(Team("a"), ["k"]), (Team("b"), ["k"]), (Team("a", 3), ["l"])]
    found = TeamDirectory.from_teams(
        [(team, map(key_digest, keys)) for team, keys in pairs]
    )
    assert found.identify(["Bearer k"]) == Team("a")
    assert found.identify(["Bearer l"]) == Team("a")
    assert found.find("b") == Team("b")
    assert found.find("c") is None


@pytest.mark.parametrize(
    ("found", "declaration"),
    [
        (TeamDirectory(), Declaration.ABSENT),
        (TeamDirectory.from_teams([]), Declaration.EMPTY),
        (TeamDirectory.from_teams([], skipped=1), Declaration.UNREADABLE),
        (directory(), Declaration.USABLE),
    ],
)
def test_every_declared_list_needs_a_key(found, declaration):
    """Guards against an empty list, or a malformed entry, that opens all routes."""
    assert found.declaration is declaration
    assert found.needs_key is (declaration is not Declaration.ABSENT)
    # Whoever tests a directory for truth would mean one of several things.
    assert bool(found)


@pytest.mark.parametrize("key", ["", " ", "a b", "\xfc", "k\n", "k" * 2000])
def test_unusable_keys_are_refused_without_being_named(key):
    with pytest.raises(ValueError, match="API key") as caught:
        key_digest(key)
    assert not key.strip() or key not in str(caught.value)


def test_costs():
    """Guards against requests without token counts that are free of charge."""
    tokens = Quota(100.0, 200.0, QuotaUnit.TOKENS, plain_tokens=50.0)
    requests = Quota(100.0, 200.0)
    cases = [(tokens, (7, 5)), (tokens, None), (requests, (7, 5)), (requests, None)]
    assert list(starmap(Quota.cost, cases)) == [12.0, 50.0, 1.0, 1.0]


@pytest.mark.parametrize(("team", "expected"), [(None, 2), (0, 0), (7, 7)])
def test_priority_of_the_team_comes_before_that_of_the_route(team, expected):
    profile = flow(make_route(priority=2), team_priority=team).profile
    assert profile.priority == expected
