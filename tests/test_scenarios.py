"""Runs every scenario; a failure prints the end of its trace."""

from pathlib import Path

import pytest

from wisterialoom.lab.scenario import run_script
from wisterialoom.lab.script import parse_script, ScriptError

FOLDER = Path(__file__).parent / "scenarios"
NAMES = sorted(path.stem for path in FOLDER.glob("*.scenario"))


@pytest.mark.parametrize("name", NAMES)
def test_scenario_meets_its_expectations(name):
    script = parse_script((FOLDER / f"{name}.scenario").read_text())
    run = run_script(script)
    if run.failures:
        lines = [f"line {x.line}: {x.text}: {x.problem}" for x in run.failures]
        pytest.fail("\n".join([*lines, run.deployment.world.format_trace(last=60)]))


@pytest.mark.parametrize(
    "line", ["at 5 kill entry-1", "at 5s explode", "until soon", "hello"]
)
def test_invalid_line_is_rejected(line):
    with pytest.raises(ScriptError):
        parse_script(f"title x\n{line}\n")
