"""Command that applies each listed mutation to a copy and runs the listed tests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from wisterialoom.mutation.mutation import load_mutations, Mutation, MutationFileError
from wisterialoom.mutation.trial import Trial, Verdict

__all__ = ["main"]

MAX_CONCURRENT_RUNS = 3
"""Maximum number of concurrent test runs."""


@click.command()
@click.option("--list", "only_list", is_flag=True, help="List the mutations and exit.")
@click.option(
    "--root",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=Path(),
    help="Root of the project; the current directory by default.",
)
@click.argument("names", nargs=-1)
def main(only_list: bool, root: Path, names: tuple[str, ...]) -> None:
    """Apply each listed mutation, or those NAMES, to a copy and run its tests.

    A mutation is detected if a listed test fails with it and passes without it. Exits
    with 1 if a mutation is not detected or its text is no longer in the source.
    """
    try:
        mutations = _select(load_mutations(root), names)
    except MutationFileError as error:
        raise click.ClickException(str(error)) from error
    if only_list:
        for mutation in mutations:
            click.echo(f"{mutation.name}: {mutation.promise}")
        return
    detected = asyncio.run(_run(root.resolve(), mutations))
    click.echo(f"{detected} of {len(mutations)} mutations detected")
    sys.exit(detected != len(mutations))


def _select(mutations: list[Mutation], names: tuple[str, ...]) -> list[Mutation]:
    unknown = set(names) - {mutation.name for mutation in mutations}
    if unknown:
        raise MutationFileError(f"no mutations named {sorted(unknown)}; see --list")
    return [mutation for mutation in mutations if not names or mutation.name in names]


async def _run(root: Path, mutations: list[Mutation]) -> int:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_RUNS)
    tests = dict.fromkeys(mutation.test for mutation in mutations)

    async def run(test: str, mutation: Mutation | None) -> Trial:
        async with semaphore:
            return await Trial.of(root, test, mutation)

    click.echo(
        "| mutation | promise | verdict | detected by |\n| --- | --- | --- | --- |"
    )
    baseline = dict(
        zip(
            tests,
            await asyncio.gather(*(run(test, None) for test in tests)),
            strict=True,
        )
    )

    async def is_detected(mutation: Mutation) -> bool:
        return _print_verdict(
            mutation, baseline[mutation.test], await run(mutation.test, mutation)
        )

    return sum(await asyncio.gather(*map(is_detected, mutations)))


def _print_verdict(mutation: Mutation, baseline: Trial, trial: Trial) -> bool:
    detail = trial.detail or mutation.test
    if baseline.verdict is not Verdict.GREEN:
        trial = Trial(Verdict.NOT_RUN)
        detail = f"without the mutation: {baseline.verdict.value} {baseline.detail}"
    verdict = trial.verdict.value
    click.echo(f"| {mutation.name} | {mutation.promise} | {verdict} | {detail} |")
    return trial.verdict is Verdict.RED


if __name__ == "__main__":
    main()
