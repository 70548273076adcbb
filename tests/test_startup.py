"""Tests that the platform role imports only the modules that it runs."""

from __future__ import annotations

import subprocess
import sys

from click.testing import CliRunner

from wisterialoom.benchmark.startup import main

UNNEEDED_MODULES = (
    "thrift",
    "pydantic",
    "tomlkit",
    "openai",
    "wisterialoom.core.jobs.job",
)


def test_startup_benchmark_reports_processor_time():
    result = CliRunner().invoke(main, ["wisterialoom.platform.settings"])
    assert result.exit_code == 0
    assert "of processor time" in result.output


def test_platform_role_imports_no_unneeded_module():
    code = "import sys, wisterialoom.platform.app; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not set(UNNEEDED_MODULES) & set(loaded)
