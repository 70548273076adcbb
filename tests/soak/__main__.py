"""Command line of the soak test: `python -m tests.soak --seeds 50 --jobs 4`."""

from __future__ import annotations

import asyncio
import logging
import tempfile
import time
from pathlib import Path

import click

from tests.processes import reload_signal_ignored
from tests.soak.faults import draw_faults
from tests.soak.soak_run import SoakRun


@click.command()
@click.option(
    "--first", default=None, type=int, help="First seed; default: the Unix time."
)
@click.option("--seeds", default=50, help="Number of seeds.")
@click.option("--jobs", default=3, help="Number of seeds run in parallel.")
@click.option(
    "--keep", default=None, type=click.Path(path_type=Path), help="Folder for logs."
)
@click.option(
    "--restores/--no-restores",
    default=True,
    help="Whether the store is also restored from copies.",
)
@click.option(
    "--roles/--no-roles",
    default=True,
    help="Whether faults also hit all instances with a role.",
)
def main(
    first: int | None,
    seeds: int,
    jobs: int,
    keep: Path | None,
    *,
    restores: bool,
    roles: bool,
) -> None:
    """Run seeds and print the violated promises; logs are written to `--keep`."""
    # The fake servers log an error for each connection that a fault closes.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    first_seed = int(time.time()) if first is None else first
    folder = keep or Path(tempfile.mkdtemp(prefix="soak-"))
    chosen = range(first_seed, first_seed + seeds)
    with reload_signal_ignored():
        failed = asyncio.run(
            _run_all(chosen, jobs, folder, restores=restores, roles=roles)
        )
    click.echo(f"{seeds} seeds from {first_seed}, {failed} failed, logs in {folder}")
    raise SystemExit(1 if failed else 0)


async def _run_all(
    seeds: range, jobs: int, folder: Path, *, restores: bool, roles: bool
) -> int:
    slots = asyncio.Semaphore(jobs)
    results = await asyncio.gather(
        *(
            _run_seed(seed, slots, folder, restores=restores, roles=roles)
            for seed in seeds
        )
    )
    return sum(results)


async def _run_seed(
    seed: int, slots: asyncio.Semaphore, folder: Path, *, restores: bool, roles: bool
) -> int:
    async with slots:
        logs = folder / str(seed)
        logs.mkdir(parents=True)
        checker = await SoakRun(seed, logs, restores=restores, roles=roles).run()
        answers = {name: checker.answers[name] for name in sorted(checker.answers)}
        click.echo(
            f"seed {seed}: {'FAILED' if checker.violations else 'passed'} {answers}"
        )
        for violation in checker.violations[:20]:
            click.echo(f"    {violation[:300]}")
        if checker.violations:
            for at, fault in draw_faults(seed, restores=restores, roles=roles):
                click.echo(f"    {at:5.2f} s {fault}")
        return bool(checker.violations)


if __name__ == "__main__":
    main()
