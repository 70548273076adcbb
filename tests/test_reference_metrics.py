"""Tests that the pages for operators cover every metric and every reason."""

import re
from pathlib import Path

from wisterialoom.app import App
from wisterialoom.core.requests.request import Reason
from wisterialoom.settings import Instance, Listen, Platform, Settings

DOCS = Path(__file__).parents[1] / "docs"


async def test_reference_page_lists_every_metric():
    listen = Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
    platform = Platform("http://127.0.0.1:9", timeout_s=0.1)
    app = App.from_settings(Settings(Instance("entry-1", "az-1"), platform, listen))
    await app.start()
    app.status.refresh()
    text = app.metrics.render()[0].decode()
    await app.stop()
    shown = set(re.findall(r"^# TYPE (\S+)", text, re.MULTILINE))
    made = {collector.name for collector in app.metrics.registry.get_all()}
    page = (DOCS / "reference-metrics.md").read_text()
    named = set(re.findall(r"^\| `(wisterialoom_\w+)`", page, re.MULTILINE))
    assert shown <= named
    assert named == made


def test_operators_page_explains_every_reason():
    page = (DOCS / "operators.md").read_text()
    named = set(re.findall(r"^\| `(\w+)` \|", page, re.MULTILINE))
    assert {reason.value for reason in Reason} == named
