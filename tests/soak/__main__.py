"""Plays seeds of the soak by hand: `python -m tests.soak --seeds 50 --jobs 4`."""

from __future__ import annotations

import asyncio
import logging
import tempfile
import time
from pathlib import Path

import click

from tests.soak.faults import draw
from tests.soak.world import Soak


@click.command()
@click.option("--first", default=None, type=int, help="First seed; the time if none.")
@click.option("--seeds", default=50, help="Count of seeds.")
@click.option("--jobs", default=3, help="Seeds that are played at once.")
@click.option("--keep", default=None, type=click.Path(path_type=Path), help="Logs.")
def main(first: int | None, seeds: int, jobs: int, keep: Path | None) -> None:
    """Play seeds and print what broke; logs of broken ones stay in `--keep`."""
    # Stand-ins log each connection that a fault ends.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    start = int(time.time()) if first is None else first
    folder = keep or Path(tempfile.mkdtemp(prefix="soak-"))
    broken = asyncio.run(_play_all(range(start, start + seeds), jobs, folder))
    click.echo(f"{seeds} seeds from {start}, {broken} broken, logs in {folder}")
    raise SystemExit(1 if broken else 0)


async def _play_all(seeds: range, jobs: int, folder: Path) -> int:
    places = asyncio.Semaphore(jobs)
    results = await asyncio.gather(*(_play(seed, places, folder) for seed in seeds))
    return sum(results)


async def _play(seed: int, places: asyncio.Semaphore, folder: Path) -> int:
    async with places:
        logs = folder / str(seed)
        logs.mkdir(parents=True)
        judge = await Soak(seed, logs).play()
        served = {name: judge.answers[name] for name in sorted(judge.answers)}
        click.echo(f"seed {seed}: {'BROKEN' if judge.broken else 'kept'} {served}")
        for line in judge.broken[:20]:
            click.echo(f"    {line[:300]}")
        if judge.broken:
            for at, fault in draw(seed):
                click.echo(f"    {at:5.2f} s {fault}")
        return bool(judge.broken)


if __name__ == "__main__":
    main()
