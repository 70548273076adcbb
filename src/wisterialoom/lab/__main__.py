"""`python -m wisterialoom.lab`: runs scenarios and storms."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path

import click

from wisterialoom.lab.scenario import run_script, ScenarioRun
from wisterialoom.lab.script import parse_script, ScriptError
from wisterialoom.lab.storm import make_storm


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Run scenarios on the virtual clock; exit with 1 if something did not hold."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--seed", type=int, help="Instead of the scenario's own.")
@click.option("--trace", type=int, default=0, help="Lines of the trace to show.")
def run(files: tuple[str, ...], seed: int | None, trace: int) -> None:
    """Run scenario FILES."""
    bad = 0
    for file in files:
        try:
            script = parse_script(Path(file).read_text())
        except ScriptError as error:
            raise click.ClickException(f"{file}: {error}") from error
        if seed is not None:
            script = replace(script, seed=seed)
        bad += _report(file, run_script(script), trace)
    sys.exit(1 if bad else 0)


@main.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--count", default=20, show_default=True, help="Count of storms.")
@click.option("--trace", type=int, default=0, help="Lines of the trace to show.")
def storm(first: int, count: int, trace: int) -> None:
    """Run random scenarios, one for each seed."""
    bad = 0
    for seed in range(first, first + count):
        bad += _report(f"storm {seed}", run_script(make_storm(seed)), trace)
    click.echo(f"{count} storms, {bad} with something that did not hold")
    sys.exit(1 if bad else 0)


def _report(name: str, found: ScenarioRun, trace: int) -> bool:
    settled = len(found.deployment.world.settled)
    mark = "FAIL" if found.failures else "ok"
    click.echo(f"{mark:4} {name}: {settled} requests settled")
    for failure in found.failures:
        click.echo(f"     line {failure.line}: {failure.text}: {failure.problem}")
    if found.failures and trace:
        click.echo(found.deployment.world.explain(last=trace))
    return bool(found.failures)


if __name__ == "__main__":
    main()
