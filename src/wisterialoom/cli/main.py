"""The root command."""

from __future__ import annotations

import sys
from typing import Any

import click

from wisterialoom import __version__
from wisterialoom.cli.config import config
from wisterialoom.cli.daemon import demo, entry
from wisterialoom.cli.exit_code import exit_code, EXIT_CODES_HELP
from wisterialoom.cli.label import drain, label, undrain
from wisterialoom.cli.standin import standin
from wisterialoom.cli.status import status
from wisterialoom.core.error import WisterialoomError

__all__ = ["cli", "main"]

PROGRAM = "wisterialoom"
SHELLS = ("bash", "zsh", "fish")


class ErrorHandlingGroup(click.Group):
    """Reports the package's errors as a message and an exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the requested command."""
        try:
            return super().invoke(ctx)
        except WisterialoomError as error:
            click.echo(f"Error: {error}", err=True)
            ctx.exit(int(exit_code(error)))


@click.group(
    cls=ErrorHandlingGroup,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog=EXIT_CODES_HELP,
)
@click.version_option(__version__, prog_name=PROGRAM)
def cli() -> None:
    """Serve many language models on fewer accelerators.

    Operators declare models, callers and traffic in one TOML document. `config apply`
    puts it in force on all instances; `label` and `drain` change its labels.
    """


@cli.command()
@click.argument("shell", type=click.Choice(SHELLS))
def completion(shell: str) -> None:
    """Print the completion script for a SHELL.

    For bash: eval "$(wisterialoom completion bash)"
    """
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"{shell} is not supported; use {', '.join(SHELLS)}")
    click.echo(completion_class(cli, {}, PROGRAM, "_WISTERIALOOM_COMPLETE").source())


for command in (config, label, drain, undrain, status, entry, demo, standin):
    cli.add_command(command)


def main() -> None:
    """Run the command line and exit."""
    cli(prog_name=PROGRAM, args=sys.argv[1:])
