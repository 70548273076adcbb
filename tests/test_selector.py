"""Tests of `wisterialoom.core.configuration.selector`."""

import pytest

from wisterialoom.core.configuration.selector import Selector, SelectorError


@pytest.mark.parametrize(
    ("text", "labels", "expected"),
    [
        ("", {}, True),
        ("role=drafting", {"role": "drafting"}, True),
        ("role=drafting", {"role": "filing"}, False),
        ("role!=drafting", {}, True),
        ("gpu", {"gpu": ""}, True),
        ("!gpu", {"gpu": ""}, False),
        ("role=drafting, tier!=old", {"role": "drafting", "tier": "old"}, False),
    ],
)
def test_selector_matches_labels(text, labels, expected):
    assert Selector.parse(text).matches(labels) is expected


@pytest.mark.parametrize("text", ["=x", "a=b=c", "a b", "a,,b", "!"])
def test_malformed_selector_is_refused_with_a_remedy(text):
    with pytest.raises(SelectorError, match="key=value"):
        Selector.parse(text)
