"""Tests of where an instance gets its first view from, on a virtual clock."""

from __future__ import annotations

from wisterialoom.core.fleet import FirstView, ViewSource


def play(holder: str | None, until: float) -> list[tuple[float, ViewSource]]:
    """Return the steps that are not waits, with their times."""
    view = FirstView()
    found: list[tuple[float, ViewSource]] = []
    for tick in range(round(until / 0.05)):
        now = tick * 0.05
        source = view.step(now, holder)
        if source is not ViewSource.WAIT:
            found.append((now, source))
    return found


def test_holder_is_asked_again_and_then_the_store_is_read():
    steps = play("10.0.0.1", 0.6)
    sources = [source for _, source in steps]
    assert sources[:3] == [ViewSource.ASK_HOLDER] * 3
    assert sources[-1] is ViewSource.READ_STORE
    first_read = next(at for at, source in steps if source is ViewSource.READ_STORE)
    assert first_read <= 0.45


def test_store_is_read_at_once_if_nobody_holds_the_lease():
    assert play("", 0.05) == [(0.0, ViewSource.READ_STORE)]


def test_store_is_read_if_the_lease_cannot_be_read():
    first = play(None, 2.0)[0]
    assert first[1] is ViewSource.READ_STORE
    assert first[0] <= 1.05
