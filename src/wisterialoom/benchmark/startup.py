"""Measures the processor time and peak memory of importing a module."""

from __future__ import annotations

import importlib
import resource
import time

import click

__all__ = ["main"]

KIB_PER_MIB = 1024


@click.command()
@click.argument("module")
def main(module: str) -> None:
    """Import MODULE and print the processor time and peak memory that it took."""
    started_at = time.process_time()
    importlib.import_module(module)
    duration_s = time.process_time() - started_at
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
    click.echo(f"{module}: {duration_s:.3f} s of processor time, peak {peak:.1f} MiB")


if __name__ == "__main__":
    main()
