"""Command that puts each listed fault into a copy and runs the named tests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from wisterialoom.mutation.fault import Fault, FaultFileError, load_faults
from wisterialoom.mutation.trial import Trial, Verdict

__all__ = ["main"]

AT_ONCE = 3
"""Runs of tests at once."""


@click.command()
@click.option("--list", "only_list", is_flag=True, help="List the faults and exit.")
@click.option(
    "--root",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=Path(),
    help="Root of the project; the current directory if left out.",
)
@click.argument("names", nargs=-1)
def main(only_list: bool, root: Path, names: tuple[str, ...]) -> None:
    """Put each listed fault, or those NAMES, into a copy and run its tests.

    A fault is found if a named test fails with it and passes without it. Exits
    with 1 if one is not found or its text is no longer in the source.
    """
    try:
        faults = _pick(load_faults(root), names)
    except FaultFileError as error:
        raise click.ClickException(str(error)) from error
    if only_list:
        for fault in faults:
            click.echo(f"{fault.name}: {fault.promise}")
        return
    found = asyncio.run(_run(root.resolve(), faults))
    click.echo(f"{found} of {len(faults)} faults found")
    sys.exit(found != len(faults))


def _pick(faults: list[Fault], names: tuple[str, ...]) -> list[Fault]:
    unknown = set(names) - {fault.name for fault in faults}
    if unknown:
        raise FaultFileError(f"no fault is named {sorted(unknown)}; see --list")
    return [fault for fault in faults if not names or fault.name in names]


async def _run(root: Path, faults: list[Fault]) -> int:
    gate = asyncio.Semaphore(AT_ONCE)
    tests = dict.fromkeys(fault.test for fault in faults)

    async def run(test: str, fault: Fault | None) -> Trial:
        async with gate:
            return await Trial.of(root, test, fault)

    click.echo("| fault | promise | verdict | found by |\n| --- | --- | --- | --- |")
    sound = dict(
        zip(
            tests,
            await asyncio.gather(*(run(test, None) for test in tests)),
            strict=True,
        )
    )

    async def judge(fault: Fault) -> bool:
        return _tell(fault, sound[fault.test], await run(fault.test, fault))

    return sum(await asyncio.gather(*map(judge, faults)))


def _tell(fault: Fault, sound: Trial, trial: Trial) -> bool:
    detail = trial.detail or fault.test
    if sound.verdict is not Verdict.GREEN:
        trial = Trial(Verdict.NOT_RUN)
        detail = f"without the fault: {sound.verdict.value} {sound.detail}"
    verdict = trial.verdict.value
    click.echo(f"| {fault.name} | {fault.promise} | {verdict} | {detail} |")
    return trial.verdict is Verdict.RED


if __name__ == "__main__":
    main()
