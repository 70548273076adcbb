"""Command line of the soak test: `python -m tests.soak --seeds 50 --jobs 4`."""

from __future__ import annotations

import asyncio
import io
import logging
import subprocess
import tarfile
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import click

from tests.processes import reload_signal_ignored
from tests.soak.faults import draw_faults
from tests.soak.soak_run import ROOT, SoakRun

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


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
@click.option(
    "--old",
    default="",
    help="Commit that the instances run at first; each start changes the build.",
)
def main(
    first: int | None,
    seeds: int,
    jobs: int,
    keep: Path | None,
    *,
    restores: bool,
    roles: bool,
    old: str,
) -> None:
    """Run seeds and print the violated promises; logs are written to `--keep`."""
    # The fake servers log an error for each connection that a fault closes.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    first_seed = int(time.time()) if first is None else first
    folder = keep or Path(tempfile.mkdtemp(prefix="soak-"))
    chosen = range(first_seed, first_seed + seeds)
    run = partial(
        _run_seed,
        slots=asyncio.Semaphore(jobs),
        folder=folder,
        restores=restores,
        roles=roles,
        old_build=_export(old, folder / "old") if old else None,
    )
    with reload_signal_ignored():
        failed = asyncio.run(_run_all(run, chosen))
    click.echo(f"{seeds} seeds from {first_seed}, {failed} failed, logs in {folder}")
    raise SystemExit(1 if failed else 0)


def _export(commit: str, folder: Path) -> Path:
    """Write the sources of a commit to a folder, and return that."""
    command = ["git", "-C", str(ROOT), "archive", commit, "src", "deploy"]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as packed:
        packed.extractall(folder, filter="data")
    return folder


async def _run_all(run: Callable[[int], Awaitable[bool]], seeds: range) -> int:
    return sum(await asyncio.gather(*(run(seed) for seed in seeds)))


async def _run_seed(
    seed: int,
    *,
    slots: asyncio.Semaphore,
    folder: Path,
    restores: bool,
    roles: bool,
    old_build: Path | None,
) -> bool:
    async with slots:
        logs = folder / str(seed)
        logs.mkdir(parents=True)
        run = SoakRun(seed, logs, restores=restores, roles=roles, old_build=old_build)
        checker = await run.run()
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
