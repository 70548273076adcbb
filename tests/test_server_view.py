"""Tests of `wisterialoom.core.requests.server_view`."""

from dataclasses import replace

import pytest

from tests.documents import make_load, make_server
from wisterialoom.core.requests.server_view import ServerView

SERVER = make_server("e1")
LOAD = make_load("e1", "drafting")


@pytest.mark.parametrize(
    "fields",
    [
        {"server": replace(SERVER, leaving=True)},
        {"server": replace(SERVER, drained=True)},
        {"seen_leaving": True},
        {"load": replace(LOAD, leaving=True)},
    ],
)
def test_any_word_of_leaving_closes_a_server(fields):
    lanes = frozenset({"drafting"})
    view = ServerView(SERVER, None, load=LOAD, lanes=lanes)
    assert view.serves(1.0, "drafting")
    for name, value in fields.items():
        setattr(view, name, value)
    assert view.closed
    assert not view.serves(1.0, "drafting")
    assert not view.has_capacity(1.0, 1.0)
