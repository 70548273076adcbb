"""Runs tests against a copy of the project, with or without a mutation."""

from __future__ import annotations

import asyncio
import enum
import os
import shutil
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from wisterialoom.mutation.mutation import MutationFileError

if TYPE_CHECKING:
    from wisterialoom.mutation.mutation import Mutation

__all__ = ["Trial", "Verdict"]

COPIED_PATHS = (
    *("src", "tests", "examples", "docs"),
    *("pyproject.toml", "README.md", "KNOWN-RED.txt"),
)
"""Files and directories of the project that the tests need."""

EXCLUDED = ("__pycache__", ".hypothesis", ".pytest_cache", "*.egg-info")
RUN_TIMEOUT_S = 300.0
"""Maximum duration of one test run."""

PASSED, FAILED = 0, 1
"""Exit codes of pytest; all others mean that the tests could not be run."""


class Verdict(enum.Enum):
    """Outcome of a test run."""

    GREEN = "green"
    RED = "red"
    NOT_RUN = "not run"


@dataclass(frozen=True, slots=True)
class Trial:
    """One test run.

    Attributes:
        verdict: Green if all tests passed, red if one failed.
        detail: First failing test, or the reason why the tests did not run.
    """

    verdict: Verdict
    detail: str = ""

    @classmethod
    async def of(cls, root: Path, test: str, mutation: Mutation | None = None) -> Trial:
        """Run tests in a fresh copy of the project.

        Args:
            root: Root of the project.
            test: Paths or test ids, separated by spaces.
            mutation: Change to apply to the copy; `None` for no change.
        """
        with tempfile.TemporaryDirectory(prefix="wisterialoom-") as folder:
            copy = Path(folder)
            _copy(root, copy)
            try:
                if mutation is not None:
                    mutation.apply(copy)
            except MutationFileError as error:
                return cls(Verdict.NOT_RUN, str(error))
            return cls.from_run(*await _run(copy, test.split()))

    @classmethod
    def from_run(cls, code: int | None, output: str) -> Trial:
        """Return the result of a pytest run.

        Args:
            code: Exit code; `None` after a timeout.
            output: Output of pytest.
        """
        failed = [x for x in output.splitlines() if x.startswith(("FAILED", "ERROR"))]
        first = failed[0].split(" - ")[0].partition(" ")[2] if failed else ""
        match code:
            case None:
                return cls(Verdict.NOT_RUN, f"timed out after {RUN_TIMEOUT_S:.0f} s")
            case int() if code == PASSED:
                return cls(Verdict.GREEN)
            case int() if code == FAILED:
                return cls(Verdict.RED, first)
        return cls(Verdict.NOT_RUN, f"pytest exited with {code}: {first}")


def _copy(root: Path, copy: Path) -> None:
    ignore = shutil.ignore_patterns(*EXCLUDED)
    for name in COPIED_PATHS:
        source = root / name
        if source.is_dir():
            shutil.copytree(source, copy / name, ignore=ignore)
        elif source.is_file():
            shutil.copy(source, copy / name)


async def _run(copy: Path, tests: list[str]) -> tuple[int | None, str]:
    plugin = "wisterialoom.mutation._no_shrinking"
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "pytest", "-q", "-x", "--no-header"),
        *("-p", "no:cacheprovider", "-p", plugin, "--tb=no", "-rfE"),
        *tests,
        cwd=copy,
        env={**os.environ, "PYTHONPATH": f"{copy / 'src'}{os.pathsep}{copy}"},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        output, _ = await asyncio.wait_for(process.communicate(), RUN_TIMEOUT_S)
    except TimeoutError:
        return None, ""
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return process.returncode, output.decode(errors="replace")
