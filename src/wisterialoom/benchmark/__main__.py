"""Command that measures the overhead of an entry instance and writes a table."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import click
import uvloop

from wisterialoom.benchmark.load import LoadResult, run_load
from wisterialoom.benchmark.site import BenchmarkSite, open_site

__all__ = ["main"]

STREAM_COUNTS = (1, 16, 64)
"""Numbers of concurrent streams to measure."""

RUN_S = 6.0
"""Duration of one run."""

HEAD = """| streams | first token, direct p50 / p95 | through the entry p50 / p95 | \
overhead p50 / p95 | requests/s | entry core busy | requests/s per core | incomplete |
| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |
"""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Attributes:
        streams: Number of concurrent streams.
        direct: Result of requests sent directly to the engine.
        entry: Result of requests sent through the entry instance.
        cpu_s: Processor time of the entry instance during its run, in seconds.
    """

    streams: int
    direct: LoadResult
    entry: LoadResult
    cpu_s: float

    def __str__(self) -> str:
        direct = [self.direct.percentile_ms(percent) for percent in (50, 95)]
        entry = [self.entry.percentile_ms(percent) for percent in (50, 95)]
        overhead = [after - before for before, after in zip(direct, entry, strict=True)]
        count = len(self.entry.first_token_s)
        times = " | ".join(f"{p50:.1f} / {p95:.1f} ms" for p50, p95 in (direct, entry))
        return (
            f"| {self.streams} | {times} | {overhead[0]:.1f} / {overhead[1]:.1f} ms "
            f"| {count / self.entry.duration_s:.1f} "
            f"| {self.cpu_s / self.entry.duration_s:.1%} "
            f"| {count / self.cpu_s:.0f} "
            f"| {self.direct.incomplete + self.entry.incomplete} |"
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
    """Compare streams through an entry instance with streams from the engine itself."""
    rows = uvloop.run(_measure())
    text = HEAD + "".join(f"{row}\n" for row in rows)
    click.echo(text)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(text)


async def _measure() -> list[Row]:
    async with open_site() as site:
        return [await _measure_row(site, streams) for streams in STREAM_COUNTS]


async def _measure_row(site: BenchmarkSite, streams: int) -> Row:
    direct = await run_load(site.engine, streams, RUN_S)
    before = site.entry_cpu_s()
    entry = await run_load(site.entry, streams, RUN_S)
    return Row(streams, direct, entry, site.entry_cpu_s() - before)


if __name__ == "__main__":
    main()
