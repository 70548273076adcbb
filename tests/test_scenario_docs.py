"""Checks that `docs/scenarios.md` lists every statement and expectation."""

import re
from pathlib import Path

import pytest

from wisterialoom.lab.expectation import _EXPECTATIONS
from wisterialoom.lab.script import _HEADER_WORDS, _STATEMENTS

PAGE = (Path(__file__).parents[1] / "docs" / "scenarios.md").read_text()
QUOTED = re.findall(r"(?<!`)`([^`\n]+)`(?!`)", PAGE)
SAMPLES = {
    "SHARE": "0.5",
    "TIME": "5s",
    "RATE": "4",
    "COUNT": "2",
    "SECONDS": "3",
    "PERCENT": "90",
    "KEY": "drain",
    "VALUE": "1",
}
EXAMPLES = [
    re.sub("|".join(SAMPLES), lambda found: SAMPLES[found[0]], text) for text in QUOTED
]


def alternatives(pattern):
    """Return the alternative words that a pattern accepts."""
    return [
        word
        for group in re.findall(r"\?P<\w+>([a-z|-]+)\)", pattern)
        for word in group.split("|")
    ]


@pytest.mark.parametrize("pattern", [pattern for pattern, _ in _STATEMENTS])
def test_every_statement_is_documented(pattern):
    found = [text for text in EXAMPLES if re.fullmatch(pattern, text)]
    assert found
    for word in alternatives(pattern):
        assert any(word in text.split() for text in found), word


@pytest.mark.parametrize("pattern", [pattern for pattern, _ in _EXPECTATIONS])
def test_every_expectation_is_documented(pattern):
    assert any(re.fullmatch(pattern, text) for text in EXAMPLES)


@pytest.mark.parametrize("word", [*_HEADER_WORDS, "expect", "at TIME"])
def test_every_keyword_is_documented(word):
    assert word in QUOTED
