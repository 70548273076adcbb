"""Requests with API keys, over real sockets."""

from __future__ import annotations

import asyncio
import logging
import time
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, TYPE_CHECKING

import orjson
import pytest
from click.testing import CliRunner

from tests.platform.fakes import config, FakePlainServer, route
from tests.platform.test_app import harness, second_instance, wait_until
from tests.platform.test_lost_paths import lost_site
from wisterialoom.platform.__main__ import main
from wisterialoom.platform.hints import ConfigCopy
from wisterialoom.platform.team_decode import without_keys

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from click.testing import Result

    from tests.platform.test_app import Harness

KEY = "k7b2ex5wa5xwyhks8nbk"
TENANTS = [
    {"name": "hule930", "apiKeys": ["asnmgkcuyj8pjbvk9m68", KEY], "priority": 1},
    {"name": "dune", "apiKeys": ["dune-key"]},
]


def config_with_teams(version: int, **changes: Any) -> dict[str, Any]:
    spec = config(version) | {"tenants": TENANTS} | changes
    for item in spec["routes"]:
        item["public"] = item["name"] == "look"
    return spec


async def put_config(site: Harness, version: int, **changes: Any) -> None:
    await site.store.put("config", "main", config_with_teams(version, **changes))
    await wait_until(lambda: site.app.catalog.config_version == version)


@asynccontextmanager
async def team_site(*servers: Any, **changes: Any) -> AsyncIterator[Harness]:
    async with harness(*servers, **changes) as site:
        await put_config(site, 2)
        yield site


async def raw_call(
    site: Harness, *lines: bytes, body: bytes = b"", path: str = "/deposit/"
) -> bytes:
    """Send a request with header lines as they are; return the whole answer."""
    host, _, port = site.app.settings.front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = [
        f"POST {path} HTTP/1.1".encode(),
        b"Host: desk.example",
        b"Attempt-Id: a1",
        b"Deadline-Ms: 3000",
        b"Connection: close",
        *lines,
    ]
    writer.write(b"\r\n".join(head) + b"\r\n\r\n" + body)
    try:
        async with asyncio.timeout(5.0):
            return await reader.read()
    finally:
        writer.close()
        await writer.wait_closed()


async def test_server_gets_the_name_of_the_team_and_no_key():
    """Guards against keys that reach servers, and names that callers choose."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        status, _, _ = await site.call(
            "/deposit/", Authorization=f"Bearer {KEY}", Tenant="dune"
        )
        assert status == 200
        assert server.seen[0].getall("Tenant") == ["hule930"]
        assert "Authorization" not in server.seen[0]


@pytest.mark.parametrize(
    ("key", "team"), [(KEY, "hule930"), ("unknown", None), (None, None)]
)
async def test_public_route_needs_no_key(key: str | None, team: str | None):
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        status, _, _ = await site.call("/look/", Tenant="dune", **headers)
        assert status == 200
        assert server.seen[0].get("Tenant") == team
        assert "Authorization" not in server.seen[0]


async def test_without_teams_the_headers_are_forwarded_as_before():
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        status, _, _ = await site.call(
            "/deposit/", Authorization="Basic eA==", Tenant="own"
        )
        assert status == 200
        assert server.seen[0]["Authorization"] == "Basic eA=="
        assert server.seen[0]["Tenant"] == "own"


@pytest.mark.parametrize(
    "lines",
    [
        [],
        [b"Authorization:"],
        [b"Authorization: Bearer"],
        [b"Authorization: Bearer unknown"],
        [b"Authorization: Basic " + KEY.encode()],
        [b"Authorization: " + KEY.encode()],
        [b"Authorization: Bearer " + KEY.encode() + b"\xff\xfe"],
        [b"Authorization: Bearer \xc3\xbc"],
        [b"Authorization: Bearer " + b"x" * 7000],
        [b"Authorization: Bearer " + KEY.encode()] * 2,
        [b"Authorization: Bearer " + KEY.encode(), b"authorization: Bearer dune-key"],
        [b"Authorization: Bearer " + KEY.encode() + b", Bearer dune-key"],
        [b"Tenant: hule930"],
    ],
)
async def test_bad_keys_get_401_at_once(lines: list[bytes]):
    """Guards against malformed headers that are admitted or end in an error of 500."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        answer = await raw_call(site, *lines, b"Content-Length: 0")
        assert answer.startswith(b"HTTP/1.1 401 ")
        assert b"WWW-Authenticate: Bearer" in answer
        assert not server.seen


async def test_401_does_not_wait_for_the_body():
    """Guards against callers without a key that take up memory with bodies."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        host, _, port = site.app.settings.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /deposit/ HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a1\r\n"
            b"Content-Length: 4000000\r\n\r\n"
        )
        async with asyncio.timeout(1.0):
            assert (await reader.readline()).startswith(b"HTTP/1.1 401 ")
        writer.close()
        await writer.wait_closed()


async def test_unknown_key_gets_503_while_the_configuration_may_be_stale():
    """Callers do not retry after 401, so a key that was just added was lost."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        stale_at = time.monotonic() - site.app.settings.bounds.config_apply_s - 0.1
        site.app.ingress.get_config_current_at = lambda: stale_at
        status, headers, _ = await site.call("/deposit/", Authorization="Bearer new")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        status, _, _ = await site.call("/deposit/", Authorization=f"Bearer {KEY}")
        assert status == 200


async def test_key_appears_in_no_log_line_metric_or_copy(
    caplog: pytest.LogCaptureFixture,
):
    """Guards against keys in logs, metrics, traits and messages between instances."""
    caplog.set_level(logging.DEBUG)
    server = FakePlainServer("i-1", hang=True)
    async with team_site(server) as site:
        for key in (KEY, KEY + "x"):
            await site.call(
                "/deposit/", Authorization=f"Bearer {key}", Deadline_Ms="200"
            )
            await raw_call(site, f"Authorization: Bearer {key}\x01".encode())
            await raw_call(site, f"Authorization : Bearer {key}".encode())
            await raw_call(site, f"Authorization: Bearer {key}".encode() + b"y" * 20000)
        metrics = f"http://127.0.0.1:{site.app.settings.metrics_port}/"
        async with site.session.get(metrics) as got:
            assert KEY not in await got.text()
        assert KEY not in repr(site.app.catalog.config_spec)
    formatter = logging.Formatter()
    for record in caplog.records:
        if record.name != "asyncio":
            assert KEY not in formatter.format(record) + repr(record.__dict__)


async def test_traits_of_teams_do_not_depend_on_the_key():
    """A trait is logged and sent to other instances, so it must not hold a key."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        seen = []
        begin = site.app.dispatcher.record_arrival

        def record(now, flow):
            seen.append(flow.profile.traits)
            begin(now, flow)

        site.app.dispatcher.record_arrival = record
        for key in (KEY, "asnmgkcuyj8pjbvk9m68", "dune-key"):
            await site.call("/deposit/", Authorization=f"Bearer {key}")
        assert seen[0] == seen[1] != seen[2]


@pytest.mark.parametrize("tenants", [TENANTS[1:], []], ids=["others left", "none left"])
async def test_waiting_request_whose_key_is_revoked_is_not_sent(
    tenants: list[dict[str, Any]],
):
    """Guards against a revoked key that runs after a wait for a server."""
    server = FakePlainServer("i-1", refuse_all=True)
    async with team_site(server) as site:
        call = asyncio.create_task(
            site.call("/deposit/", Authorization=f"Bearer {KEY}", Deadline_Ms="20000")
        )
        await wait_until(lambda: server.seen)
        await put_config(site, 3, tenants=tenants)
        server.refuse_all = False
        status, _, _ = await call
        assert status == 401
        assert not server.runs


async def test_team_is_told_to_the_server_through_another_instance():
    """Guards against keys sent to other instances, and names lost on the way."""
    servers = [FakePlainServer("i-1")]
    async with lost_site(*servers, count=2) as (apps, site):
        spec = config_with_teams(2)
        for app in apps:
            app.catalog.apply_config(spec)
        status, _, _ = await site.call("/deposit/", Authorization=f"Bearer {KEY}")
        assert status == 200
        assert servers[0].seen[-1]["Tenant"] == "hule930"
        assert "Authorization" not in servers[0].seen[-1]


KEYS = (KEY, "dune-key", "never-held", None)
"""Keys that a list held before, one that none ever held, and no key."""


async def expect_no_key_to_be_admitted(site: Harness, server: FakePlainServer) -> None:
    """Check that closed routes are refused to all, and public ones get no key."""
    for key in KEYS:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        server.seen.clear()
        status, got, _ = await site.call("/deposit/", Tenant="dune", **headers)
        assert (status, server.seen) == (401, [])
        assert got["WWW-Authenticate"] == "Bearer"
        status, _, _ = await site.call("/look/", Tenant="dune", **headers)
        assert status == 200
        assert not {"Tenant", "Authorization"} & server.seen[0].keys()


@pytest.mark.parametrize("tenants", [[], None, [{"apiKeys": [KEY]}, "x"]])
async def test_list_that_loses_its_last_team_admits_no_key(tenants: Any):
    """Guards against routes that open to everyone as the last team is taken out."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        await put_config(site, 3, tenants=tenants)
        await expect_no_key_to_be_admitted(site, server)


async def test_instance_that_lists_a_configuration_without_any_team_admits_no_key():
    """Guards against open routes at an instance that starts with an empty list."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        await put_config(site, 3, tenants=[])
        async with second_instance(site) as other:
            other.app.catalog.read_store()
            await wait_until(lambda: other.app.catalog.config_version == 3)
            await expect_no_key_to_be_admitted(other, server)


async def test_copy_of_an_empty_list_of_teams_admits_no_key():
    """Guards against open routes at an instance that is told of an empty list."""
    server = FakePlainServer("i-1")
    async with harness(server) as site:
        spec = config_with_teams(3, tenants=[])
        copy = ConfigCopy.from_spec(without_keys(spec))
        site.app.relay.apply_config(copy)
        assert site.app.catalog.config_version == 3
        await expect_no_key_to_be_admitted(site, server)
        site.app.catalog.apply_config(config_with_teams(2))
        await expect_no_key_to_be_admitted(site, server)


async def test_configuration_without_a_list_of_teams_opens_the_routes_again():
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        await put_config(site, 3, tenants=[])
        await site.store.put("config", "main", config(4))
        await wait_until(lambda: site.app.catalog.config_version == 4)
        for key in KEYS:
            headers = {"Authorization": f"Bearer {key}"} if key else {}
            status, _, _ = await site.call("/deposit/", Tenant="dune", **headers)
            assert status == 200
            assert server.seen[-1]["Tenant"] == "dune"
            assert server.seen[-1].get("Authorization") == headers.get("Authorization")


@pytest.mark.parametrize("tenants", [[], TENANTS])
async def test_waiting_request_loses_its_key_once_there_is_a_list_of_teams(
    tenants: list[Any],
):
    """Guards against a key that reaches a server as it was admitted without teams."""
    server = FakePlainServer("i-1", refuse_all=True)
    async with harness(server) as site:
        call = asyncio.create_task(
            site.call(
                "/look/", Authorization="Bearer x", Tenant="own", Deadline_Ms="20000"
            )
        )
        await wait_until(lambda: server.seen)
        await put_config(site, 2, tenants=tenants)
        server.seen.clear()
        server.refuse_all = False
        assert (await call)[0] == 200
        assert not {"Tenant", "Authorization"} & server.seen[-1].keys()


@pytest.mark.parametrize(
    ("changes", "needed"),
    [({}, False), ({"tenants": []}, True), ({"tenants": TENANTS}, True)],
)
async def test_metrics_tell_an_empty_list_of_teams_from_none(
    changes: dict[str, Any], needed: bool
):
    """Guards against closed routes that look like open ones to the operators."""
    async with harness(FakePlainServer("i-1")) as site:
        await site.store.put("config", "main", config(2) | changes)
        await wait_until(lambda: site.app.catalog.config_version == 2)
        url = f"http://127.0.0.1:{site.app.settings.metrics_port}/"
        async with site.session.get(url) as got:
            text = await got.text()
    assert f"wisterialoom_keys_needed {int(needed)}" in text
    assert f"wisterialoom_teams {len(changes.get('tenants', ()))}" in text


async def test_priority_of_the_team_is_the_urgency_at_servers():
    assert route("look", "safe", "registry").get("priority", 5) != 1
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        seen = []
        begin = site.app.dispatcher.record_arrival
        site.app.dispatcher.record_arrival = lambda now, flow: (
            seen.append(flow.profile),
            begin(now, flow),
        )[1]
        await site.call("/deposit/", Authorization=f"Bearer {KEY}")
        assert seen[0].priority == 1
        assert seen[0].team == "hule930"


async def test_metrics_count_requests_by_team_and_refusals_by_result():
    """Guards against labels that callers choose."""
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        for key in (KEY, KEY, "unknown-1", "unknown-2"):
            await site.call("/deposit/", Authorization=f"Bearer {key}")
        url = f"http://127.0.0.1:{site.app.settings.metrics_port}/"
        async with site.session.get(url) as got:
            text = await got.text()
    assert 'wisterialoom_team_requests_total{team="hule930"} 2' in text
    assert 'wisterialoom_team_checks_total{result="unauthorized"} 2' in text
    assert "unknown-1" not in text


async def test_documentation_names_the_metrics_of_teams():
    page = (Path(__file__).parents[2] / "docs" / "OPERATIONS.md").read_text()
    server = FakePlainServer("i-1")
    async with team_site(server) as site:
        names = [item.name for item in site.app.metrics.registry.get_all()]
    about_teams = [name for name in names if "_team" in name or "_key" in name]
    assert len(about_teams) >= 7
    assert all(name in page for name in about_teams)


def check(path: Path, spec: Any) -> Result:
    path.write_bytes(orjson.dumps(spec))
    return CliRunner().invoke(main, ["--check-config", str(path)])


def test_check_of_a_configuration_reports_bad_keys(tmp_path: Path):
    """Guards against faults in keys that appear only as 401 in production."""
    path = tmp_path / "config.json"
    sound = check(path, config_with_teams(3))
    assert (sound.exit_code, sound.output) == (0, "version 3, 2 teams\n")
    shared = [*TENANTS, {"name": "third", "apiKeys": [KEY, ""]}]
    faulty = check(path, config_with_teams(3, tenants=shared))
    assert faulty.exit_code == 1
    assert "team third: it shares a key with team hule930" in faulty.output
    assert "apiKeys[1]" in faulty.output
    assert KEY not in faulty.output
    empty = check(path, config_with_teams(3, tenants=[]))
    assert empty.exit_code == 0
    assert empty.output == "version 3, 0 teams: no API key is accepted\n"
    absent = check(path, config(3))
    assert absent.output == "version 3, no list of teams: no API key is needed\n"
    assert check(path, {"version": 1}).exit_code == 1
    assert check(path, 5).exit_code == 1
