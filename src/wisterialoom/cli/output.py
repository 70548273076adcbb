"""Output as tables or JSON."""

from __future__ import annotations

import json
from dataclasses import asdict, is_dataclass
from typing import Any, TYPE_CHECKING

import click

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

__all__ = ["echo_json", "echo_table", "json_option"]


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option `--json` to a command, as the argument `as_json`."""
    option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    return option(command)


def echo_json(value: Any) -> None:
    """Print a value as JSON; data classes become objects."""
    click.echo(json.dumps(value, default=_plain, indent=2, sort_keys=True))


def echo_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows below a header in aligned columns."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    for row in texts:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def _plain(value: Any) -> Any:
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    raise TypeError(type(value).__name__)
