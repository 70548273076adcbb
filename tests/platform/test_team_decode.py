"""Decoding of the teams that a configuration declares."""

from __future__ import annotations

import asyncio
import time

import orjson
import pytest
from hypothesis import given
from multidict import CIMultiDict, CIMultiDictProxy

from tests.platform.fakes import config
from tests.platform.test_wire import json_values
from wisterialoom.core.teams import Declaration, Quota, QuotaUnit, Team
from wisterialoom.platform.decode import decode_deployment, DecodeError
from wisterialoom.platform.headers import read_profile
from wisterialoom.platform.hints import ConfigCopy
from wisterialoom.platform.store_json import decode_answer, UnreadableValue
from wisterialoom.platform.team_decode import (
    decode_teams,
    drop_unreadable_teams,
    without_keys,
)

HULE = {
    "name": "hule930",
    "apiKeys": ["asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"],
    "priority": 1,
    "unit": "token_rate",
    "plainTokens": 200,
    "ratePerS": 131650,
    "burst": 131650,
}
DUNE = {"name": "dune", "apiKeys": ["dune-key"], "unit": "rate", "ratePerS": 5}


def test_teams_and_public_routes_are_decoded():
    spec = config(7) | {"tenants": [HULE, DUNE]}
    spec["routes"][0]["public"] = True
    spec["routes"][1]["public"] = "false"
    deployment = decode_deployment(spec)
    quota = Quota(131650.0, 131650.0, QuotaUnit.TOKENS, 200.0)
    assert deployment.teams.identify(["Bearer k7b2ex5wa5xwyhks8nbk"]) == Team(
        "hule930", 1, quota
    )
    assert deployment.teams.find("dune") == Team("dune", None, Quota(5.0, 5.0))
    public = {
        route.name: route.public
        for routes in deployment.by_host.values()
        for route in routes
    }
    first, *others = (item["name"] for item in spec["routes"])
    assert public[first]
    assert not any(public[name] for name in others)


@pytest.mark.parametrize(
    ("change", "declaration"),
    [
        ({}, Declaration.ABSENT),
        ({"tenants": None}, Declaration.EMPTY),
        ({"tenants": []}, Declaration.EMPTY),
        ({"tenants": [None, {"apiKeys": ["k"]}]}, Declaration.UNREADABLE),
        ({"tenants": [None, DUNE]}, Declaration.USABLE),
    ],
)
def test_only_a_configuration_without_a_list_of_teams_needs_no_keys(
    change, declaration
):
    """Guards against an empty or unreadable list that is taken for none."""
    spec = config() | change
    for found in (spec, without_keys(spec), drop_unreadable_teams(spec)):
        teams = decode_deployment(found).teams
        assert teams.declaration is declaration
        assert teams.needs_key is (declaration is not Declaration.ABSENT)
        assert teams.identify(["Bearer k"]) is None


@pytest.mark.parametrize("rate", [0, None])
def test_rate_of_0_or_none_is_no_limit(rate):
    teams, _ = decode_teams([HULE | {"ratePerS": rate}])
    assert teams.find("hule930") == Team("hule930", 1, None)


@pytest.mark.parametrize(
    "bad",
    [
        None,
        7,
        "x",
        [],
        {},
        {"name": 5},
        {"name": ""},
        {"name": "two\r\nlines"},
        {"name": "x", "apiKeys": "dune-key", "ratePerS": -1},
        {"name": "x", "apiKeys": [4], "ratePerS": "many"},
        {"name": "x", "apiKeys": ["k"], "ratePerS": float("nan")},
        {"name": "x", "apiKeys": ["k"], "ratePerS": 10**400},
        {"name": "x", "apiKeys": ["k"], "priority": "first"},
    ],
)
def test_an_undecodable_entry_hides_no_other(bad):
    """Guards against one malformed team that cuts off all others."""
    teams, problems = decode_teams([bad, DUNE])
    assert teams.find("x") is None
    found = teams.identify(["Bearer dune-key"])
    assert found is not None
    assert found.name == "dune"
    assert problems


def test_undecodable_entries_alone_do_not_open_the_routes():
    """Guards against a configuration that admits everyone by a typing error."""
    teams, _ = decode_teams([{"name": "x", "apiKeys": ["k"], "ratePerS": "many"}])
    assert teams.needs_key
    assert teams.identify(["Bearer k"]) is None


def test_undecodable_entry_keeps_its_quota_but_no_revoked_key():
    """Guards against a malformed entry that lifts a quota or keeps a revoked key."""
    before, _ = decode_teams([HULE])
    bad = HULE | {"ratePerS": "many", "apiKeys": ["k7b2ex5wa5xwyhks8nbk"]}
    teams, _ = decode_teams([bad], before)
    assert teams.identify(["Bearer k7b2ex5wa5xwyhks8nbk"]) == before.find("hule930")
    assert teams.identify(["Bearer asnmgkcuyj8pjbvk9m68"]) is None


@pytest.mark.parametrize("tenants", [{}, "x", 5, True])
def test_tenants_that_are_no_list_make_the_configuration_invalid(tenants):
    """Guards against an unreadable list that ends the checks of all keys."""
    with pytest.raises(DecodeError):
        decode_deployment(config() | {"tenants": tenants})


@given(json_values)
def test_arbitrary_entries_raise_nothing_and_identify_no_one(item):
    teams, _ = decode_teams([item])
    assert teams.needs_key
    assert teams.identify(["Bearer k"]) is None
    assert without_keys({"tenants": [item]})


@pytest.mark.parametrize(
    ("entries", "fault"),
    [
        ([DUNE | {"apiKeys": []}], "no API key"),
        ([DUNE | {"apiKeys": [""]}], "empty"),
        ([DUNE | {"apiKeys": ["k", "k"]}], "a key twice"),
        ([DUNE, HULE | {"apiKeys": ["dune-key"]}], "shares a key"),
        ([DUNE, DUNE | {"apiKeys": ["k"]}], "occurs twice"),
        ([DUNE | {"ratePerS": 0}], "no limit"),
        ([DUNE | {"unit": "tokens"}], "unit is unknown"),
    ],
)
def test_faults_are_reported_without_keys(entries, fault):
    """Guards against bad keys that nobody notices, and keys in the report."""
    _, problems = decode_teams(entries)
    assert len(problems) == 1
    assert fault in problems[0].fault
    assert "dune-key" not in repr(problems)


def test_no_problem_is_found_in_a_sound_list():
    assert decode_teams([HULE, DUNE])[1] == []


def test_copies_carry_digests_instead_of_keys():
    """Guards against keys in the messages between instances."""
    spec = config(7) | {"tenants": [HULE, DUNE, "x", {"name": 5}]}
    copy = without_keys(spec)
    assert "dune-key" not in repr(copy)
    assert "k7b2ex5wa5xwyhks8nbk" not in repr(copy)
    teams = decode_deployment(copy).teams
    assert teams == decode_deployment(spec).teams
    assert without_keys(copy) == copy
    assert without_keys(config(7)) == config(7)


@pytest.mark.parametrize(
    "item",
    [
        {"apiKeys": [["x"], {"x": 1}, 5, None, "k"]},
        {"apiKeys": ["k"], "apiKeySha256": 5},
        {"apiKeys": ["k"], "apiKeySha256": True},
        {"apiKeys": ["k"], "apiKeySha256": {"a": 1}},
        {"apiKeys": ["k"], "apiKeySha256": ["zz", 5, [], None]},
        {"apiKeys": 5, "apiKeySha256": 5},
    ],
)
def test_odd_keys_and_digests_are_left_out_of_copies(item):
    """Guards against a configuration that is in force here and told to nobody."""
    spec = config(7) | {"tenants": [DUNE, {"name": "x"} | item]}
    copied = ConfigCopy.from_spec(without_keys(spec)).unpack()
    teams = decode_deployment(copied).teams
    assert teams == decode_deployment(spec).teams
    assert teams.find("dune") is not None


@pytest.mark.parametrize(
    "keys", [[f"k{index}" for index in range(30_000)], [0] * 30_000, ["k"] * 30_000]
)
def test_team_with_very_many_keys_is_decoded_in_little_time(
    keys, caplog: pytest.LogCaptureFixture
):
    """Guards against keys that are compared with one another, and logged one by one.

    30,000 keys stopped an instance for 25 s.
    """
    spec = config(7) | {"tenants": [{"name": "x", "apiKeys": keys}, DUNE]}
    began_at = time.thread_time()
    assert decode_deployment(spec).teams.find("dune") is not None
    assert time.thread_time() - began_at < 3.0
    assert len(caplog.records) <= 50


@pytest.mark.parametrize("depth", [250, 300, 900, 1000])
def test_deeply_nested_configuration_is_copied(depth):
    """Guards against fields that the decoder takes and the encoder does not."""
    nested = orjson.loads(b"[" * depth + b"]" * depth)
    spec = config(7) | {"unknown": nested, "tenants": [DUNE | {"unknown": nested}]}
    copied = ConfigCopy.from_spec(without_keys(spec)).unpack()
    assert decode_deployment(copied) == decode_deployment(spec)


@pytest.mark.parametrize(
    ("text", "counts"),
    [
        ("100,20", (100, 20)),
        (" 100 , 20 ", (100, 20)),
        (None, None),
        ("", None),
        ("100", None),
        ("100,", None),
        ("100,20,3", None),
        ("-1,20", None),
        ("1e9,20", None),
        ("\u0663,20", None),
        ("9" * 400 + ",20", None),
        ("9" * 5000 + "," + "9" * 5000, None),
    ],
)
def test_token_counts(text, counts):
    """Guards against a malformed count that is free of charge, or raises."""
    found = decode_deployment(config()).find_route("desk.example", "/draft/")
    assert found is not None
    headers = {"Attempt-Id": "q"} | ({"Token-Count": text} if text is not None else {})
    profile = read_profile(CIMultiDictProxy(CIMultiDict(headers)), found, 0.0)
    assert profile.token_counts == counts


BAD_NAME = b'{"name": "du\xffne", "apiKeys": ["k"]}'


def unreadable(text: bytes) -> UnreadableValue:
    body = b'{"items": [{"spec": ' + text + b"}]}"
    answer = asyncio.run(decode_answer(body))
    found = answer["items"][0]["spec"]
    assert isinstance(found, UnreadableValue)
    return found


def test_team_with_bytes_that_are_not_text_hides_no_other():
    """Guards against one such entry that keeps the whole configuration from use."""
    spec = config(7) | {"tenants": [HULE, "replaced"]}
    text = orjson.dumps(spec).replace(b'"replaced"', BAD_NAME)
    repaired = drop_unreadable_teams(unreadable(text))
    deployment = decode_deployment(repaired)
    assert deployment.version == 7
    assert set(deployment.teams.by_name) == {"hule930"}
    assert deployment.teams.skipped == 1
    assert orjson.dumps(without_keys(repaired))


@pytest.mark.parametrize(
    "text", [b'{"a": "\xff"}', b'{"tenants": {"\xff": 1}}', b"\xff"]
)
def test_configuration_that_is_unreadable_elsewhere_is_not_used(text: bytes):
    """Guards against a guess at what a route or a service may have been."""
    found = unreadable(text)
    assert drop_unreadable_teams(found) is found
    with pytest.raises(DecodeError):
        decode_deployment(found)
    spec = config(7) | {"tenants": [HULE], "other": "replaced"}
    found = unreadable(orjson.dumps(spec).replace(b"replaced", b"\xff"))
    assert drop_unreadable_teams(found) is found
