"""Support for tests that are known to fail because of a fault not fixed yet.

`KNOWN-RED.txt` in the root directory has one block per such test, with the lines
`test`, `command`, `seed`, `seen` and `issue`. Only the listed tests may fail. A
listed test that passes fails the run, so that its entry is removed; a line
`passes: sometimes` exempts a test that fails only in some runs. `#` begins a comment.
"""

import pytest

from tests.processes import reload_signal_ignored

FILE = "KNOWN-RED.txt"
FIELDS = {"test", "command", "seed", "seen", "issue"}
PASSES = "passes"
SOMETIMES = "sometimes"


def read_known_red(text):
    """Parse the file and return its blocks by test id."""
    entries = {}
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    for block in "\n".join(lines).split("\n\n"):
        if not block.strip():
            continue
        entry = {}
        for line in block.strip().splitlines():
            name, _, value = line.partition(":")
            entry[name.strip()] = value.strip()
        if entry.get(PASSES, SOMETIMES) != SOMETIMES:
            raise pytest.UsageError(f"{FILE}: {PASSES} is not {SOMETIMES} in {block!r}")
        if set(entry) - {PASSES} != FIELDS or not all(entry.values()):
            raise pytest.UsageError(f"{FILE}: give {sorted(FIELDS)} in {block!r}")
        if entry["test"] in entries:
            raise pytest.UsageError(f"{FILE}: {entry['test']} is listed twice")
        entries[entry["test"]] = entry
    return entries


def pytest_configure(config):
    path = config.rootpath / FILE
    config.known_red = read_known_red(path.read_text()) if path.is_file() else {}


def pytest_collection_modifyitems(config, items):
    for item in items:
        entry = config.known_red.get(item.nodeid)
        if entry is not None:
            reason = f"known red: {entry['seen']} ({entry['issue']})"
            strict = PASSES not in entry
            item.add_marker(pytest.mark.xfail(reason=reason, strict=strict))


@pytest.fixture(autouse=True)
def start_processes_like_a_supervisor(request):
    """Let started processes ignore SIGHUP until they handle it."""
    if request.node.get_closest_marker("processes") is None:
        yield
        return
    with reload_signal_ignored():
        yield


def pytest_terminal_summary(terminalreporter, config):
    if not config.known_red:
        return
    terminalreporter.section(FILE)
    failed = {x.nodeid for x in terminalreporter.stats.get("xfailed", ())}
    other = {
        x.nodeid
        for kind in ("failed", "error", "passed", "xpassed")
        for x in terminalreporter.stats.get(kind, ())
    }
    for name, entry in config.known_red.items():
        state = "not run"
        if name in failed:
            state = "failed as known"
        elif name in other:
            state = f"did not fail: remove it from {FILE}"
            if PASSES in entry:
                state = "did not fail this time"
        terminalreporter.line(f"{name}: {state}; {entry['seen']} ({entry['issue']})")
