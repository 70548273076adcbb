"""Tests of `wisterialoom.cli` against the emulated platform over HTTP."""

import asyncio
import json
import os
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from click.testing import CliRunner

import wisterialoom
from wisterialoom.cli import cli
from wisterialoom.core.fleet.instance_list import ListedInstance
from wisterialoom.operator.label import LabelEdit
from wisterialoom.operator.reference import write_reference
from wisterialoom.standin.platform_app import PlatformApp

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "examples/association-filing-desk.toml"


def run(*args, env=None):
    return CliRunner().invoke(cli, [str(arg) for arg in args], env=env)


@pytest.fixture
async def platform():
    app = PlatformApp()
    async with TestServer(app.app, host="127.0.0.1") as server:
        url = f"http://127.0.0.1:{server.port}"
        yield SimpleNamespace(app=app, url=url, run=runner(url))


def runner(url):
    async def run_there(*args, code=0):
        result = await asyncio.to_thread(run, *args, env={"WISTERIALOOM_PLATFORM": url})
        assert result.exit_code == code, result.output
        return result.output

    return run_there


def generation_of(output):
    return json.loads(output)["generation"]


async def test_document_is_applied_edited_and_applied_again(platform, tmp_path):
    first = generation_of(
        await platform.run("config", "apply", EXAMPLE, "--expect", 0, "--json")
    )
    file = tmp_path / "document.toml"
    text = await platform.run("config", "get")
    file.write_text(text.replace("moves_weight = 3.0", "moves_weight = 2.0"))
    assert "+moves_weight = 2.0" in await platform.run("config", "diff", file)
    second = generation_of(await platform.run("config", "apply", file, "--json"))
    assert second > first
    output = await platform.run("config", "apply", EXAMPLE, "--expect", first, code=3)
    assert f"--expect {second}" in output
    assert "+moves_weight = 3.0" in output
    assert str(second) in await platform.run("config", "history")
    earlier = await platform.run("config", "get", "--generation", first)
    assert "moves_weight = 3.0" in earlier


async def test_labels_and_drains_can_be_set_and_removed(platform):
    await platform.run("config", "apply", EXAMPLE, "--expect", 0)
    await platform.run("label", "name=drafting-1", "shelf=b")
    await platform.run("drain", "role=review")
    text = (await platform.run("config", "get")).encode()
    for edit in (
        LabelEdit("name=drafting-1", "shelf", "b"),
        LabelEdit("role=review", "drain", "true"),
    ):
        assert edit.edit(text) == text
    await platform.run("undrain", "role=review")
    await platform.run("label", "name=drafting-1", "shelf", "--remove")
    assert "nothing to change" in await platform.run("undrain", "role=review")
    text = await platform.run("config", "get")
    assert text.partition("\n")[2] == EXAMPLE.read_text()
    await platform.run("label", "name=drafting-1", "shelf", code=2)
    await platform.run("drain", "=x", code=1)


async def test_outage_is_reported_with_its_consequences(platform):
    platform.app.fault.down = True
    output = await platform.run("config", "get", code=4)
    assert "try again later" in output
    platform.app.fault.down = False
    platform.app.fault.lose_answers = 1
    await platform.run("config", "apply", EXAMPLE, "--expect", 0)


ANSWER = {
    "instance": "entry-1",
    "generation": 7,
    "fresh": True,
    "members": ["entry-2"],
    "servers": [{"name": "w1", "resident": ["a@1"], "leaving": False, "steward": "x"}],
    "unreachable": [{"model": "b", "reason": "resident nowhere"}],
}


async def test_status_combines_the_responses_of_instances(platform):
    answer = dict(ANSWER)

    async def show(_):
        return web.json_response(answer)

    app = web.Application()
    app.router.add_get("/status", show)
    async with TestServer(app, host="127.0.0.1") as server:
        address = f"127.0.0.1:{server.port}"
        labels = {"kind": "entry", "admin": address}
        listed = ListedInstance("entry-1", "1", "127.0.0.1:1", "zone", labels)
        platform.app.registry.register(0.0, listed)
        output = await platform.run("status", "--json", code=6)
        state = json.loads(output)
        assert state["generations"] == {"7": 1}
        assert state["residence"] == {"a@1": ["w1"]}
        (unreachable,) = state["unreachable"]
        assert unreachable["instances"] == ["entry-1"]
        output = await platform.run("status", code=6)
        assert "UNREACHABLE: b: resident nowhere (at entry-1)" in output
        answer["unreachable"] = []
        await platform.run("status")
        output = await platform.run("status", "127.0.0.1:1", code=6)
        assert "ClientConnectorError" in output
        answer.clear()
        assert "unknown form" in await platform.run("status", code=6)


def test_config_check_lists_faults(tmp_path):
    file = tmp_path / "bad.toml"
    file.write_text("x = 1")
    assert run("config", "check", EXAMPLE).exit_code == 0
    result = run("config", "check", file)
    assert result.exit_code == 1
    assert "x: is not a known key" in result.output
    result = run("config", "check", file, "--json")
    places = {fault["place"] for fault in json.loads(result.output)["faults"]}
    assert places == {"x", "deployment", "traffic_classes"}


def test_wrong_usage_exits_with_2_and_help_lists_exit_codes():
    assert run("config", "get").exit_code == 2
    assert run("status").exit_code == 2
    assert "Exit codes" in run("--help").output
    assert "_WISTERIALOOM_COMPLETE" in run("completion", "bash").output


def test_entry_and_demo_commands_run_their_modules(monkeypatch):
    calls = []
    app_module = SimpleNamespace(run=calls.append)
    demo_module = SimpleNamespace(run=lambda *, serve: calls.append(serve) or 3)
    monkeypatch.setitem(sys.modules, "wisterialoom.app", app_module)
    monkeypatch.setitem(sys.modules, "wisterialoom.demo", demo_module)
    assert run("entry", "--config", ROOT / "examples/entry.toml").exit_code == 0
    assert run("demo", "--serve").exit_code == 3
    assert calls[0].instance.name == "entry-1"
    assert calls[1] is True


async def start(*args):
    """Start the program as a process; return the process and its printed address."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "wisterialoom", *args),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(Path(wisterialoom.__file__).parents[1])},
    )
    line = await asyncio.wait_for(process.stdout.readline(), 20)
    return process, json.loads(line)["address"]


@pytest.mark.processes
async def test_emulators_run_as_processes_and_are_listed():
    platform, address = await start("standin", "platform")
    server_options = (
        "--platform",
        f"http://{address}",
        "--availability-zone",
        "zone-1",
    )
    labels = ("--label", "role=drafting")
    engine, _ = await start(
        "standin", "engine", "--name", "e1", *server_options, *labels
    )
    service, _ = await start("standin", "service", "--name", "s1", *server_options)
    try:
        url = f"http://{address}"
        async with asyncio.timeout(20):
            while len(listed := (await listing(url))) < 2:
                await asyncio.sleep(0.02)
        assert listed["e1"]["labels"] == {"kind": "engine", "role": "drafting"}
        assert listed["s1"]["availability_zone"] == "zone-1"
        engine.terminate()
        assert await asyncio.wait_for(engine.wait(), 20) == 0
        assert set(await listing(url)) == {"s1"}
    finally:
        for process in (engine, service, platform):
            if process.returncode is None:
                process.terminate()
            await asyncio.wait_for(process.wait(), 20)


async def listing(url):
    output = await runner(url)("status", "--json", code=6)
    return {item["name"]: item for item in json.loads(output)["listed"]}


def test_reference_is_up_to_date():
    """Run `wisterialoom config reference > docs/reference-settings.md` to update it."""
    page = ROOT / "docs/reference-settings.md"
    assert page.read_text() == write_reference()
    # No key lacks a description.
    assert "|  |" not in page.read_text()
