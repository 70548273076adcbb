"""Input that cannot be decoded affects nothing but itself."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

import orjson
import pytest
from hypothesis import given, settings, strategies as st

from tests.platform.fakes import config, FakeModelServer, FakePlainServer
from tests.platform.test_app import Harness, harness, wait_until
from wisterialoom.platform.store import StoreUnavailableError
from wisterialoom.platform.store_json import (
    decode_answer,
    encode_value,
    UnreadableValue,
)
from wisterialoom.platform.unreadable import UnreadableInput

NOT_TEXT = orjson.Fragment(b'"\xff\xfe zone"')
SURROGATES = orjson.Fragment(rb'"\udcff\udcfe zone"')
NESTED = orjson.Fragment(b"[" * 5000 + b"]" * 5000)
CONTROL = orjson.Fragment(b'"a\nb"')
VALUES: list[Any] = [NOT_TEXT, SURROGATES, NESTED, CONTROL, 5, None, [], {}]


ADDRESS = {"address": "127.0.0.1:9"}


def decode(data: bytes) -> Any:
    return asyncio.run(decode_answer(data))


async def settle(site: Harness) -> None:
    """Wait until all changes that were written so far have been read."""
    watcher = site.app.catalog.server_watcher
    await wait_until(lambda: watcher.revision.number >= site.store.revision, 4.0)


@pytest.mark.parametrize("value", VALUES)
async def test_unreadable_entry_hides_no_other(value: Any):
    """One entry with bytes that are not text hid all servers for as long as it was."""
    first, second = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(first, second) as site:
        foreign = first.entry() | {"zone": value}
        await site.store.put("servers", "i-0", foreign)
        await site.store.put("servers", "i-1", first.entry("draining"))
        await settle(site)
        views = site.app.dispatcher.views
        assert views.keys() == {"i-1", "i-2"}
        assert views["i-1"].server.draining
        # The same holds for lists.
        await site.store.forget_history()
        await site.store.put("servers", "i-3", second.entry())
        await wait_until(lambda: "i-3" in views)
        assert views.keys() == {"i-1", "i-2", "i-3"}
        assert site.app.catalog.unreadable.counts["servers"] >= 1


@pytest.mark.parametrize("value", VALUES)
@pytest.mark.parametrize("state", ["ready", "draining"])
async def test_last_readable_state_stays_in_force(state: str, value: Any):
    """A draining server returned, and a ready one was dropped, by an unreadable entry.

    The entry is read by a watch first, then by a list.
    """
    server, other = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(server, other) as site:
        views = site.app.dispatcher.views
        await site.store.put("servers", "i-1", server.entry(state))
        await settle(site)
        await site.store.put("servers", "i-1", server.entry() | {"zone": value})
        await settle(site)
        assert views["i-1"].server.draining == (state == "draining")
        await site.store.forget_history()
        await site.store.put("servers", "i-3", other.entry())
        await wait_until(lambda: "i-3" in views)
        assert views["i-1"].server.draining == (state == "draining")
        await site.store.put("servers", "i-1", server.entry() | {"slots": 9})
        await wait_until(lambda: views["i-1"].server.slots == 9)
        await site.store.put("servers", "i-1", server.entry() | {"zone": value})
        await site.store.remove("servers", "i-1")
        await wait_until(lambda: "i-1" not in views)


async def test_readable_version_before_an_unreadable_one_counts():
    """A watch answers with both at once, and only the latest was looked at."""
    server, other = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(server, other) as site:
        views = site.app.dispatcher.views
        await settle(site)
        await site.store.put("servers", "i-2", other.entry() | {"slots": 9})
        # Changes are read in batches, so the next ones come together.
        await site.store.put("servers", "i-1", server.entry("draining"))
        await site.store.put("servers", "i-1", server.entry() | {"zone": SURROGATES})
        await wait_until(lambda: views["i-1"].server.draining)
        await asyncio.sleep(1.0)
        assert views["i-1"].server.draining


async def test_unreadable_entry_that_names_the_state_draining_drains():
    server, other = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(server, other) as site:
        views = site.app.dispatcher.views
        await settle(site)
        entry = server.entry("draining") | {"zone": SURROGATES}
        await site.store.put("servers", "i-1", entry)
        await wait_until(lambda: views["i-1"].server.draining)


async def test_unreadable_entry_created_again_names_no_server():
    """An entry that was never readable does not make a server available."""
    server, other = FakePlainServer("i-1"), FakePlainServer("i-2")
    async with harness(server, other) as site:
        views = site.app.dispatcher.views
        await site.store.put("servers", "i-2", other.entry() | {"slots": 9})
        await site.store.remove("servers", "i-1")
        await site.store.put("servers", "i-1", server.entry() | {"zone": SURROGATES})
        await wait_until(lambda: "i-1" not in views)
        await settle(site)
        assert "i-1" not in views


async def test_unreadable_configuration_leaves_the_one_in_force():
    """A configuration with bytes that are not text hid all later ones."""
    async with harness(FakePlainServer("i-1")) as site:
        await site.store.put("config", "main", config(2) | {"note": SURROGATES})
        await site.store.put("config", "other", {"note": NOT_TEXT})
        await asyncio.sleep(1.0)
        assert site.app.catalog.config_version == 1
        assert site.app.catalog.unreadable.counts["config"] >= 1
        await site.store.put("config", "main", config(3))
        await wait_until(lambda: site.app.catalog.config_version == 3)


@pytest.mark.parametrize(
    "meta",
    [
        {},
        {"name": "i-0"},
        {"name": "i-0", "revision": "soon"},
        {"name": "i-0", "revision": 2**63},
        {"name": SURROGATES, "revision": 3},
        {"name": ["i-0"], "revision": 3},
        {"name": "i-0", "revision": 3, "finalizers": NOT_TEXT},
        NOT_TEXT,
        None,
    ],
)
async def test_object_without_readable_metadata_hides_no_other(meta: Any):
    """A page with one such object counted as no answer of the store."""
    async with harness(FakePlainServer("i-1")) as site:
        entries = site.store.objects["servers"]
        entries["i-0"] = {"metadata": meta, "spec": {}}
        listing = await site.app.catalog.server_watcher.store.list("servers")
        assert "i-1" in [found.name for found in listing.objects]
        event = (site.store.revision + 1, "servers", entries["i-0"], False)
        site.store.history.append(event)
        await site.store.put("servers", "i-2", FakePlainServer("i-2").entry() | ADDRESS)
        await wait_until(lambda: "i-2" in site.app.dispatcher.views)


async def test_list_continues_after_a_page_that_ends_with_an_unreadable_name():
    """A name with reserved characters was also cut off in the query."""
    async with harness(FakePlainServer("i-1")) as site:
        entries = site.store.objects["servers"]
        for number in range(60):
            name = f"a&b#{number:02d}"
            meta: Any = {"name": name, "revision": 1}
            entries[name] = {"metadata": meta, "spec": {}}
        entries["a&b#49"]["metadata"] = {"name": SURROGATES}
        listing = await site.app.catalog.server_watcher.store.list("servers")
        names = [found.name for found in listing.objects]
        assert len(names) == len(set(names)) == 60
        for number in range(60):
            entries[f"a&b#{number:02d}"]["metadata"] = {}
        with pytest.raises(StoreUnavailableError):
            await site.app.catalog.server_watcher.store.list("servers")


def test_unreadable_entry_is_logged_once(caplog: pytest.LogCaptureFixture):
    found = UnreadableInput()
    for _ in range(3):
        found.record("servers", "i-0", "no text")
    assert len(caplog.records) == 1
    assert found.counts == {"servers": 3}
    found.record_readable("servers", "i-0")
    found.record("servers", "i-0", "no text")
    assert len(caplog.records) == 2
    for number in range(5000):
        found.record("servers", f"x-{number}", "no text")
    assert len(found.logged) <= 2000


async def test_watch_that_brings_too_much_is_replaced_by_a_list(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against an instance that asks for the same changes for good."""
    monkeypatch.setattr("wisterialoom.platform.store.MAX_ANSWER_BYTES", 200_000)
    server = FakePlainServer("i-2")
    async with harness(server) as site:
        note = "x" * 10_000
        for number in range(60):
            entry = server.entry() | {"slots": number + 1, "note": note}
            await site.store.put("servers", "i-2", entry)
        await site.store.put("servers", "i-3", server.entry("draining"))
        views = site.app.dispatcher.views
        await wait_until(lambda: "i-3" in views)
        assert views["i-2"].server.slots == 60


json_items = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=8,
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(json_items, st.integers(0, 1000))
def test_values_of_any_depth_are_encoded(value: Any, depth: int):
    """Guards against values that can be decoded, but not told to other instances."""
    text = b'[{"a":' * (depth // 2) + orjson.dumps(value) + b"}]" * (depth // 2)
    found = orjson.loads(text)
    assert orjson.loads(encode_value(found)) == found
    assert encode_value(found) == text


LARGE_VALUES = {
    "lists in lists": b"[" * 500_000 + b"]" * 500_000,
    "many lists": b"[" + b"[[[]]]," * 100_000 + b'"\xff"]',
    "tables in tables": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "many texts": b"[" + b'"],[",' * 100_000 + b'"\xff"]',
    "many numbers": b"[" + b"1," * 400_000 + b'"\xff"]',
}


@pytest.mark.parametrize("name", LARGE_VALUES)
async def test_other_tasks_run_while_a_large_unreadable_object_is_read(name: str):
    """An object of 1 MB stopped an instance for 2 s each time that it was read."""
    data = orjson.dumps({"items": ["large", {"spec": {"slots": 1}}], "at": 3})
    data = data.replace(b'"large"', b'{"spec": ' + LARGE_VALUES[name] + b"}")
    longest_s = 0.0
    began_at = time.thread_time()

    async def measure() -> None:
        nonlocal longest_s, began_at
        while True:
            await asyncio.sleep(0)
            now = time.thread_time()
            longest_s, began_at = max(longest_s, now - began_at), now

    measuring = asyncio.create_task(measure())
    found = await decode_answer(data)
    measuring.cancel()
    assert isinstance(found["items"][0]["spec"], UnreadableValue)
    assert found["items"][1] == {"spec": {"slots": 1}}
    assert found["at"] == 3
    assert longest_s < 0.5


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.lists(json_items, max_size=5), st.integers(0, 5))
def test_values_beside_an_unreadable_one_are_unchanged(values: list[Any], at: int):
    """Brackets, quotes and commas within other values misled the splitting."""
    good = [orjson.loads(orjson.dumps(value)) for value in values]
    parts = [orjson.dumps({"spec": value}) for value in good]
    parts.insert(at, b'{"metadata":{"name":"x"},"spec":{"zone":"\xff}],\\""}}')
    found = decode(b'{"items": [' + b" ,".join(parts) + b'], "at": 7}')
    bad = found["items"].pop(min(at, len(values)))
    assert isinstance(bad["spec"], UnreadableValue)
    assert bad["spec"].guess()["zone"].endswith('}],"')
    assert found == {"items": [{"spec": value} for value in good], "at": 7}


VALID = orjson.dumps(
    {
        "items": [
            {"metadata": {"name": "i-1", "revision": 4}, "spec": {"a": ["\\", "é"]}},
            {"metadata": {"name": "i-2", "revision": 5}, "spec": {"b": 1.5}},
        ],
        "at": 9,
    }
)


@settings(derandomize=True, deadline=None, max_examples=1500)
@given(st.data())
def test_mutated_answer_raises_only_value_errors(data: st.DataObject):
    start = data.draw(st.integers(0, len(VALID)))
    end = data.draw(st.integers(start, min(len(VALID), start + 4)))
    new = data.draw(st.binary(max_size=4) | st.sampled_from([b"]", b'"', b"\\", b"{"]))
    with contextlib.suppress(ValueError):
        decode(VALID[:start] + new + VALID[end:])


@pytest.mark.parametrize("adapter", [b"", b"/\xfe"], ids=["declared", "undeclared"])
async def test_model_that_is_not_utf8_does_not_end_the_demand_task(adapter: bytes):
    """Bytes of a caller's header could not be encoded in the report of demand.

    Later requests for models that were not loaded waited until their deadlines. Only
    what is declared is counted, and a model can be declared by the name that such
    bytes are decoded to.
    """
    server = FakeModelServer("i-1", models={"m0": []})
    async with harness(server) as site:
        whole = config(2)
        models = whole["services"][0]["engine"]["models"]
        models.append(models[0] | {"name": "m\ufffd"})
        await site.store.put("config", "main", whole)
        await wait_until(lambda: site.app.catalog.config_version == 2)
        host, _, port = site.app.settings.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /draft/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\xff1\r\n"
            b"Deadline-Ms: 500\r\nModel: m\xff%s\r\nPrompt-Prefix: \xff:1,b:2\r\n"
            b"Token-Count: %s,1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (adapter, b"9" * 400)
        )
        answer = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        assert b" 500 " not in answer.partition(b"\r\n")[0]
        counted = [name for name in site.app.dispatcher.arrivals if "\ufffd" in name]
        assert counted == ([] if adapter else ["m\ufffd"])
        report = site.app.fleet._build_report(0.0)
        site.app.peers.send(report, "127.0.0.1")
        assert site.app.peers.dropped == 0
        status, _, _ = await site.call("/draft/", Model="m1", Attempt_Id="a2")
        assert status == 200
