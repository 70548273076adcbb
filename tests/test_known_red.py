"""Tests of the list of known failures in `conftest.py`."""

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

ENTRY = """\
# A comment.
test: test_it.py::test_red
command: pytest test_it.py
seed: none
seen: 1 is not 2
issue: 12
"""


@pytest.fixture
def project(pytester):
    pytester.makeconftest((Path(__file__).parent / "conftest.py").read_text())
    (pytester.path / "KNOWN-RED.txt").write_text(ENTRY)
    return pytester


def run(project, **bodies):
    tests = [f"def {name}():\n    {body}\n" for name, body in bodies.items()]
    project.makepyfile(test_it="\n".join(tests))
    return project.runpytest("-p", "no:xdist")


def test_listed_failure_does_not_fail_the_run_and_is_printed(project):
    result = run(project, test_red="assert 1 == 2", test_green="pass")
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["*::test_red: failed as known; 1 is not 2 (12)"])


def test_unlisted_failure_fails_the_run(project):
    result = run(project, test_red="assert 1 == 2", test_red_too="assert 1 == 2")
    assert result.ret == 1
    result.assert_outcomes(failed=1, xfailed=1)


def test_listed_test_that_passes_fails_the_run(project):
    result = run(project, test_red="pass")
    assert result.ret == 1
    result.stdout.fnmatch_lines(["*did not fail: remove it from KNOWN-RED.txt*"])


def test_incomplete_entry_is_rejected(project):
    (project.path / "KNOWN-RED.txt").write_text("test: test_it.py::test_red\n")
    assert run(project, test_red="pass").ret != 0


def test_listed_test_that_passes_sometimes_is_printed_in_either_case(project):
    path = project.path / "KNOWN-RED.txt"
    path.write_text(ENTRY + "passes: sometimes\n")
    result = run(project, test_red="pass")
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*::test_red: did not fail this time; *"])
    result = run(project, test_red="assert 1 == 2")
    assert result.ret == 0
    result.stdout.fnmatch_lines(["*::test_red: failed as known; *"])


def test_only_the_value_sometimes_exempts_a_listed_test(project):
    (project.path / "KNOWN-RED.txt").write_text(ENTRY + "passes: always\n")
    assert run(project, test_red="pass").ret != 0
