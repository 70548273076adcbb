"""Tests of what `wisterialoom.app` logs of requests."""

from wisterialoom.app import App
from wisterialoom.core.requests.request import Outcome, Reason, RequestSettled
from wisterialoom.settings import Instance, Platform, Settings


async def test_line_of_a_request_has_a_bounded_size(caplog):
    """A body may name a model of 8 MB, and its line was as long."""
    app = App.from_settings(
        Settings(Instance("entry-1", "az-1"), Platform("http://127.0.0.1:9"))
    )
    name = "m" * 100_000
    settled = RequestSettled("r1", Outcome.NOT_RUN, Reason.NO_MODEL, model=name)
    with caplog.at_level("INFO"):
        app.execute(settled)
    (line,) = [x for x in caplog.records if x.message == "request settled"]
    assert 0 < len(line.model) <= 128
