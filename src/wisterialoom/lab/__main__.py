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
    """Run scenarios on the virtual clock; exit with 1 if an expectation failed."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--seed", type=int, help="Seed to use instead of the scenario's own.")
@click.option(
    "--trace", type=int, default=0, help="Trace lines to show after a failure."
)
def run(files: tuple[str, ...], seed: int | None, trace: int) -> None:
    """Run scenario FILES."""
    failed_count = 0
    for file in files:
        try:
            script = parse_script(Path(file).read_text())
        except ScriptError as error:
            raise click.ClickException(f"{file}: {error}") from error
        if seed is not None:
            script = replace(script, seed=seed)
        failed_count += _report(file, run_script(script), trace)
    sys.exit(1 if failed_count else 0)


@main.command()
@click.option("--first", default=1, show_default=True, help="Seed of the first storm.")
@click.option("--count", default=20, show_default=True, help="Number of storms.")
@click.option("--aimed", is_flag=True, help="Also hit all instances with a role.")
@click.option(
    "--trace", type=int, default=0, help="Trace lines to show after a failure."
)
def storm(first: int, count: int, aimed: bool, trace: int) -> None:
    """Run random scenarios, one for each seed."""
    failed_count = 0
    for seed in range(first, first + count):
        failed_count += _report(
            f"storm {seed}", run_script(make_storm(seed, aimed=aimed)), trace
        )
    click.echo(f"{count} storms, {failed_count} with failed expectations")
    sys.exit(1 if failed_count else 0)


def _report(name: str, result: ScenarioRun, trace: int) -> bool:
    settled = len(result.deployment.world.settled)
    status = "FAIL" if result.failures else "ok"
    click.echo(f"{status:4} {name}: {settled} requests settled")
    for failure in result.failures:
        click.echo(f"     line {failure.line}: {failure.text}: {failure.problem}")
    if result.failures and trace:
        click.echo(result.deployment.world.format_trace(last=trace))
    return bool(result.failures)


if __name__ == "__main__":
    main()
