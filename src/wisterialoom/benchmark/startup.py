"""Processor time and peak memory of importing a module, in this process."""

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
    """Import MODULE and print what that took."""
    began = time.process_time()
    importlib.import_module(module)
    took_s = time.process_time() - began
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
    click.echo(f"{module}: {took_s:.3f} s of processor time, peak {peak:.1f} MiB")


if __name__ == "__main__":
    main()
