"""Command that measures the way through an entry instance and writes a table."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import click
import uvloop

from wisterialoom.benchmark.load import LoadResult, run_load
from wisterialoom.benchmark.site import BenchmarkSite, open_site

__all__ = ["main"]

STREAMS = (1, 16, 64)
RUN_S = 6.0
"""Time of one run, in seconds."""

HEAD = """| streams | first token, direct p50 / p95 | through the entry p50 / p95 | \
overhead p50 / p95 | requests/s | entry core busy | requests/s a core | not whole |
| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
"""


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table.

    Attributes:
        streams: Streams at once.
        direct: Calls to the engine itself.
        entry: Calls through the entry instance.
        cpu_s: Processor time of the entry instance during its run.
    """

    streams: int
    direct: LoadResult
    entry: LoadResult
    cpu_s: float

    def __str__(self) -> str:
        direct = [self.direct.percentile_ms(percent) for percent in (50, 95)]
        entry = [self.entry.percentile_ms(percent) for percent in (50, 95)]
        over = [after - before for before, after in zip(direct, entry, strict=True)]
        count = len(self.entry.first_token_s)
        times = " | ".join(f"{p50:.1f} / {p95:.1f} ms" for p50, p95 in (direct, entry))
        return (
            f"| {self.streams} | {times} | {over[0]:.1f} / {over[1]:.1f} ms "
            f"| {count / self.entry.took_s:.1f} | {self.cpu_s / self.entry.took_s:.1%} "
            f"| {count / self.cpu_s:.0f} | {self.direct.refused + self.entry.refused} |"
        )


@click.command()
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("build/benchmark.md"),
    show_default=True,
    help="Markdown file to write.",
)
def main(out: Path) -> None:
    """Compare streams through one entry instance with streams from its engine."""
    rows = uvloop.run(_measure())
    text = HEAD + "".join(f"{row}\n" for row in rows)
    click.echo(text)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(text)


async def _measure() -> list[Row]:
    async with open_site() as site:
        return [await _measure_row(site, streams) for streams in STREAMS]


async def _measure_row(site: BenchmarkSite, streams: int) -> Row:
    direct = await run_load(site.engine, streams, RUN_S)
    before = site.entry_cpu_s()
    entry = await run_load(site.entry, streams, RUN_S)
    return Row(streams, direct, entry, site.entry_cpu_s() - before)


if __name__ == "__main__":
    main()
