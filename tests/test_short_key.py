"""Tests of `wisterialoom.core.short_key`."""

from __future__ import annotations

from wisterialoom.core.short_key import MAX_LENGTH, short_key


def test_short_names_stay_as_they_are():
    assert short_key("") == ""
    assert short_key("a" * MAX_LENGTH) == "a" * MAX_LENGTH


def test_long_names_get_keys_of_their_own():
    keys = {short_key("a" * MAX_LENGTH + str(number)) for number in range(1_000)}
    assert len(keys) == 1_000
    assert max(map(len, keys)) <= MAX_LENGTH


def test_names_with_bytes_that_are_no_text_have_keys():
    name = b"\xff".decode("utf-8", "surrogateescape") * 1_000
    assert short_key(name) == short_key(name)
