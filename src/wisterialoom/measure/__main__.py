"""Command that measures policies under load; see docs/design/routing.md."""

from __future__ import annotations

import time
from pathlib import Path

import click

from wisterialoom.measure.measurement import Measurement, SITES
from wisterialoom.measure.policy import BASELINES, OWN, POLICIES
from wisterialoom.measure.report import scene_table, write_plot, write_report
from wisterialoom.measure.scene import SCENES

DEFAULT_POLICIES = (OWN.name, *(policy.name for policy in BASELINES))


@click.command()
@click.option("--site", "sites", multiple=True, default=SITES, show_default=True)
@click.option("--scene", "scenes", multiple=True, default=SCENES, show_default=True)
@click.option("--policy", "names", multiple=True, default=DEFAULT_POLICIES)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), default=None)
def main(
    sites: tuple[str, ...],
    scenes: tuple[str, ...],
    names: tuple[str, ...],
    seed: int,
    out: Path | None,
) -> None:
    """Measure policies on a simulated clock and write tables and a plot."""
    policies = [POLICIES[name] for name in names]
    for site in sites:
        for scene in scenes:
            began = time.monotonic()
            scores = list(Measurement.from_names(site, scene, seed).run(policies))
            click.echo(scene_table(scores))
            if out is not None:
                write_report(out, scores, seed)
                write_plot(out, scores)
            click.echo(f"{time.monotonic() - began:.0f} s", err=True)


if __name__ == "__main__":
    main()
