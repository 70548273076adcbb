"""Odd configurations and records of another writer in the store."""

from __future__ import annotations

import copy
from typing import Any, TYPE_CHECKING

import pytest

from tests.platform.fakes import config, FakePlainServer
from tests.platform.odd_values import ODD_VALUES, with_value
from tests.platform.test_app import harness, wait_until
from tests.platform.test_odd_entries import failures, site_with_follower
from wisterialoom.platform.hint_codec import decode_hint, encode_hint
from wisterialoom.platform.hints import PlacementHint
from wisterialoom.platform.settings import Bounds

if TYPE_CHECKING:
    from collections.abc import Iterator

LEASES = "wisterialoom-leases"
STREAMS = "wisterialoom-streams"


def paths(item: Any, at: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the places of all fields; of a list, only those in its first item."""
    if isinstance(item, dict):
        yield (*at, "unknown")
        for key, value in item.items():
            yield (*at, key)
            yield from paths(value, (*at, key))
    elif isinstance(item, list) and item:
        yield (*at, 0)
        yield from paths(item[0], (*at, 0))


TENANT = {
    "name": "dune",
    "apiKeys": ["dune-key"],
    "priority": 1,
    "apiKeySha256": ["00"],
    "unit": "rate",
    "ratePerS": 5,
    "burst": 5,
    "plainTokens": 1,
}


@pytest.mark.parametrize("name", ODD_VALUES)
async def test_odd_value_in_any_field_of_the_configuration(name: str):
    """Guards against a configuration that ends a task, or that hides later ones."""
    async with site_with_follower() as (site, other):
        before = [failures(found.app) for found in (site, other)]
        whole = config() | {"tenants": [TENANT]}
        for number, path in enumerate(paths(whole)):
            spec = with_value(whole, path, ODD_VALUES[name])
            if path == ("version",) and name.startswith("number"):
                # It may be a version, after which lower ones do not count.
                continue
            if path != ("version",):
                spec["version"] = 2 + number
            await site.store.put("config", "main", spec)
        await site.store.put("config", "main", ODD_VALUES[name])
        await site.store.put("config", "other", ODD_VALUES[name])
        await site.store.put("config", "main", config(2**50))
        for found in (site, other):
            await wait_until(
                lambda app=found.app: app.catalog.config_version == 2**50  # type: ignore[misc]
            )
            status, _, body = await found.call("/look/")
            assert status == 200, body
        assert before == [failures(found.app) for found in (site, other)]


RECORD_VALUES = (
    "null",
    "true",
    "empty list",
    "empty table",
    "list of tables",
    "bytes that are not text",
    "number -1",
    "number 0.5",
    "number 1e308",
    "number 9007199254740991",
    "number 18446744073709551615",
    "text: no text",
    "text: NUL",
    "text: 100 KB",
    "lists 300 deep",
    "lists 1015 deep",
    "tables 1015 deep",
    "lists 2000 deep",
)
"""Values for records, each of which takes a while to be replaced."""


@pytest.mark.parametrize("name", RECORD_VALUES)
async def test_odd_value_in_any_field_of_the_lease_record(name: str):
    """Guards against a record that nobody can replace, so that nobody holds a lease."""
    bounds = Bounds(fenced=True, lease_s=0.4, grace_s=3.0)
    async with harness(FakePlainServer("i-1"), bounds=bounds) as site:
        before = failures(site.app)
        controller = site.app.placement_controller
        await wait_until(lambda: controller.holds_lease)
        records = site.store.objects[LEASES]
        record = copy.deepcopy(records["placement-1"]["spec"])
        record["versions"] = {"scribe": ["v1"]}
        for path in [(), *paths(record)]:
            spec = ODD_VALUES[name]
            if path:
                spec = with_value(record, path, spec)
            item = await site.store.change(LEASES, "placement-1", spec)
            await wait_until(lambda item=item: records["placement-1"] is not item)  # type: ignore[misc]
            await wait_until(lambda: controller.holds_lease)
        message = PlacementHint(
            holder="front-1",
            address="127.0.0.1",
            epoch=controller.lease.epoch,
            serial=1,
            renewal=controller.lease.record.serial if controller.lease.record else 0,
            members={},
            members_complete=False,
            servers={},
            busy=(),
            ready_in_s={},
            digest=0,
        )
        assert decode_hint(encode_hint(message)) == message
        assert before == failures(site.app)


@pytest.mark.parametrize("name", RECORD_VALUES)
async def test_odd_value_in_any_field_of_a_record_of_streams(name: str):
    """Guards against a record that ends the task which shares streams."""
    async with harness(FakePlainServer("i-1")) as site:
        before = failures(site.app)
        exchange = site.app.stream_exchange
        record = {"streams": {"scribe": {"v1": ["a1", "a2"], "v2": []}}}
        for path in [(), *paths(record)]:
            spec = ODD_VALUES[name]
            if path:
                spec = with_value(record, path, spec)
            for instance in ("front-1", "front-9"):
                await site.store.change(STREAMS, instance, spec)
            await exchange._inherit()
            await exchange._list_records()
        assert before == failures(site.app)
