"""Command that measures how costs grow with size, and writes tables of the slopes."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from wisterialoom.slopes.codec_cost import measure_codec
from wisterialoom.slopes.fleet_cost import measure_fleet, measure_fleets
from wisterialoom.slopes.object_cost import measure_memory, measure_objects
from wisterialoom.slopes.planner_cost import measure_planner
from wisterialoom.slopes.site_cost import (
    measure_claims,
    measure_propagation,
    measure_requests,
    measure_sites,
)
from wisterialoom.slopes.table import write_tables

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialoom.slopes.fit import Slope

FLEETS = (15, 30, 60, 120)
"""Fleet sizes to measure."""

STEPS: tuple[tuple[str, Callable[[], list[Slope]]], ...] = (
    ("codec", measure_codec),
    ("objects", measure_objects),
    ("entries", lambda: measure_sites("entries", "entry", (6, 12, 24))),
    ("engines", lambda: measure_sites("engines", "engine", (12, 24, 48))),
    ("models", lambda: measure_sites("models", "model", (24, 48, 96))),
    ("requests", lambda: measure_requests((12, 24, 48))),
    ("claims", lambda: measure_claims((5, 10, 20))),
    ("planner", measure_planner),
    ("spread", lambda: measure_propagation((6, 12, 24, 48))),
    ("memory", measure_memory),
    ("fleets", lambda: measure_fleets(FLEETS)),
)
"""Measurements by name, in the order in which they are run."""


@click.command()
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("build/slopes"),
    show_default=True,
    help="Directory for slopes.json and slopes.md.",
)
@click.option(
    "--only",
    multiple=True,
    type=click.Choice([name for name, _ in STEPS]),
    help="Run only this measurement; may be repeated.",
)
@click.option(
    "--fleet",
    type=int,
    help="Measure only one fleet of this size, and print the result.",
)
def main(out: Path, only: tuple[str, ...], fleet: int | None) -> None:
    """Measure how the cost of each role grows with the number of items it handles."""
    if fleet is not None:
        click.echo(measure_fleet(fleet))
        return
    slopes: list[Slope] = []
    for name, measure in STEPS:
        if only and name not in only:
            continue
        click.echo(f"measuring {name}", err=True)
        slopes += measure()
        write_tables(out, slopes)
    click.echo((out / "slopes.md").read_text())


if __name__ == "__main__":
    main()
