"""Writes slopes as JSON and as a Markdown table."""

from __future__ import annotations

import dataclasses
import json
import platform
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from wisterialoom.slopes.fit import Slope

__all__ = ["write_tables"]

HEAD = "| role | quantity | per | sizes | values | slope | at size 0 | fit |"


def write_tables(directory: Path, slopes: Sequence[Slope]) -> None:
    """Write `slopes.json` and `slopes.md` into a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    body = {
        "python": platform.python_version(),
        "machine": platform.machine(),
        "slopes": [dataclasses.asdict(slope) for slope in slopes],
    }
    (directory / "slopes.json").write_text(json.dumps(body, indent=1) + "\n")
    lines = [HEAD, "|" + " --- |" * HEAD.count(" |"), *map(_row, slopes)]
    (directory / "slopes.md").write_text("\n".join(lines) + "\n")


def _row(slope: Slope) -> str:
    cells = (
        slope.role,
        f"{slope.quantity}, {slope.unit}",
        slope.per,
        " ".join(f"{size:g}" for size in slope.sizes),
        " ".join(f"{value:.4g}" for value in slope.values),
        f"{slope.slope:.4g}",
        f"{slope.intercept:.4g}",
        f"{slope.fit:.3f}",
    )
    return f"| {' | '.join(cells)} |"
