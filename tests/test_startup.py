"""The role on the platform loads only what it runs."""

from __future__ import annotations

import subprocess
import sys

from click.testing import CliRunner

from wisterialoom.benchmark.startup import main

NEEDLESS = ("thrift", "pydantic", "tomlkit", "openai", "wisterialoom.core.jobs.job")


def test_startup_is_measured():
    result = CliRunner().invoke(main, ["wisterialoom.platform.settings"])
    assert result.exit_code == 0
    assert "of processor time" in result.output


def test_platform_role_loads_no_part_that_it_does_not_run():
    code = "import sys, wisterialoom.platform.app; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not set(NEEDLESS) & set(loaded)
