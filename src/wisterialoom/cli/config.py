"""Commands that check, apply and show the document."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

import click

from wisterialoom.cli.connection import platform_options
from wisterialoom.cli.exit_code import ExitCode
from wisterialoom.cli.output import echo_json, echo_table, json_option
from wisterialoom.core.configuration.config_follower import CONFIG_KEY
from wisterialoom.core.configuration.document_check import DocumentError, read_document
from wisterialoom.core.object_store import ABSENT
from wisterialoom.operator.apply import apply, split_generation, with_generation
from wisterialoom.operator.difference import difference
from wisterialoom.operator.history import History

if TYPE_CHECKING:
    from wisterialoom.cli.connection import Connection
    from wisterialoom.core.object_store import StoredObject
    from wisterialoom.operator.apply import Applied
    from wisterialoom.operator.platform import Platform

__all__ = ["config", "echo_applied"]

file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


@click.group()
def config() -> None:
    """Check, apply and show the deployment's document."""


@config.command()
@file_argument
@json_option
def check(file: Path, *, as_json: bool) -> None:
    """Check the document in FILE and list all faults.

    The check runs locally. The exit code is 1 if there are faults.
    """
    _, body = split_generation(file.read_bytes())
    try:
        document = read_document(body)
    except DocumentError as error:
        if not as_json:
            raise
        echo_json({"faults": [asdict(fault) for fault in error.faults]})
        raise SystemExit(ExitCode.FAULTS) from error
    if as_json:
        echo_json({"faults": []})
        return
    click.echo(
        f"{file}: valid; {len(document.models)} models, {len(document.adapters)} "
        f"adapters, {len(document.callers)} callers"
    )


@config.command("apply")
@file_argument
@click.option(
    "--expect",
    type=click.IntRange(min=0),
    metavar="GENERATION",
    help="The generation that FILE is based on; 0 if there is none yet. "
    "A file from `config get` names it in its first line.",
)
@click.option(
    "--replace-unreadable",
    is_flag=True,
    help="Replace a document that this version of the program can't read.",
)
@platform_options
@json_option
def apply_command(
    file: Path,
    *,
    expect: int | None,
    replace_unreadable: bool,
    connection: Connection,
    as_json: bool,
) -> None:
    """Put the document in FILE in force on all instances.

    If another change has been applied in the meantime, the command prints the
    difference and exits with code 3. Merge that change into FILE, and apply it again
    with the newer generation.
    """
    body = file.read_bytes()
    applied = connection.run(
        lambda platform: apply(
            platform, body, expect, replace_unreadable=replace_unreadable
        )
    )
    echo_applied(applied, as_json=as_json)


def echo_applied(applied: Applied, *, as_json: bool) -> None:
    """Print the result of a change."""
    if as_json:
        echo_json(applied)
        return
    if not applied.changed:
        click.echo(f"generation {applied.generation}: nothing to change")
        return
    click.echo(f"generation {applied.generation}: in force within seconds")
    if applied.replaced_by:
        click.echo(
            f"generation {applied.replaced_by} has already replaced it; "
            "see `wisterialoom config diff`",
            err=True,
        )
    if not applied.kept:
        click.echo(
            "The generation is in force, but could not be added to the history.",
            err=True,
        )


@config.command()
@click.option(
    "--generation",
    type=click.IntRange(min=1),
    help="An earlier generation from the history.",
)
@platform_options
@json_option
def get(*, generation: int | None, connection: Connection, as_json: bool) -> None:
    """Print the document in force.

    The first line names its generation, so that the text can be edited and
    applied without --expect.
    """
    stored = connection.run(lambda platform: _read(platform, generation))
    if as_json:
        text = stored.body.decode()
        echo_json({"generation": stored.version, "document": text})
        return
    click.echo(with_generation(stored.version, stored.body), nl=False)


async def _read(platform: Platform, generation: int | None) -> StoredObject:
    from wisterialoom.core.object_store import StoredObject

    if generation is None:
        stored = await platform.read(CONFIG_KEY)
        if stored.version == ABSENT:
            raise click.ClickException("there is no document; use `config apply`")
        return stored
    entry = await History(platform).read(generation)
    if entry is None:
        raise click.ClickException(
            f"generation {generation} is not in the history; see `config history`"
        )
    return StoredObject(entry.generation, entry.body)


@config.command()
@file_argument
@platform_options
@json_option
def diff(file: Path, *, connection: Connection, as_json: bool) -> None:
    """Print the changes that applying FILE would make."""
    _, body = split_generation(file.read_bytes())
    stored = connection.run(lambda platform: platform.read(CONFIG_KEY))
    name = f"generation {stored.version}" if stored.version else "no document"
    text = difference(stored.body, body, old_name=name, new_name=str(file))
    if as_json:
        echo_json({"generation": stored.version, "difference": text})
    elif text:
        click.echo(text)
    else:
        click.echo(f"no difference from {name}")


@config.command()
@platform_options
@json_option
def history(*, connection: Connection, as_json: bool) -> None:
    """List the generations in the history, newest first.

    `config get --generation` prints one of them.
    """
    generations = connection.run(lambda platform: History(platform).generations())
    if as_json:
        echo_json({"generations": generations})
        return
    echo_table(["GENERATION"], [[generation] for generation in generations])


@config.command(hidden=True)
def reference() -> None:
    """Print the reference of the document and of the settings file."""
    from wisterialoom.operator.reference import write_reference

    click.echo(write_reference(), nl=False)
